/**
 * Benchmarks and trace replay.
 */
@NullMarked
package org.masticshelf.bench;

import org.jspecify.annotations.NullMarked;

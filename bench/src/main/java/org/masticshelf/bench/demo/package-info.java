/**
 * The callers' side of the demo.
 */
@NullMarked
package org.masticshelf.bench.demo;

import org.jspecify.annotations.NullMarked;

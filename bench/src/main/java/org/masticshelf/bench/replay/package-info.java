/**
 * Replay of traces through the decisions in virtual time, beside a baseline.
 */
@NullMarked
package org.masticshelf.bench.replay;

import org.jspecify.annotations.NullMarked;

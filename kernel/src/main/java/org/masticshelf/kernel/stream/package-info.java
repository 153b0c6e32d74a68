/**
 * Ensures that a caller either receives the whole of a streamed answer or is told that it
 * is incomplete.
 */
@NullMarked
package org.masticshelf.kernel.stream;

import org.jspecify.annotations.NullMarked;

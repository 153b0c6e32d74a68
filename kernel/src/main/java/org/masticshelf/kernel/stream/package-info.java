/**
 * Checks that a streamed answer reaches its caller whole.
 */
@NullMarked
package org.masticshelf.kernel.stream;

import org.jspecify.annotations.NullMarked;

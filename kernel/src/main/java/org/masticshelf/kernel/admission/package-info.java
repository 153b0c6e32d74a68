/**
 * Decides whether a request waits for what it needs or is refused, and when its caller
 * may retry.
 */
@NullMarked
package org.masticshelf.kernel.admission;

import org.jspecify.annotations.NullMarked;

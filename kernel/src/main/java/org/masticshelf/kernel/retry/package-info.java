/**
 * Decides whether failed requests are retried.
 */
@NullMarked
package org.masticshelf.kernel.retry;

import org.jspecify.annotations.NullMarked;

/**
 * Decisions about trying a failed request again.
 */
@NullMarked
package org.masticshelf.kernel.retry;

import org.jspecify.annotations.NullMarked;

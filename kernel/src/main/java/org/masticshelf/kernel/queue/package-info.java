/**
 * Fair queueing of requests by organisation.
 */
@NullMarked
package org.masticshelf.kernel.queue;

import org.jspecify.annotations.NullMarked;

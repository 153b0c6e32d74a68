/**
 * Queueing of requests to pools and their dispatch to endpoints.
 */
@NullMarked
package org.masticshelf.daemon.dispatch;

import org.jspecify.annotations.NullMarked;

/**
 * HTTP by Undertow, JSON, logs and metrics.
 */
@NullMarked
package org.masticshelf.transport;

import org.jspecify.annotations.NullMarked;

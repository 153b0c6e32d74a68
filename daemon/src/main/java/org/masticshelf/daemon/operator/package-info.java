/**
 * The operators' listener for probes and metrics.
 */
@NullMarked
package org.masticshelf.daemon.operator;

import org.jspecify.annotations.NullMarked;

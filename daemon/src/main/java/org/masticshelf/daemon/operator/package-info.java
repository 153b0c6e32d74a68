/**
 * The operators' listener for probes and metrics, and the queries of their tool.
 */
@NullMarked
package org.masticshelf.daemon.operator;

import org.jspecify.annotations.NullMarked;

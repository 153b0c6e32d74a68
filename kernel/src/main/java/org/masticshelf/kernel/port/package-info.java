/**
 * Interfaces to systems outside the decisions; adapters register themselves for them.
 */
@NullMarked
package org.masticshelf.kernel.port;

import org.jspecify.annotations.NullMarked;

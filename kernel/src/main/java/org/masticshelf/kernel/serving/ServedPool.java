package org.masticshelf.kernel.serving;

import org.jspecify.annotations.Nullable;

/**
 * A pool of interchangeable endpoints. Immutable.
 *
 * @param name the name of the pool
 * @param maximumConnections the maximum number of connections that one endpoint accepts
 * from all callers together
 * @param engine the capacity of its engines, {@code null} for plain services
 */
public record ServedPool(String name, int maximumConnections, @Nullable EngineProfile engine) {
}

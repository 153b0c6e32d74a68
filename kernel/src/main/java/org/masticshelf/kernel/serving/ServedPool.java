package org.masticshelf.kernel.serving;

import org.jspecify.annotations.Nullable;

/**
 * A pool of interchangeable endpoints. Immutable.
 *
 * @param name the name of the pool
 * @param maximumConnections the maximum number of connections that one endpoint accepts
 * from all callers together
 * @param engine the capacity of its engines, {@code null} for plain services
 * @param coldStart what its endpoints tolerate after their start, {@code null} if they
 * have no cold limit
 */
public record ServedPool(String name, int maximumConnections, @Nullable EngineProfile engine,
		@Nullable ColdStart coldStart) {

	/**
	 * Creates a pool whose endpoints have no cold limit.
	 * @param name the name of the pool
	 * @param maximumConnections the maximum number of connections of one endpoint
	 * @param engine the capacity of its engines, {@code null} for plain services
	 */
	public ServedPool(String name, int maximumConnections, @Nullable EngineProfile engine) {
		this(name, maximumConnections, engine, null);
	}

}

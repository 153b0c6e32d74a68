package org.masticshelf.daemon.dispatch;

import java.util.Collection;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Function;

import org.masticshelf.kernel.configuration.Configuration;
import org.masticshelf.kernel.configuration.Pool;
import org.masticshelf.kernel.configuration.QualifiedName;

/**
 * The dispatchers of all pools.
 * <p>
 * Invariant: a pool has one dispatcher for as long as this daemon runs. Safe for use by
 * several threads.
 */
public final class PoolDispatchers {

	private final Function<Pool, PoolDispatcher> factory;

	private final Map<QualifiedName, PoolDispatcher> dispatchers = new ConcurrentHashMap<>();

	/**
	 * Creates dispatchers.
	 * @param factory creates the dispatcher of a pool
	 */
	public PoolDispatchers(Function<Pool, PoolDispatcher> factory) {
		this.factory = factory;
	}

	/**
	 * Returns the dispatcher of a pool.
	 * @param pool the pool
	 * @return its dispatcher
	 */
	public PoolDispatcher of(Pool pool) {
		return this.dispatchers.computeIfAbsent(pool.name(), (name) -> this.factory.apply(pool));
	}

	/**
	 * Applies a changed configuration.
	 * @param configuration the configuration
	 */
	public void update(Configuration configuration) {
		configuration.tables().pools().forEach((pool) -> of(pool).update(pool));
	}

	/**
	 * Marks endpoints as leaving and all others as not leaving.
	 * @param leaving identifiers of the endpoints that get no new requests
	 */
	public void markLeaving(Set<String> leaving) {
		this.dispatchers.values().forEach((dispatcher) -> dispatcher.markLeaving(leaving));
	}

	/**
	 * Returns all dispatchers.
	 * @return a live view
	 */
	public Collection<PoolDispatcher> all() {
		return this.dispatchers.values();
	}

	/**
	 * Dispatches the waiting requests of all pools and refuses those that have expired.
	 */
	public void dispatchWaiting() {
		this.dispatchers.values().forEach(PoolDispatcher::dispatchWaiting);
	}

}

package org.masticshelf.kernel.placement;

import java.util.Comparator;
import java.util.List;

import org.masticshelf.kernel.port.Engine;

/**
 * Represents an endpoint that can hold a loadable, and the cost of loading it there.
 * <p>
 * Immutable.
 *
 * @param endpoint the endpoint
 * @param level where the weights are cached
 * @param costMilliseconds the expected time until the loadable is ready
 * @param remainingBytes the memory that remains free after the load
 * @param isImmediate whether the memory is free now
 * @param victims the entries that have to be unloaded first
 */
record EndpointChoice(EndpointState endpoint, Engine.CacheLevel level, long costMilliseconds, long remainingBytes,
		boolean isImmediate, List<EndpointRecord.Entry> victims) {

	/** Orders by time until ready, then by most free memory, so that load spreads. */
	static final Comparator<EndpointChoice> BEST_FIRST = Comparator.comparingLong(EndpointChoice::costMilliseconds)
		.thenComparing(Comparator.comparingLong(EndpointChoice::remainingBytes).reversed())
		.thenComparing((choice) -> choice.endpoint().endpoint().identifier());

}

package org.masticshelf.kernel.placement;

import java.util.Comparator;
import java.util.List;

import org.masticshelf.kernel.port.Engine;

/**
 * An endpoint that could hold a loadable, and what it would cost.
 * <p>
 * Immutable.
 *
 * @param endpoint the endpoint
 * @param level where the weights lie
 * @param costMilliseconds the expected time until the loadable is ready
 * @param remainingBytes the memory that would remain free
 * @param isImmediate whether the memory is free now
 * @param victims what has to be unloaded first
 */
record EndpointChoice(EndpointState endpoint, Engine.CacheLevel level, long costMilliseconds, long remainingBytes,
		boolean isImmediate, List<EndpointRecord.Entry> victims) {

	/** Soonest ready first, then the emptiest endpoint, so that load spreads. */
	static final Comparator<EndpointChoice> BEST_FIRST = Comparator.comparingLong(EndpointChoice::costMilliseconds)
		.thenComparing(Comparator.comparingLong(EndpointChoice::remainingBytes).reversed())
		.thenComparing((choice) -> choice.endpoint().endpoint().identifier());

}

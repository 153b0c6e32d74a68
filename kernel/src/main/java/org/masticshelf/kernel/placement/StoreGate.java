package org.masticshelf.kernel.placement;

import java.util.ArrayList;
import java.util.List;

/**
 * Limits the loads from one weight store.
 * <p>
 * Invariant: in any window of one second no more than {@link #MAXIMUM_STARTS_PER_SECOND}
 * loads of models start; no more than {@link #MAXIMUM_MODELS_IN_FLIGHT} models and
 * {@link #MAXIMUM_ADAPTERS_IN_FLIGHT} adapters load concurrently. Immutable.
 *
 * @param models the number of models that are being loaded from the store
 * @param adapters the number of adapters that are being loaded
 * @param starts the start times of the last loads of models in milliseconds, oldest first
 */
public record StoreGate(int models, int adapters, List<Long> starts) {

	/** The maximum number of loads of models that start within a second. */
	public static final int MAXIMUM_STARTS_PER_SECOND = 3;

	/** The maximum number of models that load from the store concurrently. */
	public static final int MAXIMUM_MODELS_IN_FLIGHT = 4;

	/** The maximum number of adapters that load concurrently. */
	public static final int MAXIMUM_ADAPTERS_IN_FLIGHT = 30;

	private static final long WINDOW_MILLISECONDS = 1_000;

	/**
	 * Creates a gate.
	 */
	public StoreGate {
		starts = List.copyOf(starts);
	}

	/**
	 * Creates the gate of a new duty holder, which does not know the loads that its
	 * predecessor started within the last second.
	 * @param nowMilliseconds the time
	 * @return a gate that admits no model for a second
	 */
	public static StoreGate afterTakeover(long nowMilliseconds) {
		List<Long> starts = new ArrayList<>();
		for (int start = 0; start < MAXIMUM_STARTS_PER_SECOND; start++) {
			starts.add(nowMilliseconds);
		}
		return new StoreGate(0, 0, starts);
	}

	/**
	 * Returns how long a load of a model has to wait because of the rate limit.
	 * @param nowMilliseconds the time
	 * @return the time in milliseconds, 0 if a load may start now
	 */
	public long rateWaitMilliseconds(long nowMilliseconds) {
		if (this.starts.size() < MAXIMUM_STARTS_PER_SECOND) {
			return 0;
		}
		long firstStart = this.starts.get(this.starts.size() - MAXIMUM_STARTS_PER_SECOND);
		return Math.max(0, firstStart + WINDOW_MILLISECONDS - nowMilliseconds);
	}

	/**
	 * Returns whether a load of a model from the store may start.
	 * @param nowMilliseconds the time
	 * @return whether it is admitted
	 */
	public boolean admitsModel(long nowMilliseconds) {
		return this.models < MAXIMUM_MODELS_IN_FLIGHT && rateWaitMilliseconds(nowMilliseconds) == 0;
	}

	/**
	 * Returns whether a load of an adapter may start.
	 * @return whether it is admitted
	 */
	public boolean admitsAdapter() {
		return this.adapters < MAXIMUM_ADAPTERS_IN_FLIGHT;
	}

	/**
	 * Returns this gate after a load of a model from the store has started.
	 * @param nowMilliseconds the time
	 * @return the changed gate
	 */
	public StoreGate withStartedModel(long nowMilliseconds) {
		List<Long> changed = new ArrayList<>(this.starts);
		changed.add(nowMilliseconds);
		while (changed.size() > MAXIMUM_STARTS_PER_SECOND) {
			changed.remove(0);
		}
		return new StoreGate(this.models + 1, this.adapters, changed);
	}

	/**
	 * Returns this gate after a load of an adapter has started.
	 * @return the changed gate
	 */
	public StoreGate withStartedAdapter() {
		return new StoreGate(this.models, this.adapters + 1, this.starts);
	}

	/**
	 * Returns this gate with other counts of loads in progress.
	 * @param modelLoads the number of models that are being loaded from the store
	 * @param adapterLoads the number of adapters that are being loaded
	 * @return the changed gate
	 */
	public StoreGate withInFlight(int modelLoads, int adapterLoads) {
		return new StoreGate(modelLoads, adapterLoads, this.starts);
	}

}

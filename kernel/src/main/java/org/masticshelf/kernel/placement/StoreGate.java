package org.masticshelf.kernel.placement;

import java.util.ArrayList;
import java.util.List;

/**
 * Admission of loads to one weight store.
 * <p>
 * Invariant: in no window of a second do more than {@link #MAXIMUM_STARTS_PER_SECOND}
 * loads of models start, and no more than {@link #MAXIMUM_MODELS_IN_FLIGHT} models and
 * {@link #MAXIMUM_ADAPTERS_IN_FLIGHT} adapters load at once. Immutable.
 *
 * @param models models that load from the store
 * @param adapters adapters that load
 * @param starts when models started to load within the last second, oldest first, in
 * milliseconds
 */
public record StoreGate(int models, int adapters, List<Long> starts) {

	/** How many loads of models may start within a second. */
	public static final int MAXIMUM_STARTS_PER_SECOND = 3;

	/** How many models may load from the store at once. */
	public static final int MAXIMUM_MODELS_IN_FLIGHT = 4;

	/** How many adapters may load at once. */
	public static final int MAXIMUM_ADAPTERS_IN_FLIGHT = 30;

	private static final long WINDOW_MILLISECONDS = 1_000;

	/**
	 * Creates a gate.
	 */
	public StoreGate {
		starts = List.copyOf(starts);
	}

	/**
	 * Creates the gate of a holder that does not know what its predecessor started within
	 * the last second.
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
	 * Returns how long a model has to wait for the rate.
	 * @param nowMilliseconds the time
	 * @return milliseconds, 0 if the rate admits one now
	 */
	public long rateWaitMilliseconds(long nowMilliseconds) {
		if (this.starts.size() < MAXIMUM_STARTS_PER_SECOND) {
			return 0;
		}
		long third = this.starts.get(this.starts.size() - MAXIMUM_STARTS_PER_SECOND);
		return Math.max(0, third + WINDOW_MILLISECONDS - nowMilliseconds);
	}

	/**
	 * Returns whether a model may start to load from the store.
	 * @param nowMilliseconds the time
	 * @return whether it may
	 */
	public boolean admitsModel(long nowMilliseconds) {
		return this.models < MAXIMUM_MODELS_IN_FLIGHT && rateWaitMilliseconds(nowMilliseconds) == 0;
	}

	/**
	 * Returns whether an adapter may start to load.
	 * @return whether it may
	 */
	public boolean admitsAdapter() {
		return this.adapters < MAXIMUM_ADAPTERS_IN_FLIGHT;
	}

	/**
	 * Returns this gate after a model started to load from the store.
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
	 * Returns this gate after an adapter started to load.
	 * @return the changed gate
	 */
	public StoreGate withStartedAdapter() {
		return new StoreGate(this.models, this.adapters + 1, this.starts);
	}

	/**
	 * Returns this gate with other counts of running loads.
	 * @param modelLoads models that load from the store
	 * @param adapterLoads adapters that load
	 * @return the changed gate
	 */
	public StoreGate withInFlight(int modelLoads, int adapterLoads) {
		return new StoreGate(modelLoads, adapterLoads, this.starts);
	}

}

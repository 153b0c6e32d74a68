package org.masticshelf.kernel.residency;

import java.util.Map;
import java.util.Set;

/**
 * An engine's memory, loaded models and current order, as seen by the planner. Immutable.
 *
 * @param identifier the endpoint's identifier
 * @param failureDomain the endpoint's failure domain
 * @param megabytes memory for weights and adapters
 * @param adapterSlots the maximum number of loaded adapters
 * @param loaded the loaded models by name
 * @param inMemory models whose weights are cached in the engine's host memory
 * @param onDisk models whose weights are cached on the engine's disk
 * @param freeInMilliseconds remaining time of the current order, 0 if there is none
 * @param loading the model that is being loaded, empty for none
 */
public record EngineSnapshot(String identifier, String failureDomain, double megabytes, int adapterSlots,
		Map<String, LoadedModel> loaded, Set<String> inMemory, Set<String> onDisk, long freeInMilliseconds,
		String loading) {

	/** Creates a snapshot. */
	public EngineSnapshot {
		loaded = Map.copyOf(loaded);
		inMemory = Set.copyOf(inMemory);
		onDisk = Set.copyOf(onDisk);
	}

	/**
	 * Returns whether the engine holds a model or is loading it.
	 * @param model the name of the model
	 * @return whether the model is loaded or being loaded
	 */
	public boolean holdsOrLoads(String model) {
		return this.loaded.containsKey(model) || this.loading.equals(model);
	}

	/**
	 * Returns how many adapters are loaded.
	 * @return the number of adapters over all models
	 */
	public int adapterCount() {
		return this.loaded.values().stream().mapToInt((model) -> model.adapters().size()).sum();
	}

	/**
	 * A loaded model.
	 *
	 * @param running the number of requests that run on it
	 * @param idleMilliseconds time since it was last used, 0 while requests run
	 * @param adapters time since each loaded adapter was last used, in milliseconds
	 */
	public record LoadedModel(int running, long idleMilliseconds, Map<String, Long> adapters) {

		/** Creates a loaded model. */
		public LoadedModel {
			adapters = Map.copyOf(adapters);
		}

	}

}

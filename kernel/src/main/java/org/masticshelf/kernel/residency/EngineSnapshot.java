package org.masticshelf.kernel.residency;

import java.util.Map;
import java.util.Set;

/**
 * An engine as the planner sees it. Immutable.
 *
 * @param identifier the endpoint's identifier
 * @param failureDomain its failure domain
 * @param megabytes memory for weights and adapters
 * @param adapterSlots how many adapters it holds at most
 * @param loaded what is loaded, by model
 * @param inMemory models whose weights lie in its host memory
 * @param onDisk models whose weights lie on its disk
 * @param freeInMilliseconds how long the order under way still takes, 0 if there is none
 * @param loading the model that is being loaded, empty for none
 */
public record EngineSnapshot(String identifier, String failureDomain, double megabytes, int adapterSlots,
		Map<String, LoadedModel> loaded, Set<String> inMemory, Set<String> onDisk, long freeInMilliseconds,
		String loading) {

	/** Creates an engine. */
	public EngineSnapshot {
		loaded = Map.copyOf(loaded);
		inMemory = Set.copyOf(inMemory);
		onDisk = Set.copyOf(onDisk);
	}

	/**
	 * Returns whether the engine holds a model or is about to.
	 * @param model the model
	 * @return whether it does
	 */
	public boolean holdsOrLoads(String model) {
		return this.loaded.containsKey(model) || this.loading.equals(model);
	}

	/**
	 * Returns how many adapters are loaded.
	 * @return the number over all models
	 */
	public int adapterCount() {
		return this.loaded.values().stream().mapToInt((resident) -> resident.adapters().size()).sum();
	}

	/**
	 * A loaded model.
	 *
	 * @param running requests that run on it
	 * @param idleMilliseconds how long ago it was last used, 0 while requests run
	 * @param adapters how long ago each loaded adapter was last used, in milliseconds
	 */
	public record LoadedModel(int running, long idleMilliseconds, Map<String, Long> adapters) {

		/** Creates a resident. */
		public LoadedModel {
			adapters = Map.copyOf(adapters);
		}

	}

}

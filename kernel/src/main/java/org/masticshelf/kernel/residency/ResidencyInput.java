package org.masticshelf.kernel.residency;

import java.util.List;
import java.util.Map;
import java.util.Set;

import org.masticshelf.kernel.serving.LoadableName;
import org.masticshelf.kernel.serving.ModelProfile;

/**
 * The state that a residency plan is computed from. Immutable.
 *
 * @param engines the engines that accept new work, ordered by identifier
 * @param models the models by name
 * @param waiting the requests that wait, by model or adapter
 * @param unserved the requests that were not served, by model or adapter
 * @param requestsPerSecond the recent request rate of each model
 * @param fetched the models that were fetched from the weight store before
 * @param complete whether all engines of the pool are known
 * @param storeLoads the number of loads from the weight store in progress
 * @param maximumStoreLoads the maximum number of concurrent loads from the weight store
 * @param nextStoreLoadMilliseconds time until the first of these loads ends, 0 if there
 * is none
 * @param promptReading the reading of prompts that the models ask for
 */
public record ResidencyInput(List<EngineSnapshot> engines, Map<String, ModelProfile> models,
		List<WaitingDemand> waiting, Map<LoadableName, UnservedDemand.Requests> unserved,
		Map<String, Double> requestsPerSecond, Set<String> fetched, boolean complete, int storeLoads,
		int maximumStoreLoads, long nextStoreLoadMilliseconds, PromptReading promptReading) {

	/** Creates an input. */
	public ResidencyInput {
		engines = List.copyOf(engines);
		models = Map.copyOf(models);
		waiting = List.copyOf(waiting);
		unserved = Map.copyOf(unserved);
		requestsPerSecond = Map.copyOf(requestsPerSecond);
		fetched = Set.copyOf(fetched);
	}

	/**
	 * Creates an input for a pool whose reading of prompts is unknown.
	 * @param engines the engines that accept new work, ordered by identifier
	 * @param models the models by name
	 * @param waiting the requests that wait, by model or adapter
	 * @param unserved the requests that were not served, by model or adapter
	 * @param requestsPerSecond the recent request rate of each model
	 * @param fetched the models that were fetched from the weight store before
	 * @param complete whether all engines of the pool are known
	 * @param storeLoads the number of loads from the weight store in progress
	 * @param maximumStoreLoads the maximum number of concurrent loads from the weight
	 * store
	 * @param nextStoreLoadMilliseconds time until the first of these loads ends, 0 if
	 * there is none
	 */
	public ResidencyInput(List<EngineSnapshot> engines, Map<String, ModelProfile> models, List<WaitingDemand> waiting,
			Map<LoadableName, UnservedDemand.Requests> unserved, Map<String, Double> requestsPerSecond,
			Set<String> fetched, boolean complete, int storeLoads, int maximumStoreLoads,
			long nextStoreLoadMilliseconds) {
		this(engines, models, waiting, unserved, requestsPerSecond, fetched, complete, storeLoads, maximumStoreLoads,
				nextStoreLoadMilliseconds, PromptReading.UNKNOWN);
	}

}

package org.masticshelf.kernel.residency;

import java.util.List;
import java.util.Map;

import org.masticshelf.kernel.serving.ModelProfile;

/**
 * What a plan is made from. Immutable.
 *
 * @param engines the engines that take new work, in the order of their identifiers
 * @param models the models by name
 * @param waiting what requests wait for
 * @param requestsPerSecond how often each model was asked for lately
 * @param complete whether these are all engines there are
 * @param storeLoads loads from the weight store that are under way
 * @param storeLoadsAtOnce how many such loads may be under way
 * @param nextStoreLoadMilliseconds when the first of them ends, 0 if there is none
 */
public record ResidencyInput(List<EngineSnapshot> engines, Map<String, ModelProfile> models,
		List<WaitingDemand> waiting, Map<String, Double> requestsPerSecond, boolean complete, int storeLoads,
		int storeLoadsAtOnce, long nextStoreLoadMilliseconds) {

	/** Creates facts. */
	public ResidencyInput {
		engines = List.copyOf(engines);
		models = Map.copyOf(models);
		waiting = List.copyOf(waiting);
		requestsPerSecond = Map.copyOf(requestsPerSecond);
	}

}

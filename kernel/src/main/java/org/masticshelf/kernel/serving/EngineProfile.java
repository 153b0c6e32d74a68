package org.masticshelf.kernel.serving;

import java.util.Map;

/**
 * The capacity of each engine of a pool. Immutable.
 *
 * @param megabytes memory for weights and adapters
 * @param hostMegabytes host memory for copies of weights, 0 if it is not known
 * @param adapterSlots the maximum number of loaded adapters
 * @param contextTokens the tokens of running requests and cached prompts that fit in
 * memory
 * @param loadsPerSecond the loads from the weight store that are allowed over all engines
 * @param models the models by name
 */
public record EngineProfile(double megabytes, double hostMegabytes, int adapterSlots, long contextTokens,
		double loadsPerSecond, Map<String, ModelProfile> models) {

	/** Creates a profile. */
	public EngineProfile {
		models = Map.copyOf(models);
	}

	/**
	 * Returns the size of a model's weights.
	 * @param model the name of the model
	 * @return megabytes, 0 for a model without a profile
	 */
	public double modelMegabytes(String model) {
		ModelProfile profile = this.models.get(model);
		return (profile != null) ? profile.megabytes() : 0;
	}

}

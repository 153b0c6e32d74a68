package org.masticshelf.kernel.residency;

import java.util.List;

/**
 * A candidate load of a model on an engine.
 *
 * @param engine the engine
 * @param source where the weights are loaded from
 * @param victims the models to unload first
 * @param loss the value of keeping the victims loaded
 * @param readyIn time until the model would be ready, in milliseconds
 * @param charge the time until ready plus penalties for blocking adapter requests and for
 * sharing a failure domain with another replica
 */
record LoadCandidate(EngineSnapshot engine, ResidencyStep.Source source, List<String> victims, double loss,
		long readyIn, long charge) {

	private static final long TIE_MILLISECONDS = 300;

	/**
	 * Returns whether this load is better than another one of the same model.
	 * @param other the other load
	 * @return whether it is ready earlier, or about as early at a smaller loss
	 */
	boolean isPreferredTo(LoadCandidate other) {
		if (Math.abs(this.charge - other.charge) > TIE_MILLISECONDS) {
			return this.charge < other.charge;
		}
		return this.loss < other.loss;
	}

}

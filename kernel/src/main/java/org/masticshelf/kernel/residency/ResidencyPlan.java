package org.masticshelf.kernel.residency;

import java.util.List;
import java.util.Map;

/**
 * What engines are to do now. Immutable.
 *
 * @param steps the orders, at most one for a model on each engine
 * @param readyInMilliseconds when each model that is waited for will be ready
 */
public record ResidencyPlan(List<ResidencyStep> steps, Map<String, Long> readyInMilliseconds) {

	/** Creates a plan. */
	public ResidencyPlan {
		steps = List.copyOf(steps);
		readyInMilliseconds = Map.copyOf(readyInMilliseconds);
	}

}

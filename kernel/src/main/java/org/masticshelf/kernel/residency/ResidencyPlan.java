package org.masticshelf.kernel.residency;

import java.util.List;
import java.util.Map;

/**
 * The orders to send to engines now. Immutable.
 *
 * @param steps the orders, at most one model order per engine
 * @param readyInMilliseconds time until each model or adapter that requests wait for is
 * ready
 */
public record ResidencyPlan(List<ResidencyStep> steps, Map<String, Long> readyInMilliseconds) {

	/** Creates a plan. */
	public ResidencyPlan {
		steps = List.copyOf(steps);
		readyInMilliseconds = Map.copyOf(readyInMilliseconds);
	}

}

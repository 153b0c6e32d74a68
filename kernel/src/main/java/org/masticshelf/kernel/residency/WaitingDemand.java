package org.masticshelf.kernel.residency;

import org.masticshelf.kernel.serving.LoadableName;

/**
 * The requests of all daemons that wait for one model or adapter. Immutable.
 *
 * @param loadable the model or adapter
 * @param count the number of waiting requests
 * @param oldestMilliseconds how long the oldest request has waited
 * @param objectiveMilliseconds time until the latest latency objective of these requests,
 * negative once all have missed theirs
 */
public record WaitingDemand(LoadableName loadable, int count, long oldestMilliseconds, long objectiveMilliseconds) {

	/**
	 * Creates the demand for something that no request waits for now.
	 * @param loadable the model or adapter
	 * @return a demand of no requests
	 */
	static WaitingDemand none(LoadableName loadable) {
		return new WaitingDemand(loadable, 0, 0, 0);
	}

	/**
	 * Merges this demand with another for the same model.
	 * @param other the other demand
	 * @param target the model or adapter of the result
	 * @return the merged demand
	 */
	public WaitingDemand mergeWith(WaitingDemand other, LoadableName target) {
		return new WaitingDemand(target, this.count + other.count,
				Math.max(this.oldestMilliseconds, other.oldestMilliseconds),
				Math.max(this.objectiveMilliseconds, other.objectiveMilliseconds));
	}

}

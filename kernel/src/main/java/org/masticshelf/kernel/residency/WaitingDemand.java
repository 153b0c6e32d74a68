package org.masticshelf.kernel.residency;

import org.masticshelf.kernel.serving.LoadableName;

/**
 * Requests that wait for a model or adapter at all daemons. Immutable.
 *
 * @param loadable what they wait for
 * @param count how many wait
 * @param oldestMilliseconds how long the oldest has waited
 * @param objectiveMilliseconds how long until the latency objective of the one that has
 * most of it left, negative once all have missed theirs
 */
public record WaitingDemand(LoadableName loadable, int count, long oldestMilliseconds, long objectiveMilliseconds) {

	/**
	 * Joins this demand with another for the same model.
	 * @param other the other demand
	 * @param joined what both wait for
	 * @return the sum
	 */
	public WaitingDemand mergeWith(WaitingDemand other, LoadableName joined) {
		return new WaitingDemand(joined, this.count + other.count,
				Math.max(this.oldestMilliseconds, other.oldestMilliseconds),
				Math.max(this.objectiveMilliseconds, other.objectiveMilliseconds));
	}

}

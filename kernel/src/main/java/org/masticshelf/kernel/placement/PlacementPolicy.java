package org.masticshelf.kernel.placement;

/**
 * Holds the thresholds of placement.
 * <p>
 * Immutable.
 *
 * @param scaleUpWaitMilliseconds how long requests for a loaded model must have waited
 * before another replica is loaded
 * @param minimumResidenceMilliseconds how long a replica stays before it may be evicted
 * for another model
 * @param evictionIdleMilliseconds how long a replica must have been idle before it may be
 * evicted for another model
 * @param evictionMilliseconds how long an eviction is assumed to delay a load
 * @param pressingWaitMilliseconds how long a request must have waited before a replica
 * that is in use is drained for it
 */
public record PlacementPolicy(long scaleUpWaitMilliseconds, long minimumResidenceMilliseconds,
		long evictionIdleMilliseconds, long evictionMilliseconds, long pressingWaitMilliseconds) {

	/** The policy of the daemons. */
	public static final PlacementPolicy DEFAULT = new PlacementPolicy(1_000, 10_000, 1_000, 400, 5_000);

}

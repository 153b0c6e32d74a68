package org.masticshelf.kernel.residency;

/**
 * The number of concurrent loads that the weight store serves at full speed, as learned
 * from the loads themselves.
 * <p>
 * Designed for requests for more models than the weight store can deliver: beyond its
 * number, each load takes longer in proportion, so that more loads at once deliver no
 * more models, block more engines, and are promised to callers too early. How much longer
 * a load takes is settled when it begins. Loads on engines that were lost meanwhile may
 * slow others down without being known, so the estimate never falls below what a load at
 * full speed has shown. A number that was seen to be slow is tried again only after some
 * loads, because callers wait in vain for loads that come later than promised. Immutable.
 *
 * @param loadsAtFullSpeed the number of loads
 * @param shownLoads the highest number of loads in progress when one began that then took
 * no longer than alone
 * @param slowLoads the lowest number of loads in progress when one began that then took
 * longer than alone
 * @param loadsSinceSlow the loads since then that took no longer than alone while as many
 * as allowed were in progress
 */
public record StoreThroughput(int loadsAtFullSpeed, int shownLoads, int slowLoads, int loadsSinceSlow) {

	/** Bounds the loads that may begin within a few seconds. */
	static final int MAXIMUM_LOADS = 8;

	/** The share of its nominal duration by which a load at full speed may be late. */
	static final double TOLERATED_DELAY_SHARE = 0.1;

	/**
	 * The loads at full speed, for each that is allowed at a time, before a number that
	 * was slow is tried again.
	 */
	static final int LOADS_BEFORE_RETRIAL = 4;

	/**
	 * Creates an estimate that no load has confirmed.
	 * @param loadsAtFullSpeed the number of loads
	 */
	public StoreThroughput(int loadsAtFullSpeed) {
		this(loadsAtFullSpeed, 1, Integer.MAX_VALUE, 0);
	}

	/**
	 * Learns from a completed load. A load that was slowed down tells how many the store
	 * serves; one at full speed, while as many loads as allowed were in progress, tells
	 * that there may be more, unless that was slow not long ago.
	 * @param tookMilliseconds how long the load took
	 * @param nominalMilliseconds how long it takes at full speed
	 * @param concurrentLoads the number of loads in progress when it began, including
	 * this one
	 * @return the new estimate
	 */
	public StoreThroughput learn(long tookMilliseconds, long nominalMilliseconds, int concurrentLoads) {
		if (nominalMilliseconds <= 0 || tookMilliseconds <= 0) {
			return this;
		}
		double slowdown = (double) tookMilliseconds / nominalMilliseconds;
		if (slowdown > 1 + TOLERATED_DELAY_SHARE) {
			int served = (int) Math.max(this.shownLoads, Math.round(concurrentLoads / slowdown));
			return new StoreThroughput(Math.min(served, this.loadsAtFullSpeed), this.shownLoads,
					Math.min(this.slowLoads, concurrentLoads), 0);
		}
		boolean atLimit = concurrentLoads >= this.loadsAtFullSpeed;
		int since = this.loadsSinceSlow + (atLimit ? 1 : 0);
		boolean raised = atLimit && this.loadsAtFullSpeed < MAXIMUM_LOADS && (this.loadsAtFullSpeed + 1 < this.slowLoads
				|| since >= LOADS_BEFORE_RETRIAL * this.loadsAtFullSpeed);
		return new StoreThroughput(this.loadsAtFullSpeed + (raised ? 1 : 0),
				Math.max(this.shownLoads, Math.min(concurrentLoads, this.loadsAtFullSpeed)), this.slowLoads, since);
	}

}

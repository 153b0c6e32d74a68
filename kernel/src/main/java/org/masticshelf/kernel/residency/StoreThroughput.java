package org.masticshelf.kernel.residency;

import java.util.ArrayList;
import java.util.List;

/**
 * An estimate of how many loads the weight store serves at full speed at once, learned
 * from the duration of loads.
 * <p>
 * Designed for requests for more rare models than the store can deliver: loads beyond
 * that number deliver no more models, block more engines, and are promised to callers too
 * early. How much longer a load takes is settled when it begins. The number of loads at
 * that moment is not always known: loads that begin together are counted in another order
 * than the store's, and loads on engines that were lost slow others down unseen. The
 * estimate is therefore the number that agrees best with the latest loads together,
 * rather than with any single one. A higher number is tried only when none of these loads
 * speaks for or against it, because callers wait in vain for loads that come later than
 * promised. Immutable.
 *
 * @param loadsAtFullSpeed the number of loads
 * @param latest the loads from which it was learned, the oldest first
 */
public record StoreThroughput(int loadsAtFullSpeed, List<CompletedLoad> latest) {

	/** Bounds the loads that may begin within a few seconds. */
	static final int MAXIMUM_LOADS = 8;

	/** The share of its nominal duration by which a load at full speed may be late. */
	static final double TOLERATED_DELAY_SHARE = 0.1;

	/** The number of loads that are taken into account. */
	static final int LATEST_LOADS = 8;

	/** Differences between deviations that stem from rounding alone. */
	private static final double ROUNDING = 1e-9;

	/** Creates an estimate. */
	public StoreThroughput {
		latest = List.copyOf(latest);
	}

	/**
	 * Creates an estimate that no load has confirmed.
	 * @param loadsAtFullSpeed the number of loads
	 */
	public StoreThroughput(int loadsAtFullSpeed) {
		this(loadsAtFullSpeed, List.of());
	}

	/**
	 * Learns from a completed load.
	 * @param tookMilliseconds how long the load took
	 * @param nominalMilliseconds how long it takes at full speed
	 * @param concurrentLoads the number of loads in progress when it began, including
	 * itself
	 * @return the new estimate
	 */
	public StoreThroughput learn(long tookMilliseconds, long nominalMilliseconds, int concurrentLoads) {
		if (tookMilliseconds <= 0 || nominalMilliseconds <= 0) {
			return this;
		}
		CompletedLoad load = new CompletedLoad(concurrentLoads, (double) tookMilliseconds / nominalMilliseconds);
		List<CompletedLoad> loads = new ArrayList<>(this.latest);
		loads.add(load);
		if (loads.size() > LATEST_LOADS) {
			loads.removeFirst();
		}
		int best = findBest(loads, load.isSlow());
		boolean untried = loads.stream().allMatch((other) -> other.concurrentLoads() <= best);
		boolean raised = !load.isSlow() && concurrentLoads >= best && untried && best < MAXIMUM_LOADS;
		return new StoreThroughput(raised ? best + 1 : best, loads);
	}

	/**
	 * Learns from a load that is still in progress although it would have ended at full
	 * speed.
	 * @param concurrentLoads the number of loads in progress when it began, including
	 * itself
	 * @return the new estimate, at least 1
	 */
	public StoreThroughput learnOverdue(int concurrentLoads) {
		return (concurrentLoads > this.loadsAtFullSpeed) ? this
				: new StoreThroughput(Math.max(1, concurrentLoads - 1), this.latest);
	}

	// Of numbers that agree equally well, a slow load speaks for the lowest one, and a
	// load at full speed for no change.
	private int findBest(List<CompletedLoad> loads, boolean slow) {
		int best = 1;
		for (int served = 2; served <= MAXIMUM_LOADS; served++) {
			double gain = deviation(loads, best) - deviation(loads, served);
			boolean closer = Math.abs(served - this.loadsAtFullSpeed) < Math.abs(best - this.loadsAtFullSpeed);
			if (gain > ROUNDING || (gain > -ROUNDING && !slow && closer)) {
				best = served;
			}
		}
		return best;
	}

	private static double deviation(List<CompletedLoad> loads, int served) {
		return loads.stream().mapToDouble((load) -> load.deviation(served)).sum();
	}

	/**
	 * A load that was completed.
	 *
	 * @param concurrentLoads the number of loads in progress when it began, including
	 * itself
	 * @param slowdown how many times as long as at full speed it took
	 */
	public record CompletedLoad(int concurrentLoads, double slowdown) {

		private boolean isSlow() {
			return this.slowdown > 1 + TOLERATED_DELAY_SHARE;
		}

		private double deviation(int served) {
			return Math.abs(Math.max(1, (double) this.concurrentLoads / served) - this.slowdown);
		}

	}

}

package org.masticshelf.kernel.placement;

import org.masticshelf.kernel.configuration.Loadable;
import org.masticshelf.kernel.port.Engine;

/**
 * How long loads were seen to take, as moving averages.
 * <p>
 * Immutable.
 *
 * @param memoryMilliseconds a model from host memory
 * @param diskMilliseconds a model from the endpoint's disk
 * @param remoteMilliseconds a model from the weight store
 * @param adapterMilliseconds an adapter
 */
public record LoadTimes(double memoryMilliseconds, double diskMilliseconds, double remoteMilliseconds,
		double adapterMilliseconds) {

	/** What is assumed before any load was seen. */
	public static final LoadTimes INITIAL = new LoadTimes(1_000, 4_000, 15_000, 20);

	private static final double NEWEST_SHARE = 0.25;

	/**
	 * Returns how long a load is expected to take.
	 * @param loadable what is loaded
	 * @param level where its weights lie
	 * @return milliseconds
	 */
	public long expectedMilliseconds(Loadable loadable, Engine.CacheLevel level) {
		if (loadable.isAdapter()) {
			return (long) this.adapterMilliseconds;
		}
		return switch (level) {
			case MEMORY -> (long) this.memoryMilliseconds;
			case DISK -> (long) this.diskMilliseconds;
			case REMOTE -> (long) this.remoteMilliseconds;
		};
	}

	/**
	 * Returns these times after another load was seen.
	 * @param loadable what was loaded
	 * @param level where its weights lay
	 * @param milliseconds how long it took
	 * @return the changed times
	 */
	public LoadTimes withObserved(Loadable loadable, Engine.CacheLevel level, long milliseconds) {
		if (loadable.isAdapter()) {
			return new LoadTimes(this.memoryMilliseconds, this.diskMilliseconds, this.remoteMilliseconds,
					average(this.adapterMilliseconds, milliseconds));
		}
		return switch (level) {
			case MEMORY -> new LoadTimes(average(this.memoryMilliseconds, milliseconds), this.diskMilliseconds,
					this.remoteMilliseconds, this.adapterMilliseconds);
			case DISK -> new LoadTimes(this.memoryMilliseconds, average(this.diskMilliseconds, milliseconds),
					this.remoteMilliseconds, this.adapterMilliseconds);
			case REMOTE -> new LoadTimes(this.memoryMilliseconds, this.diskMilliseconds,
					average(this.remoteMilliseconds, milliseconds), this.adapterMilliseconds);
		};
	}

	private static double average(double known, long seen) {
		return known + (seen - known) * NEWEST_SHARE;
	}

}

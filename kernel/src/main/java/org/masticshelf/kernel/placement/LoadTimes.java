package org.masticshelf.kernel.placement;

import org.masticshelf.kernel.configuration.Loadable;
import org.masticshelf.kernel.port.Engine;

/**
 * Holds moving averages of observed load times.
 * <p>
 * Immutable.
 *
 * @param memoryMilliseconds the time to load a model from host memory
 * @param diskMilliseconds the time to load a model from the endpoint's disk
 * @param remoteMilliseconds the time to load a model from the weight store
 * @param adapterMilliseconds the time to load an adapter
 */
public record LoadTimes(double memoryMilliseconds, double diskMilliseconds, double remoteMilliseconds,
		double adapterMilliseconds) {

	/** The times assumed before any load was observed. */
	public static final LoadTimes INITIAL = new LoadTimes(1_000, 4_000, 15_000, 20);

	private static final double NEWEST_WEIGHT = 0.25;

	/**
	 * Returns how long a load is expected to take.
	 * @param loadable what is loaded
	 * @param level where its weights are cached
	 * @return the time in milliseconds
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
	 * Returns these times updated with another observed load.
	 * @param loadable what was loaded
	 * @param level where its weights were cached
	 * @param milliseconds how long it took
	 * @return the updated times
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

	private static double average(double previous, long observed) {
		return previous + (observed - previous) * NEWEST_WEIGHT;
	}

}

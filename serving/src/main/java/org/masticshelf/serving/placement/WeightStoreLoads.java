package org.masticshelf.serving.placement;

import java.util.function.Consumer;

import org.masticshelf.kernel.event.Event;
import org.masticshelf.kernel.residency.ResidencyStep;
import org.masticshelf.kernel.residency.StoreLoads;
import org.masticshelf.kernel.residency.StoreThroughput;
import org.masticshelf.kernel.time.MonotonicClock;

/**
 * Tracks the loads from the weight store that the placing daemon has ordered, and learns
 * how many of them the store serves at full speed.
 * <p>
 * Invariant: each change of the estimate is logged. Thread-safe.
 */
final class WeightStoreLoads {

	private final StoreLoads loads = new StoreLoads();

	private final MonotonicClock clock;

	private final Consumer<Event> log;

	private StoreThroughput throughput;

	/**
	 * Creates an account without loads.
	 * @param loadsAtOnce the first estimate of the number of concurrent loads that the
	 * store serves at full speed
	 * @param clock the clock
	 * @param log receives the events
	 */
	WeightStoreLoads(int loadsAtOnce, MonotonicClock clock, Consumer<Event> log) {
		this.throughput = new StoreThroughput(loadsAtOnce);
		this.clock = clock;
		this.log = log;
	}

	/**
	 * Records that an engine has begun a load.
	 * @param load the load
	 * @return how long it is expected to take, in milliseconds
	 */
	synchronized long begin(ResidencyStep.Load load) {
		return this.loads.begin(load.endpoint(), load.milliseconds(), this.throughput.loadsAtFullSpeed(),
				this.clock.milliseconds());
	}

	/**
	 * Records that the engine of a load was lost.
	 * @param load the load
	 */
	synchronized void recordLostEngine(ResidencyStep.Load load) {
		this.loads.recordLostEngine(load.endpoint());
	}

	/**
	 * Learns from a completed load.
	 * @param load the load
	 * @param tookMilliseconds how long it took
	 */
	synchronized void complete(ResidencyStep.Load load, long tookMilliseconds) {
		int concurrent = this.loads.complete(load.endpoint());
		if (concurrent > 0) {
			replace(this.throughput.learn(tookMilliseconds, load.milliseconds(), concurrent),
					Event.named("placement.store_throughput")
						.with("took_ms", tookMilliseconds)
						.with("nominal_ms", load.milliseconds())
						.with("concurrent", concurrent));
		}
	}

	/**
	 * Learns from a load that is late, before it ends.
	 * @param now the monotonic time in milliseconds
	 */
	synchronized void learnOverdue(long now) {
		int concurrent = this.loads.findOverdue(this.throughput.loadsAtFullSpeed(), now);
		if (concurrent > 0) {
			replace(this.throughput.learnOverdue(concurrent),
					Event.named("placement.store_throughput").with("overdue", true).with("concurrent", concurrent));
		}
	}

	private void replace(StoreThroughput learned, Event event) {
		if (!learned.equals(this.throughput)) {
			this.log.accept(
					event.with("loads", learned.loadsAtFullSpeed()).with("before", this.throughput.loadsAtFullSpeed()));
			this.throughput = learned;
		}
	}

	/**
	 * Returns how many loads the store is expected to serve at full speed.
	 * @return the number of loads
	 */
	synchronized int loadsAtFullSpeed() {
		return this.throughput.loadsAtFullSpeed();
	}

	/**
	 * Counts the loads that the store serves for engines that were lost.
	 * @param now the monotonic time in milliseconds
	 * @return the number of loads
	 */
	synchronized int countLost(long now) {
		return this.loads.countLost(now);
	}

	/** Discards the loads, but not what was learned from them. */
	synchronized void clear() {
		this.loads.clear();
	}

}

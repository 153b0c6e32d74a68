package org.masticshelf.serving.request;

import java.util.HashMap;
import java.util.Map;

import org.masticshelf.kernel.serving.ServedEndpoint;
import org.masticshelf.kernel.time.MonotonicClock;

/**
 * Keeps some slots of an engine free for urgent requests while these arrive.
 * <p>
 * A burst of deferrable requests fills all slots for seconds, and work in progress is
 * never interrupted. Without free slots, each urgent request would wait for one of them
 * to end. Thread-safe.
 */
final class UrgentArrivals {

	/** The longest objective of an urgent request. */
	static final long URGENT_OBJECTIVE_MILLISECONDS = 1_500;

	/** How long after an urgent request for a model room is kept for the next one. */
	private static final long RETENTION_MILLISECONDS = 2_000;

	/** One slot in this many is kept, and at least one. */
	private static final int SLOTS_PER_KEPT = 8;

	private final MonotonicClock clock;

	private final Map<String, Long> lastArrivals = new HashMap<>();

	UrgentArrivals(MonotonicClock clock) {
		this.clock = clock;
	}

	/**
	 * Records an urgent request.
	 * @param pool its pool
	 * @param model its model
	 */
	synchronized void record(String pool, String model) {
		long now = this.clock.milliseconds();
		this.lastArrivals.values().removeIf((at) -> now - at > RETENTION_MILLISECONDS);
		this.lastArrivals.put(pool + "/" + model, now);
	}

	/**
	 * Returns how many slots of an engine a deferrable request leaves free.
	 * @param engine the engine
	 * @return the number of slots, less than the engine has
	 */
	synchronized int keptSlots(ServedEndpoint engine) {
		if (this.lastArrivals.isEmpty() || engine.slots() <= 1) {
			return 0;
		}
		long now = this.clock.milliseconds();
		boolean expected = engine.holdings().loaded().keySet().stream().anyMatch((model) -> {
			Long at = this.lastArrivals.get(engine.pool() + "/" + model);
			return at != null && now - at <= RETENTION_MILLISECONDS;
		});
		return expected ? Math.max(1, engine.slots() / SLOTS_PER_KEPT) : 0;
	}

}

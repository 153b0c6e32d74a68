package org.masticshelf.serving.request;

import java.util.HashMap;
import java.util.Map;

import org.masticshelf.kernel.time.MonotonicClock;

/**
 * Tracks the request rate of each model as an exponentially decaying average.
 * Thread-safe.
 */
public final class ModelRates {

	/** The time constant of the decay: long enough to smooth bursts of a few seconds. */
	private static final double TIME_CONSTANT_SECONDS = 4;

	private static final double MINIMUM_REQUESTS_PER_SECOND = 0.005;

	private final MonotonicClock clock;

	private final Map<String, Rate> rates = new HashMap<>();

	/**
	 * Creates an empty set of rates.
	 * @param clock the clock
	 */
	public ModelRates(MonotonicClock clock) {
		this.clock = clock;
	}

	/**
	 * Records a request for a model.
	 * @param pool the pool
	 * @param model the model
	 */
	public synchronized void recordRequest(String pool, String model) {
		long now = this.clock.milliseconds();
		Rate rate = this.rates.computeIfAbsent(pool + "/" + model, (key) -> new Rate(now));
		rate.decay(now);
		rate.requestsPerSecond += 1 / TIME_CONSTANT_SECONDS;
	}

	/**
	 * Returns the current rates.
	 * @return requests per second by pool and model
	 */
	public synchronized Map<String, Double> requestsPerSecond() {
		long now = this.clock.milliseconds();
		Map<String, Double> result = new HashMap<>();
		this.rates.values().removeIf((rate) -> {
			rate.decay(now);
			return rate.requestsPerSecond < MINIMUM_REQUESTS_PER_SECOND;
		});
		this.rates.forEach((key, rate) -> result.put(key, Math.round(rate.requestsPerSecond * 1_000) / 1_000.0));
		return result;
	}

	/**
	 * A rate and the time of its last update, guarded by the lock of the enclosing
	 * instance.
	 */
	private static final class Rate {

		private double requestsPerSecond;

		private long updatedAt;

		private Rate(long updatedAt) {
			this.updatedAt = updatedAt;
		}

		private void decay(long now) {
			this.requestsPerSecond *= Math.exp(-(now - this.updatedAt) / 1_000.0 / TIME_CONSTANT_SECONDS);
			this.updatedAt = now;
		}

	}

}

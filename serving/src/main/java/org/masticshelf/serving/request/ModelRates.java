package org.masticshelf.serving.request;

import java.util.HashMap;
import java.util.Map;

import org.masticshelf.kernel.time.MonotonicClock;

/**
 * How often each model was asked for lately, as a rate that decays exponentially. Safe
 * for use by several threads.
 */
public final class ModelRates {

	/** The time over which the rate is taken: long enough to smooth bursts of seconds. */
	private static final double TIME_CONSTANT_SECONDS = 4;

	private static final double FORGOTTEN_RATE = 0.005;

	private final MonotonicClock clock;

	private final Map<String, Rate> rates = new HashMap<>();

	/**
	 * Creates rates of nothing.
	 * @param clock the clock
	 */
	public ModelRates(MonotonicClock clock) {
		this.clock = clock;
	}

	/**
	 * Notes a request.
	 * @param pool the pool
	 * @param model the model
	 */
	public synchronized void recordRequest(String pool, String model) {
		long now = this.clock.milliseconds();
		Rate rate = this.rates.computeIfAbsent(pool + "/" + model, (key) -> new Rate(now));
		rate.decay(now);
		rate.perSecond += 1 / TIME_CONSTANT_SECONDS;
	}

	/**
	 * Returns the rates.
	 * @return requests a second by pool and model
	 */
	public synchronized Map<String, Double> requestsPerSecond() {
		long now = this.clock.milliseconds();
		Map<String, Double> result = new HashMap<>();
		this.rates.values().removeIf((rate) -> {
			rate.decay(now);
			return rate.perSecond < FORGOTTEN_RATE;
		});
		this.rates.forEach((key, rate) -> result.put(key, Math.round(rate.perSecond * 1_000) / 1_000.0));
		return result;
	}

	/** A rate and when it was valid, guarded by the lock of the rates. */
	private static final class Rate {

		private double perSecond;

		private long at;

		private Rate(long at) {
			this.at = at;
		}

		private void decay(long now) {
			this.perSecond *= Math.exp(-(now - this.at) / 1_000.0 / TIME_CONSTANT_SECONDS);
			this.at = now;
		}

	}

}

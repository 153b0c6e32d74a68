package org.masticshelf.serving.request;

import java.util.HashMap;
import java.util.Map;

import org.masticshelf.kernel.time.MonotonicClock;
import org.masticshelf.serving.peer.RateKeys;

/**
 * Tracks the request rate of each model, and the prompt tokens that requests for it have,
 * as exponentially decaying averages. Thread-safe.
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
	 * @param promptTokens the tokens of its prompt, not positive if they are unknown or
	 * no route of the pool states an allowed pause
	 */
	public synchronized void recordRequest(String pool, String model, long promptTokens) {
		long now = this.clock.milliseconds();
		Rate rate = this.rates.computeIfAbsent(RateKeys.ofRequests(pool, model), (key) -> new Rate(now));
		rate.decay(now);
		rate.requestsPerSecond += 1 / TIME_CONSTANT_SECONDS;
		rate.promptTokensPerSecond += Math.max(0, promptTokens) / TIME_CONSTANT_SECONDS;
	}

	/**
	 * Returns the current request rates.
	 * @return requests per second by the keys of {@link RateKeys}
	 */
	public synchronized Map<String, Double> requestsPerSecond() {
		decayAll();
		Map<String, Double> result = new HashMap<>();
		this.rates.forEach((key, rate) -> result.put(key, Math.round(rate.requestsPerSecond * 1_000) / 1_000.0));
		return result;
	}

	/**
	 * Returns the current rates.
	 * @return requests per second and, if above 0, prompt tokens per second by the keys
	 * of {@link RateKeys}
	 */
	public synchronized Map<String, Double> requestsAndTokensPerSecond() {
		Map<String, Double> result = requestsPerSecond();
		this.rates.forEach((key, rate) -> {
			if (rate.promptTokensPerSecond > 0) {
				result.put(RateKeys.ofPromptTokens(key), Math.round(rate.promptTokensPerSecond * 10) / 10.0);
			}
		});
		return result;
	}

	private void decayAll() {
		long now = this.clock.milliseconds();
		this.rates.values().removeIf((rate) -> {
			rate.decay(now);
			return rate.requestsPerSecond < MINIMUM_REQUESTS_PER_SECOND;
		});
	}

	/**
	 * The rates of a model and the time of their last update, guarded by the lock of the
	 * enclosing instance.
	 */
	private static final class Rate {

		private double requestsPerSecond;

		private double promptTokensPerSecond;

		private long updatedAt;

		private Rate(long updatedAt) {
			this.updatedAt = updatedAt;
		}

		private void decay(long now) {
			double remaining = Math.exp(-(now - this.updatedAt) / 1_000.0 / TIME_CONSTANT_SECONDS);
			this.requestsPerSecond *= remaining;
			this.promptTokensPerSecond *= remaining;
			this.updatedAt = now;
		}

	}

}

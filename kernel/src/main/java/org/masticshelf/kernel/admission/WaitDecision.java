package org.masticshelf.kernel.admission;

/**
 * Decides whether a request continues to wait for an endpoint.
 * <p>
 * When more cold models are requested than can be loaded within the time that callers
 * have, a request whose model cannot be ready in time is refused as soon as that is
 * known, with the time at which the model will be ready. Stateless and thread-safe.
 */
public sealed interface WaitDecision {

	/**
	 * The share of its time limit that a request waits while no estimate is available.
	 */
	double WAIT_SHARE_WITHOUT_ESTIMATE = 0.5;

	/** The minimum time after which a caller is told to retry. */
	long MINIMUM_RETRY_AFTER_MILLISECONDS = 200;

	/** The time after which a caller is told to retry while no estimate is available. */
	long RETRY_AFTER_WITHOUT_ESTIMATE_MILLISECONDS = 2_000;

	/**
	 * Decides on a request that cannot be sent now.
	 * @param waitedMilliseconds how long it has waited
	 * @param limitMilliseconds the time from its arrival by which its answer must begin
	 * @param readyInMilliseconds the expected time until what it needs is ready, negative
	 * if unknown
	 * @param firstOutputMilliseconds how long an endpoint takes to begin an answer
	 * @return the decision
	 */
	static WaitDecision decide(long waitedMilliseconds, long limitMilliseconds, long readyInMilliseconds,
			long firstOutputMilliseconds) {
		long remaining = limitMilliseconds - waitedMilliseconds - firstOutputMilliseconds;
		if (readyInMilliseconds >= 0) {
			return (readyInMilliseconds <= remaining) ? new Wait(remaining)
					: new Refuse(Math.max(MINIMUM_RETRY_AFTER_MILLISECONDS, readyInMilliseconds));
		}
		long remainingWithoutEstimate = (long) (limitMilliseconds * WAIT_SHARE_WITHOUT_ESTIMATE) - waitedMilliseconds;
		return (Math.min(remaining, remainingWithoutEstimate) > 0)
				? new Wait(Math.min(remaining, remainingWithoutEstimate))
				: new Refuse(RETRY_AFTER_WITHOUT_ESTIMATE_MILLISECONDS);
	}

	/**
	 * The request waits.
	 *
	 * @param milliseconds the time until the next decision at the latest
	 */
	record Wait(long milliseconds) implements WaitDecision {
	}

	/**
	 * The request is refused; it has not run.
	 *
	 * @param retryAfterMilliseconds the time after which the caller may retry
	 */
	record Refuse(long retryAfterMilliseconds) implements WaitDecision {
	}

}

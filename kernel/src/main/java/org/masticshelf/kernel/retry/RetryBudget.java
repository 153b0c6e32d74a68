package org.masticshelf.kernel.retry;

/**
 * Bounds retries to a share of requests, and permits none while most exchanges fail.
 * <p>
 * Invariant: the number of granted retries never exceeds the reserve plus
 * {@link #RETRIES_PER_REQUEST} of the requests so far. Not safe for use by several
 * threads; guarded by the lock of its shard.
 */
public final class RetryBudget {

	/** Retries that each request pays for. */
	public static final double RETRIES_PER_REQUEST = 0.1;

	/** The retries that can be saved up, and the ones that a new budget holds. */
	public static final double RESERVE_RETRIES = 5;

	/** The smoothed share of failed exchanges above which no retry is granted. */
	public static final double STORM_FAILED_SHARE = 0.5;

	private static final double SMOOTHING = 0.05;

	private double retries = RESERVE_RETRIES;

	private double failedShare;

	/** Notes a new request, which pays for a share of a retry. */
	public void recordRequest() {
		this.retries = Math.min(this.retries + RETRIES_PER_REQUEST, RESERVE_RETRIES);
	}

	/** Notes an exchange with an endpoint that brought a whole answer. */
	public void recordSuccess() {
		this.failedShare -= SMOOTHING * this.failedShare;
	}

	/** Notes an exchange with an endpoint that brought none. */
	public void recordFailure() {
		this.failedShare += SMOOTHING * (1 - this.failedShare);
	}

	/**
	 * Returns whether most exchanges fail.
	 * @return whether retries would only add load
	 */
	public boolean isMostlyFailing() {
		return this.failedShare > STORM_FAILED_SHARE;
	}

	/**
	 * Takes one retry from the budget.
	 * @return whether the retry is permitted
	 */
	public boolean tryAcquire() {
		if (isMostlyFailing() || this.retries < 1) {
			return false;
		}
		this.retries--;
		return true;
	}

}

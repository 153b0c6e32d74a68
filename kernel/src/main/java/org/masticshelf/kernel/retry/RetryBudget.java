package org.masticshelf.kernel.retry;

/**
 * Limits retries to a share of the requests, and permits none while most exchanges fail.
 * <p>
 * Invariant: the number of permitted retries never exceeds {@link #RESERVE_RETRIES} plus
 * {@link #RETRIES_PER_REQUEST} for each request so far. Not thread-safe; guarded by the
 * lock of its shard.
 */
public final class RetryBudget {

	/** The retries that each request adds to the budget. */
	public static final double RETRIES_PER_REQUEST = 0.1;

	/** The maximum and initial number of retries in the budget. */
	public static final double RESERVE_RETRIES = 5;

	/** The smoothed share of failed exchanges above which no retry is permitted. */
	public static final double MAXIMUM_FAILED_SHARE = 0.5;

	private static final double SMOOTHING = 0.05;

	private double availableRetries = RESERVE_RETRIES;

	private double failedShare;

	/** Records a new request, which adds a fraction of a retry to the budget. */
	public void recordRequest() {
		this.availableRetries = Math.min(this.availableRetries + RETRIES_PER_REQUEST, RESERVE_RETRIES);
	}

	/** Records an exchange with an endpoint that returned a complete answer. */
	public void recordSuccess() {
		this.failedShare -= SMOOTHING * this.failedShare;
	}

	/** Records an exchange with an endpoint that did not return a complete answer. */
	public void recordFailure() {
		this.failedShare += SMOOTHING * (1 - this.failedShare);
	}

	/**
	 * Returns whether most exchanges fail.
	 * @return whether retries would only add load
	 */
	public boolean isMostlyFailing() {
		return this.failedShare > MAXIMUM_FAILED_SHARE;
	}

	/**
	 * Takes one retry from the budget if permitted.
	 * @return whether the retry is permitted
	 */
	public boolean tryAcquire() {
		if (isMostlyFailing() || this.availableRetries < 1) {
			return false;
		}
		this.availableRetries--;
		return true;
	}

}

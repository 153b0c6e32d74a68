package org.masticshelf.kernel.queue;

/**
 * A smoothed rate of dispatches, measured only while a single resource limits them: full
 * endpoints for a lane, tokens of the grant for an organisation.
 * <p>
 * Not thread-safe; guarded by the lock of the queue's shard.
 */
final class ServiceRate {

	private static final long SAMPLE_NANOSECONDS = 200_000_000L;

	private static final double SMOOTHING = 0.3;

	private static final double NANOSECONDS_PER_SECOND = 1e9;

	private boolean measuring;

	private long sampleStart;

	private long sampleTokens;

	private double tokensPerSecond;

	/**
	 * Records that the measured resource limits the dispatches.
	 * @param now the monotonic reading in nanoseconds
	 */
	void recordLimited(long now) {
		if (!this.measuring) {
			this.measuring = true;
			this.sampleStart = now;
			this.sampleTokens = 0;
		}
	}

	/** Records that something else limits the dispatches. */
	void recordUnlimited() {
		this.measuring = false;
	}

	/**
	 * Discards the rate, because it may have changed when the resource limits dispatches
	 * again.
	 */
	void reset() {
		this.measuring = false;
		this.tokensPerSecond = 0;
	}

	/**
	 * Records a dispatch.
	 * @param costTokens its cost in tokens
	 * @param now the monotonic reading in nanoseconds
	 */
	void recordDispatch(long costTokens, long now) {
		if (!this.measuring) {
			return;
		}
		this.sampleTokens += costTokens;
		long elapsedNanoseconds = now - this.sampleStart;
		if (elapsedNanoseconds < SAMPLE_NANOSECONDS) {
			return;
		}
		double sample = this.sampleTokens * NANOSECONDS_PER_SECOND / elapsedNanoseconds;
		this.tokensPerSecond = isKnown() ? this.tokensPerSecond + SMOOTHING * (sample - this.tokensPerSecond) : sample;
		this.sampleStart = now;
		this.sampleTokens = 0;
	}

	/**
	 * Returns whether the rate is known.
	 * @return whether at least one sample was taken
	 */
	boolean isKnown() {
		return this.tokensPerSecond > 0;
	}

	/**
	 * Estimates how long it takes to dispatch a number of tokens.
	 * @param costTokens the cost in tokens
	 * @return nanoseconds, 0 while the rate is unknown
	 */
	long nanosecondsFor(double costTokens) {
		return isKnown() ? (long) (costTokens / this.tokensPerSecond * NANOSECONDS_PER_SECOND) : 0;
	}

}

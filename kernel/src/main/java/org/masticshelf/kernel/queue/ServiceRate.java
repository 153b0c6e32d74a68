package org.masticshelf.kernel.queue;

/**
 * The measured service rate of one lane, counted only while the lane was limited by full
 * endpoints.
 * <p>
 * Not safe for use by several threads; guarded by the lock of the queue's shard.
 */
final class ServiceRate {

	private static final long SAMPLE_NANOSECONDS = 200_000_000L;

	private static final double SMOOTHING = 0.3;

	private static final double NANOSECONDS_PER_SECOND = 1e9;

	private boolean measuring;

	private long since;

	private long tokens;

	private double tokensPerSecond;

	/**
	 * Notes that endpoints were full, so that dispatches show the capacity.
	 * @param now the monotonic reading in nanoseconds
	 */
	void full(long now) {
		if (!this.measuring) {
			this.measuring = true;
			this.since = now;
			this.tokens = 0;
		}
	}

	/** Notes that something other than full endpoints limits the lane. */
	void interrupted() {
		this.measuring = false;
	}

	/**
	 * Notes a dispatch.
	 * @param cost the cost in tokens
	 * @param now the monotonic reading in nanoseconds
	 */
	void dispatched(long cost, long now) {
		if (!this.measuring) {
			return;
		}
		this.tokens += cost;
		long elapsed = now - this.since;
		if (elapsed < SAMPLE_NANOSECONDS) {
			return;
		}
		double sample = this.tokens * NANOSECONDS_PER_SECOND / elapsed;
		this.tokensPerSecond = isKnown() ? this.tokensPerSecond + SMOOTHING * (sample - this.tokensPerSecond) : sample;
		this.since = now;
		this.tokens = 0;
	}

	/**
	 * Returns whether the rate has been measured.
	 * @return whether there was at least one sample
	 */
	boolean isKnown() {
		return this.tokensPerSecond > 0;
	}

	/**
	 * Estimates how long a number of tokens takes.
	 * @param costTokens the cost in tokens
	 * @return nanoseconds, 0 while the rate is unknown
	 */
	long nanosecondsFor(double costTokens) {
		return isKnown() ? (long) (costTokens / this.tokensPerSecond * NANOSECONDS_PER_SECOND) : 0;
	}

}

package org.masticshelf.kernel.queue;

/**
 * A measured rate of dispatches, counted only while one thing limits them: full endpoints
 * for a lane, tokens of the grant for an organisation.
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
	 * Notes that what is measured limits the dispatches.
	 * @param now the monotonic reading in nanoseconds
	 */
	void recordLimited(long now) {
		if (!this.measuring) {
			this.measuring = true;
			this.since = now;
			this.tokens = 0;
		}
	}

	/** Notes that something else limits the dispatches. */
	void recordUnlimited() {
		this.measuring = false;
	}

	/** Forgets the rate, because it may be another when it limits the next time. */
	void reset() {
		this.measuring = false;
		this.tokensPerSecond = 0;
	}

	/**
	 * Notes a dispatch.
	 * @param cost the cost in tokens
	 * @param now the monotonic reading in nanoseconds
	 */
	void recordDispatch(long cost, long now) {
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

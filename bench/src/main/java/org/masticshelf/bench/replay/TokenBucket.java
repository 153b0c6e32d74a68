package org.masticshelf.bench.replay;

/**
 * A token bucket over virtual time.
 * <p>
 * Used by one thread.
 */
final class TokenBucket {

	private static final double NANOSECONDS_PER_SECOND = 1e9;

	private final double tokensPerSecond;

	private final double burst;

	private double level;

	private long updated;

	TokenBucket(double tokensPerSecond, double burst) {
		this.tokensPerSecond = tokensPerSecond;
		this.burst = burst;
		this.level = burst;
	}

	boolean has(double tokens, long now) {
		refill(now);
		return this.level >= tokens;
	}

	boolean tryTake(double tokens, long now) {
		if (!has(tokens, now)) {
			return false;
		}
		this.level -= tokens;
		return true;
	}

	/**
	 * Takes tokens whether or not there are enough.
	 * @param tokens the tokens
	 * @param now the reading
	 * @return the level afterwards, negative if there were not enough
	 */
	double take(double tokens, long now) {
		refill(now);
		this.level -= tokens;
		return this.level;
	}

	void giveBack(double tokens, long now) {
		refill(now);
		this.level = Math.min(this.burst, this.level + tokens);
	}

	long nanosecondsUntil(double tokens, long now) {
		refill(now);
		return (long) (Math.max(0, tokens - this.level) / this.tokensPerSecond * NANOSECONDS_PER_SECOND);
	}

	private void refill(long now) {
		this.level = Math.min(this.burst,
				this.level + (now - this.updated) / NANOSECONDS_PER_SECOND * this.tokensPerSecond);
		this.updated = now;
	}

}

package org.masticshelf.kernel.grant;

/**
 * Implements a token bucket on monotonic time that also accepts credits as of an earlier
 * time.
 * <p>
 * Invariant: the level lies between zero and the capacity. It is kept in billionths of a
 * token, which makes refilling exact, and is rounded down when read. A time before the
 * latest one counts as the latest one. Not thread-safe.
 */
public final class TokenBucket {

	private static final long BILLIONTHS_PER_TOKEN = 1_000_000_000L;

	private final HeadroomHistory history = new HeadroomHistory();

	private long tokensPerSecond;

	private long capacity;

	private long level;

	private long updatedAt;

	/**
	 * Creates an empty bucket.
	 * @param limits the rate at which it fills and its capacity
	 * @param now the time in nanoseconds
	 */
	public TokenBucket(GrantLimits limits, long now) {
		this.tokensPerSecond = limits.tokensPerSecond();
		this.capacity = limits.burstTokens() * BILLIONTHS_PER_TOKEN;
		this.updatedAt = now;
	}

	/**
	 * Fills the bucket up to a time.
	 * @param now the time in nanoseconds
	 */
	public void advance(long now) {
		long elapsed = now - this.updatedAt;
		if (elapsed <= 0) {
			return;
		}
		this.updatedAt = now;
		long missing = Math.max(0, this.capacity) - this.level;
		if (this.tokensPerSecond > 0 && missing > 0) {
			boolean fillsUp = elapsed > missing / this.tokensPerSecond;
			this.level += fillsUp ? missing : this.tokensPerSecond * elapsed;
		}
		this.history.record(now, headroom());
	}

	/**
	 * Returns the whole tokens in the bucket.
	 * @param now the time in nanoseconds
	 * @return the tokens, rounded down
	 */
	public long level(long now) {
		advance(now);
		return this.level / BILLIONTHS_PER_TOKEN;
	}

	/**
	 * Takes tokens if the bucket holds enough.
	 * @param tokens the tokens, not negative
	 * @param now the time in nanoseconds
	 * @return whether they were taken
	 */
	public boolean tryTake(long tokens, long now) {
		if (tokens < 0 || tokens > level(now)) {
			return false;
		}
		this.level -= tokens * BILLIONTHS_PER_TOKEN;
		return true;
	}

	/**
	 * Adds tokens for which the caller has just freed capacity.
	 * @param tokens the tokens, not negative; what does not fit is lost
	 * @param now the time in nanoseconds
	 */
	public void add(long tokens, long now) {
		advance(now);
		long space = Math.max(0, headroom());
		this.level += Math.min(space, Math.max(0, tokens) * BILLIONTHS_PER_TOKEN);
		this.history.record(this.updatedAt, headroom());
	}

	/**
	 * Adds tokens as if they had been in the bucket since an earlier time, as far as it
	 * would not have overflowed in the meantime.
	 * @param tokens the tokens, not negative
	 * @param since the earlier time in nanoseconds
	 * @param now the time in nanoseconds
	 * @return the tokens that were added, rounded down
	 */
	public long credit(long tokens, long since, long now) {
		advance(now);
		long minimumHeadroom = Math.max(0, this.history.minimumSince(since, headroom()));
		long credited = Math.min(Math.max(0, tokens), minimumHeadroom / BILLIONTHS_PER_TOKEN);
		this.level += credited * BILLIONTHS_PER_TOKEN;
		this.history.applyCredit(since, credited * BILLIONTHS_PER_TOKEN);
		this.history.record(this.updatedAt, headroom());
		return credited;
	}

	/**
	 * Changes rate and capacity from now on; tokens above the new capacity are lost and
	 * none are added.
	 * @param newTokensPerSecond the rate in tokens a second
	 * @param newCapacityTokens the capacity in tokens; with a negative one the bucket
	 * stays empty until later increases have made up for it
	 * @param now the time in nanoseconds
	 */
	public void resize(long newTokensPerSecond, long newCapacityTokens, long now) {
		advance(now);
		this.tokensPerSecond = newTokensPerSecond;
		this.capacity = newCapacityTokens * BILLIONTHS_PER_TOKEN;
		this.level = Math.min(this.level, Math.max(0, this.capacity));
		this.history.record(this.updatedAt, headroom());
	}

	/**
	 * Empties the bucket.
	 * @param now the time in nanoseconds
	 * @return the whole tokens that were in it
	 */
	public long drain(long now) {
		long tokens = level(now);
		this.level = 0;
		return tokens;
	}

	/**
	 * Returns when the bucket will hold a number of tokens if none are taken.
	 * @param tokens the tokens
	 * @param now the time in nanoseconds
	 * @return the time in nanoseconds, or {@link Long#MAX_VALUE} for never
	 */
	public long availableAt(long tokens, long now) {
		advance(now);
		long missing = tokens * BILLIONTHS_PER_TOKEN - this.level;
		if (missing <= 0) {
			return now;
		}
		if (this.tokensPerSecond == 0 || tokens * BILLIONTHS_PER_TOKEN > this.capacity) {
			return Long.MAX_VALUE;
		}
		return now + missing / this.tokensPerSecond + 1;
	}

	private long headroom() {
		return this.capacity - this.level;
	}

}

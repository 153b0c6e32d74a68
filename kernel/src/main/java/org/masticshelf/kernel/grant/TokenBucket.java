package org.masticshelf.kernel.grant;

/**
 * A token bucket on monotonic time that can tell how much of a late credit still fits.
 * <p>
 * Invariant: the level lies between zero and the capacity; it is kept in billionths of a
 * token, which makes refilling exact, and is rounded down when asked for. A time before
 * the last one counts as the last one. Not safe for use by several threads.
 */
public final class TokenBucket {

	private static final long BILLION = 1_000_000_000L;

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
		this.capacity = limits.burstTokens() * BILLION;
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
			boolean full = elapsed > missing / this.tokensPerSecond;
			this.level += full ? missing : this.tokensPerSecond * elapsed;
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
		return this.level / BILLION;
	}

	/**
	 * Takes tokens if there are enough.
	 * @param tokens the tokens, not negative
	 * @param now the time in nanoseconds
	 * @return whether they were taken
	 */
	public boolean tryTake(long tokens, long now) {
		if (tokens < 0 || tokens > level(now)) {
			return false;
		}
		this.level -= tokens * BILLION;
		return true;
	}

	/**
	 * Adds tokens that the caller has just freed capacity for.
	 * @param tokens the tokens, not negative; what does not fit is lost
	 * @param now the time in nanoseconds
	 */
	public void add(long tokens, long now) {
		advance(now);
		long space = Math.max(0, headroom());
		this.level += Math.min(space, Math.max(0, tokens) * BILLION);
		this.history.record(this.updatedAt, headroom());
	}

	/**
	 * Adds tokens that should have been here since an earlier time, as far as the bucket
	 * would not have overflowed meanwhile.
	 * @param tokens the tokens, not negative
	 * @param since the earlier time in nanoseconds
	 * @param now the time in nanoseconds
	 * @return the tokens that were added, rounded down
	 */
	public long credit(long tokens, long since, long now) {
		advance(now);
		long least = Math.max(0, this.history.minimumSince(since, headroom()));
		long credited = Math.min(Math.max(0, tokens), least / BILLION);
		this.level += credited * BILLION;
		this.history.applyCredit(since, credited * BILLION);
		this.history.record(this.updatedAt, headroom());
		return credited;
	}

	/**
	 * Changes rate and capacity from now on; tokens above the capacity are lost and none
	 * are added.
	 * @param newTokensPerSecond the rate in tokens a second
	 * @param newCapacity the capacity in tokens; a negative one holds nothing and has to
	 * be made up for before the bucket fills again
	 * @param now the time in nanoseconds
	 */
	public void resize(long newTokensPerSecond, long newCapacity, long now) {
		advance(now);
		this.tokensPerSecond = newTokensPerSecond;
		this.capacity = newCapacity * BILLION;
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
	 * Returns when a number of tokens will be there if none are taken.
	 * @param tokens the tokens
	 * @param now the time in nanoseconds
	 * @return the time in nanoseconds, or {@link Long#MAX_VALUE} for never
	 */
	public long availableAt(long tokens, long now) {
		advance(now);
		long missing = tokens * BILLION - this.level;
		if (missing <= 0) {
			return now;
		}
		if (this.tokensPerSecond == 0 || tokens * BILLION > this.capacity) {
			return Long.MAX_VALUE;
		}
		return now + missing / this.tokensPerSecond + 1;
	}

	private long headroom() {
		return this.capacity - this.level;
	}

}

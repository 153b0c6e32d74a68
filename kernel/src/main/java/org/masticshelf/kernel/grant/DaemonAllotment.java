package org.masticshelf.kernel.grant;

import org.jspecify.annotations.Nullable;

/**
 * Represents a daemon's standing allotment, which is spent only while it is not on loan
 * to the keeper.
 * <p>
 * Invariant: nothing is spent before every loan that was ever offered has ended and the
 * slices that the keeper may have given out from it have expired; the bucket starts
 * empty, also after each loan. Not thread-safe.
 */
final class DaemonAllotment {

	private GrantLimits limits;

	private long partsPerMillion;

	private long usableFrom;

	private long endsAt;

	private @Nullable TokenBucket bucket;

	DaemonAllotment(GrantLimits limits) {
		this.limits = limits;
	}

	/**
	 * Updates the allotment from the keeper's answer.
	 * @param newPartsPerMillion the share in parts per million, 0 for none
	 * @param end until when it may be used, in nanoseconds
	 * @param now the time in nanoseconds
	 */
	void update(long newPartsPerMillion, long end, long now) {
		if (this.partsPerMillion == 0) {
			this.usableFrom = Math.max(this.usableFrom, now);
		}
		if (newPartsPerMillion != this.partsPerMillion) {
			this.bucket = null;
		}
		this.partsPerMillion = newPartsPerMillion;
		this.endsAt = end;
	}

	/**
	 * Changes the limits, without refilling.
	 * @param newLimits the rate and burst of the organisation
	 * @param now the time in nanoseconds
	 */
	void changeLimits(GrantLimits newLimits, long now) {
		this.limits = newLimits;
		if (this.bucket != null) {
			GrantLimits share = newLimits.toShare(this.partsPerMillion);
			this.bucket.resize(share.tokensPerSecond(), share.burstTokens(), now);
		}
	}

	/**
	 * Lends the allotment to the keeper.
	 * @param end when the loan ends at the latest, in nanoseconds
	 * @param now the time in nanoseconds
	 * @return the tokens that it held, to be credited to the keeper
	 */
	long lend(long end, long now) {
		TokenBucket usable = usableBucket(now);
		this.usableFrom = Math.max(this.usableFrom, end + GrantParameters.SLICE_LIFETIME_NANOSECONDS);
		this.bucket = null;
		return (usable != null) ? usable.drain(now) : 0;
	}

	/**
	 * Returns whether the daemon has an allotment that has not expired, on loan or not.
	 * @param now the time in nanoseconds
	 * @return whether it can be lent
	 */
	boolean isHeld(long now) {
		return this.partsPerMillion > 0 && now < this.endsAt;
	}

	/**
	 * Returns the bucket to spend from.
	 * @param now the time in nanoseconds
	 * @return the bucket, or {@code null} while the allotment is on loan, expired or
	 * absent
	 */
	@Nullable TokenBucket usableBucket(long now) {
		if (!isHeld(now) || now < this.usableFrom) {
			return null;
		}
		if (this.bucket == null) {
			this.bucket = new TokenBucket(this.limits.toShare(this.partsPerMillion), this.usableFrom);
		}
		return this.bucket;
	}

	/**
	 * Returns when tokens will be available from the allotment alone.
	 * @param tokens the tokens
	 * @param now the time in nanoseconds
	 * @return the time in nanoseconds, or {@link Long#MAX_VALUE} for never
	 */
	long availableAt(long tokens, long now) {
		if (!isHeld(now)) {
			return Long.MAX_VALUE;
		}
		TokenBucket usable = usableBucket(now);
		if (usable != null) {
			return usable.availableAt(tokens, now);
		}
		return new TokenBucket(this.limits.toShare(this.partsPerMillion), this.usableFrom).availableAt(tokens,
				this.usableFrom);
	}

}

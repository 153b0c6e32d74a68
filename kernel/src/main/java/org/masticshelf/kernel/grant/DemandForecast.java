package org.masticshelf.kernel.grant;

/**
 * Estimates how many tokens an organisation will request at one daemon in the near
 * future, from an exponentially decaying average.
 * <p>
 * Not thread-safe.
 */
final class DemandForecast {

	private static final double DECAY_TIME_NANOSECONDS = 500_000_000.0;

	private double tokensPerNanosecond;

	private long updatedAt;

	private long lastDemandAt;

	DemandForecast(long now) {
		this.updatedAt = now;
		this.lastDemandAt = now - GrantParameters.ACTIVITY_TIMEOUT_NANOSECONDS;
	}

	/**
	 * Records a demand.
	 * @param tokens the requested tokens
	 * @param now the time in nanoseconds
	 */
	void add(long tokens, long now) {
		decay(now);
		this.tokensPerNanosecond += tokens / DECAY_TIME_NANOSECONDS;
		this.lastDemandAt = now;
	}

	/**
	 * Returns the tokens expected in a period that begins now.
	 * @param periodNanoseconds the length of the period
	 * @param now the time in nanoseconds
	 * @return the expected tokens, rounded down
	 */
	long expectedTokens(long periodNanoseconds, long now) {
		decay(now);
		return (long) (this.tokensPerNanosecond * periodNanoseconds);
	}

	/**
	 * Returns whether there was recent demand.
	 * @param now the time in nanoseconds
	 * @return whether the organisation counts as active at this daemon
	 */
	boolean isActive(long now) {
		return now - this.lastDemandAt < GrantParameters.ACTIVITY_TIMEOUT_NANOSECONDS;
	}

	private void decay(long now) {
		if (now > this.updatedAt) {
			this.tokensPerNanosecond *= Math.exp((this.updatedAt - now) / DECAY_TIME_NANOSECONDS);
			this.updatedAt = now;
		}
	}

}

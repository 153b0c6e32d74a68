package org.masticshelf.kernel.grant;

/**
 * How many tokens an organisation is likely to ask for at one daemon in the near future.
 * <p>
 * Not safe for use by several threads.
 */
final class DemandForecast {

	private static final double SMOOTHING_NANOSECONDS = 500_000_000.0;

	private double tokensPerNanosecond;

	private long updatedAt;

	private long lastDemandAt;

	DemandForecast(long now) {
		this.updatedAt = now;
		this.lastDemandAt = now - GrantParameters.ACTIVITY_TIMEOUT_NANOSECONDS;
	}

	/**
	 * Notes a demand.
	 * @param tokens the tokens asked for
	 * @param now the time in nanoseconds
	 */
	void add(long tokens, long now) {
		decay(now);
		this.tokensPerNanosecond += tokens / SMOOTHING_NANOSECONDS;
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
	 * Returns whether there was demand lately.
	 * @param now the time in nanoseconds
	 * @return whether the organisation counts as active at this daemon
	 */
	boolean isActive(long now) {
		return now - this.lastDemandAt < GrantParameters.ACTIVITY_TIMEOUT_NANOSECONDS;
	}

	private void decay(long now) {
		if (now > this.updatedAt) {
			this.tokensPerNanosecond *= Math.exp((this.updatedAt - now) / SMOOTHING_NANOSECONDS);
			this.updatedAt = now;
		}
	}

}

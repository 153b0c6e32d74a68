package org.masticshelf.kernel.grant;

import org.masticshelf.kernel.configuration.Organisation;

/**
 * Holds the rate and burst that apply to all daemons together: any window uses at most
 * {@code tokensPerSecond} times its length plus {@code burstTokens}.
 * <p>
 * Immutable.
 *
 * @param tokensPerSecond the rate in tokens a second, from 0 to {@link #MAXIMUM_TOKENS}
 * @param burstTokens the burst in tokens, from 0 to {@link #MAXIMUM_TOKENS}
 */
public record GrantLimits(long tokensPerSecond, long burstTokens) {

	/**
	 * The largest rate and burst that the arithmetic in billionths of a token supports.
	 */
	public static final long MAXIMUM_TOKENS = 1_000_000_000L;

	private static final long PARTS_PER_WHOLE = 1_000_000L;

	/**
	 * Creates limits.
	 */
	public GrantLimits {
		tokensPerSecond = Math.clamp(tokensPerSecond, 0, MAXIMUM_TOKENS);
		burstTokens = Math.clamp(burstTokens, 0, MAXIMUM_TOKENS);
	}

	/**
	 * Returns the limits of an organisation.
	 * @param organisation the organisation
	 * @return its rate and burst
	 */
	public static GrantLimits of(Organisation organisation) {
		return new GrantLimits(organisation.tokensPerSecond(), organisation.burstTokens());
	}

	/**
	 * Returns a share of both limits, rounded down.
	 * @param partsPerMillion the share in parts per million
	 * @return the share
	 */
	public GrantLimits toShare(long partsPerMillion) {
		return new GrantLimits(this.tokensPerSecond * partsPerMillion / PARTS_PER_WHOLE,
				this.burstTokens * partsPerMillion / PARTS_PER_WHOLE);
	}

	/**
	 * Returns both limits reduced by a share, rounded down.
	 * @param partsPerMillion the share in parts per million
	 * @return the remaining limits
	 */
	public GrantLimits withoutShare(long partsPerMillion) {
		return toShare(Math.max(0, PARTS_PER_WHOLE - partsPerMillion));
	}

}

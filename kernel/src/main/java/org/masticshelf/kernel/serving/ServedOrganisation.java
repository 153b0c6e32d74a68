package org.masticshelf.kernel.serving;

import java.util.Set;

import org.jspecify.annotations.Nullable;

/**
 * An organisation and its grant over all daemons. Immutable.
 *
 * @param name the name that is passed to endpoints
 * @param priority the priority of its requests, {@code null} to use that of the route
 * @param inTokens whether rate and burst count tokens instead of requests
 * @param ratePerSecond the rate, 0 for no limit
 * @param burst the amount that may be spent at once in addition to the rate
 * @param plainTokens the tokens that a request without a token count is charged
 * @param allowedRegions the regions whose endpoints may serve its requests, empty for all
 */
public record ServedOrganisation(String name, @Nullable Integer priority, boolean inTokens, double ratePerSecond,
		double burst, long plainTokens, Set<String> allowedRegions) {

	/** Creates an organisation. */
	public ServedOrganisation {
		allowedRegions = Set.copyOf(allowedRegions);
	}

	/**
	 * Creates an organisation that all regions may serve.
	 * @param name the name that is passed to endpoints
	 * @param priority the priority of its requests, {@code null} to use that of the route
	 * @param inTokens whether rate and burst count tokens instead of requests
	 * @param ratePerSecond the rate, 0 for no limit
	 * @param burst the amount that may be spent at once in addition to the rate
	 * @param plainTokens the tokens that a request without a token count is charged
	 */
	public ServedOrganisation(String name, @Nullable Integer priority, boolean inTokens, double ratePerSecond,
			double burst, long plainTokens) {
		this(name, priority, inTokens, ratePerSecond, burst, plainTokens, Set.of());
	}

	/**
	 * Returns the cost of a request.
	 * @param tokens the token count of the request, negative if unknown
	 * @return the cost in the unit of the grant
	 */
	public double cost(long tokens) {
		if (!this.inTokens) {
			return 1;
		}
		return (tokens >= 0) ? tokens : this.plainTokens;
	}

}

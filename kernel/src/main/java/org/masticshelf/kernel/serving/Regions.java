package org.masticshelf.kernel.serving;

import java.util.Map;
import java.util.Set;

import org.jspecify.annotations.Nullable;

/**
 * Decides which failure domains may serve a request whose route or organisation names the
 * allowed regions.
 * <p>
 * Designed for load that must not leave its region while that region has no endpoint. A
 * failure domain without a region lies in no allowed one. Without any mapping nothing is
 * restricted. Immutable and thread-safe.
 *
 * @param byDomain the region of each failure domain
 */
public record Regions(Map<String, String> byDomain) {

	/** No failure domain has a region. */
	public static final Regions NONE = new Regions(Map.of());

	/** Creates a mapping. */
	public Regions {
		byDomain = Map.copyOf(byDomain);
	}

	/**
	 * Returns whether requests are restricted to some regions.
	 * @param route their route
	 * @param organisation the organisation that pays, {@code null} on an open route
	 * @return whether one of the two names regions
	 */
	public boolean restrict(ServedRoute route, @Nullable ServedOrganisation organisation) {
		return !this.byDomain.isEmpty() && (!route.allowedRegions().isEmpty()
				|| (organisation != null && !organisation.allowedRegions().isEmpty()));
	}

	/**
	 * Returns whether an endpoint may serve a request. Where route and organisation name
	 * regions, both bind.
	 * @param domain the failure domain of the endpoint
	 * @param route the route of the request
	 * @param organisation the organisation that pays, {@code null} on an open route
	 * @return whether the failure domain lies in an allowed region
	 */
	public boolean allow(String domain, ServedRoute route, @Nullable ServedOrganisation organisation) {
		return !restrict(route, organisation) || (isIn(domain, route.allowedRegions())
				&& (organisation == null || isIn(domain, organisation.allowedRegions())));
	}

	private boolean isIn(String domain, Set<String> allowed) {
		String region = this.byDomain.get(domain);
		return allowed.isEmpty() || (region != null && allowed.contains(region));
	}

}

package org.masticshelf.kernel.access;

import java.util.List;

import org.jspecify.annotations.Nullable;

import org.masticshelf.kernel.configuration.Configuration;
import org.masticshelf.kernel.configuration.Organisation;
import org.masticshelf.kernel.configuration.OrganisationKey;
import org.masticshelf.kernel.configuration.Pool;
import org.masticshelf.kernel.configuration.QualifiedName;
import org.masticshelf.kernel.configuration.Route;
import org.masticshelf.kernel.refusal.Refusal;

/**
 * Decides about access by key. Stateless.
 * <p>
 * Invariant: except on a route open to all, a request is granted only for the
 * organisation of a key that is neither unknown nor expired nor withdrawn, only on routes
 * of the organisation's workshop, and only while keys can be trusted.
 */
public enum AccessPolicy {

	/** The only instance. */
	INSTANCE;

	/**
	 * Decides about a request.
	 * @param configuration the configuration in force
	 * @param claim what came with the request
	 * @param keysTrusted whether knowledge about withdrawn keys is fresh enough
	 * @param epochSeconds the time of day in seconds since 1970, for expiry
	 * @return the decision
	 */
	public AccessDecision decide(Configuration configuration, Claim claim, boolean keysTrusted, long epochSeconds) {
		Organisation organisation = null;
		if (claim.keyDigest() != null) {
			organisation = organisationOf(configuration, claim.keyDigest(), epochSeconds);
		}
		Route route = find(configuration, claim.name(), organisation);
		if (route != null && route.access() == Route.Access.OPEN) {
			return grant(configuration, route, null);
		}
		if (claim.keyDigest() == null) {
			return new AccessDecision.Denied(Refusal.Reason.KEY_MISSING, claim.name());
		}
		if (!keysTrusted) {
			return new AccessDecision.Denied(Refusal.Reason.ISOLATED, claim.name());
		}
		if (organisation == null) {
			return new AccessDecision.Denied(Refusal.Reason.KEY_REJECTED, claim.name());
		}
		if (route == null || !route.name().workshop().equals(organisation.name().workshop())) {
			return new AccessDecision.Denied(Refusal.Reason.ROUTE_UNKNOWN, claim.name());
		}
		return grant(configuration, route, organisation);
	}

	/**
	 * Lists the routes that a request may name.
	 * @param configuration the configuration in force
	 * @param keyDigest the digest of the key, or {@code null} without one
	 * @param epochSeconds the time of day in seconds since 1970, for expiry
	 * @return the routes of the key's workshop and those open to all
	 */
	public List<Route> visibleRoutes(Configuration configuration, @Nullable String keyDigest, long epochSeconds) {
		Organisation organisation = (keyDigest != null) ? organisationOf(configuration, keyDigest, epochSeconds) : null;
		return configuration.tables()
			.routes()
			.stream()
			.filter((route) -> route.access() == Route.Access.OPEN
					|| (organisation != null && route.name().workshop().equals(organisation.name().workshop())))
			.toList();
	}

	/**
	 * Finds the organisation of a key that may be used.
	 * @param configuration the configuration in force
	 * @param keyDigest the digest of the key
	 * @param epochSeconds the time of day in seconds since 1970
	 * @return the organisation or {@code null} if the key may not be used
	 */
	public @Nullable Organisation organisationOf(Configuration configuration, String keyDigest, long epochSeconds) {
		OrganisationKey key = configuration.findKey(keyDigest);
		if (key == null || key.withdrawn()) {
			return null;
		}
		if (key.expiresAtEpochSeconds() != 0 && key.expiresAtEpochSeconds() <= epochSeconds) {
			return null;
		}
		return configuration.findOrganisation(key.organisation());
	}

	private static @Nullable Route find(Configuration configuration, String name, @Nullable Organisation organisation) {
		try {
			if (name.contains("/")) {
				return configuration.findRoute(QualifiedName.of(name));
			}
			return (organisation != null)
					? configuration.findRoute(new QualifiedName(organisation.name().workshop(), name)) : null;
		}
		catch (IllegalArgumentException ex) {
			return null;
		}
	}

	private static AccessDecision grant(Configuration configuration, Route route, @Nullable Organisation organisation) {
		Pool pool = configuration.findPool(route.pool());
		if (pool == null) {
			return new AccessDecision.Denied(Refusal.Reason.ROUTE_UNKNOWN, route.name().toString());
		}
		return new AccessDecision.Granted(route, pool, organisation);
	}

	/**
	 * What came with a request.
	 *
	 * @param keyDigest the digest of its key, or {@code null} without one
	 * @param name the route that it names, qualified by a workshop or not
	 */
	public record Claim(@Nullable String keyDigest, String name) {
	}

}

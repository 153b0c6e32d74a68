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
 * Decides on access to routes by organisation key. Stateless.
 * <p>
 * Invariant: except on a route open to all, access is granted only to the organisation of
 * a key that is known, not expired and not withdrawn, only to routes of the
 * organisation's workshop, and only while keys can be trusted.
 */
public enum AccessPolicy {

	/** The only instance. */
	INSTANCE;

	/**
	 * Decides on a request.
	 * @param configuration the configuration in force
	 * @param request the key and the route name of the request
	 * @param keysTrusted whether the knowledge of withdrawn keys is fresh enough
	 * @param epochSeconds the time in seconds since the epoch, for expiry
	 * @return the decision
	 */
	public AccessDecision decide(Configuration configuration, Request request, boolean keysTrusted, long epochSeconds) {
		Organisation organisation = null;
		if (request.keyDigest() != null) {
			organisation = organisationOf(configuration, request.keyDigest(), epochSeconds);
		}
		Route route = findRoute(configuration, request.name(), organisation);
		if (route != null && route.access() == Route.Access.OPEN) {
			return permit(configuration, route, null);
		}
		if (request.keyDigest() == null) {
			return new AccessDecision.Denied(Refusal.Reason.KEY_MISSING, request.name());
		}
		if (!keysTrusted) {
			return new AccessDecision.Denied(Refusal.Reason.ISOLATED, request.name());
		}
		if (organisation == null) {
			return new AccessDecision.Denied(Refusal.Reason.KEY_REJECTED, request.name());
		}
		if (route == null || !route.name().workshop().equals(organisation.name().workshop())) {
			return new AccessDecision.Denied(Refusal.Reason.ROUTE_UNKNOWN, request.name());
		}
		return permit(configuration, route, organisation);
	}

	/**
	 * Returns the routes that a request may name.
	 * @param configuration the configuration in force
	 * @param keyDigest the digest of the key, or {@code null} without one
	 * @param epochSeconds the time in seconds since the epoch, for expiry
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
	 * Returns the organisation of a valid key.
	 * @param configuration the configuration in force
	 * @param keyDigest the digest of the key
	 * @param epochSeconds the time in seconds since the epoch, for expiry
	 * @return the organisation or {@code null} if the key is unknown, withdrawn or
	 * expired
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

	private static @Nullable Route findRoute(Configuration configuration, String name,
			@Nullable Organisation organisation) {
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

	private static AccessDecision permit(Configuration configuration, Route route,
			@Nullable Organisation organisation) {
		Pool pool = configuration.findPool(route.pool());
		if (pool == null) {
			return new AccessDecision.Denied(Refusal.Reason.ROUTE_UNKNOWN, route.name().toString());
		}
		return new AccessDecision.Granted(route, pool, organisation);
	}

	/**
	 * Holds what a request contains about access.
	 *
	 * @param keyDigest the digest of the key, or {@code null} without one
	 * @param name the route that it names, qualified by a workshop or not
	 */
	public record Request(@Nullable String keyDigest, String name) {
	}

}

package org.masticshelf.kernel.serving;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

import org.jspecify.annotations.Nullable;

/**
 * One version of the tables of routes, pools and organisations. Immutable.
 * <p>
 * Invariant: the routes of a host are sorted by descending length of their prefix.
 */
public final class ServedTables {

	private final long version;

	private final Map<String, List<ServedRoute>> routesByHost = new HashMap<>();

	private final Map<String, Long> allowedPauses = new HashMap<>();

	private final Map<String, ServedPool> pools;

	private final Map<String, ServedOrganisation> organisations;

	private final Map<String, Set<Integer>> prioritiesByPool = new HashMap<>();

	private final boolean keysRequired;

	private final Limits limits;

	/**
	 * Creates tables.
	 * @param version the version, higher for later tables
	 * @param routes all routes
	 * @param pools the pools by name
	 * @param organisations the organisations by key
	 * @param keysRequired whether routes that are not open require a key
	 * @param limits the limits on requests of callers
	 */
	public ServedTables(long version, List<ServedRoute> routes, Map<String, ServedPool> pools,
			Map<String, ServedOrganisation> organisations, boolean keysRequired, Limits limits) {
		this.version = version;
		this.pools = Map.copyOf(pools);
		this.organisations = Map.copyOf(organisations);
		this.keysRequired = keysRequired;
		this.limits = limits;
		for (ServedRoute route : routes) {
			this.routesByHost.computeIfAbsent(route.host(), (host) -> new ArrayList<>()).add(route);
			route.targets()
				.forEach((target) -> this.prioritiesByPool.computeIfAbsent(target.pool(), (name) -> new HashSet<>())
					.add(route.priority()));
			if (route.gapObjectiveMilliseconds() > 0) {
				route.targets()
					.forEach((target) -> this.allowedPauses.merge(target.pool(), route.gapObjectiveMilliseconds(),
							Math::min));
			}
		}
		this.routesByHost.values()
			.forEach((list) -> list.sort(Comparator.comparingInt((route) -> -route.prefix().length())));
	}

	/**
	 * Returns the longest pause between two events of a stream that every route of a pool
	 * allows.
	 * @param pool the name of the pool
	 * @return the pause in milliseconds, 0 if no route of the pool states one
	 */
	public long allowedPauseMilliseconds(String pool) {
		return this.allowedPauses.getOrDefault(pool, 0L);
	}

	/**
	 * Returns the version of the tables.
	 * @return the version, higher for later tables
	 */
	public long version() {
		return this.version;
	}

	/**
	 * Finds the route with the longest prefix of a path.
	 * @param host the host as sent by the caller, with or without a port
	 * @param path the path without its query
	 * @return the route or {@code null}
	 */
	public @Nullable ServedRoute findRoute(String host, String path) {
		for (ServedRoute route : this.routesByHost.getOrDefault(hostName(host), List.of())) {
			if (path.startsWith(route.prefix())) {
				return route;
			}
		}
		return null;
	}

	/**
	 * Returns the name of a host as routes state it.
	 * @param host the host that the caller addressed, with or without a port
	 * @return the name without the port, in lower case
	 */
	public static String hostName(String host) {
		int colon = host.lastIndexOf(':');
		return ((colon > 0) ? host.substring(0, colon) : host).toLowerCase(Locale.ROOT);
	}

	/**
	 * Finds a pool by name.
	 * @param name the name of the pool
	 * @return the pool or {@code null}
	 */
	public @Nullable ServedPool findPool(String name) {
		return this.pools.get(name);
	}

	/**
	 * Returns whether requests of different priorities share a pool.
	 * @param pool the name of the pool
	 * @return whether the routes of the pool state at least two priorities
	 */
	public boolean hasSeveralPriorities(String pool) {
		return this.prioritiesByPool.getOrDefault(pool, Set.of()).size() > 1;
	}

	/**
	 * Returns the pools.
	 * @return the pools by name
	 */
	public Map<String, ServedPool> pools() {
		return this.pools;
	}

	/**
	 * Finds the organisation that owns a key.
	 * @param key the key
	 * @return the organisation or {@code null}
	 */
	public @Nullable ServedOrganisation findOrganisation(String key) {
		return this.organisations.get(key);
	}

	/**
	 * Returns the organisations without duplicates.
	 * @return each organisation that owns a key, once
	 */
	public Collection<ServedOrganisation> organisations() {
		return new LinkedHashSet<>(this.organisations.values());
	}

	/**
	 * Returns whether routes that are not open require a key.
	 * @return whether there are organisations
	 */
	public boolean areKeysRequired() {
		return this.keysRequired;
	}

	/**
	 * Returns the limits on requests of callers.
	 * @return the limits
	 */
	public Limits limits() {
		return this.limits;
	}

	/**
	 * Returns the number of routes.
	 * @return the number of routes over all hosts
	 */
	public int routeCount() {
		return this.routesByHost.values().stream().mapToInt(List::size).sum();
	}

	/**
	 * Limits on requests of callers.
	 *
	 * @param bodyBytes the maximum size of a body
	 * @param idleMilliseconds how long a caller's connection may be idle
	 */
	public record Limits(long bodyBytes, long idleMilliseconds) {
	}

}

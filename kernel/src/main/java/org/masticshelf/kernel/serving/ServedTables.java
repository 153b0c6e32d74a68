package org.masticshelf.kernel.serving;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;

import org.jspecify.annotations.Nullable;

/**
 * One version of all tables. Immutable.
 * <p>
 * Invariant: the routes of a host are kept with the longest prefix first.
 */
public final class ServedTables {

	private final long version;

	private final Map<String, List<ServedRoute>> routes = new HashMap<>();

	private final Map<String, ServedPool> pools;

	private final Map<String, ServedOrganisation> organisations;

	private final boolean keysNeeded;

	private final Limits limits;

	/**
	 * Creates tables.
	 * @param version the version, higher for later tables
	 * @param routes all routes
	 * @param pools the pools by name
	 * @param organisations the organisations by key
	 * @param keysNeeded whether routes that are not open need a key
	 * @param limits bounds on what callers may send
	 */
	public ServedTables(long version, List<ServedRoute> routes, Map<String, ServedPool> pools,
			Map<String, ServedOrganisation> organisations, boolean keysNeeded, Limits limits) {
		this.version = version;
		this.pools = Map.copyOf(pools);
		this.organisations = Map.copyOf(organisations);
		this.keysNeeded = keysNeeded;
		this.limits = limits;
		for (ServedRoute route : routes) {
			this.routes.computeIfAbsent(route.host(), (host) -> new ArrayList<>()).add(route);
		}
		this.routes.values().forEach((list) -> list.sort(Comparator.comparingInt((route) -> -route.prefix().length())));
	}

	/**
	 * Returns the version.
	 * @return the version, higher for later tables
	 */
	public long version() {
		return this.version;
	}

	/**
	 * Finds the route with the longest prefix that begins a path.
	 * @param host the host as the caller wrote it, possibly with a port
	 * @param path the path without its query
	 * @return the route or {@code null}
	 */
	public @Nullable ServedRoute findRoute(String host, String path) {
		int colon = host.lastIndexOf(':');
		String name = ((colon > 0) ? host.substring(0, colon) : host).toLowerCase(Locale.ROOT);
		for (ServedRoute route : this.routes.getOrDefault(name, List.of())) {
			if (path.startsWith(route.prefix())) {
				return route;
			}
		}
		return null;
	}

	/**
	 * Finds a pool.
	 * @param name its name
	 * @return the pool or {@code null}
	 */
	public @Nullable ServedPool findPool(String name) {
		return this.pools.get(name);
	}

	/**
	 * Returns the pools.
	 * @return the pools by name
	 */
	public Map<String, ServedPool> pools() {
		return this.pools;
	}

	/**
	 * Finds the organisation that holds a key.
	 * @param key the key
	 * @return the organisation or {@code null}
	 */
	public @Nullable ServedOrganisation findOrganisation(String key) {
		return this.organisations.get(key);
	}

	/**
	 * Returns the organisations.
	 * @return each organisation that holds a key, once
	 */
	public Collection<ServedOrganisation> organisations() {
		return new LinkedHashSet<>(this.organisations.values());
	}

	/**
	 * Returns whether routes that are not open need a key.
	 * @return whether there are organisations
	 */
	public boolean areKeysRequired() {
		return this.keysNeeded;
	}

	/**
	 * Returns the bounds on what callers may send.
	 * @return the limits
	 */
	public Limits limits() {
		return this.limits;
	}

	/**
	 * Returns how many routes there are.
	 * @return the number of routes
	 */
	public int routeCount() {
		return this.routes.values().stream().mapToInt(List::size).sum();
	}

	/**
	 * Bounds on what callers may send.
	 *
	 * @param bodyBytes the longest body
	 * @param idleMilliseconds how long a caller's connection may stay idle
	 */
	public record Limits(long bodyBytes, long idleMilliseconds) {
	}

}

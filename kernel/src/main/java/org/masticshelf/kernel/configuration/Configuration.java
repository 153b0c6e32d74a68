package org.masticshelf.kernel.configuration;

import java.util.Map;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.stream.Collectors;

import org.jspecify.annotations.Nullable;

/**
 * Validated tables under one revision, indexed for requests.
 * <p>
 * Invariant: a configuration with a higher revision replaces one with a lower revision
 * and never the other way round. Immutable and therefore safe for use by several threads.
 */
public final class Configuration {

	/** The empty configuration in force until one is accepted. */
	public static final Configuration INITIAL = new Configuration(0, Tables.EMPTY);

	private final long revision;

	private final Tables tables;

	private final Map<QualifiedName, Route> routes;

	private final Map<QualifiedName, Pool> pools;

	private final Map<QualifiedName, Organisation> organisations;

	private final Map<String, OrganisationKey> keys;

	/**
	 * Creates a configuration from tables that hold no duplicate names.
	 * @param revision the revision, 1 or more once accepted
	 * @param tables the validated tables
	 */
	public Configuration(long revision, Tables tables) {
		this.revision = revision;
		this.tables = tables;
		this.routes = index(tables.routes(), Route::name);
		this.pools = index(tables.pools(), Pool::name);
		this.organisations = index(tables.organisations(), Organisation::name);
		this.keys = index(tables.keys(), OrganisationKey::digest);
	}

	private static <K extends Comparable<K>, V> Map<K, V> index(Iterable<V> rows, Function<V, K> key) {
		Map<K, V> index = new TreeMap<>();
		rows.forEach((row) -> index.put(key.apply(row), row));
		return index;
	}

	/**
	 * Returns the revision.
	 * @return the revision, 0 before any was accepted
	 */
	public long revision() {
		return this.revision;
	}

	/**
	 * Returns the tables.
	 * @return the validated tables
	 */
	public Tables tables() {
		return this.tables;
	}

	/**
	 * Finds a route.
	 * @param name the name of the route
	 * @return the route or {@code null} if there is none
	 */
	public @Nullable Route findRoute(QualifiedName name) {
		return this.routes.get(name);
	}

	/**
	 * Finds a pool.
	 * @param name the name of the pool
	 * @return the pool or {@code null} if there is none
	 */
	public @Nullable Pool findPool(QualifiedName name) {
		return this.pools.get(name);
	}

	/**
	 * Finds an organisation.
	 * @param name the name of the organisation
	 * @return the organisation or {@code null} if there is none
	 */
	public @Nullable Organisation findOrganisation(QualifiedName name) {
		return this.organisations.get(name);
	}

	/**
	 * Finds a key by its digest, also when it is withdrawn or expired.
	 * @param digest the SHA-256 digest in hexadecimal
	 * @return the key or {@code null} if none was issued
	 */
	public @Nullable OrganisationKey findKey(String digest) {
		return this.keys.get(digest);
	}

	/**
	 * Returns the routes of one workshop.
	 * @param workshop the workshop
	 * @return the routes by name
	 */
	public Map<QualifiedName, Route> routesOf(String workshop) {
		return this.routes.entrySet()
			.stream()
			.filter((entry) -> entry.getKey().workshop().equals(workshop))
			.collect(Collectors.toMap(Map.Entry::getKey, Map.Entry::getValue, (first, second) -> first, TreeMap::new));
	}

}

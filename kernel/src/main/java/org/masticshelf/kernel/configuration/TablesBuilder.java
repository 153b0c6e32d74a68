package org.masticshelf.kernel.configuration;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Builds tables from the rows of pages. Not safe for use by several threads.
 */
final class TablesBuilder {

	private final List<Route> routes = new ArrayList<>();

	private final List<Organisation> organisations = new ArrayList<>();

	private final List<OrganisationKey> keys = new ArrayList<>();

	private final Map<QualifiedName, Row.OfPool> pools = new TreeMap<>();

	private final Map<QualifiedName, List<Pool.Endpoint>> endpoints = new TreeMap<>();

	private final Map<QualifiedName, List<Pool.Model>> models = new TreeMap<>();

	/**
	 * Adds a row.
	 * @param row the row
	 */
	void add(Row row) {
		switch (row) {
			case Row.OfRoute route -> this.routes.add(route.route());
			case Row.OfPool pool -> this.pools.put(pool.pool(), pool);
			case Row.OfEndpoint endpoint -> listOf(this.endpoints, endpoint.pool()).add(endpoint.endpoint());
			case Row.OfModel model -> listOf(this.models, model.pool()).add(model.model());
			case Row.OfOrganisation organisation -> this.organisations.add(organisation.organisation());
			case Row.OfKey key -> this.keys.add(key.organisationKey());
		}
	}

	private static <T> List<T> listOf(Map<QualifiedName, List<T>> lists, QualifiedName pool) {
		return lists.computeIfAbsent(pool, (name) -> new ArrayList<>());
	}

	/**
	 * Joins the rows.
	 * @return the tables in the order of their names
	 * @throws IllegalArgumentException if an endpoint or model stands without its pool
	 */
	Tables build() {
		requirePools(this.endpoints.keySet());
		requirePools(this.models.keySet());
		this.routes.sort(Comparator.comparing(Route::name));
		this.organisations.sort(Comparator.comparing(Organisation::name));
		this.keys.sort(Comparator.comparing(OrganisationKey::digest));
		return new Tables(this.routes, this.pools.values().stream().map(this::join).toList(), this.organisations,
				this.keys);
	}

	private void requirePools(Iterable<QualifiedName> names) {
		for (QualifiedName name : names) {
			if (!this.pools.containsKey(name)) {
				throw new IllegalArgumentException("rows of pool " + name + " stand without the pool");
			}
		}
	}

	private Pool join(Row.OfPool row) {
		List<Pool.Endpoint> poolEndpoints = listOf(this.endpoints, row.pool());
		poolEndpoints.sort(Comparator.comparing(Pool.Endpoint::identifier));
		List<Pool.Model> poolModels = listOf(this.models, row.pool());
		poolModels.sort(Comparator.comparing(Pool.Model::name));
		return new Pool(row.pool(), row.kind(), row.store(), poolEndpoints, poolModels);
	}

}

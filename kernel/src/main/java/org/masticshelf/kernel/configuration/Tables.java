package org.masticshelf.kernel.configuration;

import java.util.List;

/**
 * The whole configuration: both tables, the organisations and their keys.
 * <p>
 * Immutable. The lists may hold mistakes until the tables have been validated.
 *
 * @param routes the table of routes
 * @param pools the table of pools
 * @param organisations the organisations
 * @param keys the digests of the organisations' keys
 */
public record Tables(List<Route> routes, List<Pool> pools, List<Organisation> organisations,
		List<OrganisationKey> keys) {

	/** Tables without a row. */
	public static final Tables EMPTY = new Tables(List.of(), List.of(), List.of(), List.of());

	/**
	 * Creates tables.
	 */
	public Tables {
		routes = List.copyOf(routes);
		pools = List.copyOf(pools);
		organisations = List.copyOf(organisations);
		keys = List.copyOf(keys);
	}

}

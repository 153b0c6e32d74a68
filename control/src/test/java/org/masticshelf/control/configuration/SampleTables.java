package org.masticshelf.control.configuration;

import java.util.ArrayList;
import java.util.List;

import org.masticshelf.kernel.configuration.Organisation;
import org.masticshelf.kernel.configuration.OrganisationKey;
import org.masticshelf.kernel.configuration.Pool;
import org.masticshelf.kernel.configuration.QualifiedName;
import org.masticshelf.kernel.configuration.Route;
import org.masticshelf.kernel.configuration.Tables;

/**
 * Valid tables of a given size for tests.
 */
final class SampleTables {

	private SampleTables() {
	}

	/**
	 * Creates tables with one model, one adapter and one route for each number.
	 * @param models how many models
	 * @return the tables in the order of their names
	 */
	static Tables withModels(int models) {
		QualifiedName pool = new QualifiedName("sofia", "engines");
		List<Pool.Endpoint> endpoints = List.of(new Pool.Endpoint("e1", "127.0.0.1:9001", "a", 1000, 4, true));
		List<Pool.Model> rows = new ArrayList<>();
		List<Route> routes = new ArrayList<>();
		for (int number = 0; number < models; number++) {
			String name = "model-%05d".formatted(number);
			rows.add(new Pool.Model(name, 100, 2, 0, 60_000, List.of(new Pool.Adapter("adapter", 10))));
			routes.add(new Route(new QualifiedName("sofia", name), pool, Route.Kind.MODEL, name, null, Route.Access.KEY,
					true, 1000, 2000));
		}
		Organisation organisation = new Organisation(new QualifiedName("sofia", "clerks"), 100, 200, 1);
		OrganisationKey key = new OrganisationKey("a".repeat(64), organisation.name(), 0, false);
		return new Tables(routes, List.of(new Pool(pool, Route.Kind.MODEL, "sofia", endpoints, rows)),
				List.of(organisation), List.of(key));
	}

	/**
	 * Withdraws all keys.
	 * @param keys the present keys
	 * @return the withdrawn keys
	 */
	static List<OrganisationKey> withdrawAll(List<OrganisationKey> keys) {
		return keys.stream()
			.map((key) -> new OrganisationKey(key.digest(), key.organisation(), key.expiresAtEpochSeconds(), true))
			.toList();
	}

}

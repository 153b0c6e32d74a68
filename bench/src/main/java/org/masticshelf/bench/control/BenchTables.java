package org.masticshelf.bench.control;

import java.util.ArrayList;
import java.util.List;

import org.jspecify.annotations.Nullable;

import org.masticshelf.kernel.configuration.Organisation;
import org.masticshelf.kernel.configuration.OrganisationKey;
import org.masticshelf.kernel.configuration.Pool;
import org.masticshelf.kernel.configuration.QualifiedName;
import org.masticshelf.kernel.configuration.Route;
import org.masticshelf.kernel.configuration.Tables;

/**
 * Makes tables of a multiple of the size of both deployments together.
 * <p>
 * Stateless.
 */
final class BenchTables {

	/** Models of both deployments. */
	static final int MODELS = 135;

	/** Adapters of both deployments. */
	static final int ADAPTERS = 140;

	private static final int MODELS_OF_POOL = 45;

	private static final int ORGANISATIONS = 10;

	private static final int KEYS = 20;

	private static final String WORKSHOP = "sofia";

	private static final long GIBIBYTE = 1L << 30;

	private BenchTables() {
	}

	/**
	 * Makes tables.
	 * @param multiple how many times the size of today
	 * @param variant changes one route
	 * @return the tables
	 */
	static Tables make(int multiple, int variant) {
		List<Route> routes = new ArrayList<>();
		List<Pool> pools = new ArrayList<>();
		int models = MODELS * multiple;
		int adapters = ADAPTERS * multiple;
		for (int first = 0; first < models; first += MODELS_OF_POOL) {
			pools.add(pool(first, Math.min(models, first + MODELS_OF_POOL), models, adapters, routes));
		}
		Route changed = routes.get(variant % routes.size());
		routes.set(variant % routes.size(),
				new Route(changed.name(), changed.pool(), changed.kind(), changed.model(), changed.adapter(),
						changed.access(), changed.idempotent(), 1_000 + variant,
						changed.maximumDeadlineMilliseconds()));
		List<Organisation> organisations = new ArrayList<>();
		for (int number = 0; number < ORGANISATIONS * multiple; number++) {
			organisations.add(new Organisation(name("organisation-" + number), 1_000, 10_000, 1));
		}
		List<OrganisationKey> keys = new ArrayList<>();
		for (int number = 0; number < KEYS * multiple; number++) {
			keys.add(new OrganisationKey(OrganisationKey.digestOf("key-" + number),
					organisations.get(number % organisations.size()).name(), 0, false));
		}
		return new Tables(routes, pools, organisations, keys);
	}

	private static Pool pool(int first, int end, int models, int adapters, List<Route> routes) {
		int number = first / MODELS_OF_POOL;
		QualifiedName pool = name("pool-" + number);
		List<Pool.Endpoint> endpoints = new ArrayList<>();
		for (int slot = 0; slot < 4; slot++) {
			endpoints.add(new Pool.Endpoint("engine-" + number + "-" + slot,
					"10." + number / 250 + "." + number % 250 + "." + (slot + 1) + ":9000", "domain-" + slot % 3,
					80 * GIBIBYTE, 16, true));
		}
		List<Pool.Model> rows = new ArrayList<>();
		for (int model = first; model < end; model++) {
			String modelName = "model-" + model;
			routes.add(route(modelName, pool, modelName, null));
			List<Pool.Adapter> its = new ArrayList<>();
			for (int adapter = model; adapter < adapters; adapter += models) {
				its.add(new Pool.Adapter("adapter-" + adapter, GIBIBYTE / 8));
				routes.add(route("adapted-" + adapter, pool, modelName, "adapter-" + adapter));
			}
			rows.add(new Pool.Model(modelName, 20 * GIBIBYTE, 2, 0, 600_000, its));
		}
		return new Pool(pool, Route.Kind.MODEL, "store-" + number % 2, endpoints, rows);
	}

	private static Route route(String name, QualifiedName pool, String model, @Nullable String adapter) {
		return new Route(name(name), pool, Route.Kind.MODEL, model, adapter, Route.Access.KEY, true, 10_000, 60_000);
	}

	private static QualifiedName name(String name) {
		return new QualifiedName(WORKSHOP, name);
	}

}

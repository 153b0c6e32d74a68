package org.masticshelf.ctl.sample;

import java.util.ArrayList;
import java.util.List;

import org.jspecify.annotations.Nullable;

import org.masticshelf.kernel.configuration.Organisation;
import org.masticshelf.kernel.configuration.Pool;
import org.masticshelf.kernel.configuration.QualifiedName;
import org.masticshelf.kernel.configuration.Route;
import org.masticshelf.kernel.configuration.Tables;

/**
 * Makes sample tables. Equal parameters give equal tables. Used by one thread.
 */
final class SampleTables {

	private static final List<String> FAILURE_DOMAINS = List.of("a", "b", "c");

	private static final long GIBIBYTE = 1L << 30;

	private static final long MEBIBYTE = 1L << 20;

	private static final long WORKER_MEMORY_BYTES = 80 * GIBIBYTE;

	private static final long SMALLEST_MODEL_BYTES = 4 * GIBIBYTE;

	private static final long ADAPTER_STEP_BYTES = 48 * MEBIBYTE;

	private static final int WORKER_SLOTS = 16;

	private static final int APPLICATION_SLOTS = 32;

	private static final long IDLE_MILLISECONDS = 300_000;

	private static final long QUICK_DEADLINE_MILLISECONDS = 10_000;

	private static final long ORDINARY_DEADLINE_MILLISECONDS = 30_000;

	private static final long LONGEST_DEADLINE_MILLISECONDS = 300_000;

	private static final long LARGE_RATE = 4_000;

	private static final long SMALL_RATE = 250;

	private static final long BURST_SECONDS = 10;

	private static final int LARGE_ORGANISATIONS = 2;

	private final SampleDeployment deployment;

	private final List<Route> routes = new ArrayList<>();

	private final List<Pool> pools = new ArrayList<>();

	private final List<Organisation> organisations = new ArrayList<>();

	private int nextPort;

	private SampleTables(SampleDeployment deployment, int basePort) {
		this.deployment = deployment;
		this.nextPort = basePort;
	}

	/**
	 * Makes the tables of a deployment.
	 * @param deployment the deployment
	 * @param basePort the port of the first endpoint
	 * @return the tables, without keys
	 */
	static Tables of(SampleDeployment deployment, int basePort) {
		SampleTables sample = new SampleTables(deployment, basePort);
		deployment.shares().forEach(sample::add);
		return new Tables(sample.routes, sample.pools, sample.organisations, List.of());
	}

	private void add(SampleDeployment.Share share) {
		addModels(share);
		addServices(share);
		addOrganisations(share);
	}

	private void addModels(SampleDeployment.Share share) {
		QualifiedName pool = new QualifiedName(share.workshop(), "models");
		List<Pool.Model> models = new ArrayList<>();
		for (int index = 0; index < share.models(); index++) {
			List<Pool.Adapter> adapters = adapters(share, index);
			String family = share.families().get(index % share.families().size());
			String name = family + "-" + (index / share.families().size() + 1);
			long memory = SMALLEST_MODEL_BYTES + (index * 7L % 9) * 4 * GIBIBYTE;
			models.add(new Pool.Model(name, memory, 1 + index % 3, 0, IDLE_MILLISECONDS, adapters));
			addModelRoutes(pool, name, adapters, index);
		}
		List<Pool.Endpoint> workers = endpoints(share, "worker", share.modelWorkers(), WORKER_MEMORY_BYTES,
				WORKER_SLOTS);
		this.pools.add(new Pool(pool, Route.Kind.MODEL, this.deployment.label() + "-weights", workers, models));
	}

	private static List<Pool.Adapter> adapters(SampleDeployment.Share share, int model) {
		List<Pool.Adapter> adapters = new ArrayList<>();
		for (int number = model; number < share.adapters(); number += share.models()) {
			adapters.add(new Pool.Adapter("adapter-" + (number + 1), (1 + number % 5) * ADAPTER_STEP_BYTES));
		}
		return adapters;
	}

	private void addModelRoutes(QualifiedName pool, String model, List<Pool.Adapter> adapters, int index) {
		boolean open = index == 0;
		addModelRoute(pool, model, null, open ? Route.Access.OPEN : Route.Access.KEY);
		adapters.forEach((adapter) -> addModelRoute(pool, model, adapter.name(), Route.Access.KEY));
	}

	private void addModelRoute(QualifiedName pool, String model, @Nullable String adapter, Route.Access access) {
		String name = (adapter != null) ? model + "." + adapter : model;
		this.routes.add(new Route(new QualifiedName(pool.workshop(), name), pool, Route.Kind.MODEL, model, adapter,
				access, true, ORDINARY_DEADLINE_MILLISECONDS, LONGEST_DEADLINE_MILLISECONDS));
	}

	private void addServices(SampleDeployment.Share share) {
		QualifiedName pool = new QualifiedName(share.workshop(), "services");
		List<Pool.Endpoint> workers = endpoints(share, "application", share.applicationWorkers(), 0, APPLICATION_SLOTS);
		this.pools.add(new Pool(pool, Route.Kind.PLAIN, "none", workers, List.of()));
		share.orders().forEach((order) -> addPlainRoute(pool, order, Route.Access.KEY, false));
		addPlainRoute(pool, "stock", Route.Access.KEY, true);
		addPlainRoute(pool, "opening-hours", Route.Access.OPEN, true);
	}

	private void addPlainRoute(QualifiedName pool, String name, Route.Access access, boolean idempotent) {
		this.routes.add(new Route(new QualifiedName(pool.workshop(), name), pool, Route.Kind.PLAIN, null, null, access,
				idempotent, QUICK_DEADLINE_MILLISECONDS, ORDINARY_DEADLINE_MILLISECONDS));
	}

	private void addOrganisations(SampleDeployment.Share share) {
		for (String name : share.organisations()) {
			boolean large = this.organisations.size() < LARGE_ORGANISATIONS;
			long rate = large ? LARGE_RATE : SMALL_RATE;
			this.organisations.add(new Organisation(new QualifiedName(share.workshop(), name), rate,
					rate * BURST_SECONDS, large ? 2 : 1));
		}
	}

	private List<Pool.Endpoint> endpoints(SampleDeployment.Share share, String role, int count, long memoryBytes,
			int slots) {
		List<Pool.Endpoint> endpoints = new ArrayList<>();
		for (int index = 0; index < count; index++) {
			String domain = FAILURE_DOMAINS.get(this.nextPort % FAILURE_DOMAINS.size());
			String identifier = share.workshop() + "-" + role + "-" + (index + 1);
			boolean checksFencing = index % 2 == 0;
			endpoints.add(new Pool.Endpoint(identifier, "127.0.0.1:" + this.nextPort, domain, memoryBytes, slots,
					checksFencing));
			this.nextPort++;
		}
		return endpoints;
	}

}

package org.masticshelf.systemtests;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;

import org.masticshelf.kernel.configuration.Organisation;
import org.masticshelf.kernel.configuration.OrganisationKey;
import org.masticshelf.kernel.configuration.Pool;
import org.masticshelf.kernel.configuration.QualifiedName;
import org.masticshelf.kernel.configuration.Route;
import org.masticshelf.kernel.configuration.Tables;

/** The tables that the fleets under test begin with. Immutable. */
final class FleetTables {

	/** The key of the organisation with an ample grant. */
	static final String KEY = "key-of-the-clerk";

	/** The key of the organisation with a small grant. */
	static final String SMALL_KEY = "key-of-the-weaver";

	/** The rate of the small grant in tokens a second. */
	static final long SMALL_RATE = 200;

	/** The burst of the small grant in tokens. */
	static final long SMALL_BURST = 400;

	/** The memory of an engine in bytes; it holds two models. */
	static final long ENGINE_BYTES = 10_000;

	/** The models, each also the name of its route. */
	static final List<String> MODELS = List.of("crest", "hem", "cuff", "lace");

	private static final long MODEL_BYTES = 4_000;

	private static final long IDLE_MILLISECONDS = 600_000;

	private static final long DEADLINE_MILLISECONDS = 60_000;

	private static final long AMPLE_TOKENS = 1_000_000;

	private static final String WORKSHOP = "sofia";

	private static final QualifiedName MODEL_POOL = new QualifiedName(WORKSHOP, "models");

	private static final QualifiedName PLAIN_POOL = new QualifiedName(WORKSHOP, "services");

	private FleetTables() {
	}

	/**
	 * Writes the tables of a fleet.
	 * @param engines the addresses of the engines
	 * @param slots how many requests an engine runs at once
	 * @param plain the address of the plain service
	 * @return the tables
	 */
	static Tables of(List<String> engines, int slots, String plain) {
		List<Pool.Endpoint> endpoints = IntStream.range(0, engines.size())
			.mapToObj((index) -> new Pool.Endpoint("engine-" + index, engines.get(index), domain(index), ENGINE_BYTES,
					slots, true))
			.toList();
		List<Pool.Model> models = MODELS.stream()
			.map((name) -> new Pool.Model(name, MODEL_BYTES, 1, 0, IDLE_MILLISECONDS, List.of()))
			.toList();
		Pool modelPool = new Pool(MODEL_POOL, Route.Kind.MODEL, "store", endpoints, models);
		Pool plainPool = new Pool(PLAIN_POOL, Route.Kind.PLAIN, "none",
				List.of(new Pool.Endpoint("plain-0", plain, "a", 0, slots, true)), List.of());
		List<Route> routes = new ArrayList<>();
		MODELS.forEach((name) -> routes.add(new Route(new QualifiedName(WORKSHOP, name), MODEL_POOL, Route.Kind.MODEL,
				name, null, Route.Access.KEY, true, DEADLINE_MILLISECONDS, DEADLINE_MILLISECONDS)));
		routes.add(new Route(new QualifiedName(WORKSHOP, "orders"), PLAIN_POOL, Route.Kind.PLAIN, null, null,
				Route.Access.KEY, false, DEADLINE_MILLISECONDS, DEADLINE_MILLISECONDS));
		QualifiedName clerk = new QualifiedName(WORKSHOP, "clerk");
		QualifiedName weaver = new QualifiedName(WORKSHOP, "weaver");
		return new Tables(routes, List.of(modelPool, plainPool),
				List.of(new Organisation(clerk, AMPLE_TOKENS, AMPLE_TOKENS, 1),
						new Organisation(weaver, SMALL_RATE, SMALL_BURST, 1)),
				List.of(new OrganisationKey(OrganisationKey.digestOf(KEY), clerk, 0, false),
						new OrganisationKey(OrganisationKey.digestOf(SMALL_KEY), weaver, 0, false)));
	}

	/**
	 * Returns the failure domain of an endpoint or a daemon.
	 * @param index its index
	 * @return the failure domain
	 */
	static String domain(int index) {
		return List.of("a", "a", "b", "c").get(index);
	}

}

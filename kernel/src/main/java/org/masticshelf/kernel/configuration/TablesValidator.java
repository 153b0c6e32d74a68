package org.masticshelf.kernel.configuration;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.regex.Pattern;

/**
 * Finds everything that is wrong with tables in one pass.
 * <p>
 * Invariant: tables without a mistake can be served from; whoever adopts tables validates
 * them first. Used by one thread.
 */
public final class TablesValidator {

	private static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,119}");

	private static final Pattern DIGEST = Pattern.compile("[0-9a-f]{64}");

	private static final long MAXIMUM_DEADLINE_MILLISECONDS = 24L * 60 * 60 * 1000;

	private final Tables tables;

	private final List<Mistake> mistakes = new ArrayList<>();

	private final Map<QualifiedName, Pool> pools = new HashMap<>();

	private final Map<QualifiedName, Map<String, Set<String>>> adapters = new HashMap<>();

	private final Set<String> endpointIdentifiers = new HashSet<>();

	private final Set<String> endpointAddresses = new HashSet<>();

	private TablesValidator(Tables tables) {
		this.tables = tables;
	}

	/**
	 * Finds the mistakes of tables.
	 * @param tables the tables
	 * @return the mistakes, empty if the tables can be served from
	 */
	public static List<Mistake> findMistakes(Tables tables) {
		TablesValidator validation = new TablesValidator(tables);
		validation.checkPools();
		validation.checkRoutes();
		validation.checkOrganisations();
		return List.copyOf(validation.mistakes);
	}

	private void require(boolean holds, String path, String reason) {
		if (!holds) {
			this.mistakes.add(new Mistake(path, reason));
		}
	}

	private void requirePositive(long value, String path) {
		require(value > 0, path, "has to be above 0 but is " + value);
	}

	private void checkPools() {
		for (int index = 0; index < this.tables.pools().size(); index++) {
			Pool pool = this.tables.pools().get(index);
			String path = "$.pools[" + index + "]";
			require(this.pools.putIfAbsent(pool.name(), pool) == null, path + ".name",
					"pool " + pool.name() + " stands twice");
			checkEndpoints(pool, path);
			checkModels(pool, path);
		}
	}

	private void checkEndpoints(Pool pool, String path) {
		boolean plain = pool.kind() == Route.Kind.PLAIN;
		require(plain || NAME.matcher(pool.store()).matches(), path + ".store",
				"malformed name of a weight store '" + pool.store() + "'");
		for (int index = 0; index < pool.endpoints().size(); index++) {
			Pool.Endpoint endpoint = pool.endpoints().get(index);
			String place = path + ".endpoints[" + index + "]";
			require(NAME.matcher(endpoint.identifier()).matches(), place + ".identifier",
					"malformed identifier '" + endpoint.identifier() + "'");
			require(this.endpointIdentifiers.add(endpoint.identifier()), place + ".identifier",
					"identifier " + endpoint.identifier() + " is used twice");
			require(SocketAddressSyntax.isIpAddressAndPort(endpoint.address()), place + ".address",
					"'" + endpoint.address() + "' is not an IP number and a port");
			require(this.endpointAddresses.add(endpoint.address()), place + ".address",
					"address " + endpoint.address() + " is used twice");
			require(NAME.matcher(endpoint.failureDomain()).matches(), place + ".failureDomain",
					"malformed failure domain '" + endpoint.failureDomain() + "'");
			require(endpoint.slots() > 0, place + ".slots", "has to be above 0 but is " + endpoint.slots());
			require(plain ? endpoint.memoryBytes() >= 0 : endpoint.memoryBytes() > 0, place + ".memoryBytes",
					"has to be above 0 but is " + endpoint.memoryBytes());
		}
	}

	private void checkModels(Pool pool, String path) {
		require(pool.kind() == Route.Kind.MODEL || pool.models().isEmpty(), path + ".models",
				"a plain pool has no models");
		Map<String, Set<String>> adaptersByModel = new HashMap<>();
		long largest = pool.endpoints().stream().mapToLong(Pool.Endpoint::memoryBytes).max().orElse(0);
		for (int index = 0; index < pool.models().size(); index++) {
			Pool.Model model = pool.models().get(index);
			String place = path + ".models[" + index + "]";
			require(NAME.matcher(model.name()).matches(), place + ".name", "malformed name '" + model.name() + "'");
			Set<String> names = new HashSet<>();
			require(adaptersByModel.putIfAbsent(model.name(), names) == null, place + ".name",
					"model " + model.name() + " stands twice");
			checkSizes(pool, model, largest, place);
			checkAdapters(model, largest, names, place);
		}
		this.adapters.putIfAbsent(pool.name(), adaptersByModel);
	}

	private void checkSizes(Pool pool, Pool.Model model, long largest, String path) {
		requirePositive(model.memoryBytes(), path + ".memoryBytes");
		require(pool.endpoints().isEmpty() || model.memoryBytes() <= largest, path + ".memoryBytes",
				"model " + model.name() + " is larger than every endpoint of the pool");
		requirePositive(model.maximumReplicas(), path + ".maximumReplicas");
		require(model.minimumReplicas() >= 0 && model.minimumReplicas() <= model.maximumReplicas(),
				path + ".minimumReplicas",
				"has to lie between 0 and maximumReplicas but is " + model.minimumReplicas());
		requirePositive(model.idleMilliseconds(), path + ".idleMilliseconds");
	}

	private void checkAdapters(Pool.Model model, long largest, Set<String> names, String path) {
		for (int index = 0; index < model.adapters().size(); index++) {
			Pool.Adapter adapter = model.adapters().get(index);
			String place = path + ".adapters[" + index + "]";
			require(NAME.matcher(adapter.name()).matches(), place + ".name", "malformed name '" + adapter.name() + "'");
			require(names.add(adapter.name()), place + ".name", "adapter " + adapter.name() + " stands twice");
			requirePositive(adapter.memoryBytes(), place + ".memoryBytes");
			boolean fits = largest == 0 || adapter.memoryBytes() <= largest - model.memoryBytes();
			require(fits, place + ".memoryBytes",
					"adapter " + adapter.name() + " with its model is larger than every endpoint of the pool");
		}
	}

	private void checkRoutes() {
		Set<QualifiedName> names = new HashSet<>();
		for (int index = 0; index < this.tables.routes().size(); index++) {
			Route route = this.tables.routes().get(index);
			String path = "$.routes[" + index + "]";
			require(names.add(route.name()), path + ".name", "route " + route.name() + " stands twice");
			checkDeadlines(route, path);
			checkTarget(route, path);
		}
	}

	private void checkDeadlines(Route route, String path) {
		requirePositive(route.defaultDeadlineMilliseconds(), path + ".defaultDeadlineMilliseconds");
		require(route.defaultDeadlineMilliseconds() <= route.maximumDeadlineMilliseconds(),
				path + ".defaultDeadlineMilliseconds", "is longer than maximumDeadlineMilliseconds");
		require(route.maximumDeadlineMilliseconds() <= MAXIMUM_DEADLINE_MILLISECONDS,
				path + ".maximumDeadlineMilliseconds", "is longer than a day");
	}

	private void checkTarget(Route route, String path) {
		require(route.pool().workshop().equals(route.name().workshop()), path + ".pool",
				"pool " + route.pool() + " belongs to another workshop than route " + route.name());
		Pool pool = this.pools.get(route.pool());
		if (pool == null) {
			require(false, path + ".pool", "there is no pool " + route.pool());
			return;
		}
		require(pool.kind() == route.kind(), path + ".kind",
				"is " + route.kind() + " but pool " + route.pool() + " is " + pool.kind());
		String model = route.model();
		String adapter = route.adapter();
		if (route.kind() == Route.Kind.PLAIN) {
			require(model == null, path + ".model", "a plain route has no model");
			require(adapter == null, path + ".adapter", "a plain route has no adapter");
			return;
		}
		if (model == null) {
			require(false, path + ".model", "a route of kind MODEL needs a model");
			return;
		}
		Set<String> known = this.adapters.getOrDefault(route.pool(), Map.of()).get(model);
		if (known == null) {
			require(false, path + ".model", "pool " + route.pool() + " has no model " + model);
			return;
		}
		require(adapter == null || known.contains(adapter), path + ".adapter",
				"model " + model + " has no adapter " + adapter);
	}

	private void checkOrganisations() {
		Set<QualifiedName> names = new HashSet<>();
		for (int index = 0; index < this.tables.organisations().size(); index++) {
			Organisation organisation = this.tables.organisations().get(index);
			String path = "$.organisations[" + index + "]";
			require(names.add(organisation.name()), path + ".name",
					"organisation " + organisation.name() + " stands twice");
			requirePositive(organisation.tokensPerSecond(), path + ".tokensPerSecond");
			requirePositive(organisation.burstTokens(), path + ".burstTokens");
			requirePositive(organisation.weight(), path + ".weight");
		}
		checkKeys(names);
	}

	private void checkKeys(Set<QualifiedName> organisations) {
		Set<String> digests = new HashSet<>();
		for (int index = 0; index < this.tables.keys().size(); index++) {
			OrganisationKey key = this.tables.keys().get(index);
			String path = "$.keys[" + index + "]";
			require(DIGEST.matcher(key.digest()).matches(), path + ".digest",
					"is not a SHA-256 digest of 64 hexadecimal digits");
			require(digests.add(key.digest()), path + ".digest", "the digest stands twice");
			require(organisations.contains(key.organisation()), path + ".organisation",
					"there is no organisation " + key.organisation());
			require(key.expiresAtEpochSeconds() >= 0, path + ".expiresAtEpochSeconds",
					"has to be 0 or above but is " + key.expiresAtEpochSeconds());
		}
	}

}

package org.masticshelf.bench.replay;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;

import org.masticshelf.kernel.configuration.Configuration;
import org.masticshelf.kernel.configuration.Loadable;
import org.masticshelf.kernel.configuration.Organisation;
import org.masticshelf.kernel.configuration.Pool;
import org.masticshelf.kernel.configuration.QualifiedName;
import org.masticshelf.kernel.configuration.Route;
import org.masticshelf.kernel.configuration.Tables;

/**
 * The endpoints and the weight store of a trace.
 * <p>
 * Used by one thread.
 */
final class Fleet {

	static final long GIGABYTE = 1_000_000_000L;

	static final int MAXIMUM_REPLICAS = 3;

	private static final long IDLE_MILLISECONDS = 15_000;

	private static final long ADAPTER_BYTES = 100_000_000L;

	private final Deployment deployment;

	private final VirtualTime time;

	private final WeightStore store;

	private final Pool pool;

	private final Map<String, FleetEndpoint> endpoints = new LinkedHashMap<>();

	private final Map<Loadable, Long> bytes = new HashMap<>();

	private final Configuration configuration;

	Fleet(TraceHeader header, VirtualTime time) {
		this.deployment = Deployment.of(header.deployment());
		this.time = time;
		this.store = new WeightStore(this.deployment, header.seed());
		this.pool = pool(header);
		List<Organisation> organisations = header.organisations()
			.stream()
			.map((row) -> new Organisation(name(row.name()), row.tokensPerSecond(), row.burstTokens(), 1))
			.toList();
		this.configuration = new Configuration(1, new Tables(List.of(), List.of(this.pool), organisations, List.of()));
		header.models().forEach(this::size);
		for (int index = 0; index < header.endpoints().size(); index++) {
			Set<Loadable> onDisk = header.endpoints()
				.get(index)
				.onDisk()
				.stream()
				.map((model) -> new Loadable(this.pool.name(), model, null))
				.collect(Collectors.toSet());
			Pool.Endpoint endpoint = this.pool.endpoints().get(index);
			this.endpoints.put(endpoint.identifier(), new FleetEndpoint(time, this.store, endpoint, onDisk));
		}
	}

	private void size(TraceHeader.ModelRow model) {
		this.bytes.put(new Loadable(this.pool.name(), model.name(), null), model.gigabytes() * GIGABYTE);
		model.adapters()
			.forEach((adapter) -> this.bytes.put(new Loadable(this.pool.name(), model.name(), adapter), ADAPTER_BYTES));
	}

	private Pool pool(TraceHeader header) {
		List<Pool.Endpoint> rows = new ArrayList<>();
		for (TraceHeader.EndpointRow row : header.endpoints()) {
			rows.add(new Pool.Endpoint(row.identifier(), "127.0.0.1:1", row.domain(), row.gigabytes() * GIGABYTE,
					row.slots(), true));
		}
		List<Pool.Model> models = header.models()
			.stream()
			.map((row) -> new Pool.Model(row.name(), row.gigabytes() * GIGABYTE, MAXIMUM_REPLICAS, 0, IDLE_MILLISECONDS,
					row.adapters().stream().map((adapter) -> new Pool.Adapter(adapter, ADAPTER_BYTES)).toList()))
			.toList();
		return new Pool(name("pool"), Route.Kind.MODEL, "store", rows, models);
	}

	QualifiedName name(String name) {
		return new QualifiedName(this.deployment.workshop(), name);
	}

	/**
	 * Returns the endpoints that serve a loadable now.
	 * @param loadable the loadable
	 * @return their identifiers in order
	 */
	Set<String> holders(Loadable loadable) {
		Set<String> holders = new TreeSet<>();
		this.endpoints.forEach((identifier, endpoint) -> {
			if (endpoint.holds(loadable)) {
				holders.add(identifier);
			}
		});
		return holders;
	}

	/**
	 * Returns the one-way distance from an entry instance to an endpoint.
	 * @param router the number of the entry instance
	 * @param endpoint the endpoint
	 * @return nanoseconds, 0 within a failure domain
	 */
	long distance(int router, Pool.Endpoint endpoint) {
		return endpoint.failureDomain().equals(domainOf(router)) ? 0 : this.deployment.domainDistanceNanoseconds();
	}

	static String domainOf(int router) {
		return Deployment.DOMAINS.get(router % Deployment.DOMAINS.size());
	}

	long bytes(Loadable loadable) {
		Long size = this.bytes.get(loadable);
		if (size == null) {
			throw new IllegalStateException(loadable + " is not configured");
		}
		return size;
	}

	FleetEndpoint endpoint(String identifier) {
		FleetEndpoint endpoint = this.endpoints.get(identifier);
		if (endpoint == null) {
			throw new IllegalStateException("there is no endpoint " + identifier);
		}
		return endpoint;
	}

	List<FleetEndpoint> endpoints() {
		return List.copyOf(this.endpoints.values());
	}

	double idleAcceleratorHours() {
		return this.endpoints.values().stream().mapToDouble(FleetEndpoint::idleAcceleratorHours).sum();
	}

	Configuration configuration() {
		return this.configuration;
	}

	Deployment deployment() {
		return this.deployment;
	}

	Pool pool() {
		return this.pool;
	}

	VirtualTime time() {
		return this.time;
	}

	WeightStore store() {
		return this.store;
	}

}

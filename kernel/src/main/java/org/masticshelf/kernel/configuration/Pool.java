package org.masticshelf.kernel.configuration;

import java.util.List;

/**
 * A row of the table of pools: a set of endpoints and what they can load.
 * <p>
 * Immutable.
 *
 * @param name the name of the pool
 * @param kind the kind of its endpoints
 * @param store the weight store that its endpoints load from; loads of one store share
 * its rate
 * @param endpoints the endpoints
 * @param models the models, empty for plain services
 */
public record Pool(QualifiedName name, Route.Kind kind, String store, List<Endpoint> endpoints, List<Model> models) {

	/**
	 * Creates a pool.
	 */
	public Pool {
		endpoints = List.copyOf(endpoints);
		models = List.copyOf(models);
	}

	/**
	 * An endpoint of a pool.
	 *
	 * @param identifier the identifier, unique over all pools
	 * @param address IP number and port, for example {@code 127.0.0.1:9001}
	 * @param failureDomain the failure domain that the endpoint is in
	 * @param memoryBytes the memory for models and adapters in bytes, 0 for a plain
	 * service
	 * @param slots how many requests it runs at once
	 * @param checksFencing whether it refuses an order with an old fencing number
	 */
	public record Endpoint(String identifier, String address, String failureDomain, long memoryBytes, int slots,
			boolean checksFencing) {
	}

	/**
	 * A model of a pool.
	 *
	 * @param name the name within the pool
	 * @param memoryBytes the memory that a replica takes in bytes
	 * @param maximumReplicas the most replicas that may be loaded
	 * @param minimumReplicas the replicas that are kept when idle, usually 0
	 * @param idleMilliseconds how long a replica is kept without a request
	 * @param adapters the adapters of the model
	 */
	public record Model(String name, long memoryBytes, int maximumReplicas, int minimumReplicas, long idleMilliseconds,
			List<Adapter> adapters) {

		/**
		 * Creates a model.
		 */
		public Model {
			adapters = List.copyOf(adapters);
		}

	}

	/**
	 * An adapter of a model.
	 *
	 * @param name the name within the model
	 * @param memoryBytes the memory that it takes beside its model in bytes
	 */
	public record Adapter(String name, long memoryBytes) {
	}

}

package org.masticshelf.kernel.serving;

import java.util.Map;
import java.util.Set;

/**
 * The description that an endpoint publishes of itself. Immutable.
 *
 * @param identifier its identifier, usually new at each start
 * @param startedAt its start time by the wall clock in milliseconds; an endpoint may
 * restart under the same identifier
 * @param pool the name of the pool that it serves
 * @param host the address without the port
 * @param port the port
 * @param failureDomain its failure domain
 * @param slots the number of requests that it processes concurrently
 * @param leaving whether it must receive no new requests
 * @param holdings the models and adapters that it holds, empty for a plain service
 * @param coldRemainingMilliseconds how long it is still cold, 0 if it is warm, negative
 * if it does not say
 */
public record ServedEndpoint(String identifier, long startedAt, String pool, String host, int port,
		String failureDomain, int slots, boolean leaving, Holdings holdings, long coldRemainingMilliseconds) {

	/**
	 * Creates the description of a warm endpoint.
	 * @param identifier its identifier, usually new at each start
	 * @param startedAt its start time by the wall clock in milliseconds
	 * @param pool the name of the pool that it serves
	 * @param host the address without the port
	 * @param port the port
	 * @param failureDomain its failure domain
	 * @param slots the number of requests that it processes concurrently
	 * @param leaving whether it must receive no new requests
	 * @param holdings the models and adapters that it holds
	 */
	public ServedEndpoint(String identifier, long startedAt, String pool, String host, int port, String failureDomain,
			int slots, boolean leaving, Holdings holdings) {
		this(identifier, startedAt, pool, host, port, failureDomain, slots, leaving, holdings, 0);
	}

	/**
	 * Returns the address.
	 * @return the IP address and port
	 */
	public String address() {
		return this.host + ":" + this.port;
	}

	/**
	 * Returns whether another description is of the same incarnation of the endpoint.
	 * @param other the other description
	 * @return whether identifier, start time and address are equal
	 */
	public boolean isSameIncarnation(ServedEndpoint other) {
		return this.identifier.equals(other.identifier) && this.startedAt == other.startedAt
				&& this.address().equals(other.address());
	}

	/**
	 * The models and adapters that an engine holds.
	 *
	 * @param loaded the loaded adapters of each loaded model
	 * @param inMemory models whose weights are cached in its host memory
	 * @param onDisk models whose weights are cached on its disk
	 */
	public record Holdings(Map<String, Set<String>> loaded, Set<String> inMemory, Set<String> onDisk) {

		/** No models or adapters. */
		public static final Holdings NONE = new Holdings(Map.of(), Set.of(), Set.of());

		/** Creates holdings. */
		public Holdings {
			loaded = Map.copyOf(loaded);
			inMemory = Set.copyOf(inMemory);
			onDisk = Set.copyOf(onDisk);
		}

		/**
		 * Returns whether requests for a model or adapter can run.
		 * @param loadable the model or adapter
		 * @return whether it is loaded
		 */
		public boolean serves(LoadableName loadable) {
			Set<String> adapters = this.loaded.get(loadable.model());
			return adapters != null && (loadable.adapter() == null || adapters.contains(loadable.adapter()));
		}

	}

}

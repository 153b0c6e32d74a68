package org.masticshelf.kernel.serving;

import java.util.Map;
import java.util.Set;

/**
 * An endpoint as it describes itself. Immutable.
 *
 * @param identifier its identifier, new at most starts
 * @param startedAt when it started, milliseconds of the time of day; an endpoint may
 * start again under its identifier
 * @param pool the pool that it serves
 * @param host the address without its port
 * @param port its port
 * @param failureDomain its failure domain
 * @param slots requests that it works on at once
 * @param leaving whether it is to get no new work
 * @param ordersTaken how many orders it had taken when it wrote this
 * @param holdings what it holds, empty for a plain service
 */
public record ServedEndpoint(String identifier, long startedAt, String pool, String host, int port,
		String failureDomain, int slots, boolean leaving, long ordersTaken, Holdings holdings) {

	/**
	 * Returns the address.
	 * @return the IP number and port
	 */
	public String address() {
		return this.host + ":" + this.port;
	}

	/**
	 * Returns whether another description is of the same run of the endpoint.
	 * @param other the other description
	 * @return whether identifier, start and address agree
	 */
	public boolean isSameIncarnation(ServedEndpoint other) {
		return this.identifier.equals(other.identifier) && this.startedAt == other.startedAt
				&& this.address().equals(other.address());
	}

	/**
	 * What an engine holds.
	 *
	 * @param loaded the adapters of each loaded model
	 * @param inMemory models whose weights lie in its host memory
	 * @param onDisk models whose weights lie on its disk
	 */
	public record Holdings(Map<String, Set<String>> loaded, Set<String> inMemory, Set<String> onDisk) {

		/** Holds nothing. */
		public static final Holdings NONE = new Holdings(Map.of(), Set.of(), Set.of());

		/** Creates holdings. */
		public Holdings {
			loaded = Map.copyOf(loaded);
			inMemory = Set.copyOf(inMemory);
			onDisk = Set.copyOf(onDisk);
		}

		/**
		 * Returns whether requests for a loadable can run.
		 * @param loadable the model or adapter
		 * @return whether it is loaded
		 */
		public boolean serves(LoadableName loadable) {
			Set<String> adapters = this.loaded.get(loadable.model());
			return adapters != null && (loadable.adapter() == null || adapters.contains(loadable.adapter()));
		}

	}

}

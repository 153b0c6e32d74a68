package org.masticshelf.kernel.placement;

import java.util.Map;
import java.util.Set;

import org.masticshelf.kernel.configuration.Loadable;
import org.masticshelf.kernel.configuration.Pool;
import org.masticshelf.kernel.port.Engine;

/**
 * Represents one endpoint as the planner sees it.
 * <p>
 * Immutable as long as the given maps are not changed.
 *
 * @param endpoint the endpoint
 * @param presence whether it can accept orders
 * @param record what may occupy its memory
 * @param cached where weights are cached at the endpoint; weights without an entry are
 * remote
 * @param uses the use of what is loaded
 * @param avoided what the endpoint recently refused or failed to load
 */
public record EndpointState(Pool.Endpoint endpoint, Presence presence, EndpointRecord record,
		Map<Loadable, Engine.CacheLevel> cached, Map<Loadable, Use> uses, Set<Loadable> avoided) {

	/**
	 * Returns where the weights of a loadable are cached.
	 * @param loadable the loadable
	 * @return the level, remote if they are not cached at the endpoint
	 */
	public Engine.CacheLevel cacheLevel(Loadable loadable) {
		return this.cached.getOrDefault(loadable, Engine.CacheLevel.REMOTE);
	}

	/**
	 * Returns the memory of entries that are being unloaded.
	 * @return the memory in bytes
	 */
	public long unloadingBytes() {
		long bytes = 0;
		for (EndpointRecord.Entry entry : this.record.entries()) {
			if (entry.state() == EndpointRecord.State.UNLOADING) {
				bytes += entry.memoryBytes();
			}
		}
		return bytes;
	}

	/**
	 * Describes the use of a loaded model or adapter.
	 *
	 * @param loadedMilliseconds when it became loaded
	 * @param usedMilliseconds when it was last used
	 * @param inFlight the number of requests that run on it
	 */
	public record Use(long loadedMilliseconds, long usedMilliseconds, int inFlight) {

		/**
		 * Returns how long it has been idle.
		 * @param nowMilliseconds the time
		 * @return the time in milliseconds, 0 while requests run on it
		 */
		public long idleMilliseconds(long nowMilliseconds) {
			return (this.inFlight > 0) ? 0 : nowMilliseconds - Math.max(this.loadedMilliseconds, this.usedMilliseconds);
		}

	}

	/** Whether an endpoint can accept orders. */
	public enum Presence {

		/** In service. */
		LIVE,

		/** In service, but its record is being written, so nothing is planned for it. */
		BUSY,

		/** About to leave: accepts no loads, and whatever is idle there is unloaded. */
		LEAVING,

		/** Does not answer, but its recorded entries still count. */
		UNREACHABLE;

		/**
		 * Returns whether what is loaded there serves requests.
		 * @return whether requests are sent there
		 */
		boolean isServing() {
			return this == LIVE || this == BUSY;
		}

		/**
		 * Returns whether decisions can be made for the endpoint now.
		 * @return whether it accepts orders to unload
		 */
		boolean isPlannable() {
			return this == LIVE || this == LEAVING;
		}

	}

}

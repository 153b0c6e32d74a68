package org.masticshelf.kernel.placement;

import java.util.Map;
import java.util.Set;

import org.masticshelf.kernel.configuration.Loadable;
import org.masticshelf.kernel.configuration.Pool;
import org.masticshelf.kernel.port.Engine;

/**
 * One endpoint as the planner sees it.
 * <p>
 * Immutable as long as the given maps are not changed.
 *
 * @param endpoint the endpoint
 * @param presence whether it can take orders
 * @param record what may take its memory
 * @param cached where weights lie at the endpoint; what is missing is remote
 * @param uses how what is loaded is used
 * @param avoided what the endpoint lately refused or failed to load
 */
public record EndpointState(Pool.Endpoint endpoint, Presence presence, EndpointRecord record,
		Map<Loadable, Engine.CacheLevel> cached, Map<Loadable, Use> uses, Set<Loadable> avoided) {

	/**
	 * Returns where the weights of a loadable lie.
	 * @param loadable the loadable
	 * @return the cheapest level
	 */
	public Engine.CacheLevel cacheLevel(Loadable loadable) {
		return this.cached.getOrDefault(loadable, Engine.CacheLevel.REMOTE);
	}

	/**
	 * Returns the memory of entries that are being unloaded.
	 * @return bytes
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
	 * How a loaded model or adapter is used.
	 *
	 * @param loadedMilliseconds when it became loaded
	 * @param usedMilliseconds when it was last used
	 * @param inFlight requests that run on it
	 */
	public record Use(long loadedMilliseconds, long usedMilliseconds, int inFlight) {

		/**
		 * Returns how long it has been idle.
		 * @param nowMilliseconds the time
		 * @return milliseconds, 0 while requests run on it
		 */
		public long idleMilliseconds(long nowMilliseconds) {
			return (this.inFlight > 0) ? 0 : nowMilliseconds - Math.max(this.loadedMilliseconds, this.usedMilliseconds);
		}

	}

	/** Whether an endpoint can take orders. */
	public enum Presence {

		/** In service. */
		LIVE,

		/** In service, but its record is being written: nothing is decided for it now. */
		BUSY,

		/** Will be gone soon: takes no loads, and what is idle there is unloaded. */
		LEAVING,

		/** Does not answer: what is recorded there still counts. */
		UNREACHABLE;

		/**
		 * Returns whether what is loaded there serves requests.
		 * @return whether requests are sent there
		 */
		boolean isServing() {
			return this == LIVE || this == BUSY;
		}

		/**
		 * Returns whether something can be decided for it now.
		 * @return whether it takes orders to unload
		 */
		boolean isPlannable() {
			return this == LIVE || this == LEAVING;
		}

	}

}

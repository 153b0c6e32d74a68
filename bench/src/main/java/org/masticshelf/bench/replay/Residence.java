package org.masticshelf.bench.replay;

import org.masticshelf.kernel.configuration.Loadable;
import org.masticshelf.kernel.port.Engine;

/**
 * A model or adapter that takes memory of an endpoint.
 * <p>
 * Used by one thread.
 */
final class Residence {

	final Loadable loadable;

	final long bytes;

	final Engine.CacheLevel level;

	final long orderedAt;

	State state = State.LOADING;

	long loadedAt;

	long usedAt;

	long idleSince;

	int running;

	Residence(Loadable loadable, long bytes, Engine.CacheLevel level, long orderedAt) {
		this.loadable = loadable;
		this.bytes = bytes;
		this.level = level;
		this.orderedAt = orderedAt;
	}

	boolean serves() {
		return this.state == State.LOADED;
	}

	/** How far it is. */
	enum State {

		/** Weights are fetched. */
		LOADING,

		/** Serves requests. */
		LOADED,

		/** Takes no more requests and will be gone. */
		UNLOADING

	}

}

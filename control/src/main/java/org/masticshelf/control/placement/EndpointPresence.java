package org.masticshelf.control.placement;

import org.masticshelf.kernel.configuration.Pool;

/**
 * Tells which endpoints stay in service, according to the platform's list of instances.
 * <p>
 * Implementations are safe for use by several threads.
 */
@FunctionalInterface
public interface EndpointPresence {

	/**
	 * Returns whether an endpoint stays in service.
	 * @param endpoint the endpoint as configured
	 * @return the presence by the newest list
	 */
	Presence presence(Pool.Endpoint endpoint);

	/** Whether an endpoint stays in service. */
	enum Presence {

		/** In service. */
		LIVE,

		/** About to leave. */
		LEAVING,

		/**
		 * No longer listed. Once it does not answer either, it counts as gone, together
		 * with everything that it had loaded.
		 */
		GONE

	}

	/** Treats every endpoint as in service. */
	enum AlwaysLive implements EndpointPresence {

		/** The singleton. */
		INSTANCE;

		@Override
		public Presence presence(Pool.Endpoint endpoint) {
			return Presence.LIVE;
		}

	}

}

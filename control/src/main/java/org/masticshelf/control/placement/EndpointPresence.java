package org.masticshelf.control.placement;

import org.masticshelf.kernel.configuration.Pool;

/**
 * Knows which endpoints stay in service, from the platform's list of instances.
 * <p>
 * Implementations are safe for use by several threads.
 */
@FunctionalInterface
public interface EndpointPresence {

	/**
	 * Returns whether an endpoint stays.
	 * @param endpoint the endpoint
	 * @return its presence
	 */
	Presence presence(Pool.Endpoint endpoint);

	/** Whether an endpoint stays. */
	enum Presence {

		/** In service. */
		LIVE,

		/** Will be gone soon. */
		LEAVING,

		/**
		 * No longer listed. Once it does not answer either, it is taken to be gone with
		 * everything that it had loaded.
		 */
		GONE

	}

	/** Takes every endpoint to be in service. */
	enum AlwaysLive implements EndpointPresence {

		/** The only instance. */
		INSTANCE;

		@Override
		public Presence presence(Pool.Endpoint endpoint) {
			return Presence.LIVE;
		}

	}

}

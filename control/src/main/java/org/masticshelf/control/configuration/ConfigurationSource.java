package org.masticshelf.control.configuration;

import java.util.function.Consumer;

import org.masticshelf.kernel.configuration.Configuration;

/**
 * The configuration in force at this daemon.
 * <p>
 * Invariant: the revision of {@link #currentTables()} never decreases. Implementations
 * are safe for use by several threads.
 */
public interface ConfigurationSource {

	/**
	 * Returns the configuration in force.
	 * @return the configuration, {@link Configuration#INITIAL} before any is known
	 */
	Configuration current();

	/**
	 * Returns how far the knowledge about withdrawn keys can currently be trusted.
	 * @return the freshness
	 */
	Freshness freshness();

	/**
	 * Adds a listener that is called with each newer configuration.
	 * @param listener the listener
	 */
	void addListener(Consumer<Configuration> listener);

	/** How far the knowledge about withdrawn keys can be trusted. */
	enum Freshness {

		/** Recently confirmed, directly or through a peer. */
		FRESH,

		/** No daemon in a majority of failure domains reaches the key-value service. */
		PRESUMED_OUTAGE,

		/** Others may have withdrawn a key without this daemon knowing. */
		ISOLATED;

		/**
		 * Returns whether requests that came with a key may run.
		 * @return whether keys may be trusted
		 */
		public boolean permitsKeys() {
			return this != ISOLATED;
		}

	}

}

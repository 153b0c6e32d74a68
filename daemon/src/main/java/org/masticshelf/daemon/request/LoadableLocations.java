package org.masticshelf.daemon.request;

import java.util.Set;

import org.masticshelf.kernel.configuration.Loadable;

/**
 * The endpoints at which models and adapters are loaded.
 * <p>
 * Implementations are safe for use by several threads and never block.
 */
public interface LoadableLocations {

	/**
	 * Returns the endpoints that serve a loadable.
	 * @param loadable the model or adapter
	 * @return identifiers of endpoints
	 */
	Set<String> endpointsFor(Loadable loadable);

	/**
	 * Estimates the time until a loadable can serve requests.
	 * @param loadable the model or adapter
	 * @return nanoseconds, 0 if it can serve now or nothing is known
	 */
	long nanosecondsUntilReady(Loadable loadable);

	/**
	 * Records that a request to a loadable was sent.
	 * @param loadable the model or adapter
	 * @param endpoint the identifier of the endpoint
	 */
	void requestStarted(Loadable loadable, String endpoint);

	/**
	 * Records that a request to a loadable has ended.
	 * @param loadable the model or adapter
	 * @param endpoint the identifier of the endpoint
	 */
	void requestEnded(Loadable loadable, String endpoint);

	/**
	 * Records that an endpoint answered that it does not hold a loadable.
	 * @param loadable the model or adapter
	 * @param endpoint the identifier of the endpoint
	 */
	void reportNotLoaded(Loadable loadable, String endpoint);

}

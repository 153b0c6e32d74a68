package org.masticshelf.daemon.request;

import java.util.Set;

import org.masticshelf.kernel.configuration.Loadable;

/**
 * Where models and adapters are loaded, as the entry path sees it.
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
	 * Returns how long it takes until a loadable that is not loaded can serve.
	 * @param loadable the model or adapter
	 * @return the estimate in nanoseconds, 0 if it serves now or nothing is known
	 */
	long nanosecondsUntilReady(Loadable loadable);

	/**
	 * Notes that a request to a loadable was sent.
	 * @param loadable the model or adapter
	 * @param endpoint the identifier of the endpoint
	 */
	void requestStarted(Loadable loadable, String endpoint);

	/**
	 * Notes that a request to a loadable has ended.
	 * @param loadable the model or adapter
	 * @param endpoint the identifier of the endpoint
	 */
	void requestEnded(Loadable loadable, String endpoint);

	/**
	 * Notes that an endpoint answered that it does not hold a loadable.
	 * @param loadable the model or adapter
	 * @param endpoint the identifier of the endpoint
	 */
	void reportNotLoaded(Loadable loadable, String endpoint);

}

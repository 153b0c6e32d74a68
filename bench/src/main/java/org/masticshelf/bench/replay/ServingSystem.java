package org.masticshelf.bench.replay;

/**
 * A system that serves the requests of a trace on a {@link Fleet}.
 * <p>
 * Used by one thread.
 */
interface ServingSystem {

	/**
	 * Returns the name for reports.
	 * @return the name
	 */
	String name();

	/**
	 * Takes a request that has arrived at its entry instance.
	 * @param flight the request
	 */
	void arrive(Flight flight);

	/**
	 * Starts what goes on by itself.
	 * @param end the reading after which it stops
	 */
	void start(long end);

}

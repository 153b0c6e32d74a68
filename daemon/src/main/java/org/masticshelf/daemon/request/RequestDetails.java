package org.masticshelf.daemon.request;

import org.jspecify.annotations.Nullable;

import org.masticshelf.kernel.configuration.Organisation;
import org.masticshelf.kernel.configuration.Pool;
import org.masticshelf.kernel.configuration.QualifiedName;
import org.masticshelf.kernel.configuration.Route;

/**
 * The details of a request to which access was granted. Immutable.
 *
 * @param identifier the request identifier, unique across all daemons
 * @param route the route
 * @param pool the pool of the route
 * @param organisation the organisation, or {@code null} on a route open to all
 * @param keyDigest the digest of the key, or {@code null} on a route open to all
 * @param path the path of the call at the endpoint, with its query
 * @param deadlineNanoseconds the deadline on the monotonic clock
 */
public record RequestDetails(String identifier, Route route, Pool pool, @Nullable Organisation organisation,
		@Nullable String keyDigest, String path, long deadlineNanoseconds) {

	private static final String OPEN_TO_ALL = "open-to-all";

	/**
	 * Returns the organisation under which the request is queued.
	 * @return the organisation's name, or a name that the workshop's requests open to all
	 * share
	 */
	public QualifiedName queueOrganisation() {
		return (this.organisation != null) ? this.organisation.name()
				: new QualifiedName(this.route.name().workshop(), OPEN_TO_ALL);
	}

	/**
	 * Returns the weight of the organisation in queueing.
	 * @return the weight, 1 or more
	 */
	public int weight() {
		return (this.organisation != null) ? this.organisation.weight() : 1;
	}

}

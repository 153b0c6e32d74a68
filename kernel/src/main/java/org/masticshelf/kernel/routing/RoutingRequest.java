package org.masticshelf.kernel.routing;

import java.util.Set;

import org.jspecify.annotations.Nullable;

/**
 * A request to route. Immutable.
 *
 * @param candidates identifiers of the endpoints that hold what the request needs
 * @param prefixHash the hash of the prompt's prefix, or {@code null} to route without
 * prefix affinity
 * @param excluded identifiers of endpoints to avoid if there are others
 */
public record RoutingRequest(Set<String> candidates, @Nullable Long prefixHash, Set<String> excluded) {

	/** Creates a request. */
	public RoutingRequest {
		candidates = Set.copyOf(candidates);
		excluded = Set.copyOf(excluded);
	}

	/**
	 * Creates a request without prefix affinity.
	 * @param candidates identifiers of the endpoints that hold what the request needs
	 * @return the request
	 */
	public static RoutingRequest among(Set<String> candidates) {
		return new RoutingRequest(candidates, null, Set.of());
	}

	/**
	 * Returns a copy with prefix affinity.
	 * @param hash the hash of the prompt's prefix
	 * @return the copy
	 */
	public RoutingRequest withPrefix(long hash) {
		return new RoutingRequest(this.candidates, hash, this.excluded);
	}

	/**
	 * Returns a copy that avoids endpoints.
	 * @param avoided identifiers of the endpoints to avoid
	 * @return the copy
	 */
	public RoutingRequest excluding(Set<String> avoided) {
		return new RoutingRequest(this.candidates, this.prefixHash, avoided);
	}

}

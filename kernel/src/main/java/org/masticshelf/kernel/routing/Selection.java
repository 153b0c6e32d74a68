package org.masticshelf.kernel.routing;

import java.util.Set;

import org.jspecify.annotations.Nullable;

/**
 * What is to be routed.
 * <p>
 * Immutable.
 *
 * @param candidates identifiers of the endpoints that hold what the request needs
 * @param prefixHash the hash of the prompt's prefix, or {@code null} if affinity does not
 * matter
 * @param excluded identifiers of the endpoints that are avoided if there are others
 */
public record Selection(Set<String> candidates, @Nullable Long prefixHash, Set<String> excluded) {

	/**
	 * Creates a selection.
	 */
	public Selection {
		candidates = Set.copyOf(candidates);
		excluded = Set.copyOf(excluded);
	}

	/**
	 * Creates a selection among endpoints without affinity.
	 * @param candidates identifiers of the endpoints that hold what the request needs
	 * @return the selection
	 */
	public static Selection among(Set<String> candidates) {
		return new Selection(candidates, null, Set.of());
	}

	/**
	 * Returns a copy with affinity.
	 * @param hash the hash of the prompt's prefix
	 * @return the copy
	 */
	public Selection withPrefix(long hash) {
		return new Selection(this.candidates, hash, this.excluded);
	}

	/**
	 * Returns a copy that avoids endpoints.
	 * @param avoided identifiers of the endpoints
	 * @return the copy
	 */
	public Selection without(Set<String> avoided) {
		return new Selection(this.candidates, this.prefixHash, avoided);
	}

}

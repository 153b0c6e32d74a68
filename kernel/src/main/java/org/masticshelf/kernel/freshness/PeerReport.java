package org.masticshelf.kernel.freshness;

/**
 * What a peer said when it was last asked.
 * <p>
 * Immutable.
 *
 * @param failureDomain the failure domain of the peer
 * @param askedMillisecondsAgo how long ago the question was sent
 * @param reachesService whether the peer had an answer of the key-value service within
 * the bound of freshness
 * @param vouched whether the peer can vouch for its revision, see
 * {@link FreshnessFacts#vouched()}
 * @param revision the revision in force at the peer
 */
public record PeerReport(String failureDomain, long askedMillisecondsAgo, boolean reachesService, boolean vouched,
		long revision) {
}

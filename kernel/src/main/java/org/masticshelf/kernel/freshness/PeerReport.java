package org.masticshelf.kernel.freshness;

/**
 * Holds a peer's answer to the last query.
 * <p>
 * Immutable.
 *
 * @param failureDomain the failure domain of the peer
 * @param askedMillisecondsAgo how long ago the query was sent
 * @param reachesService whether the key-value service has answered the peer within the
 * freshness bound
 * @param vouched whether the peer can vouch for its revision, see
 * {@link FreshnessFacts#vouched()}
 * @param revision the revision in force at the peer
 */
public record PeerReport(String failureDomain, long askedMillisecondsAgo, boolean reachesService, boolean vouched,
		long revision) {
}

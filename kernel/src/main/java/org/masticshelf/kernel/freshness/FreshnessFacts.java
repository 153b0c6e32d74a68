package org.masticshelf.kernel.freshness;

import java.util.List;
import java.util.Set;

/**
 * Holds what a daemon knows about the freshness of its configuration at one instant.
 * <p>
 * Immutable.
 *
 * @param confirmedMillisecondsAgo the age of the latest confirmation, direct or through a
 * peer, that the revision in force here was the head, {@link #NEVER} if there is none
 * @param vouched whether this daemon knows at least every change that was reported as in
 * force before it started: it has received a confirmation, or has learnt its revision
 * from a majority of failure domains that could vouch for theirs
 * @param revision the revision in force here
 * @param failureDomain this daemon's failure domain
 * @param failureDomains all configured failure domains
 * @param reports the latest report of each peer
 */
public record FreshnessFacts(long confirmedMillisecondsAgo, boolean vouched, long revision, String failureDomain,
		Set<String> failureDomains, List<PeerReport> reports) {

	/** The age of a confirmation that was never received. */
	public static final long NEVER = Long.MAX_VALUE;

	/**
	 * Creates facts.
	 */
	public FreshnessFacts {
		failureDomains = Set.copyOf(failureDomains);
		reports = List.copyOf(reports);
	}

}

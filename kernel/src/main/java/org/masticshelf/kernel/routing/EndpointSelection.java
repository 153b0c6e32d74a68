package org.masticshelf.kernel.routing;

import java.util.List;

import org.jspecify.annotations.Nullable;

/**
 * Chooses the endpoint for a request by load, failure domain and cached prompts.
 * <p>
 * Bursts of requests that share the beginning of their prompt arrive at several daemons
 * at once. They are sent to the endpoint that their prompt hashes to, so that the shared
 * beginning is processed once, unless that endpoint has clearly more load than the least
 * loaded one. Stateless and thread-safe.
 */
public final class EndpointSelection {

	/**
	 * Requests by which the load of the preferred endpoint may exceed that of the least
	 * loaded one.
	 */
	static final double AFFINITY_SLACK_REQUESTS = 4;

	/** Penalty for an endpoint in another failure domain, in requests. */
	static final double OTHER_DOMAIN_PENALTY_REQUESTS = 0.5;

	private EndpointSelection() {
	}

	/**
	 * Chooses an endpoint.
	 * @param candidates the endpoints that hold what the request needs
	 * @param sharedPrompt identifies the shared part of the prompt, empty for none
	 * @param tieBreaker decides between equally loaded endpoints
	 * @return the chosen candidate, {@code null} if all are full
	 */
	public static @Nullable Candidate choose(List<Candidate> candidates, String sharedPrompt, int tieBreaker) {
		Candidate leastLoaded = null;
		Candidate preferred = null;
		for (Candidate candidate : candidates) {
			if (candidate.full()) {
				continue;
			}
			if (leastLoaded == null || compareByLoad(candidate, leastLoaded, tieBreaker) < 0) {
				leastLoaded = candidate;
			}
			if (preferred == null
					|| rendezvousWeight(candidate, sharedPrompt) > rendezvousWeight(preferred, sharedPrompt)) {
				preferred = candidate;
			}
		}
		if (leastLoaded == null || preferred == null || sharedPrompt.isEmpty()) {
			return leastLoaded;
		}
		return (load(preferred) <= load(leastLoaded) + AFFINITY_SLACK_REQUESTS) ? preferred : leastLoaded;
	}

	private static int compareByLoad(Candidate left, Candidate right, int tieBreaker) {
		int byLoad = Double.compare(load(left), load(right));
		return (byLoad != 0) ? byLoad : Integer.compare(left.identifier().hashCode() ^ tieBreaker,
				right.identifier().hashCode() ^ tieBreaker);
	}

	private static double load(Candidate candidate) {
		return candidate.requests() + (candidate.sameDomain() ? 0 : OTHER_DOMAIN_PENALTY_REQUESTS)
				+ candidate.penalty();
	}

	/**
	 * Returns the rank of an endpoint for a shared prompt, equal at all daemons.
	 * @param candidate the endpoint
	 * @param sharedPrompt identifies the shared part of the prompt
	 * @return a number, the highest for the endpoint that the prompt hashes to
	 */
	static long rendezvousWeight(Candidate candidate, String sharedPrompt) {
		long hash = hash(hash(hash(0xcbf29ce484222325L, sharedPrompt), "|"), candidate.identifier());
		hash = (hash ^ (hash >>> 33)) * 0xff51afd7ed558ccdL;
		return (hash ^ (hash >>> 33)) >>> 1;
	}

	private static long hash(long start, String text) {
		long hash = start;
		for (int index = 0; index < text.length(); index++) {
			hash = (hash ^ text.charAt(index)) * 0x100000001b3L;
		}
		return hash;
	}

	/**
	 * An endpoint that holds what the request needs.
	 *
	 * @param identifier the endpoint's identifier
	 * @param requests the requests of all daemons in progress there
	 * @param sameDomain whether it is in the daemon's failure domain
	 * @param full whether it cannot accept another request
	 * @param penalty additional load for recent failures, in requests
	 */
	public record Candidate(String identifier, double requests, boolean sameDomain, boolean full, double penalty) {
	}

}

package org.masticshelf.kernel.quarantine;

import java.util.HashMap;
import java.util.Map;

/**
 * The end of one run of an endpoint that broke requests which had just been given to it.
 * Immutable.
 *
 * @param run identifies the run of the endpoint, equal at all daemons
 * @param address the IP address and port of the endpoint
 * @param at when the requests broke, monotonic milliseconds
 * @param fingerprints the shared segments of the prompts of these requests, each with its
 * position in its prompt, and the {@linkplain RequestFingerprint whole requests} behind
 * them
 */
public record EndpointCrash(String run, String address, long at, Map<String, Integer> fingerprints) {

	/** Creates a crash. */
	public EndpointCrash {
		fingerprints = Map.copyOf(fingerprints);
	}

	/**
	 * Combines two observations of the same run.
	 * @param other the other observation
	 * @return the earlier time with the fingerprints of both
	 */
	public EndpointCrash merge(EndpointCrash other) {
		Map<String, Integer> all = new HashMap<>(this.fingerprints);
		other.fingerprints.forEach((fingerprint, position) -> all.merge(fingerprint, position, Math::max));
		return new EndpointCrash(this.run, this.address, Math.min(this.at, other.at), all);
	}

}

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
 * @param segments the shared segments of the prompts of these requests, each with its
 * position in its prompt
 */
public record EndpointCrash(String run, String address, long at, Map<String, Integer> segments) {

	/** Creates a crash. */
	public EndpointCrash {
		segments = Map.copyOf(segments);
	}

	/**
	 * Combines two observations of the same run.
	 * @param other the other observation
	 * @return the earlier time with the segments of both
	 */
	public EndpointCrash merge(EndpointCrash other) {
		Map<String, Integer> all = new HashMap<>(this.segments);
		other.segments.forEach((segment, position) -> all.merge(segment, position, Math::max));
		return new EndpointCrash(this.run, this.address, Math.min(this.at, other.at), all);
	}

}

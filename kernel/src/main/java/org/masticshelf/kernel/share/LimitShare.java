package org.masticshelf.kernel.share;

import java.util.Collection;

/**
 * A daemon's share of the requests a second that an endpoint takes from all daemons
 * together.
 * <p>
 * Designed for an endpoint in need whose limit is far below the number of daemons: a
 * request cannot be divided, so only some daemons have a share, the same ones in the view
 * of all. The shares and their bursts together stay within one and a half times the limit
 * and five requests in four seconds, with a reserve for daemons that know different
 * peers. Immutable and thread-safe.
 *
 * @param ratePerSecond the requests a second, 0 without a share
 * @param burst the requests that may be sent at once
 */
public record LimitShare(double ratePerSecond, double burst) {

	/** The share of a daemon that sends nothing to the endpoint. */
	public static final LimitShare NONE = new LimitShare(0, 0);

	/** The smallest limit, so that the end of a limit of 0 is noticed. */
	static final double MINIMUM_REQUESTS_PER_SECOND = 0.1;

	/** Daemons with a share, beyond those in proportion to the limit. */
	private static final int MINIMUM_HOLDERS = 3;

	private static final double HOLDERS_PER_REQUEST_PER_SECOND = 1.5;

	private static final double BURST_SECONDS = 0.5;

	/**
	 * The reserve in the bound of a cold endpoint for requests that daemons send until
	 * they have learned that it is cold. Two halves that use their shares to the full
	 * would leave no room for these.
	 */
	private static final double RESERVED_REQUESTS = 2;

	private static final double MAXIMUM_RESERVED_PART = 0.25;

	/**
	 * Returns the share of a daemon.
	 * @param requestsPerSecond the limit
	 * @param endpoint identifies the run of the endpoint
	 * @param self the incarnation of the daemon
	 * @param peers the incarnations of its peers
	 * @return the share
	 */
	public static LimitShare of(double requestsPerSecond, String endpoint, String self, Collection<String> peers) {
		double limit = Math.max(MINIMUM_REQUESTS_PER_SECOND, requestsPerSecond);
		long holders = (long) Math.min(peers.size() + 1, HOLDERS_PER_REQUEST_PER_SECOND * limit + MINIMUM_HOLDERS);
		if (countAhead(endpoint, self, peers) >= holders) {
			return NONE;
		}
		double rate = limit / holders;
		return new LimitShare(rate, Math.max(1, rate * BURST_SECONDS));
	}

	/**
	 * Returns the share of a daemon in what a cold endpoint tolerates. The holders'
	 * bursts of one request and their rates together stay within half of the bound for
	 * one second, less a reserve, so that two halves of the daemons that do not see each
	 * other stay within the bound.
	 * @param requestsPerSecond the requests a second that the endpoint tolerates
	 * @param bound how many requests it may get within one second
	 * @param endpoint identifies the run of the endpoint
	 * @param self the incarnation of the daemon
	 * @param peers the incarnations of its peers
	 * @return the share
	 */
	public static LimitShare ofCold(double requestsPerSecond, ColdBound bound, String endpoint, String self,
			Collection<String> peers) {
		double inOneSecond = bound.requestsInOneSecond(requestsPerSecond);
		double half = (inOneSecond - Math.min(RESERVED_REQUESTS, inOneSecond * MAXIMUM_RESERVED_PART)) / 2;
		long holders = Math.clamp((long) (half / 2), 1, peers.size() + 1);
		double rate = Math.min(requestsPerSecond, half - holders);
		return (rate > 0 && countAhead(endpoint, self, peers) < holders) ? new LimitShare(rate / holders, 1) : NONE;
	}

	private static long countAhead(String endpoint, String self, Collection<String> peers) {
		long ownWeight = weight(endpoint, self);
		return peers.stream().filter((peer) -> isAhead(weight(endpoint, peer), peer, ownWeight, self)).count();
	}

	private static boolean isAhead(long weight, String peer, long ownWeight, String self) {
		return weight > ownWeight || (weight == ownWeight && peer.compareTo(self) > 0);
	}

	private static long weight(String endpoint, String daemon) {
		long hash = 0xcbf29ce484222325L;
		String text = endpoint + "|" + daemon;
		for (int index = 0; index < text.length(); index++) {
			hash = (hash ^ text.charAt(index)) * 0x100000001b3L;
		}
		hash = (hash ^ (hash >>> 33)) * 0xff51afd7ed558ccdL;
		return (hash ^ (hash >>> 33)) >>> 1;
	}

}

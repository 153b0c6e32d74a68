package org.masticshelf.kernel.admission;

/**
 * Decides whether a request that finds no free slot is turned away at once, because the
 * ones that rank before it keep the slots busy until its time limit.
 * <p>
 * Addresses sustained demand above the capacity of a pool: without the cutoff, each
 * request waits until its limit and is refused then, which costs its caller the time in
 * which another attempt might have succeeded. Estimates change with each message of a
 * peer, so that a cutoff that has begun ends only when there is clearly room again, and a
 * request that already waits is given up only when there is clearly none. Immutable.
 *
 * @param refusing whether the last request that arrived was turned away
 */
public record AdmissionCutoff(boolean refusing) {

	/** The cutoff of a queue that has not turned a request away. */
	public static final AdmissionCutoff OPEN = new AdmissionCutoff(false);

	/** The share of the time left in which a request must start to end the cutoff. */
	private static final double REOPENING_SHARE = 0.75;

	/** The multiple of the time left at which a request stops waiting. */
	private static final double GIVING_UP_SHARE = 1.25;

	/**
	 * Estimates when a request starts.
	 * @param ahead the number of requests that get a slot before it
	 * @param slots the slots that it may use
	 * @param serviceMilliseconds how long a request occupies a slot, 0 if unknown
	 * @return the time until it starts in milliseconds, negative if unknown
	 */
	public static long expectedMilliseconds(double ahead, double slots, double serviceMilliseconds) {
		return (slots > 0 && serviceMilliseconds > 0) ? (long) Math.ceil((ahead + 1) * serviceMilliseconds / slots)
				: -1;
	}

	/**
	 * Decides on a request that has just arrived.
	 * @param expectedMilliseconds the expected time until it starts, not negative
	 * @param leftMilliseconds the time until its answer must have begun
	 * @return the cutoff that applies to it and to those that arrive later
	 */
	public AdmissionCutoff decide(long expectedMilliseconds, long leftMilliseconds) {
		double limit = this.refusing ? REOPENING_SHARE * leftMilliseconds : leftMilliseconds;
		return new AdmissionCutoff(expectedMilliseconds > limit);
	}

	/**
	 * Decides on a request that already waits.
	 * @param expectedMilliseconds the expected time until it starts, not negative
	 * @param leftMilliseconds the time until its answer must have begun
	 * @return whether it goes on waiting
	 */
	public static boolean mayGoOnWaiting(long expectedMilliseconds, long leftMilliseconds) {
		return leftMilliseconds > 0 && expectedMilliseconds <= GIVING_UP_SHARE * leftMilliseconds;
	}

}

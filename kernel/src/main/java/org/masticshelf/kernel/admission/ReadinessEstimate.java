package org.masticshelf.kernel.admission;

/**
 * The expected time at which what a request waits for is ready, as far as a waiting
 * request has learned it.
 * <p>
 * Estimates arrive in messages of the placing daemon, which may be lost, and end with the
 * load. Designed for requests that have waited for a slow load of many seconds: if the
 * estimate vanishes at the moment at which the load is due, they must not be refused just
 * then. Immutable.
 *
 * @param readyAt the expected time, in milliseconds since the request arrived, negative
 * if none was ever learned
 */
public record ReadinessEstimate(long readyAt) {

	/** No estimate. */
	public static final ReadinessEstimate NONE = new ReadinessEstimate(-1);

	/**
	 * How long after the expected time a vanished estimate still holds: the time after
	 * which a silent placing daemon counts as gone.
	 */
	static final long GRACE_MILLISECONDS = 1_500;

	/**
	 * Learns the current estimate.
	 * @param waitedMilliseconds how long the request has waited
	 * @param readyInMilliseconds the time until ready, negative if unknown
	 * @return the new estimate, unchanged if the time is unknown
	 */
	public ReadinessEstimate learn(long waitedMilliseconds, long readyInMilliseconds) {
		return (readyInMilliseconds >= 0) ? new ReadinessEstimate(waitedMilliseconds + readyInMilliseconds) : this;
	}

	/**
	 * Returns the time until ready.
	 * @param waitedMilliseconds how long the request has waited
	 * @return milliseconds from now, negative if unknown or long overdue
	 */
	public long readyIn(long waitedMilliseconds) {
		boolean known = this.readyAt >= 0 && waitedMilliseconds <= this.readyAt + GRACE_MILLISECONDS;
		return known ? Math.max(0, this.readyAt - waitedMilliseconds) : -1;
	}

}

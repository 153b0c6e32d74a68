package org.masticshelf.kernel.routing;

/**
 * Passive failure detection of one endpoint: ejection after failures in a row, for a time
 * that doubles with each ejection, and a slow start afterwards.
 * <p>
 * Not safe for use by several threads; guarded by the lock of its board.
 */
final class EndpointHealth {

	static final int FAILURES_BEFORE_EJECTION = 3;

	static final long BASE_EJECTION_NANOSECONDS = 2_000_000_000L;

	static final long MAXIMUM_EJECTION_NANOSECONDS = 60_000_000_000L;

	static final long SLOW_START_NANOSECONDS = 10_000_000_000L;

	private static final int MAXIMUM_DOUBLINGS = 5;

	private static final double LEAST_WEIGHT = 0.1;

	private int failures;

	private int ejections;

	private boolean everEjected;

	private long ejectedUntil;

	void recordSuccess(long now) {
		this.failures = 0;
		if (this.ejections > 0 && !isEjected(now) && now - this.ejectedUntil > SLOW_START_NANOSECONDS) {
			this.ejections = 0;
		}
	}

	/**
	 * Notes a failure.
	 * @return whether the endpoint has failed often enough to be ejected
	 */
	boolean recordFailure() {
		this.failures++;
		return this.failures >= FAILURES_BEFORE_EJECTION;
	}

	void eject(long now) {
		long duration = BASE_EJECTION_NANOSECONDS << Math.min(this.ejections, MAXIMUM_DOUBLINGS);
		this.ejectedUntil = now + Math.min(duration, MAXIMUM_EJECTION_NANOSECONDS);
		this.everEjected = true;
		this.ejections++;
		this.failures = 0;
	}

	boolean isEjected(long now) {
		return this.everEjected && this.ejectedUntil - now > 0;
	}

	long ejectedUntil() {
		return this.ejectedUntil;
	}

	/**
	 * Returns the share of the usual load that the endpoint takes.
	 * @param now the monotonic reading in nanoseconds
	 * @return from a tenth after an ejection, rising evenly to 1
	 */
	double slowStartWeight(long now) {
		if (!this.everEjected) {
			return 1;
		}
		double risen = (double) (now - this.ejectedUntil) / SLOW_START_NANOSECONDS;
		return Math.clamp(risen, LEAST_WEIGHT, 1);
	}

}

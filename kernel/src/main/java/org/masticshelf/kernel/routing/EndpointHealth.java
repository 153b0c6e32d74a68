package org.masticshelf.kernel.routing;

/**
 * Passive failure detection for one endpoint. Consecutive failures eject the endpoint for
 * a time that doubles with each ejection, followed by a slow start.
 * <p>
 * Not thread-safe; guarded by the lock of its shard.
 */
final class EndpointHealth {

	static final int FAILURES_BEFORE_EJECTION = 3;

	static final long BASE_EJECTION_NANOSECONDS = 2_000_000_000L;

	static final long MAXIMUM_EJECTION_NANOSECONDS = 60_000_000_000L;

	static final long SLOW_START_NANOSECONDS = 10_000_000_000L;

	private static final int MAXIMUM_DOUBLINGS = 5;

	private static final double MINIMUM_WEIGHT = 0.1;

	private int consecutiveFailures;

	private int ejections;

	private boolean everEjected;

	private long ejectedUntil;

	void recordSuccess(long now) {
		this.consecutiveFailures = 0;
		if (this.ejections > 0 && !isEjected(now) && now - this.ejectedUntil > SLOW_START_NANOSECONDS) {
			this.ejections = 0;
		}
	}

	/**
	 * Records a failure.
	 * @return whether the endpoint has failed often enough to be ejected
	 */
	boolean recordFailure() {
		this.consecutiveFailures++;
		return this.consecutiveFailures >= FAILURES_BEFORE_EJECTION;
	}

	void eject(long now) {
		long durationNanoseconds = BASE_EJECTION_NANOSECONDS << Math.min(this.ejections, MAXIMUM_DOUBLINGS);
		this.ejectedUntil = now + Math.min(durationNanoseconds, MAXIMUM_EJECTION_NANOSECONDS);
		this.everEjected = true;
		this.ejections++;
		this.consecutiveFailures = 0;
	}

	boolean isEjected(long now) {
		return this.everEjected && this.ejectedUntil - now > 0;
	}

	long ejectedUntil() {
		return this.ejectedUntil;
	}

	/**
	 * Returns the share of its usual load that the endpoint receives.
	 * @param now the monotonic reading in nanoseconds
	 * @return a share that rises linearly from 0.1 after an ejection to 1
	 */
	double slowStartWeight(long now) {
		if (!this.everEjected) {
			return 1;
		}
		double slowStartProgress = (double) (now - this.ejectedUntil) / SLOW_START_NANOSECONDS;
		return Math.clamp(slowStartProgress, MINIMUM_WEIGHT, 1);
	}

}

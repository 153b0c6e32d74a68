package org.masticshelf.kernel.routing;

import org.masticshelf.kernel.configuration.Pool;

/**
 * What one daemon knows of one endpoint's load.
 * <p>
 * Invariant: the number of outstanding requests is never negative. Not safe for use by
 * several threads; guarded by the lock of its board.
 */
final class TrackedEndpoint {

	/** The age above which a report is no longer counted. */
	static final long REPORT_LIFE_NANOSECONDS = 5_000_000_000L;

	private static final double LATENCY_SMOOTHING = 0.2;

	private final EndpointHealth health = new EndpointHealth();

	private Pool.Endpoint endpoint;

	private boolean leaving;

	private int outstanding;

	private boolean reported;

	private int reportedLoad;

	private long reportedAt;

	private int startedSinceReport;

	private int endedSinceReport;

	private double latencyNanoseconds;

	TrackedEndpoint(Pool.Endpoint endpoint) {
		this.endpoint = endpoint;
	}

	void recordStart() {
		this.outstanding++;
		this.startedSinceReport++;
	}

	void recordEnd() {
		if (this.outstanding == 0) {
			throw new IllegalStateException("more requests ended than started at " + this.endpoint.identifier());
		}
		this.outstanding--;
		this.endedSinceReport++;
	}

	void recordLatency(long nanoseconds) {
		this.latencyNanoseconds = (this.latencyNanoseconds > 0)
				? this.latencyNanoseconds + LATENCY_SMOOTHING * (nanoseconds - this.latencyNanoseconds) : nanoseconds;
	}

	/**
	 * Takes over a report. Requests that this daemon started or ended while the report
	 * was under way may or may not be counted in it; they are counted as started.
	 * @param running requests that ran at the engine
	 * @param waitingRequests requests that waited at the engine
	 * @param startedMeanwhile requests that this daemon started since it asked
	 * @param taken the monotonic reading in nanoseconds at which the report was asked for
	 */
	void recordReport(int running, int waitingRequests, int startedMeanwhile, long taken) {
		this.reported = true;
		this.reportedLoad = running + waitingRequests;
		this.reportedAt = taken;
		this.startedSinceReport = startedMeanwhile;
		this.endedSinceReport = 0;
	}

	/**
	 * Estimates the load: the last report with own starts and ends since, never below the
	 * own outstanding requests.
	 * @param now the monotonic reading in nanoseconds
	 * @return requests that run or wait at the endpoint
	 */
	int effectiveLoad(long now) {
		if (!this.reported || now - this.reportedAt > REPORT_LIFE_NANOSECONDS) {
			return this.outstanding;
		}
		return Math.max(this.outstanding, this.reportedLoad + this.startedSinceReport - this.endedSinceReport);
	}

	int startedSinceReport() {
		return this.startedSinceReport;
	}

	boolean isFull(long now) {
		return effectiveLoad(now) >= this.endpoint.slots();
	}

	double latencyNanoseconds() {
		return this.latencyNanoseconds;
	}

	EndpointHealth health() {
		return this.health;
	}

	Pool.Endpoint endpoint() {
		return this.endpoint;
	}

	void endpoint(Pool.Endpoint changed) {
		this.endpoint = changed;
	}

	boolean isLeaving() {
		return this.leaving;
	}

	void setLeaving(boolean isLeaving) {
		this.leaving = isLeaving;
	}

	int outstanding() {
		return this.outstanding;
	}

}

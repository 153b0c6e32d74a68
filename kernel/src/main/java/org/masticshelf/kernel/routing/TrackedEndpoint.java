package org.masticshelf.kernel.routing;

import org.masticshelf.kernel.configuration.Pool;

/**
 * The load and health of one endpoint as one daemon observes them.
 * <p>
 * Invariant: the number of outstanding requests is never negative. Not thread-safe;
 * guarded by the lock of its shard.
 */
final class TrackedEndpoint {

	/** The age above which a report is ignored. */
	static final long REPORT_LIFETIME_NANOSECONDS = 5_000_000_000L;

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
	 * Records a load report. Requests that this daemon started or ended while the report
	 * was being fetched may or may not be counted in it; they are treated as started.
	 * @param running the requests that run at the engine
	 * @param waitingRequests the requests that wait at the engine
	 * @param startedMeanwhile the requests that this daemon started since it requested
	 * the report
	 * @param taken the monotonic reading in nanoseconds at which the report was requested
	 */
	void recordReport(int running, int waitingRequests, int startedMeanwhile, long taken) {
		this.reported = true;
		this.reportedLoad = running + waitingRequests;
		this.reportedAt = taken;
		this.startedSinceReport = startedMeanwhile;
		this.endedSinceReport = 0;
	}

	/**
	 * Estimates the load: the last report plus this daemon's starts minus its ends since
	 * then, but at least its outstanding requests.
	 * @param now the monotonic reading in nanoseconds
	 * @return the requests that run or wait at the endpoint
	 */
	int effectiveLoad(long now) {
		if (!this.reported || now - this.reportedAt > REPORT_LIFETIME_NANOSECONDS) {
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

	void setEndpoint(Pool.Endpoint changed) {
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

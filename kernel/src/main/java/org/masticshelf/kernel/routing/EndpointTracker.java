package org.masticshelf.kernel.routing;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

import org.jspecify.annotations.Nullable;

import org.masticshelf.kernel.configuration.Pool;

/**
 * Tracks the load, latency and health of the endpoints of one pool as one daemon observes
 * them.
 * <p>
 * Invariants: at most {@link #MAXIMUM_EJECTED_SHARE} of the pool's endpoints, but at
 * least one if there are several, are ejected at once, and never all. Not thread-safe;
 * guarded by the lock of its shard. Times are monotonic readings in nanoseconds.
 */
public final class EndpointTracker {

	/** The maximum share of the endpoints that are ejected at once. */
	public static final double MAXIMUM_EJECTED_SHARE = 0.34;

	private final Map<String, TrackedEndpoint> trackedEndpoints = new LinkedHashMap<>();

	/**
	 * Replaces the endpoints with those of the configuration and keeps the state of the
	 * ones that remain.
	 * @param endpoints the endpoints of the pool
	 */
	public void update(Collection<Pool.Endpoint> endpoints) {
		Set<String> identifiers = endpoints.stream().map(Pool.Endpoint::identifier).collect(Collectors.toSet());
		this.trackedEndpoints.keySet().retainAll(identifiers);
		for (Pool.Endpoint endpoint : endpoints) {
			this.trackedEndpoints.computeIfAbsent(endpoint.identifier(), (identifier) -> new TrackedEndpoint(endpoint))
				.setEndpoint(endpoint);
		}
	}

	/**
	 * Records that a request is sent to an endpoint. Each call is followed by exactly one
	 * call of {@link #recordSuccess}, {@link #recordFailure} or
	 * {@link #recordCancellation}.
	 * @param identifier the endpoint
	 */
	public void recordStart(String identifier) {
		TrackedEndpoint tracked = this.trackedEndpoints.get(identifier);
		if (tracked != null) {
			tracked.recordStart();
		}
	}

	/**
	 * Records that a request ended with a complete answer.
	 * @param identifier the endpoint
	 * @param latencyNanoseconds the time from sending the request to the first part of
	 * the answer
	 * @param now the monotonic reading
	 */
	public void recordSuccess(String identifier, long latencyNanoseconds, long now) {
		TrackedEndpoint tracked = this.trackedEndpoints.get(identifier);
		if (tracked != null) {
			endRequest(tracked);
			tracked.recordLatency(latencyNanoseconds);
			tracked.health().recordSuccess(now);
		}
	}

	/**
	 * Records that a request failed because of the endpoint or the connection to it.
	 * @param identifier the endpoint
	 * @param now the monotonic reading
	 * @return whether this failure ejected the endpoint
	 */
	public boolean recordFailure(String identifier, long now) {
		TrackedEndpoint tracked = this.trackedEndpoints.get(identifier);
		if (tracked == null) {
			return false;
		}
		endRequest(tracked);
		if (!tracked.health().recordFailure() || tracked.health().isEjected(now) || !mayEjectOneMore(now)) {
			return false;
		}
		tracked.health().eject(now);
		return true;
	}

	/**
	 * Records that a request ended without affecting the endpoint's health, for example
	 * because its caller disconnected or the endpoint was busy.
	 * @param identifier the endpoint
	 */
	public void recordCancellation(String identifier) {
		TrackedEndpoint tracked = this.trackedEndpoints.get(identifier);
		if (tracked != null) {
			endRequest(tracked);
		}
	}

	// An endpoint that was removed from the configuration and added again starts without
	// outstanding requests.
	private static void endRequest(TrackedEndpoint tracked) {
		if (tracked.outstanding() > 0) {
			tracked.recordEnd();
		}
	}

	private boolean mayEjectOneMore(long now) {
		int size = this.trackedEndpoints.size();
		long ejected = this.trackedEndpoints.values()
			.stream()
			.filter((tracked) -> tracked.health().isEjected(now))
			.count();
		long maximumEjected = Math.min(size - 1, Math.max(1, (long) (size * MAXIMUM_EJECTED_SHARE)));
		return ejected < maximumEjected;
	}

	/**
	 * Marks the time at which a load report is requested.
	 * @param identifier the endpoint
	 * @param now the monotonic reading
	 * @return the mark to pass to {@link #recordReport}
	 */
	public ReportMark mark(String identifier, long now) {
		TrackedEndpoint tracked = this.trackedEndpoints.get(identifier);
		return new ReportMark((tracked != null) ? tracked.startedSinceReport() : 0, now);
	}

	/**
	 * Records a load report.
	 * @param identifier the endpoint
	 * @param running the requests of all daemons that run at the engine
	 * @param waiting the requests of all daemons that wait at the engine
	 * @param mark the mark taken when the report was requested
	 */
	public void recordReport(String identifier, int running, int waiting, ReportMark mark) {
		TrackedEndpoint tracked = this.trackedEndpoints.get(identifier);
		if (tracked != null) {
			int startedMeanwhile = Math.max(0, tracked.startedSinceReport() - mark.started());
			tracked.recordReport(running, waiting, startedMeanwhile, mark.taken());
		}
	}

	/**
	 * Sets whether an endpoint is leaving and receives no new requests.
	 * @param identifier the endpoint
	 * @param leaving whether it is leaving
	 */
	public void setLeaving(String identifier, boolean leaving) {
		TrackedEndpoint tracked = this.trackedEndpoints.get(identifier);
		if (tracked != null) {
			tracked.setLeaving(leaving);
		}
	}

	/**
	 * Returns whether an endpoint is ejected.
	 * @param identifier the endpoint
	 * @param now the monotonic reading
	 * @return whether it is avoided because of failures
	 */
	public boolean isEjected(String identifier, long now) {
		TrackedEndpoint tracked = this.trackedEndpoints.get(identifier);
		return tracked != null && tracked.health().isEjected(now);
	}

	/**
	 * Estimates the load of an endpoint.
	 * @param identifier the endpoint
	 * @param now the monotonic reading
	 * @return the requests that run or wait there, 0 for an unknown endpoint
	 */
	public int effectiveLoad(String identifier, long now) {
		TrackedEndpoint tracked = this.trackedEndpoints.get(identifier);
		return (tracked != null) ? tracked.effectiveLoad(now) : 0;
	}

	@Nullable TrackedEndpoint find(String identifier) {
		return this.trackedEndpoints.get(identifier);
	}

	/**
	 * The time at which a report was requested.
	 *
	 * @param started this daemon's requests started since the previous report
	 * @param taken the monotonic reading in nanoseconds
	 */
	public record ReportMark(int started, long taken) {
	}

}

package org.masticshelf.kernel.routing;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

import org.jspecify.annotations.Nullable;

import org.masticshelf.kernel.configuration.Pool;

/**
 * What one daemon knows of the endpoints of one pool: load, latency and health.
 * <p>
 * Invariants: at most {@link #MAXIMUM_EJECTED_SHARE} of the pool's endpoints, but at
 * least one if there are several, are ejected at once, and never all. Not safe for use by
 * several threads; guarded by the lock of its shard. Readings are monotonic nanoseconds.
 */
public final class EndpointTracker {

	/** The share of the endpoints that may be ejected at once. */
	public static final double MAXIMUM_EJECTED_SHARE = 0.34;

	private final Map<String, TrackedEndpoint> states = new LinkedHashMap<>();

	/**
	 * Takes over the endpoints of the configuration, keeping what is known of those that
	 * stay.
	 * @param endpoints the endpoints of the pool
	 */
	public void update(Collection<Pool.Endpoint> endpoints) {
		Set<String> identifiers = endpoints.stream().map(Pool.Endpoint::identifier).collect(Collectors.toSet());
		this.states.keySet().retainAll(identifiers);
		for (Pool.Endpoint endpoint : endpoints) {
			this.states.computeIfAbsent(endpoint.identifier(), (identifier) -> new TrackedEndpoint(endpoint))
				.endpoint(endpoint);
		}
	}

	/**
	 * Notes that a request is sent to an endpoint. Each call is followed by exactly one
	 * of {@link #recordSuccess}, {@link #recordFailure} and {@link #recordCancellation}.
	 * @param identifier the endpoint
	 */
	public void recordStart(String identifier) {
		TrackedEndpoint state = this.states.get(identifier);
		if (state != null) {
			state.recordStart();
		}
	}

	/**
	 * Notes that a request ended with a whole answer.
	 * @param identifier the endpoint
	 * @param latencyNanoseconds the time from sending it to the first piece of the answer
	 * @param now the monotonic reading
	 */
	public void recordSuccess(String identifier, long latencyNanoseconds, long now) {
		TrackedEndpoint state = this.states.get(identifier);
		if (state != null) {
			end(state);
			state.recordLatency(latencyNanoseconds);
			state.health().recordSuccess(now);
		}
	}

	/**
	 * Notes that a request ended because of the endpoint or the way to it.
	 * @param identifier the endpoint
	 * @param now the monotonic reading
	 * @return whether the endpoint was ejected for it
	 */
	public boolean recordFailure(String identifier, long now) {
		TrackedEndpoint state = this.states.get(identifier);
		if (state == null) {
			return false;
		}
		end(state);
		if (!state.health().recordFailure() || state.health().isEjected(now) || !mayEjectOneMore(now)) {
			return false;
		}
		state.health().eject(now);
		return true;
	}

	/**
	 * Notes that a request ended without saying anything about the endpoint's health, for
	 * example because its caller has gone or the endpoint was busy.
	 * @param identifier the endpoint
	 */
	public void recordCancellation(String identifier) {
		TrackedEndpoint state = this.states.get(identifier);
		if (state != null) {
			end(state);
		}
	}

	// An endpoint that left the configuration and came back starts at a count of 0.
	private static void end(TrackedEndpoint state) {
		if (state.outstanding() > 0) {
			state.recordEnd();
		}
	}

	private boolean mayEjectOneMore(long now) {
		int size = this.states.size();
		long ejected = this.states.values().stream().filter((state) -> state.health().isEjected(now)).count();
		long bound = Math.min(size - 1, Math.max(1, (long) (size * MAXIMUM_EJECTED_SHARE)));
		return ejected < bound;
	}

	/**
	 * Marks the moment at which a report is asked for.
	 * @param identifier the endpoint
	 * @param now the monotonic reading
	 * @return the mark to give back with the report
	 */
	public ReportMark mark(String identifier, long now) {
		TrackedEndpoint state = this.states.get(identifier);
		return new ReportMark((state != null) ? state.startedSinceReport() : 0, now);
	}

	/**
	 * Takes over a load report.
	 * @param identifier the endpoint
	 * @param running requests that ran at the engine, of all daemons
	 * @param waiting requests that waited at the engine, of all daemons
	 * @param mark the mark taken when the report was asked for
	 */
	public void recordReport(String identifier, int running, int waiting, ReportMark mark) {
		TrackedEndpoint state = this.states.get(identifier);
		if (state != null) {
			int startedMeanwhile = Math.max(0, state.startedSinceReport() - mark.started());
			state.recordReport(running, waiting, startedMeanwhile, mark.taken());
		}
	}

	/**
	 * Sets whether an endpoint will be gone soon and gets no new work.
	 * @param identifier the endpoint
	 * @param leaving whether it is leaving
	 */
	public void setLeaving(String identifier, boolean leaving) {
		TrackedEndpoint state = this.states.get(identifier);
		if (state != null) {
			state.setLeaving(leaving);
		}
	}

	/**
	 * Returns whether an endpoint is ejected.
	 * @param identifier the endpoint
	 * @param now the monotonic reading
	 * @return whether it is avoided because of failures
	 */
	public boolean isEjected(String identifier, long now) {
		TrackedEndpoint state = this.states.get(identifier);
		return state != null && state.health().isEjected(now);
	}

	/**
	 * Estimates the load of an endpoint.
	 * @param identifier the endpoint
	 * @param now the monotonic reading
	 * @return requests that run or wait there, 0 for an unknown endpoint
	 */
	public int effectiveLoad(String identifier, long now) {
		TrackedEndpoint state = this.states.get(identifier);
		return (state != null) ? state.effectiveLoad(now) : 0;
	}

	@Nullable TrackedEndpoint find(String identifier) {
		return this.states.get(identifier);
	}

	/**
	 * The moment at which a report was asked for.
	 *
	 * @param started own requests started since the report before
	 * @param taken the monotonic reading in nanoseconds
	 */
	public record ReportMark(int started, long taken) {
	}

}

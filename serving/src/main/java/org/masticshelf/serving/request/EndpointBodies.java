package org.masticshelf.serving.request;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;

import org.masticshelf.kernel.event.Event;
import org.masticshelf.kernel.serving.ServedEndpoint;

/**
 * Bounds the sum of the bodies that are in progress at each endpoint, so that an endpoint
 * that does not read, or reads slowly, is not flooded.
 * <p>
 * Invariants: the sum is above the bound only if a single larger body is in progress;
 * runs of endpoints without a body in progress hold no state. The state is guarded by the
 * lock of this object. Thread-safe.
 */
public final class EndpointBodies {

	/** The bound that protects an endpoint's memory from one daemon. */
	public static final long BOUND_BYTES = 16L * 1024 * 1024;

	private final long bound;

	private final Consumer<Event> log;

	private final Map<String, Sum> sums = new HashMap<>();

	private long heldBack;

	/**
	 * Creates bounds without any body in progress.
	 * @param bound the maximum sum of an endpoint, {@link Long#MAX_VALUE} for none
	 * @param log receives the events
	 */
	public EndpointBodies(long bound, Consumer<Event> log) {
		this.bound = bound;
		this.log = log;
	}

	/**
	 * Creates bounds that no body exceeds.
	 * @return the bounds
	 */
	public static EndpointBodies unbounded() {
		return new EndpointBodies(Long.MAX_VALUE, (event) -> {
		});
	}

	/**
	 * Returns whether an endpoint may get a body now.
	 * @param endpoint the endpoint
	 * @param bytes the length of the body
	 * @return whether the sum stays within the bound, or nothing else is in progress
	 */
	public boolean hasRoom(ServedEndpoint endpoint, long bytes) {
		if (isUnbounded(bytes)) {
			return true;
		}
		Event full = null;
		synchronized (this) {
			Sum sum = this.sums.get(keyOf(endpoint));
			if (sum == null || sum.bytes + bytes <= this.bound) {
				return true;
			}
			this.heldBack++;
			if (!sum.logged) {
				sum.logged = true;
				full = Event.named("endpoint.bodies_full")
					.with("endpoint", endpoint.identifier())
					.with("started_at", endpoint.startedAt())
					.with("in_progress", sum.bytes)
					.with("body_bytes", bytes)
					.with("bound", this.bound);
			}
		}
		if (full != null) {
			this.log.accept(full);
		}
		return false;
	}

	/**
	 * Begins a body if there is room for it.
	 * @param endpoint the endpoint
	 * @param bytes the length of the body
	 * @return whether the body is in progress now
	 */
	public boolean tryBegin(ServedEndpoint endpoint, long bytes) {
		if (isUnbounded(bytes)) {
			return true;
		}
		synchronized (this) {
			if (!hasRoom(endpoint, bytes)) {
				return false;
			}
			this.sums.computeIfAbsent(keyOf(endpoint), (key) -> new Sum()).bytes += bytes;
			return true;
		}
	}

	/**
	 * Ends a body that was begun.
	 * @param endpoint the endpoint
	 * @param bytes the length of the body
	 */
	public void end(ServedEndpoint endpoint, long bytes) {
		if (isUnbounded(bytes)) {
			return;
		}
		synchronized (this) {
			this.sums.computeIfPresent(keyOf(endpoint), (key, sum) -> {
				sum.bytes -= bytes;
				return (sum.bytes > 0) ? sum : null;
			});
		}
	}

	private boolean isUnbounded(long bytes) {
		return bytes == 0 || this.bound == Long.MAX_VALUE;
	}

	/**
	 * Returns the largest sum of all endpoints.
	 * @return the bytes in progress at the endpoint that has most
	 */
	public synchronized long largestSum() {
		return this.sums.values().stream().mapToLong((sum) -> sum.bytes).max().orElse(0);
	}

	/**
	 * Returns how often an endpoint was left out because of its bodies in progress.
	 * @return the number since the start, counted at each look at an endpoint
	 */
	public synchronized long heldBack() {
		return this.heldBack;
	}

	private static String keyOf(ServedEndpoint endpoint) {
		return endpoint.identifier() + "/" + endpoint.startedAt();
	}

	/** The bodies in progress at one run of an endpoint. */
	private static final class Sum {

		private long bytes;

		/** Whether a lack of room was logged since nothing was in progress. */
		private boolean logged;

	}

}

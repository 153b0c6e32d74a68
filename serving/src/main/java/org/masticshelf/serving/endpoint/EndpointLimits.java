package org.masticshelf.serving.endpoint;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.function.Consumer;

import org.jspecify.annotations.Nullable;

import org.masticshelf.kernel.event.Event;
import org.masticshelf.kernel.serving.ServedEndpoint;
import org.masticshelf.kernel.time.MonotonicClock;

/**
 * The limits that endpoints in need state in their answers. Thread-safe.
 */
public final class EndpointLimits {

	private final MonotonicClock clock;

	private final Consumer<Event> log;

	private final Map<String, StatedLimit> limits = new HashMap<>();

	/**
	 * Creates an empty set of limits.
	 * @param clock the clock
	 * @param log receives the events
	 */
	public EndpointLimits(MonotonicClock clock, Consumer<Event> log) {
		this.clock = clock;
		this.log = log;
	}

	/**
	 * Records what an endpoint states in an answer.
	 * @param endpoint the endpoint
	 * @param requestsPerSecond the requests a second that it takes from all daemons
	 * together, {@code null} for no limit
	 */
	public synchronized void learn(ServedEndpoint endpoint, @Nullable Double requestsPerSecond) {
		String run = runOf(endpoint);
		StatedLimit before = (requestsPerSecond != null)
				? this.limits.put(run, new StatedLimit(requestsPerSecond, this.clock.milliseconds()))
				: this.limits.remove(run);
		Double limitBefore = (before != null) ? Double.valueOf(before.requestsPerSecond()) : null;
		if (!Objects.equals(limitBefore, requestsPerSecond)) {
			this.log.accept(Event.named("endpoint.limit_stated")
				.with("endpoint", endpoint.identifier())
				.with("started_at", endpoint.startedAt())
				.with("requests_per_second", requestsPerSecond)
				.with("before", limitBefore));
		}
	}

	/**
	 * Discards the limit of an endpoint that was removed or restarted.
	 * @param endpoint the endpoint
	 */
	public synchronized void forget(ServedEndpoint endpoint) {
		this.limits.remove(runOf(endpoint));
	}

	/**
	 * Returns the number of endpoints that state a limit.
	 * @return the number
	 */
	public synchronized int size() {
		return this.limits.size();
	}

	private static String runOf(ServedEndpoint endpoint) {
		return endpoint.identifier() + "/" + endpoint.startedAt();
	}

	/**
	 * A limit that an endpoint has stated.
	 *
	 * @param requestsPerSecond the requests a second
	 * @param at when it was last stated, monotonic milliseconds
	 */
	private record StatedLimit(double requestsPerSecond, long at) {
	}

}

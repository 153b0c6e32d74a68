package org.masticshelf.serving.endpoint;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;

import org.masticshelf.kernel.event.Event;
import org.masticshelf.kernel.serving.ServedEndpoint;
import org.masticshelf.kernel.time.MonotonicClock;

/**
 * Detects endpoints that are silent on all streams of this daemon for longer than the
 * allowed pause.
 * <p>
 * Invariants: a stream counts only after its first event and while this daemon waits for
 * its next one, so that neither the reading of a prompt nor a slow caller is taken for
 * silence of the endpoint; an endpoint without such streams is not silent. Thread-safe.
 */
public final class StreamSilence {

	private final MonotonicClock clock;

	private final Map<String, Streams> streams = new HashMap<>();

	/**
	 * Creates an empty set.
	 * @param clock the clock
	 */
	public StreamSilence(MonotonicClock clock) {
		this.clock = clock;
	}

	/**
	 * Records that the next event of a stream is awaited.
	 * @param endpoint the endpoint
	 * @param allowedMilliseconds the longest pause that is allowed
	 */
	public synchronized void recordAwaiting(ServedEndpoint endpoint, long allowedMilliseconds) {
		Streams ofEndpoint = this.streams.computeIfAbsent(endpoint.identifier(), (key) -> new Streams());
		if (ofEndpoint.awaiting == 0) {
			ofEndpoint.heardAt = this.clock.milliseconds();
		}
		ofEndpoint.awaiting++;
		ofEndpoint.allowedMilliseconds = allowedMilliseconds;
	}

	/**
	 * Records that an awaited event has arrived, or that its stream has ended.
	 * @param endpoint the endpoint
	 * @param arrived whether an event has arrived
	 */
	public synchronized void recordAwaited(ServedEndpoint endpoint, boolean arrived) {
		Streams ofEndpoint = this.streams.get(endpoint.identifier());
		if (ofEndpoint != null) {
			ofEndpoint.awaiting--;
			ofEndpoint.heardAt = arrived ? this.clock.milliseconds() : ofEndpoint.heardAt;
			removeIfUnused(endpoint, ofEndpoint);
		}
	}

	/**
	 * Returns whether an endpoint is silent, and logs it when that has changed since the
	 * last call.
	 * @param endpoint the endpoint
	 * @param log receives the change
	 * @return whether it is silent on all streams that this daemon awaits
	 */
	public synchronized boolean observe(ServedEndpoint endpoint, Consumer<Event> log) {
		Streams ofEndpoint = this.streams.get(endpoint.identifier());
		if (ofEndpoint == null) {
			return false;
		}
		boolean silent = isSilent(ofEndpoint);
		if (silent != ofEndpoint.logged) {
			ofEndpoint.logged = silent;
			log.accept(Event.named(silent ? "endpoint.silent" : "endpoint.heard")
				.with("endpoint", endpoint.identifier())
				.with("streams", ofEndpoint.awaiting)
				.with("silent_ms", this.clock.milliseconds() - ofEndpoint.heardAt)
				.with("allowed_ms", ofEndpoint.allowedMilliseconds));
		}
		removeIfUnused(endpoint, ofEndpoint);
		return silent;
	}

	/**
	 * Returns how many endpoints are silent.
	 * @return the number of endpoints
	 */
	public synchronized int size() {
		return (int) this.streams.values().stream().filter(this::isSilent).count();
	}

	/**
	 * Discards what was logged of an endpoint that was removed, which is not observed any
	 * more.
	 * @param endpoint the endpoint
	 */
	public synchronized void forget(ServedEndpoint endpoint) {
		Streams ofEndpoint = this.streams.get(endpoint.identifier());
		if (ofEndpoint != null) {
			ofEndpoint.logged = false;
			removeIfUnused(endpoint, ofEndpoint);
		}
	}

	private void removeIfUnused(ServedEndpoint endpoint, Streams ofEndpoint) {
		if (ofEndpoint.awaiting == 0 && !ofEndpoint.logged) {
			this.streams.remove(endpoint.identifier());
		}
	}

	private boolean isSilent(Streams ofEndpoint) {
		return ofEndpoint.awaiting > 0
				&& this.clock.milliseconds() - ofEndpoint.heardAt > ofEndpoint.allowedMilliseconds;
	}

	/** The streams of one endpoint, guarded by the lock of the enclosing instance. */
	private static final class Streams {

		private int awaiting;

		private long heardAt;

		private long allowedMilliseconds;

		private boolean logged;

	}

}

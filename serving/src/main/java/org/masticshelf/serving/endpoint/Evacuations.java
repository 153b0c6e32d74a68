package org.masticshelf.serving.endpoint;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import java.util.function.ToIntFunction;

import org.masticshelf.kernel.event.Event;
import org.masticshelf.kernel.serving.EvacuatedDomains;
import org.masticshelf.kernel.serving.ServedEndpoint;
import org.masticshelf.kernel.time.MonotonicClock;

/**
 * Applies the evacuations of failure domains that operators have ordered, and reports
 * their progress.
 * <p>
 * Invariants: the endpoints of an evacuated failure domain are left out of the directory
 * before {@link #apply} returns; each evacuation is reported as complete at most once,
 * when no request of this daemon runs there any more. Thread-safe; the directory is
 * changed and events are logged in the order of the calls.
 */
public final class Evacuations {

	private final EndpointDirectory directory;

	private final ToIntFunction<String> runningRequests;

	private final MonotonicClock clock;

	private final Consumer<Event> log;

	private final Map<String, Evacuation> evacuations = new HashMap<>();

	private final List<Consumer<String>> takeBackListeners = new CopyOnWriteArrayList<>();

	/**
	 * Creates an instance without evacuations.
	 * @param directory the endpoints
	 * @param runningRequests returns the number of requests of this daemon that run in a
	 * failure domain
	 * @param clock the clock
	 * @param log receives the events
	 */
	public Evacuations(EndpointDirectory directory, ToIntFunction<String> runningRequests, MonotonicClock clock,
			Consumer<Event> log) {
		this.directory = directory;
		this.runningRequests = runningRequests;
		this.clock = clock;
		this.log = log;
	}

	/**
	 * Adds a listener that is called with each failure domain whose evacuation is taken
	 * back, before its endpoints are in the directory again.
	 * @param listener the listener
	 */
	public void addTakeBackListener(Consumer<String> listener) {
		this.takeBackListeners.add(listener);
	}

	/**
	 * Replaces the evacuated failure domains.
	 * @param evacuated the failure domains that are evacuated from now on
	 */
	public synchronized void apply(EvacuatedDomains evacuated) {
		long now = this.clock.milliseconds();
		List<Event> events = new ArrayList<>();
		this.evacuations.entrySet().removeIf((entry) -> {
			boolean ended = !evacuated.names().contains(entry.getKey());
			if (ended) {
				this.takeBackListeners.forEach((listener) -> listener.accept(entry.getKey()));
				events.add(entry.getValue().event("evacuation.ended", entry.getKey(), now));
			}
			return ended;
		});
		evacuated.revisions().forEach((domain, revision) -> {
			Evacuation known = this.evacuations.get(domain);
			if (known == null) {
				Evacuation begun = new Evacuation(revision, now, false);
				this.evacuations.put(domain, begun);
				events.add(begun.event("evacuation.begun", domain, now)
					.with("running", this.runningRequests.applyAsInt(domain)));
			}
			else {
				this.evacuations.put(domain, new Evacuation(revision, known.begunAt(), known.complete()));
			}
		});
		this.directory.setEvacuated(evacuated.names());
		events.forEach(this.log);
	}

	/** Reports the evacuations that are complete since the last call. */
	public synchronized void round() {
		this.evacuations.replaceAll((domain, evacuation) -> {
			if (evacuation.complete() || this.runningRequests.applyAsInt(domain) > 0) {
				return evacuation;
			}
			this.log.accept(evacuation.event("evacuation.complete", domain, this.clock.milliseconds()));
			return new Evacuation(evacuation.revision(), evacuation.begunAt(), true);
		});
	}

	/**
	 * Returns whether the failure domain of an endpoint is evacuated.
	 * @param endpoint the endpoint
	 * @return whether it must get no request and no order
	 */
	public synchronized boolean isEvacuated(ServedEndpoint endpoint) {
		return this.evacuations.containsKey(endpoint.failureDomain());
	}

	/**
	 * Returns the number of evacuated failure domains.
	 * @return the number
	 */
	public synchronized int size() {
		return this.evacuations.size();
	}

	/**
	 * An evacuation in force.
	 *
	 * @param revision the revision of the key-value service at which it was ordered
	 * @param begunAt when this daemon learned of it, monotonic milliseconds
	 * @param complete whether no request of this daemon runs there any more
	 */
	private record Evacuation(long revision, long begunAt, boolean complete) {

		private Event event(String name, String domain, long now) {
			return Event.named(name)
				.with("domain", domain)
				.with("revision", this.revision)
				.with("age_ms", now - this.begunAt);
		}

	}

}

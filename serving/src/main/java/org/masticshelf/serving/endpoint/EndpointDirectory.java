package org.masticshelf.serving.endpoint;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;

import org.jspecify.annotations.Nullable;

import org.masticshelf.kernel.event.Event;
import org.masticshelf.kernel.serving.Loadable;
import org.masticshelf.kernel.serving.ServedEndpoint;
import org.masticshelf.kernel.serving.ServedEndpoint.Holdings;
import org.masticshelf.kernel.time.MonotonicClock;

/**
 * The endpoints that take requests, and what each holds.
 * <p>
 * The list comes from the platform; what engines hold comes also from the placing daemon,
 * which knows it sooner. Invariants: an endpoint that was seen leaving takes no new
 * request in the same run; a description of an earlier run never replaces one of a later
 * run. Safe for use by several threads; listeners are called without the lock held.
 */
public final class EndpointDirectory {

	/**
	 * How long what the placing daemon says goes before the endpoint's own description.
	 */
	private static final long ANNOUNCEMENT_MILLISECONDS = 2_000;

	/** How long a failed request shows that an endpoint lacks something. */
	private static final long LACKING_MILLISECONDS = 400;

	private final MonotonicClock clock;

	private final Consumer<Event> log;

	private final Map<String, ServedEndpoint> listed = new HashMap<>();

	private final Map<String, Long> leavingRuns = new HashMap<>();

	private final Map<String, Announcement> announced = new HashMap<>();

	private final Map<String, Map<Loadable, Long>> lacking = new HashMap<>();

	private final List<Runnable> listeners = new CopyOnWriteArrayList<>();

	private final List<Consumer<ServedEndpoint>> goneListeners = new CopyOnWriteArrayList<>();

	/**
	 * Creates an empty directory.
	 * @param clock the clock
	 * @param log receives the events
	 */
	public EndpointDirectory(MonotonicClock clock, Consumer<Event> log) {
		this.clock = clock;
		this.log = log;
	}

	/**
	 * Adds a listener that is called after each change.
	 * @param listener the listener
	 */
	public void addListener(Runnable listener) {
		this.listeners.add(listener);
	}

	/**
	 * Adds a listener that is told of each endpoint that is gone.
	 * @param listener the listener
	 */
	public void addRemovalListener(Consumer<ServedEndpoint> listener) {
		this.goneListeners.add(listener);
	}

	/**
	 * Replaces the list.
	 * @param endpoints the endpoints as they describe themselves now
	 */
	public void replace(Collection<ServedEndpoint> endpoints) {
		List<Event> events = new ArrayList<>();
		List<ServedEndpoint> gone = new ArrayList<>();
		synchronized (this) {
			Set<String> present = new HashSet<>();
			for (ServedEndpoint endpoint : endpoints) {
				present.add(endpoint.identifier());
				ServedEndpoint known = this.listed.get(endpoint.identifier());
				if (known != null && known.startedAt() > endpoint.startedAt()) {
					continue;
				}
				boolean sameRun = known != null && known.isSameRun(endpoint);
				if (known != null && !sameRun) {
					gone.add(known);
				}
				if (endpoint.leaving()) {
					this.leavingRuns.merge(endpoint.identifier(), endpoint.startedAt(), Math::max);
				}
				this.listed.put(endpoint.identifier(), endpoint);
				if (known == null || !sameRun || known.leaving() != endpoint.leaving()) {
					events.add(Event.named("endpoint.listed")
						.with("endpoint", endpoint.identifier())
						.with("address", endpoint.address())
						.with("pool", endpoint.pool())
						.with("started_at", endpoint.startedAt())
						.with("leaving", endpoint.leaving()));
				}
			}
			for (String identifier : List.copyOf(this.listed.keySet())) {
				if (!present.contains(identifier)) {
					ServedEndpoint removed = this.listed.remove(identifier);
					this.announced.remove(identifier);
					this.lacking.remove(identifier);
					gone.add(removed);
					events.add(Event.named("endpoint.unlisted").with("endpoint", identifier));
				}
			}
		}
		events.forEach(this.log);
		gone.forEach((endpoint) -> this.goneListeners.forEach((listener) -> listener.accept(endpoint)));
		this.listeners.forEach(Runnable::run);
	}

	/**
	 * Takes in what the placing daemon says that an engine holds.
	 * @param identifier the endpoint
	 * @param startedAt the run of the endpoint
	 * @param ordersTaken how many orders it had taken
	 * @param holdings what it holds
	 */
	public void applyAnnouncement(String identifier, long startedAt, long ordersTaken, Holdings holdings) {
		boolean changed;
		synchronized (this) {
			Announcement fresh = new Announcement(startedAt, ordersTaken, holdings, this.clock.milliseconds());
			Announcement before = this.announced.put(identifier, fresh);
			changed = before == null || !before.holdings().equals(holdings) || before.startedAt() != startedAt;
			if (changed) {
				this.lacking.remove(identifier);
			}
		}
		if (changed) {
			this.listeners.forEach(Runnable::run);
		}
	}

	/**
	 * Notes that an endpoint refused a request since it lacks what the request needs.
	 * @param endpoint the endpoint
	 * @param loadable what it lacks
	 */
	public synchronized void recordLacking(ServedEndpoint endpoint, Loadable loadable) {
		this.lacking.computeIfAbsent(endpoint.identifier(), (key) -> new HashMap<>())
			.put(loadable, this.clock.milliseconds() + LACKING_MILLISECONDS);
	}

	/**
	 * Returns the endpoints of a pool that take new requests.
	 * @param pool the pool
	 * @return the endpoints, in no order
	 */
	public synchronized List<ServedEndpoint> inPool(String pool) {
		List<ServedEndpoint> endpoints = new ArrayList<>();
		for (ServedEndpoint endpoint : this.listed.values()) {
			if (endpoint.pool().equals(pool) && !isLeaving(endpoint)) {
				endpoints.add(endpoint);
			}
		}
		return endpoints;
	}

	/**
	 * Returns the endpoints of a pool that hold a loadable and take new requests.
	 * @param pool the pool
	 * @param loadable the model or adapter, {@code null} for a plain call
	 * @return the endpoints, in no order
	 */
	public synchronized List<ServedEndpoint> holding(String pool, @Nullable Loadable loadable) {
		List<ServedEndpoint> endpoints = inPool(pool);
		if (loadable != null) {
			endpoints.removeIf((endpoint) -> !holdings(endpoint).serves(loadable) || isLacking(endpoint, loadable));
		}
		return endpoints;
	}

	/**
	 * Finds an endpoint that takes new requests.
	 * @param identifier its identifier
	 * @return the endpoint or {@code null}
	 */
	public synchronized @Nullable ServedEndpoint find(String identifier) {
		ServedEndpoint endpoint = this.listed.get(identifier);
		return (endpoint != null && !isLeaving(endpoint)) ? endpoint : null;
	}

	/**
	 * Returns whether any endpoint is known.
	 * @return whether the list has been read
	 */
	public synchronized boolean isEmpty() {
		return this.listed.isEmpty();
	}

	private Holdings holdings(ServedEndpoint endpoint) {
		Announcement announcement = this.announced.get(endpoint.identifier());
		if (announcement == null || announcement.startedAt() != endpoint.startedAt()) {
			return endpoint.holdings();
		}
		boolean fresh = this.clock.milliseconds() - announcement.at() < ANNOUNCEMENT_MILLISECONDS;
		boolean later = announcement.ordersTaken() > endpoint.ordersTaken();
		boolean same = announcement.ordersTaken() == endpoint.ordersTaken();
		return (later || (same && fresh)) ? announcement.holdings() : endpoint.holdings();
	}

	private boolean isLeaving(ServedEndpoint endpoint) {
		return this.leavingRuns.getOrDefault(endpoint.identifier(), Long.MIN_VALUE) >= endpoint.startedAt();
	}

	private boolean isLacking(ServedEndpoint endpoint, Loadable loadable) {
		Long until = this.lacking.getOrDefault(endpoint.identifier(), Map.of()).get(loadable);
		return until != null && this.clock.milliseconds() < until;
	}

	/**
	 * What the placing daemon said of an engine.
	 *
	 * @param startedAt the run of the endpoint
	 * @param ordersTaken how many orders it had taken
	 * @param holdings what it holds
	 * @param at when it was said, monotonic milliseconds
	 */
	private record Announcement(long startedAt, long ordersTaken, Holdings holdings, long at) {
	}

}

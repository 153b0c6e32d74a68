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
import org.masticshelf.kernel.serving.LoadableName;
import org.masticshelf.kernel.serving.Regions;
import org.masticshelf.kernel.serving.ServedEndpoint;
import org.masticshelf.kernel.serving.ServedEndpoint.Holdings;
import org.masticshelf.kernel.time.MonotonicClock;

/**
 * Holds the listed endpoints and what each of them has loaded.
 * <p>
 * The list comes from the platform; engines' holdings are also announced by the placing
 * daemon, which knows them earlier. Invariants: an endpoint that was seen leaving gets no
 * new request until it restarts; a description from before a restart never replaces one
 * from after it; endpoints in evacuated failure domains are listed, but never returned.
 * Thread-safe; listeners are called without the lock held.
 */
public final class EndpointDirectory {

	/**
	 * How long an announcement of the placing daemon takes precedence over the endpoint's
	 * own description, which is written and read seconds later. The placing daemon
	 * repeats its announcements more often.
	 */
	private static final long ANNOUNCEMENT_PRECEDENCE_MILLISECONDS = 2_000;

	/**
	 * How long an endpoint counts as lacking a model or adapter after it refused a
	 * request for it.
	 */
	private static final long LACKING_MILLISECONDS = 400;

	private final MonotonicClock clock;

	private final Consumer<Event> log;

	private final Map<String, ServedEndpoint> listed = new HashMap<>();

	private final Map<String, Long> leavingStartTimes = new HashMap<>();

	private final Map<String, Announcement> announcements = new HashMap<>();

	private final Map<String, Map<LoadableName, Long>> lacking = new HashMap<>();

	private Set<String> evacuated = Set.of();

	private volatile Regions regions = Regions.NONE;

	private final List<Runnable> listeners = new CopyOnWriteArrayList<>();

	private final List<Consumer<ServedEndpoint>> removalListeners = new CopyOnWriteArrayList<>();

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
	 * Sets the regions of the failure domains.
	 * @param mapping the regions
	 */
	public void setRegions(Regions mapping) {
		this.regions = mapping;
	}

	/**
	 * Returns the regions of the failure domains.
	 * @return the regions
	 */
	public Regions regions() {
		return this.regions;
	}

	/**
	 * Adds a listener that is called after each change.
	 * @param listener the listener
	 */
	public void addListener(Runnable listener) {
		this.listeners.add(listener);
	}

	/**
	 * Adds a listener that is called with each endpoint that was removed or restarted.
	 * @param listener the listener
	 */
	public void addRemovalListener(Consumer<ServedEndpoint> listener) {
		this.removalListeners.add(listener);
	}

	/**
	 * Replaces the list of endpoints.
	 * @param endpoints the current descriptions of the endpoints
	 */
	public void replace(Collection<ServedEndpoint> endpoints) {
		List<Event> events = new ArrayList<>();
		List<ServedEndpoint> removed = new ArrayList<>();
		synchronized (this) {
			Set<String> present = new HashSet<>();
			for (ServedEndpoint endpoint : endpoints) {
				present.add(endpoint.identifier());
				ServedEndpoint known = this.listed.get(endpoint.identifier());
				if (known != null && known.startedAt() > endpoint.startedAt()) {
					continue;
				}
				boolean sameRun = known != null && known.isSameIncarnation(endpoint);
				if (known != null && !sameRun) {
					removed.add(known);
				}
				if (endpoint.leaving()) {
					this.leavingStartTimes.merge(endpoint.identifier(), endpoint.startedAt(), Math::max);
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
					ServedEndpoint unlisted = this.listed.remove(identifier);
					this.announcements.remove(identifier);
					this.lacking.remove(identifier);
					removed.add(unlisted);
					events.add(Event.named("endpoint.unlisted").with("endpoint", identifier));
				}
			}
		}
		events.forEach(this.log);
		removed.forEach((endpoint) -> this.removalListeners.forEach((listener) -> listener.accept(endpoint)));
		this.listeners.forEach(Runnable::run);
	}

	/**
	 * Applies the placing daemon's announcements of engines' holdings. Listeners are
	 * called once, when all are in force.
	 * @param announced the holdings by engine
	 */
	public void applyAnnouncements(Collection<AnnouncedHoldings> announced) {
		boolean changed = false;
		synchronized (this) {
			for (AnnouncedHoldings engine : announced) {
				Announcement previous = this.announcements.put(engine.identifier(),
						new Announcement(engine, this.clock.milliseconds()));
				if (previous == null || !previous.announced().equals(engine)) {
					this.lacking.remove(engine.identifier());
					changed = true;
				}
			}
		}
		if (changed) {
			this.listeners.forEach(Runnable::run);
		}
	}

	/**
	 * Sets the evacuated failure domains. Their endpoints accept no new requests.
	 * @param domains the names of the failure domains
	 */
	public void setEvacuated(Set<String> domains) {
		synchronized (this) {
			if (domains.equals(this.evacuated)) {
				return;
			}
			this.evacuated = Set.copyOf(domains);
		}
		this.listeners.forEach(Runnable::run);
	}

	/**
	 * Records that an endpoint has said that it is leaving. It gets no new request until
	 * it restarts, whatever its description says.
	 * @param endpoint the endpoint
	 */
	public void recordLeaving(ServedEndpoint endpoint) {
		synchronized (this) {
			if (isLeaving(endpoint)) {
				return;
			}
			this.leavingStartTimes.merge(endpoint.identifier(), endpoint.startedAt(), Math::max);
		}
		this.log.accept(Event.named("endpoint.said_it_leaves")
			.with("endpoint", endpoint.identifier())
			.with("started_at", endpoint.startedAt()));
		this.listeners.forEach(Runnable::run);
	}

	/**
	 * Records that an endpoint refused a request because it lacks a model or adapter.
	 * @param endpoint the endpoint
	 * @param loadable the missing model or adapter
	 */
	public synchronized void recordLacking(ServedEndpoint endpoint, LoadableName loadable) {
		this.lacking.computeIfAbsent(endpoint.identifier(), (key) -> new HashMap<>())
			.put(loadable, this.clock.milliseconds() + LACKING_MILLISECONDS);
	}

	/**
	 * Returns the endpoints of a pool that accept new requests.
	 * @param pool the pool
	 * @return the endpoints, in no order
	 */
	public synchronized List<ServedEndpoint> inPool(String pool) {
		List<ServedEndpoint> endpoints = new ArrayList<>();
		for (ServedEndpoint endpoint : this.listed.values()) {
			if (endpoint.pool().equals(pool) && isAccepting(endpoint)) {
				endpoints.add(endpoint);
			}
		}
		return endpoints;
	}

	/**
	 * Returns the endpoints of a pool that hold a model or adapter and accept new
	 * requests.
	 * @param pool the pool
	 * @param loadable the model or adapter, {@code null} for a plain call
	 * @return the endpoints, in no order
	 */
	public synchronized List<ServedEndpoint> holding(String pool, @Nullable LoadableName loadable) {
		List<ServedEndpoint> endpoints = inPool(pool);
		if (loadable != null) {
			endpoints.removeIf((endpoint) -> !holdings(endpoint).serves(loadable) || isLacking(endpoint, loadable));
		}
		return endpoints;
	}

	/**
	 * Finds an endpoint that accepts new requests.
	 * @param identifier its identifier
	 * @return the endpoint or {@code null}
	 */
	public synchronized @Nullable ServedEndpoint find(String identifier) {
		ServedEndpoint endpoint = this.listed.get(identifier);
		return (endpoint != null && isAccepting(endpoint)) ? endpoint : null;
	}

	/**
	 * Returns whether no endpoint is listed.
	 * @return whether the list is empty
	 */
	public synchronized boolean isEmpty() {
		return this.listed.isEmpty();
	}

	private Holdings holdings(ServedEndpoint endpoint) {
		Announcement announcement = this.announcements.get(endpoint.identifier());
		if (announcement == null || announcement.announced().startedAt() != endpoint.startedAt()) {
			return endpoint.holdings();
		}
		boolean recent = this.clock.milliseconds() - announcement.at() < ANNOUNCEMENT_PRECEDENCE_MILLISECONDS;
		return recent ? announcement.announced().holdings() : endpoint.holdings();
	}

	private boolean isAccepting(ServedEndpoint endpoint) {
		return !isLeaving(endpoint) && !this.evacuated.contains(endpoint.failureDomain());
	}

	private boolean isLeaving(ServedEndpoint endpoint) {
		return this.leavingStartTimes.getOrDefault(endpoint.identifier(), Long.MIN_VALUE) >= endpoint.startedAt();
	}

	private boolean isLacking(ServedEndpoint endpoint, LoadableName loadable) {
		Long until = this.lacking.getOrDefault(endpoint.identifier(), Map.of()).get(loadable);
		return until != null && this.clock.milliseconds() < until;
	}

	/**
	 * The holdings of an engine as the placing daemon knows them. Immutable.
	 *
	 * @param identifier the identifier of the endpoint
	 * @param startedAt when the endpoint was started
	 * @param holdings what it holds
	 */
	public record AnnouncedHoldings(String identifier, long startedAt, Holdings holdings) {
	}

	/**
	 * An announcement and the time of its receipt.
	 *
	 * @param announced the announced holdings
	 * @param at when they were received, monotonic milliseconds
	 */
	private record Announcement(AnnouncedHoldings announced, long at) {
	}

}

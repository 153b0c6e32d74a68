package org.masticshelf.serving.endpoint;

import java.time.InstantSource;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.stream.Collectors;

import org.jspecify.annotations.Nullable;

import org.masticshelf.kernel.event.Event;
import org.masticshelf.kernel.serving.ColdStart;
import org.masticshelf.kernel.serving.ServedEndpoint;
import org.masticshelf.kernel.serving.ServedPool;
import org.masticshelf.kernel.serving.ServedTables;
import org.masticshelf.kernel.share.ColdBound;
import org.masticshelf.kernel.share.ColdStatement;
import org.masticshelf.kernel.share.ColdStatement.Source;
import org.masticshelf.kernel.share.LimitShare;
import org.masticshelf.kernel.time.MonotonicClock;
import org.masticshelf.serving.endpoint.EndpointLimits.Availability;
import org.masticshelf.serving.peer.PeerMessage.StatedLimit;

/**
 * Knows which endpoints are cold, and holds this daemon's share of what each tolerates.
 * <p>
 * An endpoint is limited only if its pool states what cold endpoints tolerate.
 * Invariants: a share starts empty; a daemon has no share in its first second, when it
 * does not know its peers; after a gap in the rounds of this daemon each endpoint is
 * presumed to be cold until its entry was read again. Thread-safe.
 */
public final class ColdEndpoints {

	/** The time between two rounds after which what is known may be out of date. */
	static final long GAP_MILLISECONDS = 1_000;

	/** How long a daemon that has started has no share. */
	static final long STARTING_MILLISECONDS = 1_000;

	/** How long peers are told that an endpoint is warm again. */
	private static final long WARM_REPORT_MILLISECONDS = 10_000;

	private static final int MAXIMUM_RUNS = 4_096;

	private final Settings settings;

	private final Supplier<@Nullable ServedTables> tables;

	private final MonotonicClock clock;

	private final InstantSource wallClock;

	private final Consumer<Event> log;

	private final Runnable onNews;

	private final long startedAt;

	private final Map<String, ServedEndpoint> listed = new HashMap<>();

	private final Map<String, ColdRun> runs = new HashMap<>();

	private Set<String> peers = Set.of();

	private boolean complete;

	private boolean changed;

	private boolean readDue;

	private long roundAt;

	private long readNotBefore;

	/**
	 * Creates an instance that knows no endpoint.
	 * @param settings the settings
	 * @param tables returns the current tables
	 * @param clock the clock
	 * @param wallClock tells how long ago endpoints were started
	 * @param log receives the events
	 * @param onNews called when there is news for peers
	 */
	public ColdEndpoints(Settings settings, Supplier<@Nullable ServedTables> tables, MonotonicClock clock,
			InstantSource wallClock, Consumer<Event> log, Runnable onNews) {
		this.settings = settings;
		this.tables = tables;
		this.clock = clock;
		this.wallClock = wallClock;
		this.log = log;
		this.onNews = onNews;
		this.startedAt = clock.milliseconds();
		this.roundAt = this.startedAt;
	}

	/**
	 * Records the list of endpoints. Those of the first list are as their entries say; a
	 * run that appears later has just started.
	 * @param endpoints the listed endpoints
	 */
	public synchronized void observe(Collection<ServedEndpoint> endpoints) {
		long now = now();
		for (ServedEndpoint endpoint : endpoints) {
			ServedEndpoint known = this.listed.put(endpoint.identifier(), endpoint);
			boolean sameRun = known != null && known.startedAt() == endpoint.startedAt();
			if (!sameRun && this.complete) {
				recordFirstSight(endpoint, now);
			}
			else if (!sameRun || known.coldRemainingMilliseconds() != endpoint.coldRemainingMilliseconds()) {
				recordEntry(endpoint, now);
			}
		}
		this.listed.keySet().retainAll(endpoints.stream().map(ServedEndpoint::identifier).collect(Collectors.toSet()));
		this.complete = this.complete || !endpoints.isEmpty();
	}

	/**
	 * Records entries that were read after a gap between rounds.
	 * @param endpoints the endpoints that the entries describe
	 */
	private synchronized void confirm(Collection<ServedEndpoint> endpoints) {
		endpoints.forEach((endpoint) -> recordEntry(endpoint, now()));
	}

	/**
	 * Records what an endpoint says in an answer.
	 * @param endpoint the endpoint
	 * @param remainingMilliseconds how long it is still cold, 0 if it is warm
	 */
	public synchronized void learn(ServedEndpoint endpoint, long remainingMilliseconds) {
		long now = now();
		if (findColdStart(endpoint) != null
				&& (remainingMilliseconds > 0 || this.runs.containsKey(EndpointLimits.runOf(endpoint)))) {
			state(endpoint, new ColdStatement(Source.ANSWER, now, now + remainingMilliseconds), now);
		}
	}

	/**
	 * Adds what a peer knows.
	 * @param stated what it knows by run of the endpoint
	 */
	public synchronized void merge(Map<String, StatedLimit> stated) {
		long now = now();
		stated.forEach((run, report) -> {
			ColdStatement statement = ColdRun.decode(report, now);
			if (statement != null && (statement.isCold(now) || this.runs.containsKey(run))) {
				state(run, statement, now);
			}
		});
	}

	/**
	 * Adds what peers are told to their limits.
	 * @param reports the stated limits by run of the endpoint
	 * @param maximum the maximum number of reports
	 */
	synchronized void addReports(Map<String, StatedLimit> reports, int maximum) {
		long now = now();
		this.runs.forEach((run, known) -> {
			if (reports.size() < maximum) {
				known.addReport(run, reports, now);
			}
		});
	}

	/**
	 * Sets the daemons that share what endpoints tolerate.
	 * @param incarnations the incarnations of the peers
	 */
	synchronized void setPeers(Set<String> incarnations) {
		if (!incarnations.equals(this.peers)) {
			this.peers = Set.copyOf(incarnations);
			this.runs.values().forEach(ColdRun::forgetShare);
		}
	}

	/**
	 * Takes a request from this daemon's share.
	 * @param endpoint the endpoint
	 * @return whether the request may be sent there now, {@code true} if the endpoint is
	 * warm
	 */
	synchronized boolean tryTake(ServedEndpoint endpoint) {
		long now = now();
		ColdRun run = limitedRun(endpoint, now);
		return run == null || (now - this.startedAt >= STARTING_MILLISECONDS && run.tryTake(now));
	}

	/**
	 * Returns when this daemon may send a request.
	 * @param endpoint the endpoint
	 * @param ahead the requests that wait here for the same
	 * @return when a request may be sent
	 */
	synchronized Availability availability(ServedEndpoint endpoint, int ahead) {
		long now = now();
		ColdRun run = limitedRun(endpoint, now);
		if (run == null) {
			return Availability.NOW;
		}
		return run.availability(now, ahead, this.startedAt + STARTING_MILLISECONDS);
	}

	/**
	 * Returns whether requests to an endpoint are limited because it is cold.
	 * @param endpoint the endpoint
	 * @return whether it is cold
	 */
	public synchronized boolean isCold(ServedEndpoint endpoint) {
		return limitedRun(endpoint, now()) != null;
	}

	/**
	 * Presumes that the endpoints of a failure domain are cold, because its evacuation
	 * was taken back: their entries may lag.
	 * @param domain the failure domain
	 */
	public synchronized void presumeCold(String domain) {
		this.listed.values()
			.stream()
			.filter((endpoint) -> endpoint.failureDomain().equals(domain))
			.forEach((endpoint) -> presumeCold(endpoint, false, now()));
	}

	/**
	 * Discards what is known of a run that has ended.
	 * @param endpoint the endpoint
	 */
	synchronized void forget(ServedEndpoint endpoint) {
		this.runs.remove(EndpointLimits.runOf(endpoint));
	}

	/**
	 * Notices endpoints that have become warm, and reads the entries of endpoints again
	 * after a gap between rounds.
	 * @param reader reads the entries from the key-value service
	 */
	public void round(Supplier<CompletableFuture<Collection<ServedEndpoint>>> reader) {
		if (!isReadDue()) {
			return;
		}
		reader.get().whenComplete((endpoints, failure) -> {
			if (endpoints != null) {
				confirm(endpoints);
			}
			else {
				readAgainLater();
			}
		});
	}

	private synchronized boolean isReadDue() {
		long now = now();
		this.roundAt = now;
		this.runs.entrySet().removeIf((entry) -> {
			ColdRun run = entry.getValue();
			if (!run.isCold(now) && run.report(false)) {
				this.log.accept(Event.named("endpoint.warm").with("endpoint", entry.getKey()));
			}
			return !run.isCold(now) && now - run.newsAt() >= WARM_REPORT_MILLISECONDS;
		});
		boolean due = this.readDue && now >= this.readNotBefore;
		this.readDue &= !due;
		return due && this.runs.values().stream().anyMatch((run) -> run.isPresumedAfterGap(now));
	}

	private synchronized void readAgainLater() {
		this.readDue = true;
		this.readNotBefore = this.clock.milliseconds() + GAP_MILLISECONDS;
	}

	/**
	 * Returns whether there is news for peers since the last call.
	 * @return whether an endpoint has turned cold or warm
	 */
	synchronized boolean takeChanged() {
		boolean result = this.changed;
		this.changed = false;
		return result;
	}

	/**
	 * Returns the number of endpoints that are cold.
	 * @return the number
	 */
	public synchronized int size() {
		long now = this.clock.milliseconds();
		return (int) this.runs.values().stream().filter((run) -> run.isCold(now)).count();
	}

	// Threads that wait for an endpoint may run before the first round after a freeze.
	private long now() {
		long now = this.clock.milliseconds();
		if (now - this.roundAt > GAP_MILLISECONDS) {
			this.roundAt = now;
			this.readDue = true;
			this.listed.values().forEach((endpoint) -> presumeCold(endpoint, true, now));
		}
		return now;
	}

	private void recordFirstSight(ServedEndpoint endpoint, long now) {
		ColdStart coldStart = findColdStart(endpoint);
		long age = (endpoint.startedAt() > 0) ? Math.max(0, this.wallClock.millis() - endpoint.startedAt()) : 0;
		long remaining = Math.max(endpoint.coldRemainingMilliseconds(),
				(coldStart != null) ? coldStart.milliseconds() - age : 0);
		if (remaining > 0 && isLimitable(endpoint)) {
			state(endpoint, new ColdStatement(Source.FIRST_SIGHT, now, now + remaining), now);
		}
	}

	private void recordEntry(ServedEndpoint endpoint, long now) {
		long remaining = endpoint.coldRemainingMilliseconds();
		boolean known = this.runs.containsKey(EndpointLimits.runOf(endpoint));
		if ((remaining > 0 || (remaining == 0 && known)) && isLimitable(endpoint)) {
			state(endpoint, new ColdStatement(Source.ENTRY, now, now + remaining), now);
		}
	}

	// The list of endpoints may be received before the tables.
	private boolean isLimitable(ServedEndpoint endpoint) {
		return this.tables.get() == null || findColdStart(endpoint) != null;
	}

	private void state(ServedEndpoint endpoint, ColdStatement statement, long now) {
		state(EndpointLimits.runOf(endpoint), statement, now);
		limitedRun(endpoint, now);
	}

	private void state(String name, ColdStatement statement, long now) {
		ColdRun run = findOrAdd(name, now);
		if (run == null) {
			return;
		}
		if (run.state(statement, now) && statement.source().isFromEndpoint()) {
			this.changed = true;
			this.onNews.run();
		}
	}

	private void presumeCold(ServedEndpoint endpoint, boolean afterGap, long now) {
		ColdStart coldStart = findColdStart(endpoint);
		ColdRun run = (coldStart != null) ? findOrAdd(EndpointLimits.runOf(endpoint), now) : null;
		if (coldStart != null && run != null) {
			run.presume(now + coldStart.milliseconds(), afterGap, now);
			limitedRun(endpoint, now);
		}
	}

	private @Nullable ColdRun findOrAdd(String name, long now) {
		ColdRun known = this.runs.get(name);
		if (known == null && this.runs.size() < MAXIMUM_RUNS) {
			known = new ColdRun(now);
			this.runs.put(name, known);
		}
		return known;
	}

	private @Nullable ColdRun limitedRun(ServedEndpoint endpoint, long now) {
		if (this.runs.isEmpty()) {
			return null;
		}
		String name = EndpointLimits.runOf(endpoint);
		ColdRun run = this.runs.get(name);
		ColdStart coldStart = (run != null && run.isCold(now)) ? findColdStart(endpoint) : null;
		if (run == null || coldStart == null) {
			return null;
		}
		if (!coldStart.equals(run.coldStart())) {
			run.setShare(now, coldStart, LimitShare.ofCold(coldStart.requestsPerSecond(), this.settings.bound(), name,
					this.settings.self(), this.peers));
		}
		if (run.report(true)) {
			this.log.accept(run.event(name, now).with("daemons", this.peers.size() + 1));
		}
		return run;
	}

	private @Nullable ColdStart findColdStart(ServedEndpoint endpoint) {
		ServedTables current = this.tables.get();
		ServedPool pool = (current != null) ? current.findPool(endpoint.pool()) : null;
		return (pool != null) ? pool.coldStart() : null;
	}

	/**
	 * Settings of the cold limit.
	 *
	 * @param self the incarnation of this daemon
	 * @param bound how many requests a cold endpoint may get within one second
	 */
	public record Settings(String self, ColdBound bound) {
	}

}

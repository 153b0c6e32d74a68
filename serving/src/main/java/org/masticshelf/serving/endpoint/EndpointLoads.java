package org.masticshelf.serving.endpoint;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

import org.jspecify.annotations.Nullable;

import org.masticshelf.kernel.serving.LoadableName;
import org.masticshelf.kernel.serving.ServedEndpoint;
import org.masticshelf.kernel.time.MonotonicClock;

/**
 * Tracks the load and health of each endpoint as seen by this daemon and its peers.
 * <p>
 * An endpoint that cannot be reached or breaks connections is ejected for a time that
 * doubles with each consecutive failure; one that fails some requests gets a load
 * penalty. Thread-safe.
 */
public final class EndpointLoads {

	/** How long an endpoint is ejected after its first failure. */
	static final long FIRST_EJECTION_MILLISECONDS = 500;

	/** The maximum duration of an ejection. */
	static final long MAXIMUM_EJECTION_MILLISECONDS = 8_000;

	/**
	 * How long an endpoint counts as full after it refused a request for lack of
	 * capacity.
	 */
	static final long FULL_MILLISECONDS = 100;

	/**
	 * Consecutive requests without an answer after which an endpoint counts as dead.
	 */
	private static final int TIMEOUTS_UNTIL_EJECTION = 2;

	private static final double FAILURE_SMOOTHING_FACTOR = 0.2;

	private static final double PENALTY_REQUESTS_PER_FAILED_SHARE = 12;

	/** The load penalty, in requests, of endpoints in a silent failure domain. */
	private static final double SILENT_DOMAIN_PENALTY_REQUESTS = 40;

	private static final double IGNORED_FAILED_SHARE = 0.25;

	private final MonotonicClock clock;

	private final ReadPrompts readPrompts;

	private final EndpointPaces paces;

	private final StreamSilence silence;

	private final Map<String, Load> loads = new HashMap<>();

	private final Map<String, Integer> requestsByDomain = new HashMap<>();

	private Map<String, Map<String, Integer>> peerRequests = Map.of();

	private Map<String, Long> peerBacklog = Map.of();

	private long peerBacklogAt;

	private Set<String> silentDomains = Set.of();

	/**
	 * Creates an empty set of loads.
	 * @param clock the clock
	 */
	public EndpointLoads(MonotonicClock clock) {
		this.clock = clock;
		this.readPrompts = new ReadPrompts(clock);
		this.paces = new EndpointPaces(clock);
		this.silence = new StreamSilence(clock);
	}

	/**
	 * Returns how long engines take.
	 * @return the paces
	 */
	public EndpointPaces paces() {
		return this.paces;
	}

	/**
	 * Returns which endpoints are silent on all streams.
	 * @return the silence of endpoints
	 */
	public StreamSilence silence() {
		return this.silence;
	}

	/**
	 * Returns what endpoints have read for this daemon.
	 * @return the shared parts of prompts
	 */
	public ReadPrompts readPrompts() {
		return this.readPrompts;
	}

	/**
	 * Records that a request is being sent.
	 * @param endpoint the endpoint
	 * @param loadable the model or adapter, {@code null} for a plain call
	 * @param tokens the tokens of prompt and output, 0 if unknown
	 */
	public synchronized void recordStart(ServedEndpoint endpoint, @Nullable LoadableName loadable, long tokens) {
		Load load = this.loads.computeIfAbsent(endpoint.identifier(), (key) -> new Load());
		load.requests++;
		this.requestsByDomain.merge(endpoint.failureDomain(), 1, Integer::sum);
		load.tokens += tokens;
		load.running.merge((loadable != null) ? loadable.toString() : "", 1, Integer::sum);
	}

	/**
	 * Records that a request has ended.
	 * @param endpoint the endpoint
	 * @param loadable the model or adapter, {@code null} for a plain call
	 * @param tokens the tokens passed to {@link #recordStart}
	 */
	public synchronized void recordEnd(ServedEndpoint endpoint, @Nullable LoadableName loadable, long tokens) {
		Load load = this.loads.computeIfAbsent(endpoint.identifier(), (key) -> new Load());
		load.requests--;
		this.requestsByDomain.merge(endpoint.failureDomain(), -1, Integer::sum);
		load.tokens -= tokens;
		String name = (loadable != null) ? loadable.toString() : "";
		load.running.computeIfPresent(name, (key, count) -> (count > 1) ? Integer.valueOf(count - 1) : null);
	}

	/**
	 * Records that the backlog of prompt tokens has changed: by the tokens of a request
	 * that was sent, or by those of one that had its first event or ended without any.
	 * @param endpoint the endpoint
	 * @param tokens the prompt tokens, negative if they are read
	 */
	public synchronized void changeBacklog(ServedEndpoint endpoint, long tokens) {
		this.loads.computeIfAbsent(endpoint.identifier(), (key) -> new Load()).backlogTokens += tokens;
	}

	/**
	 * Sets the prompt tokens that endpoints have yet to read for the peers.
	 * @param backlog the tokens by endpoint
	 */
	public synchronized void setPeerBacklog(Map<String, Long> backlog) {
		this.peerBacklog = Map.copyOf(backlog);
		this.peerBacklogAt = this.clock.milliseconds();
	}

	/**
	 * Returns the prompt tokens of this daemon's requests without a first event.
	 * @return the tokens by endpoint, only positive ones
	 */
	public synchronized Map<String, Long> backlog() {
		Map<String, Long> backlog = new HashMap<>();
		this.loads.forEach((identifier, load) -> {
			if (load.backlogTokens > 0) {
				backlog.put(identifier, load.backlogTokens);
			}
		});
		return backlog;
	}

	/**
	 * Returns the prompt tokens that an endpoint has yet to read for all daemons.
	 * @param endpoint the endpoint
	 * @param tokensPerMillisecond the tokens that it reads in a millisecond, by which
	 * what the peers told becomes less as it ages
	 * @return the tokens
	 */
	public synchronized long backlogTokens(ServedEndpoint endpoint, double tokensPerMillisecond) {
		Load load = this.loads.get(endpoint.identifier());
		double told = this.peerBacklog.getOrDefault(endpoint.identifier(), 0L)
				- (this.clock.milliseconds() - this.peerBacklogAt) * tokensPerMillisecond;
		return ((load != null) ? load.backlogTokens : 0) + (long) Math.max(0, told);
	}

	/**
	 * Records an answer.
	 * @param endpoint the endpoint
	 * @param served whether the endpoint served the request
	 */
	public synchronized void recordAnswer(ServedEndpoint endpoint, boolean served) {
		Load load = this.loads.computeIfAbsent(endpoint.identifier(), (key) -> new Load());
		load.consecutiveFailures = 0;
		load.consecutiveTimeouts = 0;
		load.ejectedUntil = 0;
		load.failedShare += FAILURE_SMOOTHING_FACTOR * ((served ? 0 : 1) - load.failedShare);
	}

	/**
	 * Records that an endpoint could not be reached or broke the connection, and ejects
	 * it for a time.
	 * @param endpoint the endpoint
	 * @return how long it is ejected, in milliseconds
	 */
	public synchronized long recordFailure(ServedEndpoint endpoint) {
		Load load = this.loads.computeIfAbsent(endpoint.identifier(), (key) -> new Load());
		long ejectionMilliseconds = Math.min(MAXIMUM_EJECTION_MILLISECONDS,
				FIRST_EJECTION_MILLISECONDS << Math.min(load.consecutiveFailures, 8));
		load.consecutiveFailures++;
		load.ejectedUntil = this.clock.milliseconds() + ejectionMilliseconds;
		load.failedShare += FAILURE_SMOOTHING_FACTOR * (1 - load.failedShare);
		return ejectionMilliseconds;
	}

	/**
	 * Records that a request timed out. An endpoint with several consecutive timeouts is
	 * ejected as if it had broken the connection.
	 * @param endpoint the endpoint
	 * @return how long it is ejected, in milliseconds, 0 if it is not
	 */
	public synchronized long recordTimeout(ServedEndpoint endpoint) {
		Load load = this.loads.computeIfAbsent(endpoint.identifier(), (key) -> new Load());
		load.consecutiveTimeouts++;
		return (load.consecutiveTimeouts >= TIMEOUTS_UNTIL_EJECTION) ? recordFailure(endpoint) : 0;
	}

	/**
	 * Records that an endpoint refused a request for lack of capacity.
	 * @param endpoint the endpoint
	 */
	public synchronized void recordFull(ServedEndpoint endpoint) {
		this.loads.computeIfAbsent(endpoint.identifier(), (key) -> new Load()).fullUntil = this.clock.milliseconds()
				+ FULL_MILLISECONDS;
	}

	/**
	 * Records that an endpoint wants no requests of this daemon for a time.
	 * @param endpoint the endpoint
	 * @param milliseconds how long
	 */
	public synchronized void recordPause(ServedEndpoint endpoint, long milliseconds) {
		Load load = this.loads.computeIfAbsent(endpoint.identifier(), (key) -> new Load());
		load.pausedUntil = Math.max(load.pausedUntil, this.clock.milliseconds() + milliseconds);
	}

	/**
	 * Returns how long an endpoint still wants no requests of this daemon.
	 * @param endpoint the endpoint
	 * @return the time in milliseconds, 0 if it takes requests
	 */
	public synchronized long pauseMilliseconds(ServedEndpoint endpoint) {
		Load load = this.loads.get(endpoint.identifier());
		return (load != null) ? Math.max(0, load.pausedUntil - this.clock.milliseconds()) : 0;
	}

	/**
	 * Discards the state of an endpoint that was removed or restarted.
	 * @param endpoint the endpoint
	 */
	public synchronized void forget(ServedEndpoint endpoint) {
		this.paces.forget(endpoint);
		this.silence.forget(endpoint);
		Load load = this.loads.get(endpoint.identifier());
		if (load != null && load.requests == 0) {
			this.loads.remove(endpoint.identifier());
		}
		else if (load != null) {
			load.consecutiveFailures = 0;
			load.ejectedUntil = 0;
			load.failedShare = 0;
			load.pausedUntil = 0;
		}
	}

	/**
	 * Sets the requests that the peers have running.
	 * @param running the total requests of all peers by endpoint and model or adapter
	 */
	public synchronized void setPeerRequests(Map<String, Map<String, Integer>> running) {
		this.peerRequests = Map.copyOf(running);
	}

	/**
	 * Sets the failure domains that may be partitioned off.
	 * @param domains the silent failure domains
	 * @return whether the set has changed
	 */
	public synchronized boolean setSilentDomains(Set<String> domains) {
		boolean changed = !domains.equals(this.silentDomains);
		this.silentDomains = Set.copyOf(domains);
		return changed;
	}

	/**
	 * Returns whether an endpoint may be partitioned off with its failure domain.
	 * @param endpoint the endpoint
	 * @return whether its failure domain is silent
	 */
	public synchronized boolean isInSilentDomain(ServedEndpoint endpoint) {
		return this.silentDomains.contains(endpoint.failureDomain());
	}

	/**
	 * Returns the number of requests that this daemon has running in a failure domain.
	 * @param domain the failure domain
	 * @return the number, also of endpoints that are not listed any more
	 */
	public synchronized int requestsIn(String domain) {
		return this.requestsByDomain.getOrDefault(domain, 0);
	}

	/**
	 * Returns the requests that this daemon has running.
	 * @return the number of requests by endpoint and model or adapter
	 */
	public synchronized Map<String, Map<String, Integer>> runningRequests() {
		Map<String, Map<String, Integer>> running = new HashMap<>();
		this.loads.forEach((identifier, load) -> {
			if (!load.running.isEmpty()) {
				running.put(identifier, Map.copyOf(load.running));
			}
		});
		return running;
	}

	/**
	 * Returns the load of an endpoint.
	 * @param endpoint the endpoint
	 * @return a snapshot of its load
	 */
	public synchronized View view(ServedEndpoint endpoint) {
		Load load = this.loads.getOrDefault(endpoint.identifier(), new Load());
		int elsewhere = this.peerRequests.getOrDefault(endpoint.identifier(), Map.of())
			.values()
			.stream()
			.mapToInt(Integer::intValue)
			.sum();
		long now = this.clock.milliseconds();
		double penalty = Math.max(0, load.failedShare - IGNORED_FAILED_SHARE) * PENALTY_REQUESTS_PER_FAILED_SHARE
				+ (this.silentDomains.contains(endpoint.failureDomain()) ? SILENT_DOMAIN_PENALTY_REQUESTS : 0);
		return new View(load.requests, elsewhere, load.tokens, now < load.ejectedUntil,
				now < Math.max(load.fullUntil, load.pausedUntil), penalty);
	}

	/**
	 * A snapshot of the load of an endpoint. Immutable.
	 *
	 * @param own the number of this daemon's requests there
	 * @param elsewhere the number of its peers' requests there
	 * @param ownTokens the tokens of this daemon's requests there
	 * @param ejected whether it is ejected
	 * @param refusing whether it has recently refused a request for lack of capacity, or
	 * wants none for a time
	 * @param penalty the load penalty in requests
	 */
	public record View(int own, int elsewhere, long ownTokens, boolean ejected, boolean refusing, double penalty) {
	}

	/** The load of one endpoint, guarded by the lock of the enclosing instance. */
	private static final class Load {

		private final Map<String, Integer> running = new HashMap<>();

		private int requests;

		private long tokens;

		private long backlogTokens;

		private int consecutiveFailures;

		private int consecutiveTimeouts;

		private long ejectedUntil;

		private long fullUntil;

		private long pausedUntil;

		private double failedShare;

	}

}

package org.masticshelf.serving.endpoint;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

import org.jspecify.annotations.Nullable;

import org.masticshelf.kernel.serving.Loadable;
import org.masticshelf.kernel.serving.ServedEndpoint;
import org.masticshelf.kernel.time.MonotonicClock;

/**
 * How much work each endpoint has and how it fares, as this daemon and its peers see it.
 * <p>
 * An endpoint that cannot be reached or breaks off is left out for a time that doubles
 * with each failure in a row; one that fails some requests counts as more loaded. Safe
 * for use by several threads.
 */
public final class EndpointLoads {

	/** How long an endpoint is left out after its first failure, milliseconds. */
	static final long FIRST_EJECTION_MILLISECONDS = 500;

	/** How long it is left out at most, milliseconds. */
	static final long LONGEST_EJECTION_MILLISECONDS = 8_000;

	/**
	 * How long an endpoint counts as full after it refused a request for want of room.
	 */
	static final long FULL_MILLISECONDS = 100;

	/**
	 * Requests without an answer, and none with one between, that show a dead endpoint.
	 */
	private static final int SILENT_REQUESTS = 2;

	private static final double FAILURE_SMOOTHING = 0.2;

	private static final double REQUESTS_PER_FAILED_SHARE = 12;

	/** Requests by which endpoints of a silent failure domain count as more loaded. */
	private static final double SILENT_DOMAIN_REQUESTS = 40;

	private static final double FAILED_SHARE_IGNORED = 0.25;

	private final MonotonicClock clock;

	private final Map<String, Load> loads = new HashMap<>();

	private Map<String, Map<String, Integer>> peers = Map.of();

	private Set<String> silentDomains = Set.of();

	/**
	 * Creates loads of nothing.
	 * @param clock the clock
	 */
	public EndpointLoads(MonotonicClock clock) {
		this.clock = clock;
	}

	/**
	 * Notes that a request is sent.
	 * @param endpoint where to
	 * @param loadable the model or adapter, {@code null} for a plain call
	 * @param tokens tokens of prompt and output, 0 if unknown
	 */
	public synchronized void recordStart(ServedEndpoint endpoint, @Nullable Loadable loadable, long tokens) {
		Load load = this.loads.computeIfAbsent(endpoint.identifier(), (key) -> new Load());
		load.requests++;
		load.tokens += tokens;
		load.running.merge((loadable != null) ? loadable.toString() : "", 1, Integer::sum);
	}

	/**
	 * Notes that a request has ended.
	 * @param endpoint where it ran
	 * @param loadable the model or adapter, {@code null} for a plain call
	 * @param tokens the tokens given at its beginning
	 */
	public synchronized void recordEnd(ServedEndpoint endpoint, @Nullable Loadable loadable, long tokens) {
		Load load = this.loads.computeIfAbsent(endpoint.identifier(), (key) -> new Load());
		load.requests--;
		load.tokens -= tokens;
		String name = (loadable != null) ? loadable.toString() : "";
		load.running.computeIfPresent(name, (key, count) -> (count > 1) ? Integer.valueOf(count - 1) : null);
	}

	/**
	 * Notes an answer.
	 * @param endpoint the endpoint
	 * @param good whether it served the request
	 */
	public synchronized void recordAnswer(ServedEndpoint endpoint, boolean good) {
		Load load = this.loads.computeIfAbsent(endpoint.identifier(), (key) -> new Load());
		load.failuresInRow = 0;
		load.silentInRow = 0;
		load.ejectedUntil = 0;
		load.failedShare += FAILURE_SMOOTHING * ((good ? 0 : 1) - load.failedShare);
	}

	/**
	 * Notes that an endpoint could not be reached or broke off, and leaves it out for a
	 * time.
	 * @param endpoint the endpoint
	 * @return how long it is left out, milliseconds
	 */
	public synchronized long recordFailure(ServedEndpoint endpoint) {
		Load load = this.loads.computeIfAbsent(endpoint.identifier(), (key) -> new Load());
		long time = Math.min(LONGEST_EJECTION_MILLISECONDS,
				FIRST_EJECTION_MILLISECONDS << Math.min(load.failuresInRow, 8));
		load.failuresInRow++;
		load.ejectedUntil = this.clock.milliseconds() + time;
		load.failedShare += FAILURE_SMOOTHING * (1 - load.failedShare);
		return time;
	}

	/**
	 * Notes that a request got no answer in its time. An endpoint that has answered
	 * nothing else since is left out as if it had broken off.
	 * @param endpoint the endpoint
	 * @return how long it is left out, milliseconds, 0 if it is not
	 */
	public synchronized long recordTimeout(ServedEndpoint endpoint) {
		Load load = this.loads.computeIfAbsent(endpoint.identifier(), (key) -> new Load());
		load.silentInRow++;
		return (load.silentInRow >= SILENT_REQUESTS) ? recordFailure(endpoint) : 0;
	}

	/**
	 * Notes that an endpoint refused a request for want of room.
	 * @param endpoint the endpoint
	 */
	public synchronized void recordFull(ServedEndpoint endpoint) {
		this.loads.computeIfAbsent(endpoint.identifier(), (key) -> new Load()).fullUntil = this.clock.milliseconds()
				+ FULL_MILLISECONDS;
	}

	/**
	 * Forgets an endpoint that is gone.
	 * @param endpoint the endpoint
	 */
	public synchronized void forget(ServedEndpoint endpoint) {
		Load load = this.loads.get(endpoint.identifier());
		if (load != null && load.requests == 0) {
			this.loads.remove(endpoint.identifier());
		}
		else if (load != null) {
			load.failuresInRow = 0;
			load.ejectedUntil = 0;
			load.failedShare = 0;
		}
	}

	/**
	 * Sets what the peers have running.
	 * @param running requests by endpoint and model or adapter, over all peers
	 */
	public synchronized void setPeerRequests(Map<String, Map<String, Integer>> running) {
		this.peers = Map.copyOf(running);
	}

	/**
	 * Sets the failure domains that may be cut off.
	 * @param domains the failure domains
	 * @return whether they have changed
	 */
	public synchronized boolean setSilentDomains(Set<String> domains) {
		boolean changed = !domains.equals(this.silentDomains);
		this.silentDomains = Set.copyOf(domains);
		return changed;
	}

	/**
	 * Returns whether an endpoint may be cut off with its failure domain.
	 * @param endpoint the endpoint
	 * @return whether its failure domain is silent
	 */
	public synchronized boolean isInSilentDomain(ServedEndpoint endpoint) {
		return this.silentDomains.contains(endpoint.failureDomain());
	}

	/**
	 * Returns what this daemon has running.
	 * @return requests by endpoint and model or adapter
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
	 * Returns how loaded an endpoint is.
	 * @param endpoint the endpoint
	 * @return its load
	 */
	public synchronized View view(ServedEndpoint endpoint) {
		Load load = this.loads.getOrDefault(endpoint.identifier(), new Load());
		int elsewhere = this.peers.getOrDefault(endpoint.identifier(), Map.of())
			.values()
			.stream()
			.mapToInt(Integer::intValue)
			.sum();
		long now = this.clock.milliseconds();
		double penalty = Math.max(0, load.failedShare - FAILED_SHARE_IGNORED) * REQUESTS_PER_FAILED_SHARE
				+ (this.silentDomains.contains(endpoint.failureDomain()) ? SILENT_DOMAIN_REQUESTS : 0);
		return new View(load.requests, elsewhere, load.tokens, now < load.ejectedUntil, now < load.fullUntil, penalty);
	}

	/**
	 * How loaded an endpoint is.
	 *
	 * @param own requests that this daemon has there
	 * @param elsewhere requests that its peers have there
	 * @param ownTokens tokens of this daemon's requests there
	 * @param ejected whether it is left out
	 * @param refusing whether it refused a request for want of room just now
	 * @param penalty requests by which it counts as more loaded
	 */
	public record View(int own, int elsewhere, long ownTokens, boolean ejected, boolean refusing, double penalty) {
	}

	/** The load of one endpoint, guarded by the lock of the loads. */
	private static final class Load {

		private final Map<String, Integer> running = new HashMap<>();

		private int requests;

		private long tokens;

		private int failuresInRow;

		private int silentInRow;

		private long ejectedUntil;

		private long fullUntil;

		private double failedShare;

	}

}

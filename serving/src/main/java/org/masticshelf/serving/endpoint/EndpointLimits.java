package org.masticshelf.serving.endpoint;

import java.time.InstantSource;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.function.Consumer;

import org.jspecify.annotations.Nullable;

import org.masticshelf.kernel.event.Event;
import org.masticshelf.kernel.serving.ServedEndpoint;
import org.masticshelf.kernel.share.ColdBound;
import org.masticshelf.kernel.share.LimitShare;
import org.masticshelf.kernel.share.SharedTokenBucket;
import org.masticshelf.kernel.time.MonotonicClock;
import org.masticshelf.serving.peer.PeerMessage;
import org.masticshelf.serving.upstream.EndpointProtocol.AnswerMetadata;

/**
 * The limits that endpoints in need state in their answers, and this daemon's share of
 * each; where an endpoint is also cold, the lower limit applies.
 * <p>
 * Invariants: a share starts empty, so that neither a limit that is learned nor a change
 * of the daemons allows a burst; what is known of a run of an endpoint is forgotten when
 * it ends or nobody has confirmed it for {@link #RETENTION_MILLISECONDS}; the number of
 * limits is bounded. Thread-safe.
 */
public final class EndpointLimits {

	/** How long a limit is kept that no answer confirms. */
	static final long RETENTION_MILLISECONDS = 60_000;

	/** How long peers are told that a limit has ended. */
	static final long ENDED_REPORT_MILLISECONDS = 10_000;

	/** By how much the time of a statement that is passed on by peers may be too late. */
	static final long DRIFT_MILLISECONDS = 300;

	private static final int MAXIMUM_LIMITS = 256;

	private static final int MAXIMUM_REPORTED_LIMITS = 64;

	private final MonotonicClock clock;

	private final Consumer<Event> log;

	private final Runnable listener;

	private final String self;

	private final Map<String, Limit> limits = new HashMap<>();

	private Set<String> peers = Set.of();

	private final ColdEndpoints coldEndpoints;

	private boolean changed;

	/**
	 * Creates an empty set of limits.
	 * @param self the incarnation of this daemon
	 * @param clock the clock
	 * @param log receives the events
	 * @param listener called when there is news for peers
	 */
	public EndpointLimits(String self, MonotonicClock clock, Consumer<Event> log, Runnable listener) {
		this(self, clock, log, listener, new ColdEndpoints(new ColdEndpoints.Settings(self, ColdBound.DEFAULT),
				() -> null, clock, InstantSource.system(), log, listener));
	}

	/**
	 * Creates an empty set of limits that also limits requests to cold endpoints.
	 * @param self the incarnation of this daemon
	 * @param clock the clock
	 * @param log receives the events
	 * @param listener called when there is news for peers
	 * @param coldEndpoints the cold endpoints
	 */
	public EndpointLimits(String self, MonotonicClock clock, Consumer<Event> log, Runnable listener,
			ColdEndpoints coldEndpoints) {
		this.coldEndpoints = coldEndpoints;
		this.self = self;
		this.clock = clock;
		this.log = log;
		this.listener = listener;
	}

	/**
	 * Records what an endpoint states in an answer.
	 * @param endpoint the endpoint
	 * @param requestsPerSecond the requests a second that it takes from all daemons
	 * together, {@code null} for no limit
	 */
	public synchronized void learn(ServedEndpoint endpoint, @Nullable Double requestsPerSecond) {
		String run = runOf(endpoint);
		if (requestsPerSecond != null || this.limits.containsKey(run)) {
			record(run, requestsPerSecond, this.clock.milliseconds(), "answer");
		}
	}

	/**
	 * Records what an endpoint states about itself in an answer.
	 * @param endpoint the endpoint
	 * @param metadata the metadata of the answer
	 */
	public void learnFrom(ServedEndpoint endpoint, AnswerMetadata metadata) {
		learn(endpoint, metadata.requestLimit());
		Long coldRemaining = metadata.coldRemainingMilliseconds();
		if (coldRemaining != null) {
			this.coldEndpoints.learn(endpoint, coldRemaining);
		}
	}

	/**
	 * Sets the daemons that share the limits.
	 * @param incarnations the incarnations of the peers
	 */
	public synchronized void setPeers(Set<String> incarnations) {
		this.coldEndpoints.setPeers(incarnations);
		if (incarnations.equals(this.peers)) {
			return;
		}
		this.peers = Set.copyOf(incarnations);
		long now = this.clock.milliseconds();
		this.limits.forEach((run, limit) -> limit.setShare(now, share(run, limit)));
	}

	/**
	 * Adds what a peer knows.
	 * @param peer the incarnation of the peer
	 * @param stated the limits that it knows
	 */
	public synchronized void merge(String peer, Map<String, PeerMessage.StatedLimit> stated) {
		this.coldEndpoints.merge(stated);
		long now = this.clock.milliseconds();
		stated.forEach((run, report) -> {
			long at = now - Math.max(0, report.age());
			Limit known = this.limits.get(run);
			boolean news = (known != null) ? at > known.statedAt + DRIFT_MILLISECONDS
					: report.requestsPerSecond() != null && report.age() < RETENTION_MILLISECONDS;
			if (news) {
				record(run, report.requestsPerSecond(), at, peer);
			}
		});
	}

	/**
	 * Returns what peers are told.
	 * @return the limits by run of the endpoint
	 */
	public synchronized Map<String, PeerMessage.StatedLimit> reports() {
		long now = this.clock.milliseconds();
		this.limits.values()
			.removeIf((limit) -> now - limit.statedAt >= ((limit.requestsPerSecond != null) ? RETENTION_MILLISECONDS
					: ENDED_REPORT_MILLISECONDS));
		Map<String, PeerMessage.StatedLimit> reports = new HashMap<>();
		this.limits.entrySet()
			.stream()
			.limit(MAXIMUM_REPORTED_LIMITS)
			.forEach((entry) -> reports.put(entry.getKey(),
					new PeerMessage.StatedLimit(entry.getValue().requestsPerSecond, now - entry.getValue().statedAt)));
		this.coldEndpoints.addReports(reports, MAXIMUM_REPORTED_LIMITS);
		return reports;
	}

	/**
	 * Returns whether there is news for peers since the last call.
	 * @return whether a limit was added, changed or ended
	 */
	public synchronized boolean takeChanged() {
		boolean result = this.changed | this.coldEndpoints.takeChanged();
		this.changed = false;
		return result;
	}

	/**
	 * Takes a request from this daemon's share.
	 * @param endpoint the endpoint
	 * @return whether the request may be sent there now
	 */
	public synchronized boolean tryTake(ServedEndpoint endpoint) {
		Limit limit = this.limits.get(runOf(endpoint));
		return this.coldEndpoints.tryTake(endpoint) && (limit == null || limit.requestsPerSecond == null
				|| limit.bucket.trySpend(this.clock.milliseconds(), 1));
	}

	/**
	 * Returns when this daemon may send a request.
	 * @param endpoint the endpoint
	 * @param ahead the requests that wait here for the same
	 * @return when a request may be sent
	 */
	public Availability availability(ServedEndpoint endpoint, int ahead) {
		Availability stated = statedAvailability(endpoint, ahead);
		Availability cold = this.coldEndpoints.availability(endpoint, ahead);
		return new Availability(stated.here() && cold.here(), Math.max(stated.milliseconds(), cold.milliseconds()));
	}

	/**
	 * Returns whether requests to an endpoint are limited because it is cold.
	 * @param endpoint the endpoint
	 * @return whether it is cold
	 */
	public boolean isCold(ServedEndpoint endpoint) {
		return this.coldEndpoints.isCold(endpoint);
	}

	private synchronized Availability statedAvailability(ServedEndpoint endpoint, int ahead) {
		Limit limit = this.limits.get(runOf(endpoint));
		if (limit == null || limit.requestsPerSecond == null) {
			return Availability.NOW;
		}
		if (limit.share.equals(LimitShare.NONE)) {
			double fleetRate = Math.max(limit.requestsPerSecond, 1_000.0 / RETENTION_MILLISECONDS);
			return new Availability(false, (long) Math.ceil(1_000 / fleetRate));
		}
		long next = limit.bucket.millisecondsUntilAvailable(this.clock.milliseconds(), 1);
		return new Availability(true, next + (long) Math.ceil(ahead * 1_000 / limit.share.ratePerSecond()));
	}

	/**
	 * Discards the limit of an endpoint that was removed or restarted.
	 * @param endpoint the endpoint
	 */
	public synchronized void forget(ServedEndpoint endpoint) {
		this.limits.remove(runOf(endpoint));
		this.coldEndpoints.forget(endpoint);
	}

	/**
	 * Returns the number of endpoints that state a limit.
	 * @return the number
	 */
	public synchronized int size() {
		return (int) this.limits.values().stream().filter((limit) -> limit.requestsPerSecond != null).count();
	}

	private void record(String run, @Nullable Double requestsPerSecond, long at, String source) {
		Limit limit = this.limits.get(run);
		if (limit == null && this.limits.size() >= MAXIMUM_LIMITS) {
			return;
		}
		Double before = (limit != null) ? limit.requestsPerSecond : null;
		if (limit == null) {
			limit = new Limit(this.clock.milliseconds());
			this.limits.put(run, limit);
		}
		limit.requestsPerSecond = requestsPerSecond;
		limit.statedAt = at;
		if (!Objects.equals(before, requestsPerSecond)) {
			limit.setShare(this.clock.milliseconds(), share(run, limit));
			this.changed = true;
			this.listener.run();
			this.log.accept(Event.named("endpoint.limit_stated")
				.with("endpoint", run)
				.with("requests_per_second", requestsPerSecond)
				.with("before", before)
				.with("source", source)
				.with("age_ms", this.clock.milliseconds() - at)
				.with("share", limit.share.ratePerSecond())
				.with("daemons", this.peers.size() + 1));
		}
	}

	private LimitShare share(String run, Limit limit) {
		Double requestsPerSecond = limit.requestsPerSecond;
		return (requestsPerSecond != null) ? LimitShare.of(requestsPerSecond, run, this.self, this.peers)
				: LimitShare.NONE;
	}

	/**
	 * Returns what identifies the run of an endpoint among daemons.
	 * @param endpoint the endpoint
	 * @return its identifier and start time
	 */
	static String runOf(ServedEndpoint endpoint) {
		return endpoint.identifier() + "/" + endpoint.startedAt();
	}

	/**
	 * When a request may be sent to an endpoint.
	 *
	 * @param here whether this daemon has a share of the endpoint's limit
	 * @param milliseconds the time from now until the request may be sent, here or by
	 * another daemon
	 */
	public record Availability(boolean here, long milliseconds) {

		/** The request may be sent now. */
		public static final Availability NOW = new Availability(true, 0);

	}

	/**
	 * What is known of one run of an endpoint, guarded by the lock of the enclosing
	 * instance.
	 */
	private static final class Limit {

		private final SharedTokenBucket bucket;

		private @Nullable Double requestsPerSecond;

		private long statedAt;

		private LimitShare share = LimitShare.NONE;

		private Limit(long now) {
			this.bucket = new SharedTokenBucket(now, 0, 0);
		}

		private void setShare(long now, LimitShare newShare) {
			this.share = newShare;
			this.bucket.setLimits(now, newShare.ratePerSecond(), newShare.burst());
		}

	}

}

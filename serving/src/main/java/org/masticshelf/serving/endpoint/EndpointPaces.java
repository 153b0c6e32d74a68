package org.masticshelf.serving.endpoint;

import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Function;

import org.jspecify.annotations.Nullable;

import org.masticshelf.kernel.event.Event;
import org.masticshelf.kernel.routing.EndpointPace;
import org.masticshelf.kernel.routing.PoolPaces;
import org.masticshelf.kernel.serving.ServedEndpoint;
import org.masticshelf.kernel.time.MonotonicClock;

/**
 * Learns how long engines take, from this daemon's answers and from what peers report.
 * <p>
 * Invariants: peers get only own observations, so that no ratio comes back as that of
 * somebody else; what a peer reported counts for 3 s after its last report. The
 * comparison of a pool is computed anew at most every 250 ms, so that a choice only reads
 * it. Thread-safe.
 */
public final class EndpointPaces {

	/** The most ratios in one message. */
	static final int MAXIMUM_REPORTS = 64;

	/** How long an own observation is reported, and a reported ratio counts. */
	static final long REPORT_MILLISECONDS = 3_000;

	/** The interval at which the endpoints of a pool are compared. */
	static final long COMPARISON_MILLISECONDS = 250;

	/** The most peers whose ratios count for one endpoint. */
	private static final int MAXIMUM_REPORTING_PEERS = 8;

	/** The difference from the median that is reported. */
	private static final double REPORTED_DIFFERENCE = 0.2;

	private static final int MINIMUM_HUNDREDTHS = 10;

	private static final int MAXIMUM_HUNDREDTHS = 1_000;

	private final MonotonicClock clock;

	private final Map<String, Map<String, EndpointPace>> paces = new HashMap<>();

	private final Map<String, Map<String, ReportedRatio>> reported = new HashMap<>();

	private final Map<String, Comparison> comparisons = new HashMap<>();

	/** The pools whose endpoints were last logged to differ. */
	private final Set<String> differing = new HashSet<>();

	/**
	 * Creates an empty set of paces.
	 * @param clock the clock
	 */
	public EndpointPaces(MonotonicClock clock) {
		this.clock = clock;
	}

	/**
	 * Returns the time by which answers are measured.
	 * @return the monotonic time in milliseconds
	 */
	public long now() {
		return this.clock.milliseconds();
	}

	/**
	 * Records the first event of an answer.
	 * @param endpoint the endpoint
	 * @param milliseconds the time since the request was sent
	 * @param tokens the prompt tokens that the endpoint had to read before
	 */
	public synchronized void recordFirstEvent(ServedEndpoint endpoint, long milliseconds, long tokens) {
		Map<String, EndpointPace> known = ofPool(endpoint.pool());
		EndpointPace pace = known.getOrDefault(endpoint.identifier(), EndpointPace.NONE);
		known.put(endpoint.identifier(), pace.learnReading(now(), milliseconds, tokens));
	}

	/**
	 * Records further events of an answer.
	 * @param endpoint the endpoint
	 * @param milliseconds the time that they took
	 * @param events their number
	 * @param requests the requests running there
	 */
	public synchronized void recordOutput(ServedEndpoint endpoint, long milliseconds, int events, int requests) {
		Map<String, EndpointPace> known = ofPool(endpoint.pool());
		EndpointPace pace = known.getOrDefault(endpoint.identifier(), EndpointPace.NONE);
		known.put(endpoint.identifier(), pace.learnOutput(now(), milliseconds, events, requests));
	}

	/**
	 * Discards what is known of an endpoint that was removed or restarted.
	 * @param endpoint the endpoint
	 */
	public synchronized void forget(ServedEndpoint endpoint) {
		ofPool(endpoint.pool()).remove(endpoint.identifier());
		this.reported.remove(endpoint.identifier());
	}

	/**
	 * Compares the endpoints of a pool.
	 * @param pool the pool
	 * @param log receives an event when endpoints begin or cease to differ
	 * @return the comparison, at most 250 ms old
	 */
	public synchronized PoolPaces pool(String pool, Consumer<Event> log) {
		PoolPaces compared = recentComparison(pool);
		if (compared.differ() ? this.differing.add(pool) : this.differing.remove(pool)) {
			long now = now();
			log.accept(Event.named("pool.pace")
				.with("pool", pool)
				.with("differ", compared.differ())
				.with("slowest", compared.slowest())
				.with("fastest", compared.fastest())
				.with("observed", compared.ratios().size())
				.with("token_ms", compared.rates().tokenMilliseconds())
				.with("age_ms", ofPool(pool).values().stream().mapToLong((pace) -> now - pace.at()).min().orElse(-1)));
		}
		return compared;
	}

	private PoolPaces recentComparison(String pool) {
		long now = now();
		Comparison known = this.comparisons.get(pool);
		if (known == null || now - known.at() >= COMPARISON_MILLISECONDS) {
			known = new Comparison(compare(pool, now), now);
			this.comparisons.put(pool, known);
		}
		return known.paces();
	}

	/**
	 * Returns the ratios that are reported to peers: of endpoints that differ from the
	 * median and were observed here recently.
	 * @return the ratios in hundredths by endpoint, at most 64, the most different ones
	 */
	public synchronized Map<String, Integer> reports() {
		Map<String, Integer> reports = new HashMap<>();
		long now = now();
		this.paces.forEach((pool, known) -> {
			Map<String, Double> ratios = recentComparison(pool).own();
			known.forEach((endpoint, pace) -> {
				double ratio = ratios.getOrDefault(endpoint, 1.0);
				boolean different = ratio > 1 + REPORTED_DIFFERENCE || ratio < 1 / (1 + REPORTED_DIFFERENCE);
				if (different && now - pace.at() <= REPORT_MILLISECONDS
						&& pace.observations() >= PoolPaces.REPORTED_OBSERVATIONS) {
					reports.put(endpoint, (int) Math.round(100 * ratio));
				}
			});
		});
		if (reports.size() > MAXIMUM_REPORTS) {
			List<String> leastDifferent = reports.keySet()
				.stream()
				.sorted(Comparator
					.comparingDouble((endpoint) -> Math.abs(Math.log(reports.getOrDefault(endpoint, 100) / 100.0))))
				.limit(reports.size() - MAXIMUM_REPORTS)
				.toList();
			leastDifferent.forEach(reports::remove);
		}
		return reports;
	}

	/**
	 * Records the ratios that a peer reports.
	 * @param peer the incarnation of the peer
	 * @param ratios the ratios in hundredths by endpoint
	 * @param listed finds an endpoint by its identifier, {@code null} if it is not listed
	 * @param log receives ratios that cannot be right
	 */
	public synchronized void merge(String peer, Map<String, Integer> ratios,
			Function<String, @Nullable ServedEndpoint> listed, Consumer<Event> log) {
		if (ratios.isEmpty()) {
			return;
		}
		long unusable = ratios.values()
			.stream()
			.filter((hundredths) -> hundredths < MINIMUM_HUNDREDTHS || hundredths > MAXIMUM_HUNDREDTHS)
			.count();
		if (unusable > 0 || ratios.size() > MAXIMUM_REPORTS) {
			log.accept(Event.named("peer.paces_unusable")
				.with("peer", peer)
				.with("paces", ratios.size())
				.with("out_of_range", unusable));
			return;
		}
		long now = now();
		ratios.forEach((identifier, hundredths) -> {
			ServedEndpoint endpoint = listed.apply(identifier);
			if (endpoint != null) {
				Map<String, ReportedRatio> byPeer = this.reported.computeIfAbsent(identifier, (key) -> new HashMap<>());
				byPeer.values().removeIf((ratio) -> now - ratio.at() > REPORT_MILLISECONDS);
				if (byPeer.size() < MAXIMUM_REPORTING_PEERS || byPeer.containsKey(peer)) {
					byPeer.put(peer, new ReportedRatio(endpoint.pool(), hundredths / 100.0, now));
				}
			}
		});
	}

	/**
	 * Returns how many endpoints were last seen to take clearly longer than the median.
	 * @return the number of slow endpoints
	 */
	public synchronized int slowEndpoints() {
		long slow = 0;
		for (Comparison comparison : this.comparisons.values()) {
			if (comparison.paces().differ()) {
				slow += comparison.paces()
					.ratios()
					.values()
					.stream()
					.filter((ratio) -> ratio > 1 + REPORTED_DIFFERENCE)
					.count();
			}
		}
		return (int) slow;
	}

	private PoolPaces compare(String pool, long now) {
		Map<String, EndpointPace> known = ofPool(pool);
		known.values().removeIf((pace) -> pace.aged(now).weight() <= 0);
		if (known.isEmpty()) {
			return PoolPaces.NONE;
		}
		Map<String, EndpointPace> aged = new HashMap<>();
		known.forEach((endpoint, pace) -> aged.put(endpoint, pace.aged(now)));
		Map<String, List<Double>> reportedRatios = new HashMap<>();
		this.reported.forEach((endpoint, byPeer) -> {
			List<Double> recent = byPeer.values()
				.stream()
				.filter((ratio) -> ratio.pool().equals(pool) && now - ratio.at() <= REPORT_MILLISECONDS)
				.map(ReportedRatio::value)
				.toList();
			if (!recent.isEmpty()) {
				reportedRatios.put(endpoint, recent);
			}
		});
		return PoolPaces.of(aged, reportedRatios);
	}

	private Map<String, EndpointPace> ofPool(String pool) {
		return this.paces.computeIfAbsent(pool, (key) -> new HashMap<>());
	}

	/**
	 * A ratio that a peer reported.
	 *
	 * @param pool the pool of the endpoint
	 * @param value the ratio
	 * @param at when it was received, monotonic milliseconds
	 */
	private record ReportedRatio(String pool, double value, long at) {
	}

	/**
	 * The comparison of a pool's endpoints.
	 *
	 * @param paces the comparison
	 * @param at when it was made, monotonic milliseconds
	 */
	private record Comparison(PoolPaces paces, long at) {
	}

}

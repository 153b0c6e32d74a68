package org.masticshelf.serving.request;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.CounterWithCallback;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;

import org.masticshelf.kernel.admission.HeldBytes;
import org.masticshelf.kernel.port.KeyValueStore;
import org.masticshelf.serving.endpoint.ColdEndpoints;
import org.masticshelf.serving.endpoint.EndpointLimits;
import org.masticshelf.serving.endpoint.EndpointLoads;
import org.masticshelf.serving.endpoint.Evacuations;
import org.masticshelf.serving.placement.StarvationMonitor;
import org.masticshelf.serving.quarantine.RequestQuarantine;

/**
 * Counts requests and measures their latency. Thread-safe.
 */
public final class ServingMetrics {

	private static final double NANOSECONDS_PER_SECOND = 1e9;

	private static final double MILLISECONDS_PER_SECOND = 1e3;

	private final Counter endedRequests;

	private final Counter sentRequests;

	private final Counter coldLimitedRequests;

	private final Histogram latency;

	private final Histogram waits;

	private final Counter turnedAway;

	/**
	 * Creates the metrics and registers them.
	 * @param registry the registry
	 */
	public ServingMetrics(PrometheusRegistry registry) {
		this.endedRequests = Counter.builder()
			.name("masticshelf_serving_requests_ended_total")
			.help("Requests that have ended, by outcome.")
			.labelNames("outcome")
			.register(registry);
		this.sentRequests = Counter.builder()
			.name("masticshelf_serving_requests_sent_total")
			.help("Times that a request was sent to an endpoint, by pool.")
			.labelNames("pool")
			.register(registry);
		this.coldLimitedRequests = Counter.builder()
			.name("masticshelf_serving_requests_cold_limited_total")
			.help("Requests that the limit of cold endpoints held back.")
			.register(registry);
		this.latency = Histogram.builder()
			.name("masticshelf_serving_request_seconds")
			.help("Time from the arrival of a request to the end of its answer, by outcome.")
			.labelNames("outcome")
			.classicOnly()
			.register(registry);
		this.waits = Histogram.builder()
			.name("masticshelf_serving_queue_wait_seconds")
			.help("Time that requests waited in pools that are ordered by cost, by pool and priority.")
			.labelNames("pool", "priority")
			.classicOnly()
			.register(registry);
		this.turnedAway = Counter.builder()
			.name("masticshelf_serving_requests_turned_away_total")
			.help("Requests refused at once because they could not start in time, by pool and priority.")
			.labelNames("pool", "priority")
			.register(registry);
	}

	/**
	 * Registers the metric of the requests that wait in pools that are ordered by cost.
	 * @param registry the registry
	 * @param waitingRequests the source of the values
	 */
	public static void registerQueues(PrometheusRegistry registry, WaitingRequests waitingRequests) {
		GaugeWithCallback.builder()
			.name("masticshelf_serving_queue_depth")
			.help("Requests that wait in pools that are ordered by cost, by pool and priority.")
			.labelNames("pool", "priority")
			.callback((callback) -> waitingRequests.ordered()
				.depths()
				.forEach((pool, depths) -> depths
					.forEach((priority, count) -> callback.call(count, pool, priority.toString()))))
			.register(registry);
	}

	/**
	 * Registers the metrics of requests that crash endpoints.
	 * @param registry the registry
	 * @param quarantine the source of the values
	 */
	public static void registerQuarantine(PrometheusRegistry registry, RequestQuarantine quarantine) {
		GaugeWithCallback.builder()
			.name("masticshelf_serving_quarantined_fingerprints")
			.help("Segments of prompts and whole requests that are refused because they crash endpoints.")
			.callback((callback) -> callback.call(quarantine.size()))
			.register(registry);
		CounterWithCallback.builder()
			.name("masticshelf_serving_requests_broken_total")
			.help("Requests that broke with their endpoint before their answer was under way.")
			.callback((callback) -> callback.call(quarantine.brokenRequests()))
			.register(registry);
	}

	/**
	 * Registers the metrics of what keeps requests from endpoints.
	 * @param registry the registry
	 * @param limits the limits that endpoints state
	 * @param coldEndpoints the cold endpoints
	 * @param evacuations the evacuated failure domains
	 */
	public static void registerRestrictions(PrometheusRegistry registry, EndpointLimits limits,
			ColdEndpoints coldEndpoints, Evacuations evacuations) {
		GaugeWithCallback.builder()
			.name("masticshelf_serving_limited_endpoints")
			.help("Endpoints that state how many requests a second they take.")
			.callback((callback) -> callback.call(limits.size()))
			.register(registry);
		GaugeWithCallback.builder()
			.name("masticshelf_serving_cold_endpoints")
			.help("Endpoints that are cold or presumed to be.")
			.callback((callback) -> callback.call(coldEndpoints.size()))
			.register(registry);
		GaugeWithCallback.builder()
			.name("masticshelf_serving_evacuated_domains")
			.help("Failure domains whose endpoints get no requests, because operators have evacuated them.")
			.callback((callback) -> callback.call(evacuations.size()))
			.register(registry);
	}

	/**
	 * Registers the metrics of the speed of engines.
	 * @param registry the registry
	 * @param loads the source of the values
	 */
	public static void registerPaces(PrometheusRegistry registry, EndpointLoads loads) {
		GaugeWithCallback.builder()
			.name("masticshelf_serving_slow_endpoints")
			.help("Engines that take over a fifth longer than the median of their pool, where engines differ.")
			.callback((callback) -> callback.call(loads.paces().slowEndpoints()))
			.register(registry);
		GaugeWithCallback.builder()
			.name("masticshelf_serving_silent_endpoints")
			.help("Engines that are silent on all streams of this daemon for longer than allowed.")
			.callback((callback) -> callback.call(loads.silence().size()))
			.register(registry);
		GaugeWithCallback.builder()
			.name("masticshelf_serving_prompt_backlog_tokens")
			.help("Prompt tokens of this daemon's requests without a first event.")
			.callback((callback) -> callback.call(loads.backlog().values().stream().mapToLong(Long::longValue).sum()))
			.register(registry);
	}

	/**
	 * Registers the metrics of models and adapters that are requested and not served.
	 * They are known to the placing daemon and 0 at all others.
	 * @param registry the registry
	 * @param starvation the source of the values
	 */
	public static void registerStarvation(PrometheusRegistry registry, StarvationMonitor starvation) {
		GaugeWithCallback.builder()
			.name("masticshelf_serving_starved_loadables")
			.help("Models and adapters that are requested again and again and never served, by kind.")
			.labelNames("kind")
			.callback((callback) -> {
				callback.call(starvation.starvedModels(), "model");
				callback.call(starvation.starvedAdapters(), "adapter");
			})
			.register(registry);
		GaugeWithCallback.builder()
			.name("masticshelf_serving_models_without_copy")
			.help("Models whose weights no known engine has, loaded or cached.")
			.callback((callback) -> callback.call(starvation.modelsWithoutCopy()))
			.register(registry);
	}

	/**
	 * Registers the metric of the key-value service's returns from an earlier state.
	 * @param registry the registry
	 * @param store the key-value service
	 */
	public static void registerRestorations(PrometheusRegistry registry, KeyValueStore store) {
		Counter restorations = Counter.builder()
			.name("masticshelf_serving_store_restorations_total")
			.help("Times that the key-value service was seen to have returned from an earlier state.")
			.register(registry);
		store.addRestoreListener(restorations::inc);
	}

	/**
	 * Registers the metrics of the bytes that are held for slow readers.
	 * @param registry the registry
	 * @param held the source of the values of this daemon
	 * @param bodies the source of the values of endpoints
	 */
	public static void registerHeldBytes(PrometheusRegistry registry, HeldBytesLedger held, EndpointBodies bodies) {
		GaugeWithCallback.builder()
			.name("masticshelf_serving_held_bytes")
			.help("Bytes held for callers and endpoints, by direction, and their limit.")
			.labelNames("kind")
			.callback((callback) -> {
				HeldBytes.Holdings holdings = held.holdings();
				callback.call(holdings.bodies(), "bodies");
				callback.call(holdings.answers(), "answers");
				callback.call(holdings.limit(), "limit");
			})
			.register(registry);
		CounterWithCallback.builder()
			.name("masticshelf_serving_memory_refusals_total")
			.help("Requests that were refused because too many bytes were held.")
			.callback((callback) -> callback.call(held.refusals()))
			.register(registry);
		CounterWithCallback.builder()
			.name("masticshelf_serving_answers_given_up_total")
			.help("Answers given up because too many bytes were held and their caller took none.")
			.callback((callback) -> callback.call(held.answersGivenUp()))
			.register(registry);
		GaugeWithCallback.builder()
			.name("masticshelf_serving_endpoint_body_bytes")
			.help("Bytes of the bodies in progress at the endpoint that has most.")
			.callback((callback) -> callback.call(bodies.largestSum()))
			.register(registry);
		CounterWithCallback.builder()
			.name("masticshelf_serving_endpoint_bodies_held_back_total")
			.help("Times that an endpoint was not chosen because of its bodies in progress.")
			.callback((callback) -> callback.call(bodies.heldBack()))
			.register(registry);
	}

	/**
	 * Records the end of a request.
	 * @param outcome the outcome label
	 * @param nanoseconds the duration of the request
	 */
	void recordEnd(String outcome, long nanoseconds) {
		this.endedRequests.labelValues(outcome).inc();
		this.latency.labelValues(outcome).observe(nanoseconds / NANOSECONDS_PER_SECOND);
	}

	/** Records that the limit of cold endpoints held a request back. */
	void recordColdLimited() {
		this.coldLimitedRequests.inc();
	}

	/**
	 * Records the end of a wait in a pool that is ordered by cost.
	 * @param pool the pool
	 * @param priority the priority of the request
	 * @param milliseconds how long it waited
	 */
	void recordWait(String pool, int priority, long milliseconds) {
		this.waits.labelValues(pool, Integer.toString(priority)).observe(milliseconds / MILLISECONDS_PER_SECOND);
	}

	/**
	 * Records that a request was turned away because it could not start in time.
	 * @param pool the pool
	 * @param priority the priority of the request
	 */
	void recordTurnedAway(String pool, int priority) {
		this.turnedAway.labelValues(pool, Integer.toString(priority)).inc();
	}

	/**
	 * Records that a request was sent to an endpoint.
	 * @param pool the pool
	 */
	void recordSend(String pool) {
		this.sentRequests.labelValues(pool).inc();
	}

}

package org.masticshelf.serving.request;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;

/**
 * Counters and latencies of requests. Safe for use by several threads.
 */
public final class ServingMetrics {

	private static final double NANOSECONDS_PER_SECOND = 1e9;

	private final Counter ended;

	private final Counter sent;

	private final Histogram latency;

	/**
	 * Registers the metrics.
	 * @param registry the registry
	 */
	public ServingMetrics(PrometheusRegistry registry) {
		this.ended = Counter.builder()
			.name("masticshelf_serving_requests_ended_total")
			.help("Requests that have ended, by outcome.")
			.labelNames("outcome")
			.register(registry);
		this.sent = Counter.builder()
			.name("masticshelf_serving_requests_sent_total")
			.help("Times that a request was sent to an endpoint, by pool.")
			.labelNames("pool")
			.register(registry);
		this.latency = Histogram.builder()
			.name("masticshelf_serving_request_seconds")
			.help("Time from the arrival of a request to the end of its answer, by outcome.")
			.labelNames("outcome")
			.classicOnly()
			.register(registry);
	}

	/**
	 * Notes the end of a request.
	 * @param outcome how it ended
	 * @param nanoseconds how long it took
	 */
	void recordEnd(String outcome, long nanoseconds) {
		this.ended.labelValues(outcome).inc();
		this.latency.labelValues(outcome).observe(nanoseconds / NANOSECONDS_PER_SECOND);
	}

	/**
	 * Notes that a request was sent to an endpoint.
	 * @param pool the pool
	 */
	void recordSend(String pool) {
		this.sent.labelValues(pool).inc();
	}

}

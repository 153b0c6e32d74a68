package org.masticshelf.daemon.request;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;

/**
 * Counts requests, tokens and durations. Safe for use by several threads.
 */
public final class RequestMetrics {

	private static final double NANOSECONDS_PER_SECOND = 1e9;

	private final Counter requests;

	private final Counter tokens;

	private final Histogram duration;

	/**
	 * Registers the metrics.
	 * @param registry the registry
	 */
	public RequestMetrics(PrometheusRegistry registry) {
		this.requests = Counter.builder()
			.name("masticshelf_requests_total")
			.help("Ended requests by workshop, outcome and whether a refused one ran.")
			.labelNames("workshop", "outcome", "ran")
			.register(registry);
		this.tokens = Counter.builder()
			.name("masticshelf_tokens_total")
			.help("Tokens of prompts and answers, as counted by the engines.")
			.labelNames("organisation")
			.register(registry);
		this.duration = Histogram.builder()
			.name("masticshelf_request_duration_seconds")
			.help("Time from the arrival of a request to its end.")
			.labelNames("workshop")
			.classicOnly()
			.register(registry);
	}

	/**
	 * Counts an ended request.
	 * @param details the request
	 * @param outcome {@code served} or the code of the reason to refuse it
	 * @param ran {@code yes}, {@code not_run} or {@code unknown}
	 * @param nanoseconds how long it took
	 */
	public void recordEnd(RequestDetails details, String outcome, String ran, long nanoseconds) {
		String workshop = details.route().name().workshop();
		this.requests.labelValues(workshop, outcome, ran).inc();
		this.duration.labelValues(workshop).observe(nanoseconds / NANOSECONDS_PER_SECOND);
	}

	/**
	 * Counts used tokens.
	 * @param details the request
	 * @param used tokens of the prompt and generated tokens
	 */
	public void recordTokens(RequestDetails details, long used) {
		this.tokens.labelValues(details.queueOrganisation().toString()).inc(used);
	}

}

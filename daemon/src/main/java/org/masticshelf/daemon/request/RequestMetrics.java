package org.masticshelf.daemon.request;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;

/**
 * Records the number, tokens and durations of requests. Safe for use by several threads.
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
	 * Records the end of a request.
	 * @param details the request
	 * @param outcome {@code served} or the code of the refusal's reason
	 * @param ran {@code yes}, {@code not_run} or {@code unknown}
	 * @param durationNanoseconds how long the request took
	 */
	public void recordEnd(RequestDetails details, String outcome, String ran, long durationNanoseconds) {
		String workshop = details.route().name().workshop();
		this.requests.labelValues(workshop, outcome, ran).inc();
		this.duration.labelValues(workshop).observe(durationNanoseconds / NANOSECONDS_PER_SECOND);
	}

	/**
	 * Records used tokens.
	 * @param details the request
	 * @param usedTokens the number of prompt and generated tokens
	 */
	public void recordTokens(RequestDetails details, long usedTokens) {
		this.tokens.labelValues(details.queueOrganisation().toString()).inc(usedTokens);
	}

}

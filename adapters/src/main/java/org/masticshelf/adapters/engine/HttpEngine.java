package org.masticshelf.adapters.engine;

import java.io.UncheckedIOException;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;

import org.masticshelf.kernel.configuration.Pool;
import org.masticshelf.kernel.port.Engine;
import org.masticshelf.kernel.port.ExchangeFailure;
import org.masticshelf.transport.http.HttpCall;
import org.masticshelf.transport.http.HttpClient;
import org.masticshelf.transport.http.HttpExchange;
import org.masticshelf.transport.http.HttpResponse;
import org.masticshelf.transport.json.Json;

/**
 * Engines with OpenAI-style HTTP calls, server-sent events, {@code GET /state} for
 * reports and {@code POST /orders} for orders. Safe for use by several threads.
 */
public final class HttpEngine implements Engine {

	private static final int STATUS_OK = 200;

	private static final Duration CONTROL_TIMEOUT = Duration.ofSeconds(2);

	private static final byte[] NO_BODY = {};

	private final HttpClient client;

	/**
	 * Creates an adapter.
	 * @param client makes the calls
	 */
	public HttpEngine(HttpClient client) {
		this.client = client;
	}

	@Override
	public CompletableFuture<OrderAnswer> sendOrder(Pool.Endpoint endpoint, Order order) {
		HttpCall call = HttpCall.postJson(endpoint.address(), "/orders", Json.toBytes(order))
			.withTimeout(CONTROL_TIMEOUT);
		return this.client.exchange(call).thenApply((answer) -> decode(answer, OrderAnswer.class));
	}

	@Override
	public CompletableFuture<Report> readReport(Pool.Endpoint endpoint) {
		HttpCall call = HttpCall.get(endpoint.address(), "/state").withTimeout(CONTROL_TIMEOUT);
		return this.client.exchange(call).thenApply((answer) -> decode(answer, Report.class));
	}

	private static <T> T decode(HttpResponse answer, Class<T> type) {
		if (answer.status() != STATUS_OK) {
			throw new ExchangeFailure(ExchangeFailure.Point.INVALID_ANSWER, "status " + answer.status());
		}
		try {
			return Json.toValue(answer.body(), type);
		}
		catch (UncheckedIOException ex) {
			throw new ExchangeFailure(ExchangeFailure.Point.INVALID_ANSWER, "malformed " + type.getSimpleName());
		}
	}

	@Override
	public Cancellation generate(Pool.Endpoint endpoint, Generation generation, AnswerSink sink) {
		HttpCall call = toCall(endpoint, generation);
		HttpExchange exchange = this.client.stream(call, new GenerationListener(generation, sink));
		return () -> {
			exchange.cancel();
			cancelAtEngine(endpoint, generation);
		};
	}

	private static HttpCall toCall(Pool.Endpoint endpoint, Generation generation) {
		HttpCall call = HttpCall.postJson(endpoint.address(), generation.path(), Json.toBytes(generation.body()))
			.withTimeout(generation.timeout())
			.withHeader("x-request-id", generation.requestIdentifier())
			.withHeader("x-priority", Integer.toString(generation.priority()));
		if (generation.resumeAfterTokens() == 0) {
			return call;
		}
		return call.withHeader("x-resume-after-tokens", Integer.toString(generation.resumeAfterTokens()));
	}

	private void cancelAtEngine(Pool.Endpoint endpoint, Generation generation) {
		HttpCall call = HttpCall.postJson(endpoint.address(), "/cancel/" + generation.requestIdentifier(), NO_BODY)
			.withTimeout(CONTROL_TIMEOUT);
		this.client.exchange(call);
	}

	@Override
	public void close() {
		this.client.close();
	}

}

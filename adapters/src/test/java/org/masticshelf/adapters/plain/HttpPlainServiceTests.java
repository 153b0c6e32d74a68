package org.masticshelf.adapters.plain;

import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;

import com.google.common.truth.Truth;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.masticshelf.kernel.configuration.Pool;
import org.masticshelf.kernel.port.ExchangeFailure;
import org.masticshelf.kernel.port.PlainService;
import org.masticshelf.kernel.port.PortProvider;
import org.masticshelf.standins.plainservice.PlainServiceStandIn;
import org.masticshelf.transport.http.HttpCall;
import org.masticshelf.transport.http.HttpClient;
import org.masticshelf.transport.http.HttpResponse;
import org.masticshelf.transport.json.Json;

class HttpPlainServiceTests {

	private static final long BOUND_SECONDS = 30;

	private final PlainServiceStandIn service = new PlainServiceStandIn("127.0.0.1", 0, 0);

	private final String address = this.service.address();

	private final PlainService adapter = PortProvider.open(PlainService.class, URI.create("http://endpoints"));

	private final HttpClient client = HttpClient.withThreads(1);

	@AfterEach
	void close() {
		this.adapter.close();
		this.client.close();
		this.service.close();
	}

	@Test
	void answersWhole() {
		Truth.assertThat(order(Duration.ofSeconds(BOUND_SECONDS))).isEqualTo("200");
		Truth.assertThat(executions()).isEqualTo(1);
	}

	@ParameterizedTest
	@CsvSource({ "RUN_AND_LOSE_ANSWER,AWAITING_ANSWER,1", "OTHER_REQUEST,INVALID_ANSWER,1", "RUN_AND_FAIL,500,1",
			"REFUSE,503,0" })
	void reportsFault(String fault, String expected, int executions) {
		strike(fault);
		Truth.assertThat(order(Duration.ofSeconds(BOUND_SECONDS))).isEqualTo(expected);
		Truth.assertThat(executions()).isEqualTo(executions);
	}

	@ParameterizedTest
	@CsvSource({ "RUN_AND_LOSE_ANSWER", "CLOSE_BEFORE_READING", "OTHER_REQUEST", "STALL" })
	void neverCallsSentRequestNotRun(String fault) {
		strike(fault);
		String outcome = order(Duration.ofMillis(500));
		Truth.assertThat(ExchangeFailure.Point.valueOf(outcome).provesNotRun()).isFalse();
	}

	@Test
	void provesThatUnreachableServiceDidNotRun() {
		this.service.close();
		String outcome = order(Duration.ofSeconds(BOUND_SECONDS));
		Truth.assertThat(ExchangeFailure.Point.valueOf(outcome).provesNotRun()).isTrue();
	}

	private String order(Duration timeout) {
		Pool.Endpoint endpoint = new Pool.Endpoint("plain-1", this.address, "a", 0, 4, false);
		PlainService.Call call = new PlainService.Call("request-1", "POST", "/orders",
				Map.of("content-type", "application/json", "idempotency-key", "order-1"),
				"{\"quantity\":1}".getBytes(StandardCharsets.UTF_8), timeout);
		return this.adapter.call(endpoint, call)
			.handle((answer, failure) -> (failure != null) ? pointOf(failure) : Integer.toString(answer.status()))
			.orTimeout(BOUND_SECONDS, TimeUnit.SECONDS)
			.join();
	}

	private static String pointOf(Throwable failure) {
		Throwable cause = (failure instanceof CompletionException) ? failure.getCause() : failure;
		return (cause instanceof ExchangeFailure exchange) ? exchange.point().name() : String.valueOf(cause);
	}

	private void strike(String fault) {
		call(HttpCall.postJson(this.address, "/fault", Json.toBytes(Map.of("kind", fault, "count", 1))));
	}

	private int executions() {
		return Json.toTree(call(HttpCall.get(this.address, "/tally")).body()).path("executions").size();
	}

	private HttpResponse call(HttpCall call) {
		return this.client.exchange(call).orTimeout(BOUND_SECONDS, TimeUnit.SECONDS).join();
	}

}

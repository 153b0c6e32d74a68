package org.masticshelf.daemon.caller;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.truth.Truth;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.masticshelf.control.configuration.ConfigurationSource;
import org.masticshelf.transport.http.HttpCall;
import org.masticshelf.transport.http.HttpResponse;
import org.masticshelf.transport.json.Json;

class CallerListenerTests {

	private final CallerListenerFixture fixture = new CallerListenerFixture();

	@AfterEach
	void close() {
		this.fixture.close();
	}

	@Test
	void answersUnaryCall() {
		HttpResponse answer = this.fixture.send(this.fixture.chatCall(false, 5));
		JsonNode body = Json.toTree(answer.body());
		Truth.assertThat(answer.status()).isEqualTo(200);
		Truth.assertThat(body.path("usage").path("completion_tokens").asInt()).isEqualTo(5);
		Truth.assertThat(body.path("model").asText()).isEqualTo("sofia/crest");
		Truth.assertThat(answer.header("x-request-id")).isEqualTo("mine");
	}

	@Test
	void answersStreamWhole() {
		List<String> events = events(this.fixture.send(this.fixture.chatCall(true, 20)));
		Truth.assertThat(events.getLast()).isEqualTo("[DONE]");
		Truth.assertThat(textOf(events)).isEqualTo(wholeText(20));
	}

	@ParameterizedTest
	@CsvSource({ "SHORT_ANSWER", "SILENT_END" })
	void resumesBrokenStreamWithoutGapOrRepetition(String fault) {
		this.fixture.injectFault(this.fixture.first.address(), fault, 1);
		this.fixture.injectFault(this.fixture.second.address(), fault, 1);
		List<String> events = events(this.fixture.send(this.fixture.chatCall(true, 20)));
		Truth.assertThat(events.getLast()).isEqualTo("[DONE]");
		Truth.assertThat(textOf(events)).isEqualTo(wholeText(20));
	}

	@ParameterizedTest
	@CsvSource({ "RUBBISH", "OTHER_REQUEST", "SHORT_ANSWER", "REFUSE" })
	void retriesIdempotentCallElsewhere(String fault) {
		this.fixture.injectFault(this.fixture.first.address(), fault, 1);
		this.fixture.injectFault(this.fixture.second.address(), fault, 1);
		HttpResponse answer = this.fixture.send(this.fixture.chatCall(false, 5));
		Truth.assertThat(answer.status()).isEqualTo(200);
	}

	@Test
	void doesNotForwardKeyToEndpoint() {
		this.fixture.send(this.fixture.chatCall(false, 2));
		this.fixture.send(this.fixture.orderCall("o-1"));
		Truth.assertThat(this.fixture.tally(this.fixture.first.address()).path("keys_seen").toString())
			.doesNotContain(CallerListenerFixture.KEY);
		Truth.assertThat(this.fixture.tally(this.fixture.second.address()).path("keys_seen").toString())
			.doesNotContain(CallerListenerFixture.KEY);
	}

	@Test
	void runsNonIdempotentCallOnceForRepeatedKey() {
		HttpResponse answer = this.fixture.send(this.fixture.orderCall("o-1"));
		HttpResponse repeated = this.fixture.send(this.fixture.orderCall("o-1"));
		Truth.assertThat(answer.status()).isEqualTo(repeated.status());
		Truth.assertThat(repeated.body()).isEqualTo(answer.body());
		Truth.assertThat(repeated.header("x-repeated")).isEqualTo("true");
		Truth.assertThat(this.fixture.tally(this.fixture.plain.address()).path("executions").size()).isEqualTo(1);
	}

	@Test
	void refusesNonIdempotentCallWithoutKey() {
		HttpCall call = HttpCall.postJson(this.fixture.listener.address(), "/sofia/orders/orders", new byte[0])
			.withHeader("authorization", "Bearer " + CallerListenerFixture.KEY);
		Truth.assertThat(reasonOf(this.fixture.send(call))).isEqualTo("idempotency_key_missing not_run");
	}

	@ParameterizedTest
	@CsvSource({ "{,malformed_request not_run", "[],malformed_request not_run",
			"{\"model\":\"none\"},route_unknown not_run", "{\"model\":\"crest\"},malformed_request not_run",
			"{\"model\":\"crest\";\"prompt\":\"x\";\"max_tokens\":0},malformed_request not_run",
			"{\"model\":\"orders\";\"prompt\":\"x\"},route_unknown not_run" })
	void refusesBadBody(String body, String expected) {
		HttpCall call = HttpCall
			.postJson(this.fixture.listener.address(), "/v1/completions",
					body.replace(';', ',').getBytes(StandardCharsets.UTF_8))
			.withHeader("x-api-key", CallerListenerFixture.KEY);
		Truth.assertThat(reasonOf(this.fixture.send(call))).isEqualTo(expected);
	}

	@Test
	void refusesBodyAboveBound() {
		HttpCall call = HttpCall.postJson(this.fixture.listener.address(), "/v1/completions", new byte[20_000]);
		Truth.assertThat(reasonOf(this.fixture.send(call))).isEqualTo("body_too_large not_run");
	}

	@Test
	void refusesUnknownKeyAndIsolation() {
		HttpCall call = this.fixture.chatCall(false, 2);
		Truth.assertThat(reasonOf(this.fixture.send(call.withHeader("authorization", "Bearer x"))))
			.isEqualTo("key_rejected not_run");
		this.fixture.configuration.freshness = ConfigurationSource.Freshness.ISOLATED;
		Truth.assertThat(reasonOf(this.fixture.send(call))).isEqualTo("isolated not_run");
	}

	@Test
	void refusesColdCallAtItsDeadline() {
		this.fixture.locations.endpointsByModel.clear();
		HttpResponse answer = this.fixture.send(this.fixture.chatCall(false, 2).withHeader("x-deadline-ms", "50"));
		Truth.assertThat(reasonOf(answer)).isEqualTo("deadline_exceeded not_run");
	}

	@Test
	void cancelsRequestOfDisconnectedCaller() throws Exception {
		this.fixture.locations.endpointsByModel.clear();
		CompletableFuture<HttpResponse> waiting = this.fixture.sendAsync(this.fixture.chatCall(false, 2));
		this.fixture.awaitActiveRequest();
		CompletableFuture<Void> empty = new CompletableFuture<>();
		this.fixture.active.runWhenEmpty(() -> empty.complete(null));
		waiting.cancel(true);
		empty.get(CallerListenerFixture.TIMEOUT_SECONDS, TimeUnit.SECONDS);
		Truth.assertThat(this.fixture.active.size()).isEqualTo(0);
	}

	@Test
	void endsOpenStreamOfWithdrawnKeyWithErrorEvent() {
		CompletableFuture<HttpResponse> running = this.fixture.sendAsync(this.fixture.chatCall(true, 5_000));
		this.fixture.awaitActiveRequest();
		this.fixture.active.abortUnlessPermitted((digest) -> false);
		HttpResponse answer = running.orTimeout(CallerListenerFixture.TIMEOUT_SECONDS, TimeUnit.SECONDS).join();
		String text = new String(answer.body(), StandardCharsets.UTF_8);
		Truth.assertThat(text).contains("key_rejected");
		Truth.assertThat(text).doesNotContain("[DONE]");
	}

	@Test
	void refusesWhileDraining() {
		this.fixture.handler.drain();
		Truth.assertThat(reasonOf(this.fixture.send(this.fixture.chatCall(false, 2)))).isEqualTo("draining not_run");
	}

	private String wholeText(int tokens) {
		JsonNode body = Json.toTree(this.fixture.send(this.fixture.chatCall(false, tokens)).body());
		return body.path("choices").path(0).path("message").path("content").asText();
	}

	private static List<String> events(HttpResponse answer) {
		return new String(answer.body(), StandardCharsets.UTF_8).lines()
			.filter((line) -> line.startsWith("data: "))
			.map((line) -> line.substring("data: ".length()))
			.toList();
	}

	private static String textOf(List<String> events) {
		StringBuilder text = new StringBuilder();
		events.stream()
			.filter((event) -> event.startsWith("{"))
			.map((event) -> Json.toTree(event.getBytes(StandardCharsets.UTF_8)))
			.forEach((event) -> text.append(event.path("choices").path(0).path("delta").path("content").asText()));
		return text.toString();
	}

	private static String reasonOf(HttpResponse answer) {
		JsonNode error = Json.toTree(answer.body()).path("error");
		return error.path("reason").asText() + " " + error.path("ran").asText();
	}

}

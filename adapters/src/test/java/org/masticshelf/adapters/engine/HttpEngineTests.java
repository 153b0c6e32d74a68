package org.masticshelf.adapters.engine;

import java.net.URI;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.truth.Truth;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.masticshelf.kernel.configuration.Pool;
import org.masticshelf.kernel.port.Engine;
import org.masticshelf.kernel.port.ExchangeFailure;
import org.masticshelf.kernel.port.PortProvider;
import org.masticshelf.standins.engine.EngineStandIn;
import org.masticshelf.transport.http.HttpCall;
import org.masticshelf.transport.http.HttpClient;
import org.masticshelf.transport.json.Json;

class HttpEngineTests {

	private static final long BOUND_SECONDS = 30;

	private final EngineStandIn standIn = EngineStandIn.builder().withSlots(4, 1).start();

	private final Engine adapter = PortProvider.open(Engine.class, URI.create("openai://endpoints"));

	private final HttpClient client = HttpClient.withThreads(1);

	private final Pool.Endpoint endpoint = new Pool.Endpoint("engine-1", this.standIn.address(), "a", 1 << 20, 4, true);

	@AfterEach
	void close() {
		this.adapter.close();
		this.client.close();
		this.standIn.close();
	}

	@Test
	void loadsByOrderAndReportsIt() {
		load();
		Engine.Report report = report();
		Truth.assertThat(report.items()).containsExactly(new Engine.Item("m", Engine.ItemState.LOADED, 1_000));
		Truth.assertThat(report.highestFencing()).isEqualTo(5);
	}

	@Test
	void refusesOrderWithOldFencingNumber() {
		load();
		Engine.OrderAnswer answer = await(
				this.adapter.sendOrder(this.endpoint, new Engine.Order(Engine.Action.UNLOAD, "m", 1_000, 4)));
		Truth.assertThat(answer.accepted()).isFalse();
		Truth.assertThat(report().items()).hasSize(1);
	}

	@Test
	void refusesModelThatIsNotLoadedBeforeRunning() {
		Truth.assertThat(generate(false, 0)).isEqualTo("REFUSED_BY_ENDPOINT");
	}

	@ParameterizedTest
	@CsvSource({ "false,0,whole 5", "true,0,whole 5 chunks 5", "true,3,whole 2 chunks 2" })
	void generates(boolean stream, int resumeAfter, String expected) {
		load();
		Truth.assertThat(generate(stream, resumeAfter)).isEqualTo(expected);
	}

	@ParameterizedTest
	@CsvSource({ "RUBBISH,false,INVALID_ANSWER", "OTHER_REQUEST,false,INVALID_ANSWER",
			"OTHER_REQUEST,true,INVALID_ANSWER", "SHORT_ANSWER,false,AWAITING_ANSWER|IN_ANSWER",
			"SHORT_ANSWER,true,IN_ANSWER", "SILENT_END,true,INVALID_ANSWER", "REFUSE,false,INVALID_ANSWER" })
	void reportsFault(String fault, boolean stream, String expected) {
		load();
		strike(fault);
		Truth.assertThat(generate(stream, 0)).matches(expected);
	}

	@Test
	void reportsLostAnswerToOrder() {
		strike("LOSE_ORDER_ANSWER");
		String point = this.adapter.sendOrder(this.endpoint, new Engine.Order(Engine.Action.LOAD, "m", 1_000, 5))
			.handle((answer, failure) -> (failure != null) ? pointOf(failure) : "answered")
			.orTimeout(BOUND_SECONDS, TimeUnit.SECONDS)
			.join();
		Truth.assertThat(ExchangeFailure.Point.valueOf(point).provesNotRun()).isFalse();
	}

	private void load() {
		await(this.adapter.sendOrder(this.endpoint, new Engine.Order(Engine.Action.LOAD, "m", 1_000, 5)));
		while (report().items().stream().noneMatch((item) -> item.state() == Engine.ItemState.LOADED)) {
			Thread.onSpinWait();
		}
	}

	private Engine.Report report() {
		return await(this.adapter.readReport(this.endpoint));
	}

	private String generate(boolean stream, int resumeAfter) {
		ObjectNode body = JsonNodeFactory.instance.objectNode().put("model", "m").put("stream", stream);
		body.put("max_tokens", 5).putArray("messages").addObject().put("role", "user").put("content", "a crest");
		Outcome outcome = new Outcome();
		this.adapter.generate(this.endpoint, new Engine.Generation("request-1", "m", "/v1/chat/completions", body,
				stream, 0, Duration.ofSeconds(BOUND_SECONDS), resumeAfter), outcome);
		return await(outcome.ended);
	}

	private void strike(String fault) {
		await(this.client.exchange(
				HttpCall.postJson(this.standIn.address(), "/fault", Json.toBytes(Map.of("kind", fault, "count", 1)))));
	}

	private static <T> T await(CompletableFuture<T> future) {
		return future.orTimeout(BOUND_SECONDS, TimeUnit.SECONDS).join();
	}

	private static String pointOf(Throwable failure) {
		Throwable cause = (failure instanceof CompletionException) ? failure.getCause() : failure;
		return (cause instanceof ExchangeFailure exchange) ? exchange.point().name() : String.valueOf(cause);
	}

	/** Turns what a sink is told into a text. Called by one thread at a time. */
	private static final class Outcome implements Engine.AnswerSink {

		private final CompletableFuture<String> ended = new CompletableFuture<>();

		private int chunks;

		@Override
		public void onChunk(ObjectNode chunk, int tokens) {
			this.chunks += tokens;
		}

		@Override
		public void onComplete(@Nullable ObjectNode answer, Engine.Usage usage) {
			String streamed = (answer != null) ? "" : " chunks " + this.chunks;
			this.ended.complete("whole " + usage.generatedTokens() + streamed);
		}

		@Override
		public void onFailure(ExchangeFailure failure) {
			this.ended.complete(failure.point().name());
		}

	}

}

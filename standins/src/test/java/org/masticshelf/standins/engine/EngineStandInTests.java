package org.masticshelf.standins.engine;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.truth.Truth;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.masticshelf.standins.web.JsonExchange;

@Timeout(60)
class EngineStandInTests {

	private static final String PROMPT = "{'model':'m','stream':%s,'max_tokens':4,'messages':[{'content':'a b'}]}";

	private final HttpClient client = HttpClient.newHttpClient();

	private final EngineStandIn engine = EngineStandIn.builder()
		.withMemory(100)
		.withSlots(1, 0)
		.withLoader(new WeightLoader.OfDuration(0))
		.start();

	@AfterEach
	void close() {
		this.engine.close();
		this.client.close();
	}

	@Test
	void answersWithTheIdentityOfTheRequest() throws Exception {
		load("m", 60);
		JsonNode answer = json(post("/v1/chat/completions", PROMPT.formatted(false), 0));
		Truth.assertThat(answer.path("id").asText()).isEqualTo("r1");
		Truth.assertThat(answer.path("usage").toString())
			.isEqualTo("{\"prompt_tokens\":2,\"completion_tokens\":4,\"total_tokens\":6}");
	}

	@Test
	void endsStreamWithUsageAndDone() throws Exception {
		load("m", 60);
		String[] events = post("/v1/chat/completions", PROMPT.formatted(true), 0).body().split("\n\n");
		Truth.assertThat(events).hasLength(6);
		Truth.assertThat(events[4]).contains("\"completion_tokens\":4");
		Truth.assertThat(events[5]).isEqualTo("data: [DONE]");
	}

	@Test
	void resumesWithoutGapOrRepetition() throws Exception {
		load("m", 60);
		String whole = content(post("/v1/chat/completions", PROMPT.formatted(false), 0));
		String rest = content(post("/v1/chat/completions", PROMPT.formatted(false), 3));
		Truth.assertThat(whole).endsWith(rest);
		Truth.assertThat(rest).startsWith("tok3-");
	}

	@Test
	void refusesRequestWhoseModelIsNotLoaded() throws Exception {
		HttpResponse<String> response = post("/v1/completions", PROMPT.formatted(false), 0);
		Truth.assertThat(response.statusCode()).isEqualTo(409);
		Truth.assertThat(json(response).at("/error/reason").asText()).isEqualTo("model_not_loaded");
	}

	@ParameterizedTest
	@CsvSource({ "big,101,memory,1", "m:a,5,model_not_loaded,0" })
	void refusesOrder(String name, long bytes, String reason, int overcommits) throws Exception {
		JsonNode answer = order("LOAD", name, bytes, 1);
		Truth.assertThat(answer.path("reason").asText()).isEqualTo(reason);
		Truth.assertThat(json(get("/tally")).path("memory_overcommits").asInt()).isEqualTo(overcommits);
	}

	@ParameterizedTest
	@CsvSource({ "true,false", "false,true" })
	void checksFencingOnlyWhenItShould(boolean checks, boolean accepted) throws Exception {
		try (EngineStandIn other = EngineStandIn.builder().withFencing(checks).start()) {
			String late = "{'action':'UNLOAD','name':'m','memoryBytes':1,'fencing':%d}";
			send(other, "/orders", late.formatted(7), 0);
			JsonNode answer = json(send(other, "/orders", late.formatted(6), 0));
			Truth.assertThat(answer.path("accepted").asBoolean()).isEqualTo(accepted);
		}
	}

	@Test
	void runsNoMoreThanItsSlots() throws Exception {
		SlotQueue slots = new SlotQueue(1);
		slots.take(0);
		CompletableFuture<Void> second = CompletableFuture.runAsync(() -> take(slots));
		Truth.assertThat(second.isDone()).isFalse();
		slots.giveBack();
		second.get(20, TimeUnit.SECONDS);
		Truth.assertThat(slots.running()).isEqualTo(1);
	}

	@Test
	void cutsShortAnswer() throws Exception {
		load("m", 60);
		post("/fault", "{'kind':'SHORT_ANSWER'}", 0);
		CompletableFuture<Boolean> broken = this.client
			.sendAsync(request(this.engine, "/v1/chat/completions", PROMPT.formatted(true), 0),
					HttpResponse.BodyHandlers.ofString())
			.handle((response, failure) -> failure != null);
		Truth.assertThat(broken.get(20, TimeUnit.SECONDS)).isTrue();
	}

	private static void take(SlotQueue slots) {
		try {
			slots.take(0);
		}
		catch (InterruptedException ex) {
			throw new IllegalStateException(ex);
		}
	}

	private void load(String name, long bytes) throws Exception {
		Truth.assertThat(order("LOAD", name, bytes, 1).path("accepted").asBoolean()).isTrue();
		while (!json(get("/state")).at("/items/0/state").asText().equals("LOADED")) {
			Thread.onSpinWait();
		}
	}

	private JsonNode order(String action, String name, long bytes, long fencing) throws Exception {
		return json(post("/orders",
				"{'action':'%s','name':'%s','memoryBytes':%d,'fencing':%d}".formatted(action, name, bytes, fencing),
				0));
	}

	private String content(HttpResponse<String> response) throws Exception {
		return json(response).at("/choices/0/message/content").asText();
	}

	private HttpResponse<String> post(String path, String body, int resumeAfter) throws Exception {
		return send(this.engine, path, body, resumeAfter);
	}

	private HttpResponse<String> send(EngineStandIn target, String path, String body, int resumeAfter)
			throws Exception {
		return this.client.send(request(target, path, body, resumeAfter), HttpResponse.BodyHandlers.ofString());
	}

	private static HttpRequest request(EngineStandIn target, String path, String body, int resumeAfter) {
		return HttpRequest.newBuilder(URI.create("http://" + target.address() + path))
			.header("x-request-id", "r1")
			.header("x-resume-after-tokens", Integer.toString(resumeAfter))
			.POST(HttpRequest.BodyPublishers.ofString(body.replace('\'', '"')))
			.build();
	}

	private HttpResponse<String> get(String path) throws Exception {
		HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + this.engine.address() + path)).build();
		return this.client.send(request, HttpResponse.BodyHandlers.ofString());
	}

	private static JsonNode json(HttpResponse<String> response) throws Exception {
		return JsonExchange.MAPPER.readTree(response.body());
	}

}

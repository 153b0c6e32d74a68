package org.masticshelf.standins.engine;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.undertow.server.HttpServerExchange;

import org.masticshelf.standins.web.FaultSwitch;
import org.masticshelf.standins.web.JsonExchange;

/**
 * Runs chat completions and completions, unary and streamed.
 * <p>
 * Invariant: a request that is refused has neither been counted as run nor generated a
 * token. Safe for use by several threads; a request is handled by one blocking thread.
 */
final class Completions {

	private static final long STALL_MILLISECONDS = 600_000;

	private final Map<String, Thread> cancellable = new ConcurrentHashMap<>();

	private final EngineMemory memory;

	private final SlotQueue slots;

	private final EngineTally tally;

	private final FaultSwitch<EngineFault> faults;

	private final long tokenMilliseconds;

	/**
	 * Creates the handler.
	 * @param memory knows what is loaded
	 * @param slots bounds what runs at once
	 * @param tally counts what runs
	 * @param faults the faults that were asked for
	 * @param tokenMilliseconds how long a token takes
	 */
	Completions(EngineMemory memory, SlotQueue slots, EngineTally tally, FaultSwitch<EngineFault> faults,
			long tokenMilliseconds) {
		this.memory = memory;
		this.slots = slots;
		this.tally = tally;
		this.faults = faults;
		this.tokenMilliseconds = tokenMilliseconds;
	}

	/**
	 * Cancels a request that runs or waits.
	 * @param request the identifier of the request
	 * @return whether it was found
	 */
	boolean cancel(String request) {
		Thread thread = this.cancellable.remove(request);
		if (thread != null) {
			thread.interrupt();
		}
		return thread != null;
	}

	/**
	 * Handles a request.
	 * @param exchange the exchange
	 * @throws IOException if the caller is gone
	 */
	void handle(HttpServerExchange exchange) throws IOException {
		JsonExchange json = new JsonExchange(exchange);
		this.tally.header("authorization", json.header("authorization"));
		this.tally.header("x-api-key", json.header("x-api-key"));
		ObjectNode body = json.body();
		String model = body.path("model").asText();
		if (this.faults.strikes(EngineFault.REFUSE)) {
			refuse(json, 503, "refused");
		}
		else if (!this.memory.beginRequest(model)) {
			refuse(json, 409, "model_not_loaded");
		}
		else {
			try {
				runInSlot(json, body, model);
			}
			finally {
				this.memory.endRequest(model);
			}
		}
	}

	private void refuse(JsonExchange json, int status, String reason) throws IOException {
		this.tally.refused(reason);
		json.refuse(status, reason);
	}

	private void runInSlot(JsonExchange json, ObjectNode body, String model) throws IOException {
		String header = json.header("x-request-id");
		String request = (header != null) ? header : "none";
		this.cancellable.put(request, Thread.currentThread());
		try {
			this.slots.take(json.number("x-priority", 0));
			try {
				run(json, body, request, model);
			}
			finally {
				this.slots.giveBack();
			}
		}
		catch (InterruptedException ex) {
			json.cut();
		}
		finally {
			this.cancellable.remove(request);
		}
	}

	private void run(JsonExchange json, ObjectNode body, String request, String model)
			throws IOException, InterruptedException {
		TokenSequence tokens = TokenSequence.of(body);
		int first = Math.min(json.number("x-resume-after-tokens", 0), tokens.length());
		String named = this.faults.strikes(EngineFault.OTHER_REQUEST) ? "other-" + request : request;
		json.withHeader("x-request-id", named);
		Answer answer = new Answer(named, model, json.parameter("kind", "chat"), tokens, first);
		EngineTally.Run counted = this.tally.began(request, model, tokens.promptTokens());
		if (this.faults.strikes(EngineFault.RUBBISH)) {
			json.answerRubbish();
		}
		else if (body.path("stream").asBoolean()) {
			stream(json, answer, counted);
		}
		else {
			answerWhole(json, answer, counted);
		}
	}

	private void answerWhole(JsonExchange json, Answer answer, EngineTally.Run counted)
			throws IOException, InterruptedException {
		boolean isShort = this.faults.strikes(EngineFault.SHORT_ANSWER);
		for (int index = answer.first(); index < answer.tokens().length(); index++) {
			generate(answer, index, counted);
		}
		if (isShort) {
			json.cut();
			return;
		}
		json.answer(200, answer.whole());
	}

	private void stream(JsonExchange json, Answer answer, EngineTally.Run counted)
			throws IOException, InterruptedException {
		boolean isShort = this.faults.strikes(EngineFault.SHORT_ANSWER);
		boolean endsSilently = this.faults.strikes(EngineFault.SILENT_END);
		int middle = (answer.first() + answer.tokens().length()) / 2;
		OutputStream events = json.beginEvents();
		for (int index = answer.first(); index < answer.tokens().length(); index++) {
			if (index == middle && (isShort || endsSilently)) {
				endInTheMiddle(json, isShort);
				return;
			}
			generate(answer, index, counted);
			send(events, answer.chunk(answer.tokens().token(index)).toString());
		}
		send(events, answer.last().toString());
		send(events, "[DONE]");
		json.end();
	}

	private static void endInTheMiddle(JsonExchange json, boolean cut) {
		if (cut) {
			json.cut();
		}
		else {
			json.end();
		}
	}

	private void generate(Answer answer, int index, EngineTally.Run counted) throws InterruptedException {
		if (index == (answer.first() + answer.tokens().length()) / 2 && this.faults.strikes(EngineFault.STALL)) {
			Thread.sleep(STALL_MILLISECONDS);
		}
		Thread.sleep(this.tokenMilliseconds);
		this.tally.generated(counted, index + 1 - answer.first());
	}

	private static void send(OutputStream events, String data) throws IOException {
		events.write(("data: " + data + "\n\n").getBytes(StandardCharsets.UTF_8));
		events.flush();
	}

	/**
	 * The answer to one request in the form of its call.
	 *
	 * @param request the identifier that the answer carries
	 * @param model the model
	 * @param kind {@code chat} or {@code text}
	 * @param tokens the tokens of the whole answer
	 * @param first the index of the first token to send
	 */
	private record Answer(String request, String model, String kind, TokenSequence tokens, int first) {

		private ObjectNode head(String suffix) {
			String object = this.kind.equals("chat") ? "chat.completion" + suffix : "text_completion";
			return JsonExchange.MAPPER.createObjectNode()
				.put("id", this.request)
				.put("object", object)
				.put("model", this.model);
		}

		private ObjectNode chunk(String text) {
			ObjectNode chunk = head(".chunk");
			ObjectNode choice = chunk.putArray("choices").addObject().put("index", 0);
			if (this.kind.equals("chat")) {
				choice.putObject("delta").put("content", text);
			}
			else {
				choice.put("text", text);
			}
			choice.putNull("finish_reason");
			return chunk;
		}

		private ObjectNode last() {
			ObjectNode chunk = head(".chunk");
			ObjectNode choice = chunk.putArray("choices").addObject().put("index", 0);
			if (this.kind.equals("chat")) {
				choice.putObject("delta");
			}
			else {
				choice.put("text", "");
			}
			choice.put("finish_reason", "length");
			chunk.set("usage", usage());
			return chunk;
		}

		private ObjectNode whole() {
			ObjectNode whole = head("");
			ObjectNode choice = whole.putArray("choices").addObject().put("index", 0);
			String text = this.tokens.text(this.first, this.tokens.length());
			if (this.kind.equals("chat")) {
				choice.putObject("message").put("role", "assistant").put("content", text);
			}
			else {
				choice.put("text", text);
			}
			choice.put("finish_reason", "length");
			whole.set("usage", usage());
			return whole;
		}

		private ObjectNode usage() {
			int generated = this.tokens.length() - this.first;
			return JsonExchange.MAPPER.createObjectNode()
				.put("prompt_tokens", this.tokens.promptTokens())
				.put("completion_tokens", generated)
				.put("total_tokens", this.tokens.promptTokens() + generated);
		}

	}

}

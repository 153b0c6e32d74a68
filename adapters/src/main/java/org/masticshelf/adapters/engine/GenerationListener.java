package org.masticshelf.adapters.engine;

import java.io.ByteArrayOutputStream;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.jspecify.annotations.Nullable;

import org.masticshelf.kernel.port.Engine;
import org.masticshelf.kernel.port.ExchangeFailure;
import org.masticshelf.transport.http.ResponseListener;
import org.masticshelf.transport.json.Json;

/**
 * Turns an engine's HTTP answer into calls of an {@link Engine.AnswerSink}.
 * <p>
 * Invariant: an answer with another request's identity, without usage, or without its
 * final event is reported as a failure and never as complete. Used by one thread at a
 * time.
 */
final class GenerationListener implements ResponseListener {

	private static final int STATUS_OK = 200;

	private static final int MAXIMUM_ANSWER_BYTES = 8 * 1024 * 1024;

	private static final String FINAL_EVENT = "[DONE]";

	private final Engine.Generation generation;

	private final Engine.AnswerSink sink;

	private final EventStreamParser parser = new EventStreamParser(this::event);

	private final ByteArrayOutputStream body = new ByteArrayOutputStream();

	private int status;

	private boolean streamed;

	private boolean finished;

	private Engine.@Nullable Usage usage;

	/**
	 * Creates a listener.
	 * @param generation what was asked
	 * @param sink receives the answer
	 */
	GenerationListener(Engine.Generation generation, Engine.AnswerSink sink) {
		this.generation = generation;
		this.sink = sink;
	}

	@Override
	public void onHead(int status, Map<String, String> headers) {
		this.status = status;
		this.streamed = status == STATUS_OK && headers.getOrDefault("content-type", "").startsWith("text/event-stream");
	}

	@Override
	public void onBody(ByteBuffer piece) {
		if (this.streamed) {
			this.parser.take(piece);
			return;
		}
		if (this.body.size() + piece.remaining() > MAXIMUM_ANSWER_BYTES) {
			throw invalid("answer above " + MAXIMUM_ANSWER_BYTES + " bytes");
		}
		byte[] bytes = new byte[piece.remaining()];
		piece.get(bytes);
		this.body.writeBytes(bytes);
	}

	@Override
	public void onEnd() {
		try {
			if (this.streamed) {
				endStream();
				return;
			}
			endUnary();
		}
		catch (ExchangeFailure ex) {
			this.sink.onFailure(ex);
		}
	}

	@Override
	public void onFailure(ExchangeFailure failure) {
		this.sink.onFailure(failure);
	}

	private void endStream() {
		if (!this.finished || this.usage == null) {
			throw invalid("stream ended without its final event");
		}
		this.sink.onComplete(null, this.usage);
	}

	private void endUnary() {
		if (this.status != STATUS_OK) {
			throw refusal();
		}
		ObjectNode answer = toObject(new String(this.body.toByteArray(), StandardCharsets.UTF_8));
		requireIdentity(answer);
		Engine.Usage counted = toUsage(answer);
		if (counted == null) {
			throw invalid("answer without usage");
		}
		this.sink.onComplete(answer, counted);
	}

	private ExchangeFailure refusal() {
		String text = this.body.toString(StandardCharsets.UTF_8);
		boolean refusedBeforeRunning = this.status == 409 || this.status == 429;
		ExchangeFailure.Point point = refusedBeforeRunning ? ExchangeFailure.Point.REFUSED_BY_ENDPOINT
				: ExchangeFailure.Point.INVALID_ANSWER;
		return new ExchangeFailure(point,
				"status " + this.status + " " + text.substring(0, Math.min(200, text.length())));
	}

	private void event(String data) {
		if (this.finished) {
			throw invalid("event after the final event");
		}
		if (data.equals(FINAL_EVENT)) {
			this.finished = true;
			return;
		}
		ObjectNode chunk = toObject(data);
		requireIdentity(chunk);
		Engine.Usage counted = toUsage(chunk);
		if (counted != null) {
			this.usage = counted;
		}
		this.sink.onChunk(chunk, countTokens(chunk));
	}

	private void requireIdentity(ObjectNode answer) {
		String identity = answer.path("id").asText("");
		if (!identity.equals(this.generation.requestIdentifier())) {
			throw invalid(
					"answer of request '" + identity + "' instead of '" + this.generation.requestIdentifier() + "'");
		}
	}

	private static ObjectNode toObject(String text) {
		try {
			JsonNode tree = Json.toTree(text.getBytes(StandardCharsets.UTF_8));
			if (tree instanceof ObjectNode object) {
				return object;
			}
		}
		catch (UncheckedIOException ex) {
			throw invalid("malformed JSON");
		}
		throw invalid("no JSON object");
	}

	private static Engine.@Nullable Usage toUsage(ObjectNode answer) {
		JsonNode counted = answer.path("usage");
		if (!counted.path("completion_tokens").isIntegralNumber()) {
			return null;
		}
		return new Engine.Usage(counted.path("prompt_tokens").asLong(), counted.path("completion_tokens").asLong());
	}

	private static int countTokens(ObjectNode chunk) {
		JsonNode choice = chunk.path("choices").path(0);
		String text = choice.path("delta").path("content").asText(choice.path("text").asText(""));
		return text.isEmpty() ? 0 : 1;
	}

	private static ExchangeFailure invalid(String reason) {
		return new ExchangeFailure(ExchangeFailure.Point.INVALID_ANSWER, reason);
	}

}

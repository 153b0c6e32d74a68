package org.masticshelf.adapters.engine;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.truth.Truth;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.masticshelf.kernel.port.Engine;
import org.masticshelf.kernel.port.ExchangeFailure;

class GenerationListenerTests {

	private static final long MAXIMUM_ANSWER_BYTES = 16L * 1024 * 1024;

	private static final String STREAM_TYPE = "text/event-stream";

	private static final String WHOLE_STREAM = """
			data: {"id":"r","choices":[{"delta":{"content":"a"}}]}

			: a comment
			data: {"id":"r","choices":[{"delta":{"content":"b"}}]}

			data: {"id":"r","choices":[],"usage":{"prompt_tokens":3,"completion_tokens":2}}

			data: [DONE]

			""";

	@ParameterizedTest
	@CsvSource(delimiter = '|', quoteCharacter = '`',
			value = { "200|{\"id\":\"r\",\"usage\":{\"prompt_tokens\":3,\"completion_tokens\":2}}|whole 3 2",
					"200|{\"id\":\"other\",\"usage\":{\"prompt_tokens\":3,\"completion_tokens\":2}}|INVALID_ANSWER",
					"200|{\"usage\":{\"prompt_tokens\":3,\"completion_tokens\":2}}|INVALID_ANSWER",
					"200|{\"id\":\"r\"}|INVALID_ANSWER",
					"200|{\"id\":\"r\",\"usage\":{\"completion_tokens\":\"2\"}}|INVALID_ANSWER",
					"200|[1]|INVALID_ANSWER", "200|{\"id\":|INVALID_ANSWER", "200|``|INVALID_ANSWER",
					"409|{\"error\":{\"reason\":\"model_not_loaded\"}}|REFUSED_BY_ENDPOINT",
					"429|busy|REFUSED_BY_ENDPOINT", "500|{}|INVALID_ANSWER", "302||INVALID_ANSWER" })
	void judgesUnaryAnswer(int status, @Nullable String body, String expected) {
		Recorder recorder = new Recorder();
		GenerationListener listener = listener(recorder);
		listener.onHead(status, Map.of("content-type", "application/json"));
		listener.onBody(bytes((body != null) ? body : ""));
		listener.onEnd();
		Truth.assertThat(recorder.endings).containsExactly(expected);
	}

	@ParameterizedTest
	@CsvSource(delimiter = '|', quoteCharacter = '`',
			value = { "`data: [DONE]\n\n`|INVALID_ANSWER",
					"`data: {\"id\":\"r\",\"usage\":{\"completion_tokens\":0}}\n\n`|INVALID_ANSWER",
					"`data: {\"id\":\"r\",\"usage\":{\"completion_tokens\":0}}\n\ndata: [DONE]\n\n`|whole 0 0",
					"`data: {\"id\":\"r\",\"usage\":{\"completion_tokens\":0}}\n\ndata: [DONE]\n`|INVALID_ANSWER",
					"`data: {\"id\":\"other\"}\n\n`|INVALID_ANSWER", "`data: rubbish\n\n`|INVALID_ANSWER",
					"`data: [DONE]\n\ndata: {\"id\":\"r\"}\n\n`|INVALID_ANSWER" })
	void judgesStream(String body, String expected) {
		Recorder recorder = new Recorder();
		feed(recorder, body.getBytes(StandardCharsets.UTF_8), body.length());
		Truth.assertThat(recorder.endings).containsExactly(expected);
	}

	/**
	 * Guards against an engine whose answer is kept in memory without end, in a line, an
	 * event or a body.
	 * @param type the type of the answer
	 * @param repeated what the engine sends without end
	 */
	@ParameterizedTest
	@CsvSource({ "text/event-stream, x", "text/event-stream, data: x", "text/event-stream, 'data: x\n'",
			"text/event-stream, 'data: x\n:\n'", "application/json, x" })
	void refusesAnswerWithoutEnd(String type, String repeated) {
		GenerationListener listener = listener(new Recorder());
		listener.onHead(200, Map.of("content-type", type));
		byte[] piece = repeated.repeat(10_000).getBytes(StandardCharsets.UTF_8);
		ExchangeFailure failure = null;
		for (long sent = 0; sent < MAXIMUM_ANSWER_BYTES && failure == null; sent += piece.length) {
			try {
				listener.onBody(ByteBuffer.wrap(piece));
			}
			catch (ExchangeFailure ex) {
				failure = ex;
			}
		}
		Truth.assertThat(failure).isNotNull();
	}

	@Property(tries = 100, seed = "7")
	void doesNotDependOnHowBytesArrive(@ForAll @IntRange(min = 1, max = 300) int pieceBytes) {
		Recorder recorder = new Recorder();
		feed(recorder, WHOLE_STREAM.getBytes(StandardCharsets.UTF_8), pieceBytes);
		Truth.assertThat(recorder.endings).containsExactly("whole 3 2");
		Truth.assertThat(recorder.tokens).isEqualTo(2);
	}

	@Property(tries = 500, seed = "11")
	void endsOnceWhateverBytesCome(@ForAll @Size(max = 400) byte[] body, @ForAll boolean stream,
			@ForAll @IntRange(min = 1, max = 50) int pieceBytes) {
		Recorder recorder = new Recorder();
		feed(recorder, body, pieceBytes, stream ? STREAM_TYPE : "application/json");
		Truth.assertThat(recorder.endings).hasSize(1);
	}

	@Property(tries = 300, seed = "13")
	void neverTakesCutStreamForWhole(@ForAll @IntRange(min = 0, max = 1_000) int cutAt) {
		byte[] whole = WHOLE_STREAM.strip().getBytes(StandardCharsets.UTF_8);
		byte[] cut = Arrays.copyOf(whole, Math.min(cutAt, whole.length));
		Recorder recorder = new Recorder();
		feed(recorder, cut, 64);
		Truth.assertThat(recorder.endings).containsExactly("INVALID_ANSWER");
	}

	private static void feed(Recorder recorder, byte[] body, int pieceBytes) {
		feed(recorder, body, pieceBytes, STREAM_TYPE);
	}

	// The client ends an exchange whose listener throws with the failure that it threw.
	private static void feed(Recorder recorder, byte[] body, int pieceBytes, String contentType) {
		GenerationListener listener = listener(recorder);
		try {
			listener.onHead(200, Map.of("content-type", contentType));
			for (int from = 0; from < body.length; from += pieceBytes) {
				listener.onBody(ByteBuffer.wrap(body, from, Math.min(pieceBytes, body.length - from)));
			}
		}
		catch (ExchangeFailure ex) {
			listener.onFailure(ex);
			return;
		}
		listener.onEnd();
	}

	private static ByteBuffer bytes(String text) {
		return ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8));
	}

	private static GenerationListener listener(Recorder recorder) {
		return new GenerationListener(new Engine.Generation("r", "m", "/v1/chat/completions",
				JsonNodeFactory.instance.objectNode(), true, 0, Duration.ofSeconds(1), 0), recorder);
	}

	/** Records what a sink is told. Used by one thread. */
	private static final class Recorder implements Engine.AnswerSink {

		private final List<String> endings = new ArrayList<>();

		private int tokens;

		@Override
		public void onChunk(ObjectNode chunk, int chunkTokens) {
			this.tokens += chunkTokens;
		}

		@Override
		public void onComplete(@Nullable ObjectNode answer, Engine.Usage usage) {
			this.endings.add("whole " + usage.promptTokens() + " " + usage.generatedTokens());
		}

		@Override
		public void onFailure(ExchangeFailure failure) {
			this.endings.add(failure.point().name());
		}

	}

}

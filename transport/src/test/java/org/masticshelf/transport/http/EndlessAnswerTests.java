package org.masticshelf.transport.http;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import com.google.common.truth.Truth;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import org.masticshelf.kernel.port.ExchangeFailure;

/**
 * Tests that an answer without end is given up by {@link HttpClient} once it exceeds what
 * any answer may hold, and not only at the timeout.
 */
class EndlessAnswerTests {

	private static final long TIMEOUT_SECONDS = 60;

	/** The largest answer, and what the sockets of both sides may buffer. */
	private static final long MAXIMUM_BYTES = HttpClient.MAXIMUM_ANSWER_BYTES + 32L * 1024 * 1024;

	private static final int PIECE_BYTES = 8 * 1024;

	/**
	 * Guards against a process that runs out of memory, or goes on reading, because a
	 * server never ends its answer.
	 * @param answer what is sent without end
	 */
	@ParameterizedTest
	@EnumSource(EndlessAnswer.class)
	@Timeout(2 * TIMEOUT_SECONDS)
	void answerWithoutEndIsRefusedAndItsConnectionClosed(EndlessAnswer answer) throws Exception {
		try (ServerSocket listener = new ServerSocket(0, 10, InetAddress.getLoopbackAddress());
				HttpClient client = HttpClient.withThreads(1)) {
			CompletableFuture<Long> sent = CompletableFuture.supplyAsync(() -> answer.serve(listener));
			HttpCall call = HttpCall.get("127.0.0.1:" + listener.getLocalPort(), "/report")
				.withTimeout(Duration.ofSeconds(TIMEOUT_SECONDS));
			Throwable failure = client.exchange(call)
				.handle((whole, seen) -> seen)
				.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
			Truth.assertThat(failure).isInstanceOf(ExchangeFailure.class);
			Truth.assertThat(((ExchangeFailure) failure).point()).isEqualTo(ExchangeFailure.Point.INVALID_ANSWER);
			Truth.assertThat(sent.get(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isAtMost(MAXIMUM_BYTES);
		}
	}

	/** Where an answer has no end. */
	enum EndlessAnswer {

		STATUS_LINE("", "x"),

		REASON_PHRASE("HTTP/1.1 200 ", "x"),

		HEADER_NAME("HTTP/1.1 200 OK~", "x"),

		HEADER_VALUE("HTTP/1.1 200 OK~X: ", "x"),

		HEADERS("HTTP/1.1 200 OK~", "X: y~"),

		INTERIM_ANSWERS("", "HTTP/1.1 103 Soon~~"),

		CHUNK_SIZE("HTTP/1.1 200 OK~Transfer-Encoding: chunked~~", "0"),

		CHUNK_EXTENSION("HTTP/1.1 200 OK~Transfer-Encoding: chunked~~1;", "x"),

		CHUNKS("HTTP/1.1 200 OK~Transfer-Encoding: chunked~~", "4~body~"),

		TRAILER("HTTP/1.1 200 OK~Transfer-Encoding: chunked~~0~X: ", "y"),

		TRAILERS("HTTP/1.1 200 OK~Transfer-Encoding: chunked~~0~", "X: y~"),

		BODY_OF_ANNOUNCED_LENGTH("HTTP/1.1 200 OK~Content-Length: 999999999999~~", "x"),

		BODY_UNTIL_CLOSE("HTTP/1.1 200 OK~~", "x");

		private final byte[] beginning;

		private final byte[] repeated;

		EndlessAnswer(String beginning, String repeated) {
			this.beginning = beginning.replace("~", "\r\n").getBytes(StandardCharsets.US_ASCII);
			String piece = repeated.replace("~", "\r\n");
			this.repeated = piece.repeat(PIECE_BYTES / piece.length()).getBytes(StandardCharsets.US_ASCII);
		}

		/** Sends until the client closes and returns how many bytes were sent. */
		long serve(ServerSocket listener) {
			long sent = this.beginning.length;
			try (Socket connection = listener.accept()) {
				OutputStream output = connection.getOutputStream();
				output.write(this.beginning);
				while (sent <= MAXIMUM_BYTES) {
					output.write(this.repeated);
					sent += this.repeated.length;
				}
			}
			catch (IOException ex) {
				return sent;
			}
			return sent;
		}

	}

}

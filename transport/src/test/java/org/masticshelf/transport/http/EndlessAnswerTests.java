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
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

import org.masticshelf.kernel.port.ExchangeFailure;

/**
 * Tests that an answer without end is given up by {@link HttpClient} once it exceeds what
 * any answer may hold, and not only at the timeout.
 */
class EndlessAnswerTests {

	private static final long TIMEOUT_SECONDS = 60;

	/** Far above the largest answer and what the sockets of both sides may buffer. */
	private static final long ENDLESS_BYTES = 256L * 1024 * 1024;

	private static final int BODY_BYTES = 2_000;

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
			CompletableFuture<Boolean> closed = CompletableFuture.supplyAsync(() -> answer.isClosedWhileSent(listener));
			HttpCall call = HttpCall.get("127.0.0.1:" + listener.getLocalPort(), "/report")
				.withTimeout(Duration.ofSeconds(TIMEOUT_SECONDS));
			Throwable failure = client.exchange(call)
				.handle((whole, seen) -> seen)
				.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
			Truth.assertThat(failure).isInstanceOf(ExchangeFailure.class);
			Truth.assertThat(((ExchangeFailure) failure).point()).isEqualTo(ExchangeFailure.Point.INVALID_ANSWER);
			Truth.assertThat(closed.get(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isTrue();
		}
	}

	@ParameterizedTest
	@CsvSource({ "1999, false", "2000, true", "2001, true" })
	void collectsBodyUpToTheBoundOfTheCall(int maximumBytes, boolean whole) throws Exception {
		try (ServerSocket listener = new ServerSocket(0, 10, InetAddress.getLoopbackAddress());
				HttpClient client = HttpClient.withThreads(1)) {
			Thread.startVirtualThread(() -> serveBody(listener));
			HttpCall call = HttpCall.get("127.0.0.1:" + listener.getLocalPort(), "/report")
				.withTimeout(Duration.ofSeconds(TIMEOUT_SECONDS))
				.withMaximumAnswerBytes(maximumBytes);
			boolean collected = client.exchange(call)
				.handle((answer, failure) -> failure == null && answer.body().length == BODY_BYTES)
				.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
			Truth.assertThat(collected).isEqualTo(whole);
		}
	}

	private static void serveBody(ServerSocket listener) {
		try (Socket connection = listener.accept()) {
			String answer = "HTTP/1.1 200 OK\r\nContent-Length: " + BODY_BYTES + "\r\n\r\n" + "x".repeat(BODY_BYTES);
			connection.getOutputStream().write(answer.getBytes(StandardCharsets.US_ASCII));
			connection.getInputStream().transferTo(OutputStream.nullOutputStream());
		}
		catch (IOException ex) {
			// The client has reset the connection.
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

		/** Sends until the client closes the connection, and returns whether it does. */
		boolean isClosedWhileSent(ServerSocket listener) {
			try (Socket connection = listener.accept()) {
				OutputStream output = connection.getOutputStream();
				output.write(this.beginning);
				for (long sent = 0; sent < ENDLESS_BYTES; sent += this.repeated.length) {
					output.write(this.repeated);
				}
				return false;
			}
			catch (IOException ex) {
				return true;
			}
		}

	}

}

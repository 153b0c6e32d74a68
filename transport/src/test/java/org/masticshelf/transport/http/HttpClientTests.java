package org.masticshelf.transport.http;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.node.TextNode;
import com.google.common.truth.Truth;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

import org.masticshelf.kernel.port.ExchangeFailure;
import org.masticshelf.transport.json.Json;

class HttpClientTests {

	private static final long TIMEOUT_SECONDS = 30;

	private final HttpClient client = HttpClient.withThreads(2);

	@AfterEach
	void close() {
		this.client.close();
	}

	@Test
	void exchangesJsonOnReusedConnections() throws Exception {
		try (JsonServer server = JsonServer.start("127.0.0.1", 0, 1)) {
			server.addHandler("echo", CompletableFuture::completedFuture);
			HttpPeerChannel channel = new HttpPeerChannel(this.client, server);
			for (int round = 0; round < 50; round++) {
				TextNode sent = TextNode.valueOf("round " + round);
				Truth
					.assertThat(channel.call(server.address(), "echo", sent, Duration.ofSeconds(TIMEOUT_SECONDS))
						.get(TIMEOUT_SECONDS, TimeUnit.SECONDS))
					.isEqualTo(sent);
			}
		}
	}

	@Test
	void resetsConnectionWhenExchangeTimesOut() throws Exception {
		try (ServerSocket listener = new ServerSocket(0, 10, InetAddress.getLoopbackAddress())) {
			CompletableFuture<String> end = new CompletableFuture<>();
			Thread.startVirtualThread(() -> end.complete(endOfNextConnection(listener)));
			HttpCall call = HttpCall.postJson("127.0.0.1:" + listener.getLocalPort(), "/x", new byte[10])
				.withTimeout(Duration.ofMillis(50));
			Truth
				.assertThat(this.client.exchange(call)
					.handle((answer, failure) -> failure)
					.get(TIMEOUT_SECONDS, TimeUnit.SECONDS))
				.isInstanceOf(ExchangeFailure.class);
			Truth.assertThat(end.get(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isEqualTo("reset");
		}
	}

	private static String endOfNextConnection(ServerSocket listener) {
		try (Socket connection = listener.accept()) {
			InputStream input = connection.getInputStream();
			while (input.read() >= 0) {
				// Reads until the client closes or resets the connection.
			}
			return "closed";
		}
		catch (IOException ex) {
			return "reset";
		}
	}

	/**
	 * Guards against finding silent connections one at a time: all connections of a pool
	 * go silent at once, and each would cost a timeout of its own.
	 * @param expiry how the time of the unanswered exchange ends
	 */
	@ParameterizedTest
	@EnumSource(Expiry.class)
	void unansweredExchangeDiscardsIdleConnections(Expiry expiry) throws Exception {
		try (SilencedServer server = new SilencedServer()) {
			server.openConnections(this.client, 3);
			server.silenceOpenConnections();
			HttpCall call = HttpCall.get(server.address(), "/unanswered").withTimeout(Duration.ofMillis(50));
			Throwable failure = expiry.exchange(this.client, call)
				.handle((answer, seen) -> seen)
				.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
			Truth.assertThat(failure).isNotNull();
			HttpCall next = HttpCall.get(server.address(), "/next").withTimeout(Duration.ofSeconds(TIMEOUT_SECONDS));
			Truth.assertThat(this.client.exchange(next).get(TIMEOUT_SECONDS, TimeUnit.SECONDS).status()).isEqualTo(200);
		}
	}

	@Test
	void cancelledExchangeKeepsIdleConnections() throws Exception {
		try (SilencedServer server = new SilencedServer()) {
			server.openConnections(this.client, 3);
			int opened = server.accepted();
			server.setAnswering(false);
			CompletableFuture<HttpResponse> cancelled = this.client
				.exchange(HttpCall.get(server.address(), "/unanswered"));
			server.awaitUnanswered();
			cancelled.cancel(false);
			server.setAnswering(true);
			this.client.exchange(HttpCall.get(server.address(), "/next")).get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
			Truth.assertThat(server.accepted()).isEqualTo(opened);
		}
	}

	@Test
	void readsCompleteAnswerOfClosingConnection() throws Exception {
		try (ServerSocket listener = new ServerSocket(0, 10, InetAddress.getLoopbackAddress())) {
			Thread.startVirtualThread(() -> Fault.answer(listener,
					"HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 4\r\n\r\nfull"));
			HttpCall call = HttpCall.postJson("127.0.0.1:" + listener.getLocalPort(), "/x", new byte[10]);
			HttpResponse answer = this.client.exchange(call).get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
			Truth.assertThat(new String(answer.body(), StandardCharsets.US_ASCII)).isEqualTo("full");
		}
	}

	/**
	 * Guards against a round that waits for an answer for ever, because collecting the
	 * answer has failed as with a full heap.
	 */
	@Test
	void listenerIsToldOfAnErrorOfItsOwn() throws Exception {
		try (ServerSocket listener = new ServerSocket(0, 10, InetAddress.getLoopbackAddress())) {
			Thread.startVirtualThread(() -> Fault.answer(listener, "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n"));
			CompletableFuture<ExchangeFailure> told = new CompletableFuture<>();
			HttpCall call = HttpCall.postJson("127.0.0.1:" + listener.getLocalPort(), "/x", new byte[10]);
			this.client.stream(call, new FailingListener(told));
			Truth.assertThat(told.get(TIMEOUT_SECONDS, TimeUnit.SECONDS).point())
				.isEqualTo(ExchangeFailure.Point.INVALID_ANSWER);
		}
	}

	@Test
	void answersCallWhoseHandlerFailsWithAnError() throws Exception {
		try (JsonServer server = JsonServer.start("127.0.0.1", 0, 1)) {
			server.addHandler("failing", (body) -> {
				throw new StackOverflowError();
			});
			HttpResponse answer = this.client
				.exchange(HttpCall.postJson(server.address(), "/control/failing", Json.toBytes("x")))
				.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
			Truth.assertThat(answer.status()).isEqualTo(500);
		}
	}

	@Test
	void reportsUnknownOperation() throws Exception {
		try (JsonServer server = JsonServer.start("127.0.0.1", 0, 1)) {
			HttpResponse answer = this.client
				.exchange(HttpCall.postJson(server.address(), "/control/none", Json.toBytes("x")))
				.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
			Truth.assertThat(answer.status()).isEqualTo(404);
		}
	}

	@ParameterizedTest
	@EnumSource(Fault.class)
	void reportsPointOfFailure(Fault fault) throws Exception {
		try (ServerSocket listener = new ServerSocket(0, 10, InetAddress.getLoopbackAddress())) {
			String address = "127.0.0.1:" + listener.getLocalPort();
			if (fault == Fault.REFUSE_CONNECTION) {
				listener.close();
			}
			else {
				Thread.startVirtualThread(() -> fault.serve(listener));
			}
			HttpCall call = HttpCall.postJson(address, "/x", new byte[10]).withTimeout(Duration.ofSeconds(5));
			Throwable failure = this.client.exchange(call)
				.handle((answer, seen) -> seen)
				.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
			Truth.assertThat(failure).isInstanceOf(ExchangeFailure.class);
			Truth.assertThat(((ExchangeFailure) failure).point()).isEqualTo(fault.point);
		}
	}

	@ParameterizedTest
	@ValueSource(strings = { "HTTP/1.1 200 OK~content-length: 4~~bod",
			"HTTP/1.1 200 OK~transfer-encoding: chunked~~4~body~0~",
			"HTTP/1.1 200 OK~content-type: application/json~" })
	void answerCutAtAnyByteIsNotTakenForComplete(String answer) throws Exception {
		String whole = answer.replace("~", "\r\n");
		for (int end = 0; end <= whole.length(); end++) {
			String sent = whole.substring(0, end);
			try (ServerSocket listener = new ServerSocket(0, 10, InetAddress.getLoopbackAddress())) {
				Thread.startVirtualThread(() -> Fault.answer(listener, sent));
				HttpCall call = HttpCall.postJson("127.0.0.1:" + listener.getLocalPort(), "/x", new byte[10]);
				Throwable failure = this.client.exchange(call)
					.handle((complete, seen) -> seen)
					.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
				Truth.assertWithMessage("cut after %s bytes", end).that(failure).isInstanceOf(ExchangeFailure.class);
			}
		}
	}

	/**
	 * A listener without room for the answer.
	 *
	 * @param told receives the failure that the listener is told of
	 */
	private record FailingListener(CompletableFuture<ExchangeFailure> told) implements ResponseListener {

		@Override
		public void onHead(int status, Map<String, String> headers) {
			throw new OutOfMemoryError();
		}

		@Override
		public void onBody(ByteBuffer piece) {
			// The head has failed.
		}

		@Override
		public void onEnd() {
			// The head has failed.
		}

		@Override
		public void onFailure(ExchangeFailure failure) {
			this.told.complete(failure);
		}

	}

	/** What ends an exchange that is not answered in time. */
	enum Expiry {

		TIMER_OF_THE_EXCHANGE {
			@Override
			CompletableFuture<HttpResponse> exchange(HttpClient client, HttpCall call) {
				return client.exchange(call);
			}
		},

		TIMEOUT_WITH_CONNECTING {
			@Override
			CompletableFuture<HttpResponse> exchange(HttpClient client, HttpCall call) {
				return client.exchangeWithinTimeout(call);
			}
		};

		abstract CompletableFuture<HttpResponse> exchange(HttpClient client, HttpCall call);

	}

	/** How the server breaks an exchange, and the point of failure to be reported. */
	enum Fault {

		REFUSE_CONNECTION(ExchangeFailure.Point.BEFORE_CONNECT, ""),

		CLOSE_AFTER_REQUEST(ExchangeFailure.Point.AWAITING_ANSWER, ""),

		UNDEFINED_STATUS(ExchangeFailure.Point.INVALID_ANSWER, "HTTP/1.1 600 OK\r\ncontent-length: 0\r\n\r\n"),

		SHORT_BODY(ExchangeFailure.Point.IN_ANSWER, "HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\nhalf"),

		SHORT_CHUNKS(ExchangeFailure.Point.IN_ANSWER,
				"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n");

		private final ExchangeFailure.Point point;

		private final String answer;

		Fault(ExchangeFailure.Point point, String answer) {
			this.point = point;
			this.answer = answer;
		}

		void serve(ServerSocket listener) {
			answer(listener, this.answer);
		}

		static void answer(ServerSocket listener, String answer) {
			try (Socket socket = listener.accept()) {
				InputStream input = socket.getInputStream();
				StringBuilder seen = new StringBuilder();
				while (!seen.toString().contains("\r\n\r\n")) {
					seen.append((char) input.read());
				}
				input.readNBytes(10);
				socket.getOutputStream().write(answer.getBytes(StandardCharsets.US_ASCII));
				socket.getOutputStream().flush();
			}
			catch (IOException ex) {
				throw new UncheckedIOException(ex);
			}
		}

	}

}

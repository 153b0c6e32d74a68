package org.masticshelf.systemtests;

import java.io.IOException;
import java.net.ConnectException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.stream.Stream;

import org.masticshelf.transport.json.Json;

/**
 * A caller that keeps its connections open. Safe for use by several threads.
 */
final class Caller {

	private static final Duration BOUND = Duration.ofSeconds(90);

	private static final long DEADLINE_MILLISECONDS = 60_000;

	private final HttpClient client = HttpClient.newBuilder()
		.version(HttpClient.Version.HTTP_1_1)
		.connectTimeout(BOUND)
		.build();

	private final String key;

	private final long deadlineMilliseconds;

	/**
	 * Creates a caller that waits for a minute.
	 * @param key the key of its organisation
	 */
	Caller(String key) {
		this(key, DEADLINE_MILLISECONDS);
	}

	/**
	 * Creates a caller.
	 * @param key the key of its organisation
	 * @param deadlineMilliseconds the deadline that its requests name
	 */
	Caller(String key, long deadlineMilliseconds) {
		this.key = key;
		this.deadlineMilliseconds = deadlineMilliseconds;
	}

	/**
	 * Asks a model for a whole answer.
	 * @param daemon the daemon to send to
	 * @param model the name of the model's route
	 * @param tokens the length of the answer in tokens
	 * @return what came back, never a failed future
	 */
	CompletableFuture<Answer> chat(DaemonProcess daemon, String model, int tokens) {
		return send(request(daemon, "/v1/chat/completions", chatBody(model, tokens, false)).build());
	}

	/**
	 * Asks a model for a stream.
	 * @param daemon the daemon to send to
	 * @param model the name of the model's route
	 * @param tokens the length of the answer in tokens
	 * @return the lines of the stream as they come
	 */
	CompletableFuture<HttpResponse<Stream<String>>> stream(DaemonProcess daemon, String model, int tokens) {
		return this.client.sendAsync(request(daemon, "/v1/chat/completions", chatBody(model, tokens, true)).build(),
				HttpResponse.BodyHandlers.ofLines());
	}

	/**
	 * Makes a call that is not idempotent.
	 * @param daemon the daemon to send to
	 * @param idempotencyKey names the call over all its repetitions
	 * @return what came back, never a failed future
	 */
	CompletableFuture<Answer> order(DaemonProcess daemon, String idempotencyKey) {
		return send(request(daemon, "/sofia/orders/orders", Json.toBytes(Map.of("stitches", 5)))
			.header("idempotency-key", idempotencyKey)
			.build());
	}

	/**
	 * Asks a daemon whether it takes requests, as a load balancer does.
	 * @param daemon the daemon
	 * @return whether it is ready
	 */
	boolean isReady(DaemonProcess daemon) {
		HttpRequest probe = HttpRequest.newBuilder(URI.create("http://" + daemon.operators() + "/readyz"))
			.timeout(BOUND)
			.build();
		return send(probe).join().status() == 200;
	}

	private static byte[] chatBody(String model, int tokens, boolean stream) {
		return Json.toBytes(Map.of("model", model, "stream", stream, "max_tokens", tokens, "messages",
				List.of(Map.of("role", "user", "content", "a red crest"))));
	}

	private HttpRequest.Builder request(DaemonProcess daemon, String path, byte[] body) {
		return HttpRequest.newBuilder(URI.create("http://" + daemon.callers() + path))
			.timeout(BOUND)
			.header("authorization", "Bearer " + this.key)
			.header("x-deadline-ms", Long.toString(this.deadlineMilliseconds))
			.header("content-type", "application/json")
			.POST(HttpRequest.BodyPublishers.ofByteArray(body));
	}

	private CompletableFuture<Answer> send(HttpRequest request) {
		return this.client.sendAsync(request, HttpResponse.BodyHandlers.ofString())
			.handle((response, failure) -> (response != null) ? new Answer(response.statusCode(), response.body())
					: Answer.of(failure));
	}

	/**
	 * What came back for a request.
	 *
	 * @param status the status, {@link #NOT_CONNECTED} or {@link #BROKEN}
	 * @param body the body, or the failure in words
	 */
	record Answer(int status, String body) {

		/** The status if no connection was accepted, so that nothing was sent. */
		static final int NOT_CONNECTED = -1;

		/** The status if the connection failed later. */
		static final int BROKEN = -2;

		private static Answer of(Throwable failure) {
			Throwable cause = (failure instanceof CompletionException) ? failure.getCause() : failure;
			boolean unsent = cause instanceof ConnectException;
			return new Answer(unsent ? NOT_CONNECTED : BROKEN,
					(cause instanceof IOException) ? String.valueOf(cause) : cause + "");
		}

		/**
		 * Returns whether a load balancer may send the request to another daemon.
		 * @return whether the daemon certainly did not take the request
		 */
		boolean goesElsewhere() {
			return this.status == NOT_CONNECTED || this.body.contains("draining");
		}

	}

}

package org.masticshelf.transport.http;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.function.Function;

import com.fasterxml.jackson.databind.JsonNode;
import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import org.jspecify.annotations.Nullable;

import org.masticshelf.transport.json.Json;

/**
 * A listener that answers JSON operations at {@code POST /control/<operation>}.
 * <p>
 * Invariant: an answer above the bound on bodies or a failed handler never closes the
 * listener. Handlers run on virtual threads. Safe for use by several threads.
 */
public final class JsonServer implements AutoCloseable {

	private static final String PREFIX = "/control/";

	private static final long MAXIMUM_BODY_BYTES = 16L * 1024 * 1024;

	private final Map<String, Function<JsonNode, CompletableFuture<JsonNode>>> handlers = new ConcurrentHashMap<>();

	private final ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor();

	private final Undertow server;

	private JsonServer(String host, int port, int ioThreads) {
		this.server = Undertow.builder()
			.addHttpListener(port, host, this::handle)
			.setIoThreads(ioThreads)
			.setWorkerThreads(1)
			.setServerOption(UndertowOptions.MAX_ENTITY_SIZE, MAXIMUM_BODY_BYTES)
			.build();
	}

	/**
	 * Starts a listener.
	 * @param host the IP number to listen on
	 * @param port the port, or 0 for any free one
	 * @param ioThreads how many threads for input and output
	 * @return the running listener
	 */
	public static JsonServer start(String host, int port, int ioThreads) {
		JsonServer server = new JsonServer(host, port, ioThreads);
		server.server.start();
		return server;
	}

	/**
	 * Returns the address that the listener is bound to.
	 * @return the IP number and port
	 */
	public String address() {
		InetSocketAddress bound = (InetSocketAddress) this.server.getListenerInfo().getFirst().getAddress();
		return bound.getAddress().getHostAddress() + ":" + bound.getPort();
	}

	/**
	 * Answers an operation.
	 * @param operation the operation, the path after {@code /control/}
	 * @param handler computes the answer
	 */
	public void answer(String operation, Function<JsonNode, CompletableFuture<JsonNode>> handler) {
		this.handlers.put(operation, handler);
	}

	private void handle(HttpServerExchange exchange) {
		String path = exchange.getRequestPath();
		Function<JsonNode, CompletableFuture<JsonNode>> handler = path.startsWith(PREFIX)
				? this.handlers.get(path.substring(PREFIX.length())) : null;
		if (handler == null) {
			send(exchange, 404, "{\"error\":\"no such operation\"}".getBytes(StandardCharsets.UTF_8));
			return;
		}
		exchange.getRequestReceiver()
			.receiveFullBytes(
					(receiving, body) -> receiving.dispatch(this.executor, () -> run(receiving, handler, body)),
					(failing, failure) -> send(failing, 413, error(failure)));
	}

	private static void run(HttpServerExchange exchange, Function<JsonNode, CompletableFuture<JsonNode>> handler,
			byte[] body) {
		try {
			JsonNode input = (body.length > 0) ? Json.toTree(body) : Json.mapper().nullNode();
			handler.apply(input).whenComplete((answer, failure) -> finish(exchange, answer, failure));
		}
		catch (RuntimeException ex) {
			send(exchange, 400, error(ex));
		}
	}

	private static void finish(HttpServerExchange exchange, @Nullable JsonNode answer, @Nullable Throwable failure) {
		if (failure != null || answer == null) {
			send(exchange, 500, error(failure));
			return;
		}
		send(exchange, 200, Json.toBytes(answer));
	}

	private static byte[] error(@Nullable Throwable failure) {
		return Json.toBytes(Map.of("error", String.valueOf(failure)));
	}

	private static void send(HttpServerExchange exchange, int status, byte[] body) {
		exchange.getIoThread().execute(() -> {
			exchange.setStatusCode(status);
			exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
			exchange.getResponseSender().send(ByteBuffer.wrap(body));
		});
		if (exchange.isInIoThread() && !exchange.isDispatched()) {
			exchange.dispatch();
		}
	}

	@Override
	public void close() {
		this.server.stop();
		this.executor.close();
	}

}

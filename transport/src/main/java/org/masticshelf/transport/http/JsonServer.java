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
 * An HTTP server that answers JSON operations at {@code POST /control/<operation>}.
 * <p>
 * Invariant: an answer above the maximum body size or a failed handler never stops the
 * server. Handlers run on virtual threads. Thread-safe.
 */
public final class JsonServer implements AutoCloseable {

	private static final String PATH_PREFIX = "/control/";

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
	 * Starts a server.
	 * @param host the IP address to listen on
	 * @param port the port, or 0 for any free one
	 * @param ioThreads the number of I/O threads
	 * @return the running server
	 */
	public static JsonServer start(String host, int port, int ioThreads) {
		JsonServer server = new JsonServer(host, port, ioThreads);
		server.server.start();
		return server;
	}

	/**
	 * Returns the address that the server is bound to.
	 * @return the IP address and port
	 */
	public String address() {
		InetSocketAddress bound = (InetSocketAddress) this.server.getListenerInfo().getFirst().getAddress();
		return bound.getAddress().getHostAddress() + ":" + bound.getPort();
	}

	/**
	 * Registers the handler of an operation, in place of an earlier one.
	 * @param operation the path after {@code /control/}
	 * @param handler computes the answer
	 */
	public void addHandler(String operation, Function<JsonNode, CompletableFuture<JsonNode>> handler) {
		this.handlers.put(operation, handler);
	}

	private void handle(HttpServerExchange exchange) {
		String path = exchange.getRequestPath();
		Function<JsonNode, CompletableFuture<JsonNode>> handler = path.startsWith(PATH_PREFIX)
				? this.handlers.get(path.substring(PATH_PREFIX.length())) : null;
		if (handler == null) {
			send(exchange, 404, "{\"error\":\"no such operation\"}".getBytes(StandardCharsets.UTF_8));
			return;
		}
		exchange.getRequestReceiver()
			.receiveFullBytes(
					(receiving, body) -> receiving.dispatch(this.executor, () -> invoke(receiving, handler, body)),
					(failing, failure) -> send(failing, 413, errorBody(failure)));
	}

	private static void invoke(HttpServerExchange exchange, Function<JsonNode, CompletableFuture<JsonNode>> handler,
			byte[] body) {
		try {
			JsonNode input = (body.length > 0) ? Json.toTree(body) : Json.mapper().nullNode();
			handler.apply(input).whenComplete((answer, failure) -> sendResult(exchange, answer, failure));
		}
		catch (RuntimeException ex) {
			send(exchange, 400, errorBody(ex));
		}
		catch (Error ex) {
			send(exchange, 500, errorBody(ex));
		}
	}

	private static void sendResult(HttpServerExchange exchange, @Nullable JsonNode answer,
			@Nullable Throwable failure) {
		if (failure != null || answer == null) {
			send(exchange, 500, errorBody(failure));
			return;
		}
		send(exchange, 200, Json.toBytes(answer));
	}

	private static byte[] errorBody(@Nullable Throwable failure) {
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

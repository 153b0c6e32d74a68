package org.masticshelf.standins.keyvalue.gateway;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.SameThreadExecutor;
import io.undertow.util.StatusCodes;
import org.xnio.IoUtils;

import org.masticshelf.kernel.port.KeyValueFailure;
import org.masticshelf.standins.StandInCommand;
import org.masticshelf.standins.StandInServer;
import org.masticshelf.standins.keyvalue.InMemoryKeyValue;
import org.masticshelf.standins.keyvalue.KeyValueCall;

/**
 * Serves an {@link InMemoryKeyValue} over a subset of the JSON gateway of etcd. A call
 * that a fault swallows gets no answer: its connection is closed. {@code GET /counts}
 * tells how often each kind of call was made, {@code POST /fault/<name>} switches faults.
 * <p>
 * Safe for use by several threads.
 */
public final class KeyValueGateway implements StandInCommand.Running {

	private static final long EXPIRY_INTERVAL_MILLISECONDS = 100;

	private static final int INVALID_ARGUMENT = 3;

	private final InMemoryKeyValue store;

	private final GatewayCalls calls;

	private final GatewayFaults faults;

	private final ScheduledExecutorService scheduler = Executors
		.newSingleThreadScheduledExecutor(Thread.ofPlatform().name("key-value-expiry").daemon().factory());

	private final ExecutorService watchers = Executors.newVirtualThreadPerTaskExecutor();

	private final StandInServer server;

	private KeyValueGateway(InMemoryKeyValue store, String host, int port) throws IOException {
		this.store = store;
		this.calls = new GatewayCalls(store);
		this.faults = new GatewayFaults(store);
		this.server = StandInServer.start(host, port, this::handle);
		this.scheduler.scheduleAtFixedRate(store::expireLeases, EXPIRY_INTERVAL_MILLISECONDS,
				EXPIRY_INTERVAL_MILLISECONDS, TimeUnit.MILLISECONDS);
	}

	/**
	 * Starts a gateway.
	 * @param store the store to serve
	 * @param host the IP number to listen on
	 * @param port the port, 0 for any
	 * @return the running gateway
	 * @throws IOException if it cannot listen
	 */
	public static KeyValueGateway start(InMemoryKeyValue store, String host, int port) throws IOException {
		return new KeyValueGateway(store, host, port);
	}

	@Override
	public String address() {
		return this.server.address();
	}

	@Override
	public void close() {
		this.server.close();
		this.scheduler.shutdownNow();
		this.watchers.shutdownNow();
	}

	private void handle(HttpServerExchange exchange) {
		String path = exchange.getRequestPath();
		if (path.equals("/counts")) {
			send(exchange, StatusCodes.OK, counts());
		}
		else if (GatewayFaults.takes(path)) {
			boolean known = this.faults.switchFault(exchange);
			exchange.setStatusCode(known ? StatusCodes.NO_CONTENT : StatusCodes.NOT_FOUND);
		}
		else {
			exchange.getRequestReceiver()
				.receiveFullBytes((received, body) -> received.dispatch(SameThreadExecutor.INSTANCE,
						() -> answer(received, path, body)));
		}
	}

	private Map<String, Long> counts() {
		Map<String, Long> counts = new TreeMap<>();
		for (KeyValueCall call : KeyValueCall.values()) {
			counts.put(call.name(), this.store.count(call));
		}
		return counts;
	}

	private void answer(HttpServerExchange exchange, String path, byte[] body) {
		if (this.faults.takeRubbish()) {
			exchange.getResponseSender().send("{\"rubbish\": [");
			return;
		}
		try {
			if (path.equals("/v3/watch")) {
				watch(exchange, GatewayMessages.MAPPER.readValue(body, GatewayMessages.WatchRequest.class));
				return;
			}
			CompletableFuture<?> answer = this.calls.answer(path, body);
			answer.whenComplete((value, failure) -> later(() -> finish(exchange, value, failure)));
		}
		catch (IOException | KeyValueFailure ex) {
			refuse(exchange, String.valueOf(ex.getMessage()));
		}
	}

	private void watch(HttpServerExchange exchange, GatewayMessages.WatchRequest request) {
		GatewayWatch watch = new GatewayWatch(this.store, request.createRequest());
		this.watchers.execute(() -> {
			exchange.startBlocking();
			watch.run(exchange);
		});
	}

	private void later(Runnable task) {
		long delay = this.faults.delayMilliseconds();
		if (delay == 0) {
			task.run();
		}
		else {
			this.scheduler.schedule(task, delay, TimeUnit.MILLISECONDS);
		}
	}

	private void finish(HttpServerExchange exchange, Object value, Throwable failure) {
		if (failure == null) {
			send(exchange, StatusCodes.OK, value);
			return;
		}
		Throwable cause = (failure instanceof CompletionException) ? failure.getCause() : failure;
		boolean swallowed = !(cause instanceof KeyValueFailure refusal) || refusal.maybeApplied()
				|| this.store.faults().isDown();
		if (swallowed) {
			IoUtils.safeClose(exchange.getConnection());
		}
		else {
			refuse(exchange, String.valueOf(cause.getMessage()));
		}
	}

	private static void refuse(HttpServerExchange exchange, String reason) {
		send(exchange, StatusCodes.BAD_REQUEST, new GatewayMessages.Failure(INVALID_ARGUMENT, reason));
	}

	private static void send(HttpServerExchange exchange, int status, Object value) {
		exchange.setStatusCode(status);
		exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
		exchange.getResponseSender().send(ByteBuffer.wrap(toBytes(value)));
	}

	private static byte[] toBytes(Object value) {
		try {
			return GatewayMessages.MAPPER.writeValueAsBytes(value);
		}
		catch (IOException ex) {
			return ("{\"code\":13,\"message\":\"" + ex.getClass().getSimpleName() + "\"}")
				.getBytes(StandardCharsets.UTF_8);
		}
	}

}

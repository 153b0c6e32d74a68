package org.masticshelf.standins.keyvalue.gateway;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.core.JsonProcessingException;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.StatusCodes;
import org.xnio.IoUtils;

import org.masticshelf.kernel.port.KeyValueFailure;
import org.masticshelf.standins.StandInCommand;
import org.masticshelf.standins.keyvalue.InMemoryKeyValue;
import org.masticshelf.standins.keyvalue.KeyValueCall;
import org.masticshelf.standins.web.JsonExchange;
import org.masticshelf.standins.web.WebServer;

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

	private static final byte[] RUBBISH = "{\"rubbish\": [".getBytes(StandardCharsets.UTF_8);

	private final InMemoryKeyValue store;

	private final GatewayCalls calls;

	private final GatewayFaults faults;

	private final ScheduledExecutorService scheduler = Executors
		.newSingleThreadScheduledExecutor(Thread.ofPlatform().name("key-value-expiry").daemon().factory());

	private final WebServer server;

	private KeyValueGateway(InMemoryKeyValue store, String host, int port) {
		this.store = store;
		this.calls = new GatewayCalls(store);
		this.faults = new GatewayFaults(store);
		this.server = WebServer.start(host, port, this::handle);
		this.scheduler.scheduleAtFixedRate(store::expireLeases, EXPIRY_INTERVAL_MILLISECONDS,
				EXPIRY_INTERVAL_MILLISECONDS, TimeUnit.MILLISECONDS);
	}

	/**
	 * Starts a gateway.
	 * @param store the store to serve
	 * @param host the IP number to listen on
	 * @param port the port, 0 for any
	 * @return the running gateway
	 */
	public static KeyValueGateway start(InMemoryKeyValue store, String host, int port) {
		return new KeyValueGateway(store, host, port);
	}

	@Override
	public String address() {
		return this.server.address();
	}

	@Override
	public void close() {
		this.scheduler.shutdownNow();
		this.server.close();
	}

	private void handle(HttpServerExchange exchange) throws IOException {
		String path = exchange.getRequestPath();
		if (path.equals("/counts")) {
			send(exchange, StatusCodes.OK, counts());
		}
		else if (GatewayFaults.takes(path)) {
			boolean known = this.faults.switchFault(path, new JsonExchange(exchange));
			exchange.setStatusCode(known ? StatusCodes.NO_CONTENT : StatusCodes.NOT_FOUND);
		}
		else {
			answer(exchange, path, exchange.getInputStream().readAllBytes());
		}
	}

	private Map<String, Long> counts() {
		Map<String, Long> counts = new TreeMap<>();
		for (KeyValueCall call : KeyValueCall.values()) {
			counts.put(call.name(), this.store.count(call));
		}
		return counts;
	}

	private void answer(HttpServerExchange exchange, String path, byte[] body) throws IOException {
		if (this.faults.takeRubbish()) {
			exchange.getOutputStream().write(RUBBISH);
			return;
		}
		try {
			if (path.equals("/v3/watch")) {
				new GatewayWatch(this.store, GatewayMessages.MAPPER.readValue(body, GatewayMessages.WatchRequest.class))
					.run(exchange);
				return;
			}
			Object answer = this.calls.answer(path, body).get();
			this.faults.delay();
			send(exchange, StatusCodes.OK, answer);
		}
		catch (KeyValueFailure ex) {
			refuse(exchange, ex);
		}
		catch (JsonProcessingException ex) {
			refuse(exchange, new KeyValueFailure(ex.getOriginalMessage(), false));
		}
		catch (ExecutionException ex) {
			KeyValueFailure failure = (ex.getCause() instanceof KeyValueFailure known) ? known
					: new KeyValueFailure(String.valueOf(ex.getCause()), true);
			refuse(exchange, failure);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			IoUtils.safeClose(exchange.getConnection());
		}
	}

	private void refuse(HttpServerExchange exchange, KeyValueFailure failure) throws IOException {
		if (failure.maybeApplied() || this.store.faults().isDown()) {
			IoUtils.safeClose(exchange.getConnection());
			return;
		}
		send(exchange, StatusCodes.BAD_REQUEST,
				new GatewayMessages.Failure(INVALID_ARGUMENT, String.valueOf(failure.getMessage())));
	}

	private static void send(HttpServerExchange exchange, int status, Object value) throws IOException {
		byte[] bytes = GatewayMessages.MAPPER.writeValueAsBytes(value);
		exchange.setStatusCode(status);
		exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
		exchange.setResponseContentLength(bytes.length);
		exchange.getOutputStream().write(bytes);
		exchange.endExchange();
	}

}

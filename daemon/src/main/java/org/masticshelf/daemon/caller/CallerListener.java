package org.masticshelf.daemon.caller;

import java.net.InetSocketAddress;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;

import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import org.jspecify.annotations.Nullable;
import org.xnio.Options;

import org.masticshelf.daemon.request.CallerResponse;
import org.masticshelf.daemon.request.PlainCall;
import org.masticshelf.daemon.request.RequestHandler;
import org.masticshelf.daemon.settings.DaemonSettings;
import org.masticshelf.kernel.refusal.Refusal;
import org.masticshelf.transport.json.Json;

/**
 * Listens for callers: OpenAI-style calls to models below {@code /v1/}, and plain calls
 * at {@code /<workshop>/<route>/<path>}.
 * <p>
 * Invariants: bodies, headers and connections are bounded; a key leaves this class only
 * as the key of a {@link RequestHandler.Caller}. Safe for use by several threads.
 */
public final class CallerListener implements AutoCloseable {

	private static final Set<String> MODEL_PATHS = Set.of("/v1/chat/completions", "/v1/completions");

	private static final Set<String> FORWARDED_HEADERS = Set.of("content-type", "accept", "accept-language",
			"idempotency-key", "if-match", "if-none-match");

	private static final HttpString REQUEST_IDENTIFIER = new HttpString("x-request-id");

	private static final HttpString DEADLINE = new HttpString("x-deadline-ms");

	private static final HttpString IDEMPOTENCY_KEY = new HttpString("idempotency-key");

	private static final HttpString API_KEY = new HttpString("x-api-key");

	private static final String BEARER_SCHEME = "Bearer ";

	private static final int MAXIMUM_IDENTIFIER_CHARACTERS = 128;

	private static final int NO_REQUEST_TIMEOUT_MILLISECONDS = 60_000;

	private static final int REQUEST_PARSE_TIMEOUT_MILLISECONDS = 10_000;

	private static final int DRAINED_BODY_FACTOR = 8;

	private final RequestHandler handler;

	private final long maximumBodyBytes;

	private final Undertow server;

	private CallerListener(String host, int port, DaemonSettings.Limits limits, RequestHandler handler) {
		this.handler = handler;
		this.maximumBodyBytes = limits.maximumBodyBytes();
		this.server = Undertow.builder()
			.addHttpListener(port, host, this::handle)
			.setIoThreads(limits.ioThreads())
			.setWorkerThreads(1)
			.setServerOption(UndertowOptions.MAX_ENTITY_SIZE, limits.maximumBodyBytes() * DRAINED_BODY_FACTOR)
			.setServerOption(UndertowOptions.MAX_HEADER_SIZE, limits.maximumHeaderBytes())
			.setServerOption(UndertowOptions.NO_REQUEST_TIMEOUT, NO_REQUEST_TIMEOUT_MILLISECONDS)
			.setServerOption(UndertowOptions.REQUEST_PARSE_TIMEOUT, REQUEST_PARSE_TIMEOUT_MILLISECONDS)
			.setSocketOption(Options.TCP_NODELAY, true)
			.setSocketOption(Options.BACKLOG, 4096)
			.setSocketOption(Options.CONNECTION_HIGH_WATER, limits.maximumConnections())
			.setSocketOption(Options.CONNECTION_LOW_WATER, limits.maximumConnections())
			.build();
	}

	/**
	 * Starts the listener.
	 * @param address the IP address and port
	 * @param limits the limits for callers
	 * @param handler handles the requests
	 * @return the running listener
	 */
	public static CallerListener start(String address, DaemonSettings.Limits limits, RequestHandler handler) {
		int colon = address.lastIndexOf(':');
		CallerListener listener = new CallerListener(address.substring(0, colon),
				Integer.parseInt(address.substring(colon + 1)), limits, handler);
		listener.server.start();
		return listener;
	}

	/**
	 * Returns the address that the listener is bound to.
	 * @return the IP address and port
	 */
	public String address() {
		InetSocketAddress bound = (InetSocketAddress) this.server.getListenerInfo().getFirst().getAddress();
		return bound.getAddress().getHostAddress() + ":" + bound.getPort();
	}

	private void handle(HttpServerExchange exchange) {
		UndertowCallerResponse response = new UndertowCallerResponse(exchange, echoedIdentifier(exchange));
		if (exchange.getRequestContentLength() > this.maximumBodyBytes) {
			refuseTooLargeBody(exchange, response);
			return;
		}
		exchange.getRequestReceiver().setMaxBufferSize((int) this.maximumBodyBytes);
		exchange.getRequestReceiver()
			.receiveFullBytes(
					(receiving, body) -> receiving.dispatch(receiving.getIoThread(),
							() -> routeRequest(receiving, body, response)),
					(failing, failure) -> refuseTooLargeBody(failing, response));
	}

	// The rest of the body is read up to a limit, so that the caller can read the
	// response.
	private static void refuseTooLargeBody(HttpServerExchange exchange, CallerResponse response) {
		exchange.setPersistent(false);
		exchange.dispatch(exchange.getIoThread(),
				() -> response.refuse(Refusal.notRun(Refusal.Reason.BODY_TOO_LARGE, 0), "the body is too large"));
	}

	private void routeRequest(HttpServerExchange exchange, byte[] body, CallerResponse response) {
		String path = exchange.getRequestPath();
		RequestHandler.Caller caller = callerOf(exchange);
		if (path.startsWith("/v1/")) {
			routeApiRequest(exchange, path, caller, body, response);
			return;
		}
		int firstSlash = path.indexOf('/', 1);
		int secondSlash = (firstSlash > 0) ? path.indexOf('/', firstSlash + 1) : -1;
		if (firstSlash < 0) {
			refuseUnknownPath(response, path);
			return;
		}
		String name = path.substring(1, (secondSlash > 0) ? secondSlash : path.length());
		String rest = (secondSlash > 0) ? path.substring(secondSlash) : "/";
		String query = exchange.getQueryString().isEmpty() ? "" : "?" + exchange.getQueryString();
		this.handler.handlePlainCall(
				caller, name, rest + query, new PlainCall(exchange.getRequestMethod().toString(),
						forwardedHeaders(exchange.getRequestHeaders()), body, header(exchange, IDEMPOTENCY_KEY)),
				response);
	}

	private void routeApiRequest(HttpServerExchange exchange, String path, RequestHandler.Caller caller, byte[] body,
			CallerResponse response) {
		String method = exchange.getRequestMethod().toString();
		if (MODEL_PATHS.contains(path) && method.equals("POST")) {
			this.handler.handleModelCall(caller, path, body, response);
			return;
		}
		if (path.equals("/v1/models") && method.equals("GET")) {
			response.respond(200, Map.of("content-type", "application/json"),
					Json.toBytes(this.handler.listModels(caller)));
			return;
		}
		refuseUnknownPath(response, path);
	}

	private void refuseUnknownPath(CallerResponse response, String path) {
		this.handler.refuse(response, Refusal.notRun(Refusal.Reason.ROUTE_UNKNOWN, 0), "no route at " + path);
	}

	private static RequestHandler.Caller callerOf(HttpServerExchange exchange) {
		String authorization = header(exchange, Headers.AUTHORIZATION);
		String key = (authorization != null && authorization.startsWith(BEARER_SCHEME))
				? authorization.substring(BEARER_SCHEME.length()).strip() : header(exchange, API_KEY);
		return new RequestHandler.Caller(key, parseDeadline(header(exchange, DEADLINE)));
	}

	private static long parseDeadline(@Nullable String text) {
		if (text == null) {
			return 0;
		}
		try {
			return Math.max(0, Long.parseLong(text.strip()));
		}
		catch (NumberFormatException ex) {
			return 0;
		}
	}

	private static String echoedIdentifier(HttpServerExchange exchange) {
		String requested = header(exchange, REQUEST_IDENTIFIER);
		boolean usable = requested != null && !requested.isBlank()
				&& requested.length() <= MAXIMUM_IDENTIFIER_CHARACTERS
				&& requested.chars().allMatch((character) -> character > ' ' && character < 0x7f);
		return usable ? String.valueOf(requested) : Long.toHexString(ThreadLocalRandom.current().nextLong());
	}

	private static Map<String, String> forwardedHeaders(HeaderMap headers) {
		Map<String, String> passed = new LinkedHashMap<>();
		for (String name : FORWARDED_HEADERS) {
			String value = headers.getFirst(name);
			if (value != null) {
				passed.put(name, value);
			}
		}
		return passed;
	}

	private static @Nullable String header(HttpServerExchange exchange, HttpString name) {
		return exchange.getRequestHeaders().getFirst(name);
	}

	@Override
	public void close() {
		this.server.stop();
	}

}

package org.masticshelf.serving.caller;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.BooleanSupplier;
import java.util.function.Function;

import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderValues;
import io.undertow.util.Headers;
import io.undertow.util.SameThreadExecutor;
import org.jspecify.annotations.Nullable;
import org.xnio.Options;

import org.masticshelf.kernel.serving.ServedRequest;
import org.masticshelf.kernel.serving.ServedRequest.Header;
import org.masticshelf.serving.caller.RequestCodec.Decoded;
import org.masticshelf.serving.caller.RequestCodec.RawRequest;
import org.masticshelf.transport.http.CloseListeners;

/**
 * Listens for callers' requests and for readiness probes and metrics scrapes.
 * <p>
 * Requests are parsed strictly: one with ambiguous framing is answered with status 400
 * and its connection closed, which prevents request smuggling. Thread-safe.
 */
public final class ServingListener implements AutoCloseable {

	private static final int MAXIMUM_HEADER_BYTES = 64 * 1024;

	/**
	 * Far above the idle timeouts of callers, so that no request is sent on a connection
	 * that is being closed.
	 */
	private static final int IDLE_TIMEOUT_MILLISECONDS = 120_000;

	private static final int PARSE_TIMEOUT_MILLISECONDS = 10_000;

	private static final int MAXIMUM_PENDING_CONNECTIONS = 1_024;

	private static final int STATUS_OK = 200;

	private static final int STATUS_BAD_REQUEST = 400;

	private static final int STATUS_TOO_LARGE = 413;

	private static final int STATUS_UNAVAILABLE = 503;

	private final Settings settings;

	private final RequestCodec codec;

	private final RequestHandler handler;

	private final @Nullable CallerMemory memory;

	private final Set<HttpServerExchange> unanswered = ConcurrentHashMap.newKeySet();

	private final Undertow server;

	private ServingListener(Settings settings, RequestCodec codec, RequestHandler handler,
			@Nullable CallerMemory memory) {
		this.memory = memory;
		this.settings = settings;
		this.codec = codec;
		this.handler = handler;
		this.server = Undertow.builder()
			.addHttpListener(settings.callers().port(), settings.callers().host(), this::handleRequest)
			.addHttpListener(settings.probes().port(), settings.probes().host(), this::handleProbe)
			.setIoThreads(1)
			.setWorkerThreads(1)
			.setServerOption(UndertowOptions.ALWAYS_SET_DATE, false)
			.setServerOption(UndertowOptions.MAX_HEADER_SIZE, MAXIMUM_HEADER_BYTES)
			.setServerOption(UndertowOptions.NO_REQUEST_TIMEOUT, IDLE_TIMEOUT_MILLISECONDS)
			.setServerOption(UndertowOptions.REQUEST_PARSE_TIMEOUT, PARSE_TIMEOUT_MILLISECONDS)
			.setServerOption(UndertowOptions.ALLOW_UNESCAPED_CHARACTERS_IN_URL, true)
			.setServerOption(UndertowOptions.DECODE_URL, false)
			.setSocketOption(Options.TCP_NODELAY, true)
			.setSocketOption(Options.REUSE_ADDRESSES, true)
			.setSocketOption(Options.BACKLOG, MAXIMUM_PENDING_CONNECTIONS)
			.build();
	}

	/**
	 * Starts a listener.
	 * @param settings the addresses and the state to expose
	 * @param codec decodes requests
	 * @param handler handles the decoded requests
	 * @return the running listener
	 */
	public static ServingListener start(Settings settings, RequestCodec codec, RequestHandler handler) {
		return start(settings, codec, handler, null);
	}

	/**
	 * Starts a listener that limits the bytes held for callers.
	 * @param settings the addresses and the state to expose
	 * @param codec decodes requests
	 * @param handler handles the decoded requests
	 * @param memory accounts for the bytes that are held, {@code null} for no limit
	 * @return the running listener
	 */
	public static ServingListener start(Settings settings, RequestCodec codec, RequestHandler handler,
			@Nullable CallerMemory memory) {
		ServingListener listener = new ServingListener(settings, codec, handler, memory);
		listener.server.start();
		return listener;
	}

	/**
	 * Returns the port on which callers are served.
	 * @return the actual port, also if the settings ask for any free one
	 */
	public int callersPort() {
		return ((InetSocketAddress) this.server.getListenerInfo().getFirst().getAddress()).getPort();
	}

	private void handleProbe(HttpServerExchange exchange) {
		if (exchange.getRequestPath().equals("/metrics")) {
			sendMetrics(exchange);
			return;
		}
		boolean ready = this.settings.ready().getAsBoolean();
		exchange.setStatusCode(ready ? STATUS_OK : STATUS_UNAVAILABLE);
		exchange.endExchange();
	}

	private void sendMetrics(HttpServerExchange exchange) {
		PrometheusTextFormatWriter writer = PrometheusTextFormatWriter.create();
		ByteArrayOutputStream body = new ByteArrayOutputStream();
		try {
			writer.write(body, this.settings.metrics().scrape());
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, writer.getContentType());
		exchange.getResponseSender().send(ByteBuffer.wrap(body.toByteArray()));
	}

	private void handleRequest(HttpServerExchange exchange) {
		long arrivedNanoseconds = System.nanoTime();
		if (isAmbiguous(exchange)) {
			refuse(exchange, STATUS_BAD_REQUEST);
			return;
		}
		long limit = this.settings.bodyLimit().bytes();
		if (exchange.getRequestContentLength() > limit) {
			refuse(exchange, STATUS_TOO_LARGE);
			return;
		}
		CallerMemory limited = this.memory;
		if (limited != null) {
			receiveAccounted(exchange, limited, limit, arrivedNanoseconds);
			return;
		}
		exchange.getRequestReceiver().setMaxBufferSize((int) Math.min(limit, Integer.MAX_VALUE));
		exchange.getRequestReceiver()
			.receiveFullBytes(
					(receiving, body) -> decode(receiving, body, arrivedNanoseconds,
							(request) -> new UndertowCallerChannel(receiving, request.identifier())),
					(failing, failure) -> refuse(failing, STATUS_BAD_REQUEST));
	}

	// The identifier is needed in the log before the body is read.
	private void receiveAccounted(HttpServerExchange exchange, CallerMemory limited, long limit,
			long arrivedNanoseconds) {
		if (!(this.codec.decode(rawRequest(exchange, new byte[0])) instanceof Decoded.Valid head)) {
			refuse(exchange, STATUS_BAD_REQUEST);
			return;
		}
		AccountedReceiver receiver = new AccountedReceiver(exchange, limit);
		switch (limited.admit(head.request().identifier(), receiver.announcedBytes())) {
			case CallerMemory.Decision.Refused refused -> receiver.refuse(refused.retryAfterMilliseconds());
			case CallerMemory.Decision.Accepted accepted -> {
				Function<ServedRequest, UndertowCallerChannel> channels = (request) -> {
					receiver.handOver();
					return new AccountedCallerChannel(exchange, request.identifier(), limited, accepted.body());
				};
				receiver.receive(accepted.body(), (body) -> decode(exchange, body, arrivedNanoseconds, channels),
						() -> refuse(exchange, STATUS_BAD_REQUEST));
			}
		}
	}

	private static boolean isAmbiguous(HttpServerExchange exchange) {
		HeaderValues lengths = exchange.getRequestHeaders().get(Headers.CONTENT_LENGTH);
		HeaderValues encodings = exchange.getRequestHeaders().get(Headers.TRANSFER_ENCODING);
		HeaderValues hosts = exchange.getRequestHeaders().get(Headers.HOST);
		boolean ambiguousLength = lengths != null && (lengths.size() > 1 || !isNumber(lengths.getFirst()));
		boolean unsupportedEncoding = encodings != null
				&& (encodings.size() > 1 || !encodings.getFirst().equalsIgnoreCase("chunked"));
		return ambiguousLength || unsupportedEncoding || (lengths != null && encodings != null)
				|| (hosts != null && hosts.size() > 1) || exchange.isHostIncludedInRequestURI();
	}

	private static boolean isNumber(String text) {
		return !text.isEmpty() && text.chars().allMatch((character) -> character >= '0' && character <= '9');
	}

	private static void refuse(HttpServerExchange exchange, int status) {
		exchange.setPersistent(false);
		exchange.setStatusCode(status);
		exchange.endExchange();
	}

	private static RawRequest rawRequest(HttpServerExchange exchange, byte[] body) {
		List<Header> headers = new ArrayList<>();
		for (HeaderValues values : exchange.getRequestHeaders()) {
			for (String value : values) {
				headers.add(new Header(values.getHeaderName().toString(), value));
			}
		}
		String query = exchange.getQueryString().isEmpty() ? "" : "?" + exchange.getQueryString();
		return new RawRequest(exchange.getRequestMethod().toString(), exchange.getRequestURI() + query, headers, body);
	}

	private void decode(HttpServerExchange exchange, byte[] body, long arrivedNanoseconds,
			Function<ServedRequest, UndertowCallerChannel> channels) {
		switch (this.codec.decode(rawRequest(exchange, body))) {
			case Decoded.Malformed malformed -> refuse(exchange, STATUS_BAD_REQUEST);
			case Decoded.Valid valid -> {
				countUntilAnswered(exchange);
				exchange.dispatch(SameThreadExecutor.INSTANCE, () -> this.handler.handle(valid.request(),
						channels.apply(valid.request()), arrivedNanoseconds));
			}
		}
	}

	private void countUntilAnswered(HttpServerExchange exchange) {
		this.unanswered.add(exchange);
		exchange.addExchangeCompleteListener((completed, next) -> {
			this.unanswered.remove(completed);
			next.proceed();
		});
		CloseListeners.add(exchange, () -> this.unanswered.remove(exchange));
	}

	/**
	 * Returns the number of requests that were read and whose answers have not been
	 * written completely.
	 * @return the number, without those whose caller has disconnected
	 */
	public int unansweredRequests() {
		return this.unanswered.size();
	}

	@Override
	public void close() {
		this.server.stop();
	}

	/**
	 * The addresses to listen on and the state to expose.
	 *
	 * @param callers the address for callers
	 * @param probes the address for probes
	 * @param ready tells whether this daemon accepts requests
	 * @param metrics the metrics to expose
	 * @param bodyLimit the maximum length of a body
	 */
	public record Settings(Address callers, Address probes, BooleanSupplier ready, PrometheusRegistry metrics,
			BodyLimit bodyLimit) {
	}

	/**
	 * An address to listen on.
	 *
	 * @param host the IP address
	 * @param port the port
	 */
	public record Address(String host, int port) {
	}

	/** Provides the current maximum length of a body. */
	@FunctionalInterface
	public interface BodyLimit {

		/**
		 * Returns the maximum length of a body.
		 * @return the length in bytes
		 */
		long bytes();

	}

	/** Handles requests. */
	@FunctionalInterface
	public interface RequestHandler {

		/**
		 * Handles a request without blocking.
		 * @param request the request
		 * @param caller the channel to the caller
		 * @param arrivedNanoseconds the monotonic time at which the request arrived
		 */
		void handle(ServedRequest request, CallerChannel caller, long arrivedNanoseconds);

	}

}

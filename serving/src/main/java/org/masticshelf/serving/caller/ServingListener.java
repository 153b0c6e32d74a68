package org.masticshelf.serving.caller;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;

import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderValues;
import io.undertow.util.Headers;
import io.undertow.util.SameThreadExecutor;
import org.xnio.Options;

import org.masticshelf.kernel.serving.ServedRequest;
import org.masticshelf.kernel.serving.ServedRequest.Header;
import org.masticshelf.serving.caller.RequestCodec.Decoded;
import org.masticshelf.serving.caller.RequestCodec.RawRequest;

/**
 * Listens for callers, and for probes of readiness and metrics.
 * <p>
 * Requests are read strictly: one whose framing could be read in two ways is answered 400
 * and its connection closed, so that no second request can hide in the first. Safe for
 * use by several threads.
 */
public final class ServingListener implements AutoCloseable {

	private static final int MAXIMUM_HEADER_BYTES = 64 * 1024;

	/** Far above any limit for idle callers, so that no request meets a closing. */
	private static final int IDLE_TIMEOUT_MILLISECONDS = 120_000;

	private static final int PARSE_TIMEOUT_MILLISECONDS = 10_000;

	private static final int BACKLOG = 1_024;

	private static final int STATUS_OK = 200;

	private static final int STATUS_BAD_REQUEST = 400;

	private static final int STATUS_TOO_LARGE = 413;

	private static final int STATUS_UNAVAILABLE = 503;

	private final Settings settings;

	private final RequestCodec codec;

	private final RequestHandler handler;

	private final Undertow server;

	private ServingListener(Settings settings, RequestCodec codec, RequestHandler handler) {
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
			.setSocketOption(Options.BACKLOG, BACKLOG)
			.build();
	}

	/**
	 * Starts listening.
	 * @param settings addresses and what is shown at them
	 * @param codec reads requests
	 * @param handler takes them
	 * @return the running listener
	 */
	public static ServingListener start(Settings settings, RequestCodec codec, RequestHandler handler) {
		ServingListener listener = new ServingListener(settings, codec, handler);
		listener.server.start();
		return listener;
	}

	/**
	 * Returns the port that callers are listened for on.
	 * @return the port, also if any free one was asked for
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
		ByteArrayOutputStream page = new ByteArrayOutputStream();
		try {
			writer.write(page, this.settings.metrics().scrape());
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, writer.getContentType());
		exchange.getResponseSender().send(ByteBuffer.wrap(page.toByteArray()));
	}

	private void handleRequest(HttpServerExchange exchange) {
		long arrived = System.nanoTime();
		if (isAmbiguous(exchange)) {
			refuse(exchange, STATUS_BAD_REQUEST);
			return;
		}
		long limit = this.settings.bodyLimit().bytes();
		if (exchange.getRequestContentLength() > limit) {
			refuse(exchange, STATUS_TOO_LARGE);
			return;
		}
		exchange.getRequestReceiver().setMaxBufferSize((int) Math.min(limit, Integer.MAX_VALUE));
		exchange.getRequestReceiver()
			.receiveFullBytes((receiving, body) -> decode(receiving, body, arrived),
					(failing, failure) -> refuse(failing, STATUS_BAD_REQUEST));
	}

	private static boolean isAmbiguous(HttpServerExchange exchange) {
		HeaderValues lengths = exchange.getRequestHeaders().get(Headers.CONTENT_LENGTH);
		HeaderValues encodings = exchange.getRequestHeaders().get(Headers.TRANSFER_ENCODING);
		HeaderValues hosts = exchange.getRequestHeaders().get(Headers.HOST);
		boolean twoLengths = lengths != null && (lengths.size() > 1 || !isNumber(lengths.getFirst()));
		boolean oddEncoding = encodings != null
				&& (encodings.size() > 1 || !encodings.getFirst().equalsIgnoreCase("chunked"));
		return twoLengths || oddEncoding || (lengths != null && encodings != null)
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

	private void decode(HttpServerExchange exchange, byte[] body, long arrived) {
		List<Header> headers = new ArrayList<>();
		for (HeaderValues values : exchange.getRequestHeaders()) {
			for (String value : values) {
				headers.add(new Header(values.getHeaderName().toString(), value));
			}
		}
		String query = exchange.getQueryString().isEmpty() ? "" : "?" + exchange.getQueryString();
		Decoded decoded = this.codec.decode(new RawRequest(exchange.getRequestMethod().toString(),
				exchange.getRequestURI() + query, headers, body));
		switch (decoded) {
			case Decoded.Malformed malformed -> refuse(exchange, STATUS_BAD_REQUEST);
			case Decoded.Valid valid -> exchange.dispatch(SameThreadExecutor.INSTANCE,
					() -> this.handler.handle(valid.request(), new UndertowCallerChannel(exchange), arrived));
		}
	}

	@Override
	public void close() {
		this.server.stop();
	}

	/**
	 * Where to listen and what to show.
	 *
	 * @param callers the address for callers
	 * @param probes the address for probes
	 * @param ready whether this daemon takes callers
	 * @param metrics the metrics to show
	 * @param bodyLimit the longest body
	 */
	public record Settings(Address callers, Address probes, BooleanSupplier ready, PrometheusRegistry metrics,
			BodyLimit bodyLimit) {
	}

	/**
	 * An address to listen on.
	 *
	 * @param host the IP number
	 * @param port the port
	 */
	public record Address(String host, int port) {
	}

	/** Tells how long a body may be now. */
	@FunctionalInterface
	public interface BodyLimit {

		/**
		 * Returns the longest body.
		 * @return the length in bytes
		 */
		long bytes();

	}

	/** Takes requests. */
	@FunctionalInterface
	public interface RequestHandler {

		/**
		 * Takes a request; must not block.
		 * @param request the request
		 * @param caller the way back
		 * @param arrivedNanoseconds when it arrived, monotonic
		 */
		void handle(ServedRequest request, CallerChannel caller, long arrivedNanoseconds);

	}

}

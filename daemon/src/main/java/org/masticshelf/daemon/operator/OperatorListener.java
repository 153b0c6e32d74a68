package org.masticshelf.daemon.operator;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.function.BooleanSupplier;

import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.undertow.Undertow;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;

/**
 * Serves {@code /livez}, {@code /readyz} and {@code /metrics}. Safe for use by several
 * threads.
 */
public final class OperatorListener implements AutoCloseable {

	private static final int STATUS_OK = 200;

	private static final int STATUS_UNAVAILABLE = 503;

	private static final int STATUS_NOT_FOUND = 404;

	private final PrometheusRegistry registry;

	private final BooleanSupplier ready;

	private final Undertow server;

	private OperatorListener(String host, int port, PrometheusRegistry registry, BooleanSupplier ready) {
		this.registry = registry;
		this.ready = ready;
		this.server = Undertow.builder()
			.addHttpListener(port, host, this::handle)
			.setIoThreads(1)
			.setWorkerThreads(1)
			.build();
	}

	/**
	 * Starts the listener.
	 * @param address the IP address and port
	 * @param registry the metrics to show
	 * @param ready whether this daemon accepts requests
	 * @return the running listener
	 */
	public static OperatorListener start(String address, PrometheusRegistry registry, BooleanSupplier ready) {
		int colon = address.lastIndexOf(':');
		OperatorListener listener = new OperatorListener(address.substring(0, colon),
				Integer.parseInt(address.substring(colon + 1)), registry, ready);
		listener.server.start();
		return listener;
	}

	private void handle(HttpServerExchange exchange) {
		switch (exchange.getRequestPath()) {
			case "/livez" -> sendText(exchange, STATUS_OK, "live\n");
			case "/readyz" -> sendReadiness(exchange);
			case "/metrics" -> sendMetrics(exchange);
			default -> sendText(exchange, STATUS_NOT_FOUND, "no such page\n");
		}
	}

	private void sendReadiness(HttpServerExchange exchange) {
		boolean isReady = this.ready.getAsBoolean();
		sendText(exchange, isReady ? STATUS_OK : STATUS_UNAVAILABLE, isReady ? "ready\n" : "not ready\n");
	}

	private void sendMetrics(HttpServerExchange exchange) {
		PrometheusTextFormatWriter writer = PrometheusTextFormatWriter.create();
		ByteArrayOutputStream page = new ByteArrayOutputStream();
		try {
			writer.write(page, this.registry.scrape());
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, writer.getContentType());
		exchange.getResponseSender().send(ByteBuffer.wrap(page.toByteArray()));
	}

	private static void sendText(HttpServerExchange exchange, int status, String body) {
		exchange.setStatusCode(status);
		exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "text/plain");
		exchange.getResponseSender().send(body, StandardCharsets.UTF_8);
	}

	@Override
	public void close() {
		this.server.stop();
	}

}

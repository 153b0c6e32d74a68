package org.masticshelf.transport.http;

import java.io.IOException;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import org.xnio.IoUtils;
import org.xnio.Options;

/**
 * Frames responses of unknown length so that one that ends early is recognised as
 * incomplete.
 * <p>
 * Invariant: between {@link #begin} and {@link #complete} closing the connection does not
 * make the response look complete. Stateless; called on the I/O thread of the connection.
 */
public final class StreamFraming {

	private StreamFraming() {
	}

	/**
	 * Chooses the framing. To be called before the head is written.
	 * @param exchange the exchange whose response has no known length
	 */
	public static void begin(HttpServerExchange exchange) {
		if (exchange.isHttp11()) {
			// Undertow omits chunks by itself on a connection that is not kept open.
			exchange.getResponseHeaders().put(Headers.TRANSFER_ENCODING, Headers.CHUNKED.toString());
		}
		else {
			resetOnClose(exchange, true);
		}
	}

	/**
	 * Allows the response to end. To be called once everything has been written, before
	 * the response is ended.
	 * @param exchange the exchange whose response is complete
	 */
	public static void complete(HttpServerExchange exchange) {
		if (!exchange.isHttp11()) {
			resetOnClose(exchange, false);
		}
	}

	// Without chunks, the end of a response is the end of its connection.
	private static void resetOnClose(HttpServerExchange exchange, boolean reset) {
		try {
			exchange.getConnection().setOption(Options.CLOSE_ABORT, reset);
		}
		catch (IOException ex) {
			IoUtils.safeClose(exchange.getConnection());
		}
	}

}

package org.masticshelf.serving.caller;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.function.Consumer;

import io.undertow.io.Receiver;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;

import org.masticshelf.serving.caller.CallerMemory.BodyAccount;
import org.masticshelf.transport.http.CloseListeners;

/**
 * Reads the body of one request and keeps its account up to date, or refuses the request
 * without reading it.
 * <p>
 * Invariant: the account of a body that is not handed over is released at the latest when
 * the connection closes. Used on the I/O thread of the connection.
 */
final class AccountedReceiver {

	private static final int STATUS_UNAVAILABLE = 503;

	private static final double MILLISECONDS_PER_SECOND = 1_000.0;

	private static final HttpString RETRY_AFTER = new HttpString("Retry-After");

	private final HttpServerExchange exchange;

	private final long limit;

	private boolean handedOver;

	/**
	 * Creates a receiver.
	 * @param exchange the exchange, of which only the head was read
	 * @param limit the maximum length of the body; a longer one ends the connection
	 */
	AccountedReceiver(HttpServerExchange exchange, long limit) {
		this.exchange = exchange;
		this.limit = limit;
		exchange.setMaxEntitySize(limit);
	}

	/**
	 * Returns the length of the body that the head announces.
	 * @return the length, 0 if there is no body, negative if it comes in chunks
	 */
	long announcedBytes() {
		return this.exchange.getRequestHeaders().contains(Headers.TRANSFER_ENCODING) ? -1
				: Math.max(0, this.exchange.getRequestContentLength());
	}

	/**
	 * Reads the body.
	 * @param account its account, in which an announced length is counted already
	 * @param received receives the complete body
	 * @param failed called if the body cannot be read
	 */
	void receive(BodyAccount account, Consumer<byte[]> received, Runnable failed) {
		CloseListeners.add(this.exchange, () -> {
			if (!this.handedOver) {
				account.release();
			}
		});
		Receiver receiver = this.exchange.getRequestReceiver();
		Receiver.ErrorCallback failure = (failing, cause) -> {
			account.release();
			failed.run();
		};
		if (announcedBytes() >= 0) {
			receiver.setMaxBufferSize((int) Math.min(this.limit, Integer.MAX_VALUE));
			receiver.receiveFullBytes((receiving, body) -> received.accept(body), failure);
			return;
		}
		ByteArrayOutputStream parts = new ByteArrayOutputStream();
		receiver.receivePartialBytes((receiving, part, last) -> {
			account.add(part.length);
			parts.writeBytes(part);
			if (last) {
				received.accept(parts.toByteArray());
			}
		}, failure);
	}

	/** Hands the account over to the channel of the caller, which releases it. */
	void handOver() {
		this.handedOver = true;
	}

	/**
	 * Refuses the request. A body that is being sent is read and discarded afterwards, so
	 * that the caller gets the refusal.
	 * @param retryAfterMilliseconds when the caller may retry
	 */
	void refuse(long retryAfterMilliseconds) {
		this.exchange.setStatusCode(STATUS_UNAVAILABLE);
		this.exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
		this.exchange.getResponseHeaders()
			.put(RETRY_AFTER, String.format(Locale.ROOT, "%.3f", retryAfterMilliseconds / MILLISECONDS_PER_SECOND));
		this.exchange.getResponseSender().send("{\"error\":\"memory\"}", StandardCharsets.UTF_8);
	}

}

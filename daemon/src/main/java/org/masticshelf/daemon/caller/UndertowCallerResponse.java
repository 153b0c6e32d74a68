package org.masticshelf.daemon.caller;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Map;
import java.util.concurrent.atomic.AtomicBoolean;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import org.jspecify.annotations.Nullable;
import org.xnio.channels.StreamSinkChannel;

import org.masticshelf.daemon.request.CallerResponse;
import org.masticshelf.kernel.refusal.Refusal;
import org.masticshelf.transport.http.CloseListeners;
import org.masticshelf.transport.http.DisconnectListener;
import org.masticshelf.transport.http.ResponseSteps;
import org.masticshelf.transport.http.StreamFraming;
import org.masticshelf.transport.json.Json;

/**
 * Writes the response to one caller through Undertow.
 * <p>
 * Invariants: at most one complete response or one stream is written; at most
 * {@value #MAXIMUM_PENDING_BYTES} bytes are buffered for a slow caller, whose connection
 * is closed above that. Safe for use by several threads; the exchange is accessed only on
 * its I/O thread.
 */
final class UndertowCallerResponse implements CallerResponse {

	private static final int MAXIMUM_PENDING_BYTES = 1024 * 1024;

	private static final HttpString REQUEST_IDENTIFIER = new HttpString("x-request-id");

	private final HttpServerExchange exchange;

	private final ResponseSteps steps;

	private final String echoedIdentifier;

	private final AtomicBoolean started = new AtomicBoolean();

	private final Deque<ByteBuffer> pendingBuffers = new ArrayDeque<>();

	private int pendingBytes;

	private boolean finishing;

	private @Nullable StreamSinkChannel channel;

	UndertowCallerResponse(HttpServerExchange exchange, String echoedIdentifier) {
		this.exchange = exchange;
		this.steps = new ResponseSteps(exchange, echoedIdentifier);
		this.echoedIdentifier = echoedIdentifier;
	}

	@Override
	public void respond(int status, Map<String, String> headers, byte[] body) {
		if (!this.started.compareAndSet(false, true)) {
			return;
		}
		this.steps.execute(() -> writeResponse(status, headers, body));
	}

	private void writeResponse(int status, Map<String, String> headers, byte[] body) {
		if (this.exchange.isResponseStarted()) {
			return;
		}
		this.exchange.setStatusCode(status);
		headers.forEach((name, value) -> this.exchange.getResponseHeaders().put(new HttpString(name), value));
		this.exchange.getResponseHeaders().put(REQUEST_IDENTIFIER, this.echoedIdentifier);
		this.exchange.getResponseSender().send(ByteBuffer.wrap(body));
	}

	@Override
	public void refuse(Refusal refusal, String message) {
		byte[] body = Json.toBytes(toError(refusal, message));
		if (this.started.get()) {
			appendEvent(body);
			finishStream();
			return;
		}
		Map<String, String> headers = (refusal.retryAfterMilliseconds() > 0) ? Map.of("content-type",
				"application/json", "retry-after", Long.toString(refusal.toRetryAfterSeconds()))
				: Map.of("content-type", "application/json");
		respond(refusal.status(), headers, body);
	}

	private ObjectNode toError(Refusal refusal, String message) {
		ObjectNode error = Json.mapper().createObjectNode();
		error.putObject("error")
			.put("message", message)
			.put("reason", refusal.reason().code())
			.put("ran", refusal.ran().code())
			.put("retry_after_ms", refusal.retryAfterMilliseconds())
			.put("request_id", this.echoedIdentifier);
		return error;
	}

	@Override
	public void sendEvent(byte[] data) {
		if (this.started.compareAndSet(false, true)) {
			this.steps.execute(this::beginStream);
		}
		appendEvent(data);
	}

	private void appendEvent(byte[] data) {
		ByteBuffer framed = ByteBuffer.allocate(data.length + 8);
		framed.put("data: ".getBytes(StandardCharsets.US_ASCII)).put(data).put((byte) '\n').put((byte) '\n').flip();
		this.steps.execute(() -> enqueue(framed));
	}

	@Override
	public void finishStream() {
		this.steps.execute(() -> {
			this.finishing = true;
			writePending();
		});
	}

	private void beginStream() {
		this.exchange.setStatusCode(200);
		this.exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "text/event-stream");
		this.exchange.getResponseHeaders().put(Headers.CACHE_CONTROL, "no-store");
		this.exchange.getResponseHeaders().put(REQUEST_IDENTIFIER, this.echoedIdentifier);
		StreamFraming.begin(this.exchange);
		StreamSinkChannel opened = this.exchange.getResponseChannel();
		if (opened == null) {
			return;
		}
		opened.getWriteSetter().set(this.steps.listener(this::writePending));
		this.channel = opened;
	}

	private void enqueue(ByteBuffer framed) {
		this.pendingBuffers.add(framed);
		this.pendingBytes += framed.remaining();
		if (this.pendingBytes > MAXIMUM_PENDING_BYTES) {
			this.steps.closeConnection();
			return;
		}
		writePending();
	}

	private void writePending() {
		StreamSinkChannel opened = this.channel;
		if (opened == null) {
			return;
		}
		try {
			while (!this.pendingBuffers.isEmpty()) {
				ByteBuffer head = this.pendingBuffers.getFirst();
				int written = opened.write(head);
				if (written == 0 && head.hasRemaining()) {
					opened.resumeWrites();
					return;
				}
				this.pendingBytes -= written;
				if (!head.hasRemaining()) {
					this.pendingBuffers.removeFirst();
				}
			}
			if (this.finishing) {
				endExchange();
				return;
			}
			if (opened.flush()) {
				opened.suspendWrites();
			}
			else {
				opened.resumeWrites();
			}
		}
		catch (IOException ex) {
			this.steps.closeConnection();
		}
	}

	private void endExchange() {
		this.channel = null;
		StreamFraming.complete(this.exchange);
		this.exchange.endExchange();
	}

	@Override
	public void onDisconnect(Runnable action) {
		this.steps.execute(() -> {
			if (this.exchange.isComplete()) {
				return;
			}
			if (!this.exchange.getConnection().isOpen()) {
				action.run();
				return;
			}
			CloseListeners.add(this.exchange, action);
			DisconnectListener.install(this.exchange);
		});
	}

}

package org.masticshelf.transport.http;

import java.io.IOException;
import java.net.SocketTimeoutException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import org.jspecify.annotations.Nullable;

import org.masticshelf.kernel.event.Event;
import org.masticshelf.kernel.port.ExchangeFailure;
import org.masticshelf.kernel.port.ExchangeFailure.Point;
import org.masticshelf.kernel.serving.ServedRequest.Header;
import org.masticshelf.transport.log.EventLog;

/**
 * A running exchange of an HTTP request and its response, on a virtual thread of its own.
 * <p>
 * Invariants: the listener is told exactly once that the exchange has ended; a connection
 * on which an exchange did not end well is closed with a reset. {@link #cancel()} may be
 * called by any thread.
 */
public final class HttpExchange {

	private static final int BUFFER_BYTES = 16 * 1024;

	private final HttpCall call;

	private final ResponseListener listener;

	private final IdleConnections idle;

	private final Semaphore callbacks;

	private volatile Point point = Point.BEFORE_CONNECT;

	private @Nullable HttpConnection connection;

	private @Nullable String abortReason;

	/**
	 * Creates an exchange that has not started.
	 * @param call the request to send
	 * @param listener receives the response
	 * @param idle the pool of connections
	 * @param callbacks limits how many threads call listeners at a time
	 */
	HttpExchange(HttpCall call, ResponseListener listener, IdleConnections idle, Semaphore callbacks) {
		this.call = call;
		this.listener = listener;
		this.idle = idle;
		this.callbacks = callbacks;
	}

	/**
	 * Starts the exchange.
	 * @param onEnd called when the exchange has ended
	 */
	void start(Consumer<HttpExchange> onEnd) {
		Thread.ofVirtual().name("http-exchange").start(() -> {
			try {
				run();
			}
			finally {
				onEnd.accept(this);
			}
		});
	}

	/**
	 * Cancels the exchange and closes its connection. The listener is told of a failure
	 * unless the exchange has already ended.
	 */
	public void cancel() {
		abort("cancelled");
	}

	/**
	 * Ends the exchange because its time has passed. Unlike a cancellation, this discards
	 * the idle connections to the address if no answer has begun.
	 */
	void expire() {
		discardIdleIfUnanswered();
		abort("timeout after " + this.call.timeout());
	}

	private synchronized void abort(String reason) {
		if (this.abortReason == null) {
			this.abortReason = reason;
		}
		if (this.connection != null) {
			this.connection.close();
		}
	}

	// Connections that have gone silent are rarely alone: whatever silenced this one has
	// silenced those that were open beside it.
	private void discardIdleIfUnanswered() {
		if (this.point == Point.BEFORE_CONNECT || this.point == Point.IN_ANSWER) {
			return;
		}
		int discarded = this.idle.discard(this.call.address());
		if (discarded > 0) {
			EventLog.info(Event.named("connection.idle_discarded")
				.with("address", this.call.address())
				.with("connections", discarded)
				.with("unanswered_ms", this.call.timeout().toMillis()));
		}
	}

	private void run() {
		CompletableFuture<Void> timer = new CompletableFuture<>();
		try {
			HttpConnection opened = connect();
			this.point = Point.BEFORE_FIRST_BYTE;
			timer.completeOnTimeout(null, this.call.timeout().toMillis(), TimeUnit.MILLISECONDS).thenRun(this::expire);
			AnswerHead answer = exchange(opened);
			detach();
			if (this.call.freshConnection() || answer.closing() || !opened.isReusable()) {
				opened.close();
			}
			else {
				this.idle.release(this.call.address(), opened);
			}
		}
		catch (IOException | RuntimeException | Error ex) {
			fail(ex);
			return;
		}
		finally {
			timer.cancel(false);
		}
		callBack(this.listener::onEnd);
	}

	private HttpConnection connect() throws IOException {
		HttpConnection opened = this.call.freshConnection() ? null : this.idle.acquire(this.call.address());
		if (opened == null) {
			opened = open();
		}
		attach(opened);
		return opened;
	}

	private HttpConnection open() throws IOException {
		int colon = this.call.address().lastIndexOf(':');
		try {
			String host = this.call.address().substring(0, colon);
			int port = Integer.parseInt(this.call.address().substring(colon + 1));
			return HttpConnection.open(host, port, (int) Math.min(Integer.MAX_VALUE, this.call.timeout().toMillis()));
		}
		catch (IllegalArgumentException | IndexOutOfBoundsException ex) {
			throw new IOException("malformed address " + this.call.address(), ex);
		}
	}

	private synchronized void attach(HttpConnection opened) throws IOException {
		this.connection = opened;
		if (this.abortReason != null) {
			throw new IOException(this.abortReason);
		}
	}

	// From here on the connection may serve another exchange.
	private synchronized void detach() throws IOException {
		if (this.abortReason != null) {
			throw new IOException(this.abortReason);
		}
		this.connection = null;
	}

	private AnswerHead exchange(HttpConnection opened) throws IOException {
		byte[] head = encodeHead();
		this.point = Point.IN_REQUEST;
		long timeoutMilliseconds = this.call.timeout().toMillis();
		opened.send(head, this.call.body(), timeoutMilliseconds);
		this.point = Point.AWAITING_ANSWER;
		AnswerHead answer = opened.readHead(timeoutMilliseconds);
		this.point = Point.IN_ANSWER;
		callBack(() -> this.listener.onHead(answer.status(), toMap(answer)));
		byte[] buffer = new byte[(answer.length() > 0) ? (int) Math.min(answer.length(), BUFFER_BYTES) : BUFFER_BYTES];
		int count = opened.read(buffer, timeoutMilliseconds);
		while (count >= 0) {
			ByteBuffer piece = ByteBuffer.wrap(buffer, 0, count);
			callBack(() -> this.listener.onBody(piece));
			count = opened.read(buffer, timeoutMilliseconds);
		}
		return answer;
	}

	private byte[] encodeHead() {
		StringBuilder head = new StringBuilder(256).append(this.call.method())
			.append(' ')
			.append(this.call.path())
			.append(" HTTP/1.1");
		appendHeader(head, "Host", this.call.address());
		this.call.headers().forEach((name, value) -> appendHeader(head, name, value));
		appendHeader(head, "Content-Length", Integer.toString(this.call.body().length));
		if (head.chars().filter(Character::isISOControl).count() != 2L * (this.call.headers().size() + 2)) {
			throw new ExchangeFailure(this.point, "control character in the head of the request");
		}
		return head.append("\r\n\r\n").toString().getBytes(StandardCharsets.ISO_8859_1);
	}

	private static void appendHeader(StringBuilder head, String name, String value) {
		head.append("\r\n").append(name).append(": ").append(value);
	}

	private void fail(Throwable cause) {
		if (cause instanceof SocketTimeoutException) {
			expire();
		}
		String reason;
		synchronized (this) {
			reason = (this.abortReason != null) ? this.abortReason : String.valueOf(cause.getMessage());
			if (this.connection != null) {
				this.connection.close();
			}
		}
		callBack(() -> this.listener.onFailure(new ExchangeFailure(pointOf(cause),
				reason + " (" + this.call.method() + " " + this.call.address() + this.call.path() + ")")));
	}

	private Point pointOf(Throwable cause) {
		return switch (cause) {
			case ExchangeFailure known -> known.point();
			case UpstreamException answered when !answered.isDisconnected() -> Point.INVALID_ANSWER;
			case RuntimeException unexpected -> Point.INVALID_ANSWER;
			case Error unexpected -> Point.INVALID_ANSWER;
			default -> this.point;
		};
	}

	private void callBack(Runnable step) {
		this.callbacks.acquireUninterruptibly();
		try {
			step.run();
		}
		finally {
			this.callbacks.release();
		}
	}

	private static Map<String, String> toMap(AnswerHead answer) {
		Map<String, String> map = new HashMap<>();
		for (Header header : answer.headers()) {
			map.putIfAbsent(header.name().toLowerCase(Locale.ROOT), header.value());
		}
		return map;
	}

}

package org.masticshelf.transport.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.ClientExchange;
import io.undertow.client.ClientRequest;
import io.undertow.client.ClientResponse;
import io.undertow.connector.ByteBufferPool;
import io.undertow.connector.PooledByteBuffer;
import io.undertow.util.HeaderMap;
import io.undertow.util.HeaderValues;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import org.jspecify.annotations.Nullable;
import org.xnio.ChannelListener;
import org.xnio.ChannelListeners;
import org.xnio.IoUtils;
import org.xnio.Options;
import org.xnio.XnioExecutor;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.channels.StreamSourceChannel;

import org.masticshelf.kernel.event.Event;
import org.masticshelf.kernel.port.ExchangeFailure;
import org.masticshelf.kernel.port.ExchangeFailure.Point;
import org.masticshelf.transport.log.EventLog;

/**
 * A running exchange of an HTTP request and its response.
 * <p>
 * Invariant: the listener is told exactly once that the exchange has ended. All steps run
 * on the I/O thread of the connection; {@link #cancel()} may be called by any thread.
 */
public final class HttpExchange {

	private final HttpCall call;

	private final ResponseListener listener;

	private final ByteBufferPool buffers;

	private final IdleConnections idle;

	private volatile @Nullable ClientConnection connection;

	private volatile boolean cancelled;

	private XnioExecutor.@Nullable Key timer;

	private volatile Point point = Point.BEFORE_CONNECT;

	private boolean ended;

	private boolean requestWritten;

	HttpExchange(HttpCall call, ResponseListener listener, ByteBufferPool buffers, IdleConnections idle) {
		this.call = call;
		this.listener = listener;
		this.buffers = buffers;
		this.idle = idle;
	}

	/**
	 * Cancels the exchange and closes its connection. The listener is told of a failure
	 * unless the exchange has already ended.
	 */
	public void cancel() {
		this.cancelled = true;
		ClientConnection current = this.connection;
		if (current != null) {
			failOnIoThread(current, "cancelled");
		}
	}

	/**
	 * Ends the exchange because its time has passed. Unlike a cancellation, this discards
	 * the idle connections to the address if no answer has begun.
	 */
	void expire() {
		this.cancelled = true;
		ClientConnection current = this.connection;
		if (current != null) {
			discardIdleIfUnanswered();
			failOnIoThread(current, "timeout after " + this.call.timeout());
		}
	}

	void connectFailed(String reason) {
		fail(reason);
	}

	void start(ClientConnection opened) {
		this.connection = opened;
		opened.getIoThread().execute(() -> send(opened));
	}

	private void send(ClientConnection opened) {
		this.point = Point.BEFORE_FIRST_BYTE;
		if (this.cancelled || !opened.isOpen()) {
			fail(this.cancelled ? "cancelled" : "connection closed before use");
			return;
		}
		this.timer = opened.getIoThread()
			.executeAfter(this::timeOut, this.call.timeout().toMillis(), TimeUnit.MILLISECONDS);
		opened.getCloseSetter().set((closed) -> connectionClosed(opened));
		this.point = Point.IN_REQUEST;
		opened.sendRequest(toRequest(), new ClientCallback<>() {
			@Override
			public void completed(ClientExchange exchange) {
				requestStarted(exchange);
			}

			@Override
			public void failed(IOException failure) {
				fail(String.valueOf(failure.getMessage()));
			}
		});
	}

	// Undertow also closes the connection itself at the end of the last response on it,
	// just before the read that reaches this end returns. The failure is therefore
	// queued behind that read.
	private void connectionClosed(ClientConnection closed) {
		failOnIoThread(closed, "connection closed by the other side");
	}

	private void failOnIoThread(ClientConnection connection, String reason) {
		try {
			connection.getIoThread().execute(() -> fail(reason));
		}
		catch (RejectedExecutionException ex) {
			fail(reason);
		}
	}

	private void timeOut() {
		discardIdleIfUnanswered();
		fail("timeout after " + this.call.timeout());
	}

	// Connections that have gone silent are rarely alone: whatever silenced this one has
	// silenced those that were open beside it.
	private void discardIdleIfUnanswered() {
		if (this.point == Point.IN_ANSWER) {
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

	private ClientRequest toRequest() {
		ClientRequest request = new ClientRequest().setMethod(new HttpString(this.call.method()))
			.setPath(this.call.path());
		HeaderMap headers = request.getRequestHeaders();
		headers.put(Headers.HOST, this.call.address());
		this.call.headers().forEach((name, value) -> headers.put(new HttpString(name), value));
		headers.put(Headers.CONTENT_LENGTH, this.call.body().length);
		return request;
	}

	private void requestStarted(ClientExchange exchange) {
		exchange.setResponseListener(new ClientCallback<>() {
			@Override
			public void completed(ClientExchange answered) {
				answerStarted(answered);
			}

			@Override
			public void failed(IOException failure) {
				fail(String.valueOf(failure.getMessage()));
			}
		});
		writeBody(exchange.getRequestChannel(), ByteBuffer.wrap(this.call.body()));
	}

	private void writeBody(StreamSinkChannel channel, ByteBuffer body) {
		try {
			while (body.hasRemaining()) {
				if (channel.write(body) == 0) {
					channel.getWriteSetter().set((writable) -> writeBody(channel, body));
					channel.resumeWrites();
					return;
				}
			}
			channel.shutdownWrites();
			if (!channel.flush()) {
				channel.getWriteSetter()
					.set(ChannelListeners.<StreamSinkChannel>flushingChannelListener((flushed) -> bodyWritten(),
							(failing, failure) -> fail(String.valueOf(failure.getMessage()))));
				channel.resumeWrites();
				return;
			}
			bodyWritten();
		}
		catch (IOException ex) {
			fail(String.valueOf(ex.getMessage()));
		}
	}

	private void bodyWritten() {
		this.requestWritten = true;
		if (this.point == Point.IN_REQUEST) {
			this.point = Point.AWAITING_ANSWER;
		}
	}

	private void answerStarted(ClientExchange exchange) {
		this.point = Point.IN_ANSWER;
		ClientResponse response = exchange.getResponse();
		try {
			this.listener.onHead(response.getResponseCode(), toMap(response.getResponseHeaders()));
		}
		catch (RuntimeException ex) {
			failWith(ex);
			return;
		}
		StreamSourceChannel channel = exchange.getResponseChannel();
		ChannelListener<StreamSourceChannel> reader = this::read;
		channel.getReadSetter().set(reader);
		read(channel);
		if (!this.ended) {
			channel.resumeReads();
		}
	}

	private void read(StreamSourceChannel channel) {
		try (PooledByteBuffer pooled = this.buffers.allocate()) {
			ByteBuffer buffer = pooled.getBuffer();
			while (!this.ended) {
				buffer.clear();
				int count = channel.read(buffer);
				if (count == 0) {
					return;
				}
				if (count < 0) {
					complete();
					return;
				}
				buffer.flip();
				this.listener.onBody(buffer);
			}
		}
		catch (IOException ex) {
			fail(String.valueOf(ex.getMessage()));
		}
		catch (RuntimeException ex) {
			failWith(ex);
		}
	}

	private void complete() {
		if (!markEnded()) {
			return;
		}
		ClientConnection current = this.connection;
		if (current != null) {
			boolean reusable = this.requestWritten && !this.call.freshConnection();
			current.getCloseSetter().set(null);
			if (reusable) {
				current.getIoThread().execute(() -> this.idle.release(this.call.address(), current));
			}
			else {
				IoUtils.safeClose(current);
			}
		}
		this.listener.onEnd();
	}

	private void failWith(RuntimeException cause) {
		if (cause instanceof ExchangeFailure failure) {
			this.point = failure.point();
		}
		else {
			this.point = Point.INVALID_ANSWER;
		}
		fail(String.valueOf(cause.getMessage()));
	}

	private void fail(String reason) {
		if (!markEnded()) {
			return;
		}
		ClientConnection current = this.connection;
		if (current != null) {
			abort(current);
		}
		this.listener.onFailure(new ExchangeFailure(this.point,
				reason + " (" + this.call.method() + " " + this.call.address() + this.call.path() + ")"));
	}

	// A reset discards bytes that a network partition holds back. After a normal close
	// they would still arrive once the partition heals.
	private static void abort(ClientConnection connection) {
		if (!connection.isOpen()) {
			return;
		}
		try {
			connection.setOption(Options.CLOSE_ABORT, true);
		}
		catch (IOException ex) {
			EventLog.info(Event.named("connection.not_aborted").with("cause", ex.getMessage()));
		}
		IoUtils.safeClose(connection);
	}

	private synchronized boolean markEnded() {
		if (this.ended) {
			return false;
		}
		this.ended = true;
		if (this.timer != null) {
			this.timer.remove();
		}
		return true;
	}

	private static Map<String, String> toMap(HeaderMap headers) {
		Map<String, String> map = new HashMap<>();
		for (HeaderValues values : headers) {
			map.put(values.getHeaderName().toString().toLowerCase(Locale.ROOT), values.getFirst());
		}
		return map;
	}

}

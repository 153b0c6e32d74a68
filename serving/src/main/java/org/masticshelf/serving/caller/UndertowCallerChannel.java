package org.masticshelf.serving.caller;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import org.jspecify.annotations.Nullable;
import org.xnio.ChannelListeners;
import org.xnio.channels.StreamSinkChannel;

import org.masticshelf.kernel.serving.ServedRequest.Header;
import org.masticshelf.transport.http.CloseListeners;
import org.masticshelf.transport.http.DisconnectListener;
import org.masticshelf.transport.http.ResponseSteps;
import org.masticshelf.transport.http.StreamFraming;

/**
 * Answers a caller over Undertow.
 * <p>
 * Buffers are queued by the answering thread and written by the connection's I/O thread,
 * which alone accesses the exchange. Invariants: at most {@value #MAXIMUM_QUEUED_BYTES}
 * bytes and one buffer are queued; the connection is not closed by this channel once the
 * exchange is complete. Thread-safe.
 */
sealed class UndertowCallerChannel implements CallerChannel permits AccountedCallerChannel {

	private static final int MAXIMUM_QUEUED_BYTES = 256 * 1024;

	/** A caller that accepts no bytes for this long counts as disconnected. */
	private static final long STALL_TIMEOUT_SECONDS = 30;

	private final HttpServerExchange exchange;

	private final ResponseSteps steps;

	private final ReentrantLock lock = new ReentrantLock();

	private final Condition queueDrained = this.lock.newCondition();

	private final Deque<ByteBuffer> queue = new ArrayDeque<>();

	private final List<Runnable> goneActions = new ArrayList<>();

	private long queuedBytes;

	private boolean ended;

	private boolean gone;

	private boolean writeScheduled;

	/** Whether the end follows the bytes that were written; used by the I/O thread. */
	private boolean complete;

	private boolean finished;

	private @Nullable StreamSinkChannel sink;

	UndertowCallerChannel(HttpServerExchange exchange, String identifier) {
		this.exchange = exchange;
		this.steps = new ResponseSteps(exchange, identifier);
		CloseListeners.add(exchange, this::handleClose);
		// The connection's listener suspends reads after it has dispatched the exchange.
		this.steps.execute(() -> {
			if (!exchange.isComplete()) {
				DisconnectListener.install(exchange);
			}
		});
	}

	/** Disconnects the caller, so that an answer that was started stays incomplete. */
	final void disconnect() {
		handleClose();
		this.steps.execute(this.steps::closeConnection);
	}

	/**
	 * Records that the caller has taken queued bytes.
	 * @param bytes the number of bytes
	 */
	void recordTaken(int bytes) {
		// The bytes are not counted.
	}

	/** Records that nothing is held for the caller any more. */
	void recordNothingHeld() {
		// The bytes are not counted.
	}

	private void handleClose() {
		recordNothingHeld();
		List<Runnable> actions;
		this.lock.lock();
		try {
			if (this.gone || this.finished) {
				return;
			}
			this.gone = true;
			actions = List.copyOf(this.goneActions);
			this.queueDrained.signalAll();
		}
		finally {
			this.lock.unlock();
		}
		actions.forEach(Runnable::run);
	}

	@Override
	public boolean isGone() {
		this.lock.lock();
		try {
			return this.gone;
		}
		finally {
			this.lock.unlock();
		}
	}

	@Override
	public Registration onGone(Runnable action) {
		this.lock.lock();
		try {
			if (!this.gone) {
				this.goneActions.add(action);
				return () -> removeGoneAction(action);
			}
		}
		finally {
			this.lock.unlock();
		}
		action.run();
		return () -> {
		};
	}

	private void removeGoneAction(Runnable action) {
		this.lock.lock();
		try {
			this.goneActions.remove(action);
		}
		finally {
			this.lock.unlock();
		}
	}

	@Override
	public void closeAfterAnswer() {
		this.steps.execute(() -> this.exchange.setPersistent(false));
	}

	@Override
	public void begin(int status, List<Header> headers, long length) {
		this.steps.execute(() -> {
			this.exchange.setStatusCode(status);
			for (Header header : headers) {
				this.exchange.getResponseHeaders().add(new HttpString(header.name()), header.value());
			}
			if (length >= 0) {
				this.exchange.getResponseHeaders().put(Headers.CONTENT_LENGTH, length);
			}
			else {
				StreamFraming.begin(this.exchange);
			}
		});
	}

	@Override
	public void write(byte[] bytes) throws IOException {
		this.lock.lock();
		try {
			while (!this.gone && this.queuedBytes > MAXIMUM_QUEUED_BYTES) {
				if (!this.queueDrained.await(STALL_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
					throw new IOException("the caller takes nothing");
				}
			}
			if (this.gone) {
				throw new IOException("the caller has gone");
			}
			this.queue.addLast(ByteBuffer.wrap(bytes));
			this.queuedBytes += bytes.length;
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new IOException("interrupted", ex);
		}
		finally {
			this.lock.unlock();
		}
		schedule();
	}

	@Override
	public void end() {
		this.lock.lock();
		try {
			this.ended = true;
		}
		finally {
			this.lock.unlock();
		}
		schedule();
	}

	@Override
	public void abort() {
		recordNothingHeld();
		this.lock.lock();
		try {
			this.finished = true;
		}
		finally {
			this.lock.unlock();
		}
		this.steps.execute(this.steps::closeConnection);
	}

	private void schedule() {
		this.lock.lock();
		try {
			if (this.writeScheduled) {
				return;
			}
			this.writeScheduled = true;
		}
		finally {
			this.lock.unlock();
		}
		this.steps.execute(this::writeQueued);
	}

	// Runs on the connection's I/O thread.
	private void writeQueued() {
		try {
			StreamSinkChannel channel = this.sink;
			if (channel == null) {
				channel = this.exchange.getResponseChannel();
				if (channel == null) {
					this.steps.closeConnection();
					return;
				}
				this.sink = channel;
			}
			while (true) {
				ByteBuffer next = next();
				if (next == null) {
					break;
				}
				while (next.hasRemaining()) {
					int count = channel.write(next);
					if (count == 0) {
						resumeWhenWritable(channel);
						return;
					}
					recordTaken(count);
				}
				removeWritten(next);
			}
			if (!this.complete) {
				if (!channel.flush()) {
					resumeWhenWritable(channel);
				}
				return;
			}
			StreamFraming.complete(this.exchange);
			channel.shutdownWrites();
			if (channel.flush()) {
				finish();
				return;
			}
			channel.getWriteSetter()
				.set(ChannelListeners.<StreamSinkChannel>flushingChannelListener(this.steps.listener(this::finish),
						(failing, failure) -> this.steps.closeConnection()));
			channel.resumeWrites();
		}
		catch (IOException ex) {
			this.steps.closeConnection();
		}
	}

	private void resumeWhenWritable(StreamSinkChannel channel) {
		channel.getWriteSetter().set(this.steps.listener(() -> {
			channel.suspendWrites();
			writeQueued();
		}));
		channel.resumeWrites();
	}

	private void finish() {
		recordNothingHeld();
		this.lock.lock();
		try {
			this.finished = true;
		}
		finally {
			this.lock.unlock();
		}
		this.exchange.endExchange();
	}

	private @Nullable ByteBuffer next() {
		this.lock.lock();
		try {
			ByteBuffer next = this.queue.peekFirst();
			if (next == null) {
				// Both are read under one lock: bytes that are queued before the end but
				// after the queue was found empty must not be left out.
				this.complete = this.ended;
				this.writeScheduled = this.ended;
			}
			return next;
		}
		finally {
			this.lock.unlock();
		}
	}

	private void removeWritten(ByteBuffer buffer) {
		this.lock.lock();
		try {
			this.queue.removeFirst();
			this.queuedBytes -= buffer.capacity();
			this.queueDrained.signalAll();
		}
		finally {
			this.lock.unlock();
		}
	}

}

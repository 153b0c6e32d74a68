package org.masticshelf.adapters.etcd;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.Map;

import org.jspecify.annotations.Nullable;

import org.masticshelf.kernel.port.ExchangeFailure;
import org.masticshelf.kernel.port.KeyValueFailure;
import org.masticshelf.kernel.port.KeyValueStore;
import org.masticshelf.transport.http.HttpExchange;
import org.masticshelf.transport.http.ResponseListener;

/**
 * One running watch: cuts the streamed answer into lines and reports each.
 * <p>
 * Invariant: the listener hears of the end at most once, and nothing after it or after
 * {@link #handOver()}. The stream calls one method at a time; {@link #handOver()} may be
 * called by any thread.
 */
final class EtcdWatch implements ResponseListener, KeyValueStore.Watch {

	private static final int STATUS_OK = 200;

	private static final int LINE_LIMIT_BYTES = 16 * 1024 * 1024;

	private final String prefix;

	private final KeyValueStore.WatchListener listener;

	private final Runnable onBroken;

	private final ByteArrayOutputStream line = new ByteArrayOutputStream();

	private @Nullable HttpExchange exchange;

	private boolean ended;

	EtcdWatch(String prefix, KeyValueStore.WatchListener listener, Runnable onBroken) {
		this.prefix = prefix;
		this.listener = listener;
		this.onBroken = onBroken;
	}

	void attach(HttpExchange running) {
		boolean closed;
		synchronized (this) {
			this.exchange = running;
			closed = this.ended;
		}
		if (closed) {
			running.cancel();
		}
	}

	@Override
	public void onHead(int status, Map<String, String> headers) {
		if (status != STATUS_OK) {
			breakWith("status " + status);
		}
	}

	@Override
	public void onBody(ByteBuffer piece) {
		while (piece.hasRemaining()) {
			byte next = piece.get();
			if (next == '\n') {
				endLine();
			}
			else {
				this.line.write(next);
			}
		}
		if (this.line.size() > LINE_LIMIT_BYTES) {
			breakWith("a message above " + LINE_LIMIT_BYTES + " bytes");
		}
	}

	@Override
	public void onEnd() {
		breakWith("the stream ended");
	}

	@Override
	public void onFailure(ExchangeFailure failure) {
		breakWith(String.valueOf(failure.getMessage()));
	}

	@Override
	public void close() {
		HttpExchange running;
		synchronized (this) {
			this.ended = true;
			running = this.exchange;
		}
		if (running != null) {
			running.cancel();
		}
	}

	private void endLine() {
		byte[] message = this.line.toByteArray();
		this.line.reset();
		if (message.length == 0 || hasEnded()) {
			return;
		}
		try {
			EtcdAnswer.WatchBatch batch = EtcdAnswer.toBatch(this.prefix, message);
			if (!batch.entries().isEmpty()) {
				this.listener.onChange(batch.entries(), batch.revision());
			}
		}
		catch (KeyValueFailure ex) {
			breakWith(String.valueOf(ex.getMessage()));
		}
	}

	private synchronized boolean hasEnded() {
		return this.ended;
	}

	private void breakWith(String reason) {
		HttpExchange running;
		synchronized (this) {
			if (this.ended) {
				return;
			}
			this.ended = true;
			running = this.exchange;
		}
		if (running != null) {
			running.cancel();
		}
		this.onBroken.run();
		this.listener.onFailure(new KeyValueFailure("watch of " + this.prefix + ": " + reason, false));
	}

}

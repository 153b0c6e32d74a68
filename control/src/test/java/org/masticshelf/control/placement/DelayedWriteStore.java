package org.masticshelf.control.placement;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import org.masticshelf.kernel.port.KeyValueFailure;
import org.masticshelf.kernel.port.KeyValueStore;

/**
 * A client of the key-value service that can report a write as failed and apply it later.
 * Not thread-safe.
 */
final class DelayedWriteStore implements KeyValueStore {

	private final List<Transaction> delayed = new ArrayList<>();

	private final KeyValueStore delegate;

	int writesToDelay;

	DelayedWriteStore(KeyValueStore delegate) {
		this.delegate = delegate;
	}

	/** Sends the delayed writes to the service. */
	void release() {
		List<Transaction> released = List.copyOf(this.delayed);
		this.delayed.clear();
		released.forEach(this.delegate::transact);
	}

	@Override
	public CompletableFuture<Outcome> transact(Transaction transaction) {
		if (this.writesToDelay > 0) {
			this.writesToDelay--;
			this.delayed.add(transaction);
			return CompletableFuture.failedFuture(new KeyValueFailure("given up", true));
		}
		return this.delegate.transact(transaction);
	}

	@Override
	public CompletableFuture<Entry> get(String key) {
		return this.delegate.get(key);
	}

	@Override
	public CompletableFuture<Snapshot> list(String prefix) {
		return this.delegate.list(prefix);
	}

	@Override
	public CompletableFuture<Long> grantLease(Duration timeToLive) {
		return this.delegate.grantLease(timeToLive);
	}

	@Override
	public CompletableFuture<Duration> keepAlive(long lease) {
		return this.delegate.keepAlive(lease);
	}

	@Override
	public CompletableFuture<Void> revokeLease(long lease) {
		return this.delegate.revokeLease(lease);
	}

	@Override
	public Watch watch(String prefix, long fromRevision, WatchListener listener) {
		return this.delegate.watch(prefix, fromRevision, listener);
	}

	@Override
	public void close() {
		this.delayed.clear();
	}

}

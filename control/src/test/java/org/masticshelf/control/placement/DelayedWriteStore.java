package org.masticshelf.control.placement;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import org.masticshelf.kernel.port.KeyValueFailure;
import org.masticshelf.kernel.port.KeyValueStore;

/**
 * A client of the key-value service whose writes can take effect after they were given
 * up. Used by one thread.
 */
final class DelayedWriteStore implements KeyValueStore {

	private final List<Transaction> late = new ArrayList<>();

	private final KeyValueStore service;

	int writesToDelay;

	DelayedWriteStore(KeyValueStore service) {
		this.service = service;
	}

	/** Lets the delayed writes reach the service. */
	void release() {
		List<Transaction> released = List.copyOf(this.late);
		this.late.clear();
		released.forEach(this.service::transact);
	}

	@Override
	public CompletableFuture<Outcome> transact(Transaction transaction) {
		if (this.writesToDelay > 0) {
			this.writesToDelay--;
			this.late.add(transaction);
			return CompletableFuture.failedFuture(new KeyValueFailure("given up", true));
		}
		return this.service.transact(transaction);
	}

	@Override
	public CompletableFuture<Entry> get(String key) {
		return this.service.get(key);
	}

	@Override
	public CompletableFuture<Snapshot> list(String prefix) {
		return this.service.list(prefix);
	}

	@Override
	public CompletableFuture<Long> grantLease(Duration timeToLive) {
		return this.service.grantLease(timeToLive);
	}

	@Override
	public CompletableFuture<Duration> keepAlive(long lease) {
		return this.service.keepAlive(lease);
	}

	@Override
	public CompletableFuture<Void> revokeLease(long lease) {
		return this.service.revokeLease(lease);
	}

	@Override
	public Watch watch(String prefix, long fromRevision, WatchListener listener) {
		return this.service.watch(prefix, fromRevision, listener);
	}

	@Override
	public void close() {
		this.late.clear();
	}

}

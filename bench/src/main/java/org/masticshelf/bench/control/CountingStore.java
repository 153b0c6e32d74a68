package org.masticshelf.bench.control;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.LongAdder;

import org.masticshelf.kernel.port.KeyValueFailure;
import org.masticshelf.kernel.port.KeyValueStore;

/**
 * Counts the bytes of keys and values that one daemon exchanges with the key-value
 * service.
 * <p>
 * Safe for use by several threads.
 */
final class CountingStore implements KeyValueStore {

	private final KeyValueStore store;

	private final LongAdder bytes = new LongAdder();

	/**
	 * Creates a counting client.
	 * @param store the client that does the work
	 */
	CountingStore(KeyValueStore store) {
		this.store = store;
	}

	/**
	 * Returns the counted bytes.
	 * @return the number of bytes
	 */
	long bytes() {
		return this.bytes.sum();
	}

	private void count(Entry entry) {
		String value = entry.value();
		this.bytes.add(entry.key().length() + ((value != null) ? value.length() : 0));
	}

	@Override
	public CompletableFuture<Entry> get(String key) {
		return this.store.get(key).whenComplete((entry, failure) -> {
			if (entry != null) {
				count(entry);
			}
		});
	}

	@Override
	public CompletableFuture<Snapshot> list(String prefix) {
		return this.store.list(prefix).whenComplete((snapshot, failure) -> {
			if (snapshot != null) {
				snapshot.entries().forEach(this::count);
			}
		});
	}

	@Override
	public CompletableFuture<Outcome> transact(Transaction transaction) {
		for (Operation operation : transaction.operations()) {
			switch (operation) {
				case Operation.Put put -> this.bytes.add(put.key().length() + put.value().length());
				case Operation.Delete delete -> this.bytes.add(delete.key().length());
			}
		}
		return this.store.transact(transaction);
	}

	@Override
	public CompletableFuture<Long> grantLease(Duration timeToLive) {
		return this.store.grantLease(timeToLive);
	}

	@Override
	public CompletableFuture<Duration> keepAlive(long lease) {
		return this.store.keepAlive(lease);
	}

	@Override
	public CompletableFuture<Void> revokeLease(long lease) {
		return this.store.revokeLease(lease);
	}

	@Override
	public Watch watch(String prefix, long fromRevision, WatchListener listener) {
		return this.store.watch(prefix, fromRevision, new CountingListener(this, listener));
	}

	@Override
	public void close() {
		this.store.close();
	}

	private record CountingListener(CountingStore counter, WatchListener listener) implements WatchListener {

		@Override
		public void onChange(List<Entry> entries, long revision) {
			entries.forEach(this.counter::count);
			this.listener.onChange(entries, revision);
		}

		@Override
		public void onFailure(KeyValueFailure failure) {
			this.listener.onFailure(failure);
		}

	}

}

package org.masticshelf.kernel.port;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import org.jspecify.annotations.Nullable;

/**
 * The platform's key-value service with compare-and-swap, leases and watches.
 * <p>
 * Every future fails with a {@link KeyValueFailure} when the service gave no answer; a
 * write may then have taken effect. Implementations are safe for use by several threads.
 */
public interface KeyValueStore extends AutoCloseable {

	/**
	 * Reads one key.
	 * @param key the key
	 * @return the entry, with a {@code null} value and modification revision 0 if absent
	 */
	CompletableFuture<Entry> get(String key);

	/**
	 * Reads all keys with a prefix in one snapshot.
	 * @param prefix the prefix
	 * @return the entries in the order of their keys and the revision of the snapshot
	 */
	CompletableFuture<Snapshot> list(String prefix);

	/**
	 * Applies the operations if all conditions hold, else none.
	 * @param transaction the conditions and operations
	 * @return whether it was applied, the revision, and the current entries of the
	 * compared keys if it was not
	 */
	CompletableFuture<Outcome> transact(Transaction transaction);

	/**
	 * Creates a lease.
	 * @param timeToLive how long the lease lives without being kept alive
	 * @return the identifier of the lease
	 */
	CompletableFuture<Long> grantLease(Duration timeToLive);

	/**
	 * Renews a lease.
	 * @param lease the identifier of the lease
	 * @return the remaining time, zero if the lease no longer exists
	 */
	CompletableFuture<Duration> keepAlive(long lease);

	/**
	 * Ends a lease and deletes the keys bound to it.
	 * @param lease the identifier of the lease
	 * @return completed when done
	 */
	CompletableFuture<Void> revokeLease(long lease);

	/**
	 * Watches all keys with a prefix. Events may come late, twice or not at all.
	 * @param prefix the prefix
	 * @param fromRevision the first revision to report, or 0 for from now on
	 * @param listener receives the events
	 * @return ends the watch when closed
	 */
	Watch watch(String prefix, long fromRevision, WatchListener listener);

	/**
	 * Adds a listener that is called after the service has returned from an earlier
	 * state. Everything that was written since that state is lost, leases included,
	 * although it had been acknowledged. Revisions that are named afterwards are above
	 * all that were named before. A service that never loses what it has acknowledged
	 * calls no listener.
	 * @param listener the listener
	 */
	default void addRestoreListener(Runnable listener) {
	}

	@Override
	void close();

	/** A running watch. */
	interface Watch extends AutoCloseable {

		/**
		 * Returns when the watch reports all later changes, so that what is listed then
		 * misses none.
		 * @return completed once the watch has started
		 */
		default CompletableFuture<Void> started() {
			return CompletableFuture.completedFuture(null);
		}

		@Override
		void close();

	}

	/** Receives what a watch reports. */
	interface WatchListener {

		/**
		 * Called for each batch of changes.
		 * @param entries the changed entries, with a {@code null} value when deleted
		 * @param revision the revision of the batch
		 */
		void onChange(List<Entry> entries, long revision);

		/**
		 * Called once when the watch has broken; the caller starts a new one.
		 * @param failure the cause
		 */
		void onFailure(KeyValueFailure failure);

	}

	/**
	 * A key and its value.
	 *
	 * @param key the key
	 * @param value the value or {@code null} if the key is absent
	 * @param createRevision the revision at which the key came into being, 0 if absent
	 * @param modifyRevision the revision of the last write, 0 if absent
	 * @param lease the lease that the key is bound to, 0 for none
	 */
	record Entry(String key, @Nullable String value, long createRevision, long modifyRevision, long lease) {

		/**
		 * Creates the entry of a key that does not exist.
		 * @param key the key
		 * @return the entry
		 */
		public static Entry absent(String key) {
			return new Entry(key, null, 0, 0, 0);
		}

	}

	/**
	 * Entries as of one revision.
	 *
	 * @param entries the entries in the order of their keys
	 * @param revision the revision of the snapshot
	 */
	record Snapshot(List<Entry> entries, long revision) {
	}

	/**
	 * The answer to a transaction.
	 *
	 * @param applied whether the operations took effect
	 * @param revision the revision of the store afterwards
	 * @param current the entries of the compared keys if not applied, else empty
	 */
	record Outcome(boolean applied, long revision, List<Entry> current) {
	}

	/**
	 * Conditions and operations of one atomic step.
	 *
	 * @param conditions all have to hold
	 * @param operations applied in order
	 */
	record Transaction(List<Condition> conditions, List<Operation> operations) {
	}

	/** A condition of a transaction. */
	sealed interface Condition {

		/**
		 * Returns the compared key.
		 * @return the key
		 */
		String key();

		/**
		 * Holds if the last write of the key was at a revision; 0 stands for absent.
		 *
		 * @param key the key
		 * @param modifyRevision the expected revision
		 */
		record ModifiedAt(String key, long modifyRevision) implements Condition {
		}

		/**
		 * Holds if the key came into being at a revision; 0 stands for absent.
		 *
		 * @param key the key
		 * @param createRevision the expected revision
		 */
		record CreatedAt(String key, long createRevision) implements Condition {
		}

	}

	/** An operation of a transaction. */
	sealed interface Operation {

		/**
		 * Writes a key.
		 *
		 * @param key the key
		 * @param value the value, less than a megabyte
		 * @param lease the lease to bind the key to, 0 for none
		 */
		record Put(String key, String value, long lease) implements Operation {
		}

		/**
		 * Deletes a key.
		 *
		 * @param key the key
		 */
		record Delete(String key) implements Operation {
		}

	}

}

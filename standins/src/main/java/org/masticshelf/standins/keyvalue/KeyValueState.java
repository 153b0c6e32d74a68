package org.masticshelf.standins.keyvalue;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Set;
import java.util.TreeMap;

import org.masticshelf.kernel.port.KeyValueFailure;
import org.masticshelf.kernel.port.KeyValueStore;

/**
 * The revisioned keys, leases and change history of a key-value service, without time or
 * input and output of its own: every step takes the monotonic reading.
 * <p>
 * Invariants: the revision grows by one with each step that changes a key and never
 * otherwise; a refused step changes nothing; a key bound to a lease is gone once the
 * lease has run out. Not safe for use by several threads.
 */
public final class KeyValueState {

	/** The most bytes that a value may have in UTF-8. */
	public static final int VALUE_LIMIT_BYTES = 1_048_576;

	/** The most bytes that the keys and values written by one transaction may have. */
	public static final int TRANSACTION_LIMIT_BYTES = 1_572_864;

	/** The most changes that are kept for watches; older ones are forgotten. */
	public static final int HISTORY_LIMIT = 10_000;

	private static final long FIRST_REVISION = 1;

	private static final long FIRST_LEASE = 1_000;

	private final NavigableMap<String, KeyValueStore.Entry> entries;

	private final Map<Long, Lease> leases;

	private final Deque<Change> history;

	private long revision;

	private long compactedRevision;

	private long nextLease;

	/**
	 * Creates an empty state.
	 */
	public KeyValueState() {
		this.entries = new TreeMap<>();
		this.leases = new HashMap<>();
		this.history = new ArrayDeque<>();
		this.revision = FIRST_REVISION;
		this.nextLease = FIRST_LEASE;
	}

	private KeyValueState(KeyValueState original) {
		this.entries = new TreeMap<>(original.entries);
		this.leases = new HashMap<>(original.leases);
		this.history = new ArrayDeque<>(original.history);
		this.revision = original.revision;
		this.compactedRevision = original.compactedRevision;
		this.nextLease = original.nextLease;
	}

	/**
	 * Copies this state.
	 * @return an independent copy
	 */
	public KeyValueState copy() {
		return new KeyValueState(this);
	}

	/**
	 * Returns the revision of the last change.
	 * @return the revision, 1 for an empty state
	 */
	public long revision() {
		return this.revision;
	}

	/**
	 * Reads one key.
	 * @param key the key
	 * @return the entry, absent if there is none
	 */
	public KeyValueStore.Entry get(String key) {
		return this.entries.getOrDefault(key, KeyValueStore.Entry.absent(key));
	}

	/**
	 * Reads the keys with a prefix.
	 * @param prefix the prefix
	 * @return the entries in the order of their keys
	 */
	public List<KeyValueStore.Entry> list(String prefix) {
		List<KeyValueStore.Entry> listed = new ArrayList<>();
		for (KeyValueStore.Entry entry : this.entries.tailMap(prefix, true).values()) {
			if (!entry.key().startsWith(prefix)) {
				break;
			}
			listed.add(entry);
		}
		return List.copyOf(listed);
	}

	/**
	 * Applies a transaction if its conditions hold.
	 * @param transaction the transaction
	 * @return the outcome
	 * @throws KeyValueFailure if the transaction is invalid: an oversize value, too many
	 * bytes, a lease that does not exist, or a key written twice
	 */
	public KeyValueStore.Outcome transact(KeyValueStore.Transaction transaction) {
		requireBounded(transaction);
		transaction.operations().forEach(this::requireValid);
		requireDistinctKeys(transaction.operations());
		if (!transaction.conditions().stream().allMatch(this::holds)) {
			List<KeyValueStore.Entry> current = transaction.conditions()
				.stream()
				.map((condition) -> get(condition.key()))
				.distinct()
				.toList();
			return new KeyValueStore.Outcome(false, this.revision, current);
		}
		apply(transaction.operations());
		return new KeyValueStore.Outcome(true, this.revision, List.of());
	}

	/**
	 * Creates a lease.
	 * @param timeToLive how long it lives without renewal
	 * @param nanoseconds the monotonic reading
	 * @return the identifier
	 */
	public long grantLease(Duration timeToLive, long nanoseconds) {
		long identifier = this.nextLease++;
		this.leases.put(identifier, new Lease(timeToLive, nanoseconds + timeToLive.toNanos()));
		return identifier;
	}

	/**
	 * Renews a lease.
	 * @param lease the identifier
	 * @param nanoseconds the monotonic reading
	 * @return the remaining time, zero if the lease does not exist
	 */
	public Duration keepAlive(long lease, long nanoseconds) {
		Lease held = this.leases.get(lease);
		if (held == null) {
			return Duration.ZERO;
		}
		this.leases.put(lease, new Lease(held.timeToLive(), nanoseconds + held.timeToLive().toNanos()));
		return held.timeToLive();
	}

	/**
	 * Ends a lease and deletes the keys bound to it. Has no effect if it does not exist.
	 * @param lease the identifier
	 */
	public void revokeLease(long lease) {
		if (this.leases.remove(lease) == null) {
			return;
		}
		List<KeyValueStore.Operation> deletions = new ArrayList<>();
		for (KeyValueStore.Entry entry : this.entries.values()) {
			if (entry.lease() == lease) {
				deletions.add(new KeyValueStore.Operation.Delete(entry.key()));
			}
		}
		apply(deletions);
	}

	/**
	 * Ends the leases that have run out.
	 * @param nanoseconds the monotonic reading
	 */
	public void expireLeases(long nanoseconds) {
		List<Long> ended = new ArrayList<>();
		this.leases.forEach((identifier, lease) -> {
			if (nanoseconds - lease.endsAtNanoseconds() >= 0) {
				ended.add(identifier);
			}
		});
		ended.sort(null);
		ended.forEach(this::revokeLease);
	}

	/**
	 * Skips revisions, as if those up to one had been given out.
	 * @param upTo the revision
	 */
	void skipRevisions(long upTo) {
		this.revision = Math.max(this.revision, upTo);
	}

	/**
	 * Forgets the history up to a revision, so that no watch can start there.
	 * @param upTo the last revision to forget
	 */
	public void compact(long upTo) {
		this.compactedRevision = Math.max(this.compactedRevision, Math.min(upTo, this.revision));
		this.history.removeIf((change) -> change.revision() <= this.compactedRevision);
	}

	/**
	 * Returns the last forgotten revision.
	 * @return the revision, 0 if nothing was forgotten
	 */
	public long compactedRevision() {
		return this.compactedRevision;
	}

	/**
	 * Returns the changes of keys with a prefix since a revision, one for each revision.
	 * @param prefix the prefix
	 * @param fromRevision the first revision to report
	 * @return the changes in order
	 */
	public List<Change> changesSince(String prefix, long fromRevision) {
		List<Change> found = new ArrayList<>();
		Iterator<Change> latestFirst = this.history.descendingIterator();
		while (latestFirst.hasNext()) {
			Change change = latestFirst.next();
			if (change.revision() < fromRevision) {
				break;
			}
			List<KeyValueStore.Entry> matching = change.entries()
				.stream()
				.filter((entry) -> entry.key().startsWith(prefix))
				.toList();
			if (!matching.isEmpty()) {
				found.addFirst(new Change(matching, change.revision()));
			}
		}
		return found;
	}

	private boolean holds(KeyValueStore.Condition condition) {
		KeyValueStore.Entry entry = get(condition.key());
		return switch (condition) {
			case KeyValueStore.Condition.ModifiedAt modified -> entry.modifyRevision() == modified.modifyRevision();
			case KeyValueStore.Condition.CreatedAt created -> entry.createRevision() == created.createRevision();
		};
	}

	private static void requireBounded(KeyValueStore.Transaction transaction) {
		long bytes = transaction.operations().stream().mapToLong(KeyValueState::sizeOf).sum();
		if (bytes > TRANSACTION_LIMIT_BYTES) {
			throw new KeyValueFailure(
					bytes + " bytes in one transaction, the limit is " + TRANSACTION_LIMIT_BYTES + " bytes", false);
		}
	}

	private static long sizeOf(KeyValueStore.Operation operation) {
		long value = (operation instanceof KeyValueStore.Operation.Put put) ? bytesOf(put.value()) : 0;
		return bytesOf(keyOf(operation)) + value;
	}

	private static int bytesOf(String text) {
		return text.getBytes(StandardCharsets.UTF_8).length;
	}

	private void requireValid(KeyValueStore.Operation operation) {
		if (operation instanceof KeyValueStore.Operation.Put put) {
			int size = bytesOf(put.value());
			if (size >= VALUE_LIMIT_BYTES) {
				throw new KeyValueFailure("value of " + put.key() + " has " + size + " bytes, the limit is "
						+ VALUE_LIMIT_BYTES + " bytes", false);
			}
			if (put.lease() != 0 && !this.leases.containsKey(put.lease())) {
				throw new KeyValueFailure("requested lease " + put.lease() + " not found", false);
			}
		}
	}

	private static void requireDistinctKeys(List<KeyValueStore.Operation> operations) {
		Set<String> keys = new HashSet<>();
		for (KeyValueStore.Operation operation : operations) {
			String key = keyOf(operation);
			if (!keys.add(key)) {
				throw new KeyValueFailure("duplicate key " + key + " in one transaction", false);
			}
		}
	}

	private static String keyOf(KeyValueStore.Operation operation) {
		return switch (operation) {
			case KeyValueStore.Operation.Put put -> put.key();
			case KeyValueStore.Operation.Delete delete -> delete.key();
		};
	}

	private void apply(List<KeyValueStore.Operation> operations) {
		long next = this.revision + 1;
		List<KeyValueStore.Entry> changed = new ArrayList<>();
		for (KeyValueStore.Operation operation : operations) {
			switch (operation) {
				case KeyValueStore.Operation.Put put -> changed.add(put(put, next));
				case KeyValueStore.Operation.Delete delete -> {
					if (this.entries.remove(delete.key()) != null) {
						changed.add(new KeyValueStore.Entry(delete.key(), null, 0, next, 0));
					}
				}
			}
		}
		if (!changed.isEmpty()) {
			this.revision = next;
			this.history.add(new Change(List.copyOf(changed), next));
			if (this.history.size() > HISTORY_LIMIT) {
				this.compactedRevision = this.history.removeFirst().revision();
			}
		}
	}

	private KeyValueStore.Entry put(KeyValueStore.Operation.Put put, long next) {
		KeyValueStore.Entry before = this.entries.get(put.key());
		long created = (before != null) ? before.createRevision() : next;
		KeyValueStore.Entry entry = new KeyValueStore.Entry(put.key(), put.value(), created, next, put.lease());
		this.entries.put(put.key(), entry);
		return entry;
	}

	/**
	 * What one revision changed.
	 *
	 * @param entries the changed entries, with a {@code null} value when deleted
	 * @param revision the revision
	 */
	public record Change(List<KeyValueStore.Entry> entries, long revision) {
	}

	private record Lease(Duration timeToLive, long endsAtNanoseconds) {
	}

}

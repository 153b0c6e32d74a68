package org.masticshelf.control.placement;

import java.util.List;
import java.util.concurrent.CompletableFuture;

import org.jspecify.annotations.Nullable;

import org.masticshelf.control.duty.Duty;
import org.masticshelf.kernel.placement.EndpointRecord;
import org.masticshelf.kernel.port.KeyValueStore;

/**
 * Reads and writes the record of one endpoint under the duty.
 * <p>
 * Invariants: a write takes effect only upon the record that this holder knew and while
 * the duty's key is the one of its tenure. After a write whose outcome is unknown nothing
 * is decided until the record was written again as it was, which keeps the former write
 * from taking effect later, or was found changed and read. Until then both possible
 * records count. Guarded by the lock of the store's keeper.
 */
final class EndpointRecordAccess {

	/** The prefix of the keys of all endpoint records. */
	static final String PREFIX = "masticshelf/endpoint/";

	private static final long RETRY_MILLISECONDS = 200;

	private final KeyValueStore keyValue;

	private final Duty.Tenure tenure;

	private final Object lock;

	private final String key;

	private EndpointRecord record;

	private EndpointRecord possible;

	private long modifyRevision;

	private boolean unresolved;

	private boolean known;

	private boolean busy;

	private long nextAttemptAt = Long.MIN_VALUE;

	private int writes;

	EndpointRecordAccess(KeyValueStore keyValue, Duty.Tenure tenure, Object lock, String endpoint) {
		this.keyValue = keyValue;
		this.tenure = tenure;
		this.lock = lock;
		this.key = PREFIX + endpoint;
		this.record = EndpointRecord.empty(endpoint);
		this.possible = this.record;
	}

	/**
	 * Returns the record as last known.
	 * @return the record
	 */
	EndpointRecord record() {
		return this.record;
	}

	/**
	 * Returns everything that may be recorded, a write on its way included.
	 * @return the record with all entries that it may hold
	 */
	EndpointRecord possible() {
		return this.possible;
	}

	/**
	 * Returns whether the record is known and no write is on its way.
	 * @return whether decisions may be based upon it
	 */
	boolean isSteady() {
		return this.known && !this.busy && !this.unresolved;
	}

	/**
	 * Returns how many writes were begun.
	 * @return the count
	 */
	int writes() {
		return this.writes;
	}

	/**
	 * Takes an entry that was read.
	 * @param entry the entry, absent if there is no record
	 */
	void adopt(KeyValueStore.Entry entry) {
		String endpoint = this.record.endpoint();
		String value = entry.value();
		this.record = (value != null) ? EndpointRecord.of(endpoint, value) : EndpointRecord.empty(endpoint);
		this.possible = this.record;
		this.modifyRevision = entry.modifyRevision();
		this.unresolved = false;
		this.known = true;
	}

	/**
	 * Finds out what is recorded, unless that is known or a call is on its way.
	 * @param now the time in milliseconds
	 */
	void ensureKnown(long now) {
		if (this.busy || now < this.nextAttemptAt) {
			return;
		}
		if (!this.known) {
			read(now);
		}
		else if (this.unresolved) {
			put(this.record, now);
		}
	}

	private void read(long now) {
		this.busy = true;
		this.keyValue.get(this.key).whenComplete((entry, failure) -> {
			synchronized (this.lock) {
				this.busy = false;
				this.nextAttemptAt = now + RETRY_MILLISECONDS;
				if (failure == null) {
					adopt(entry);
				}
			}
		});
	}

	/**
	 * Writes the record.
	 * @param next the record
	 * @param now the time in milliseconds
	 */
	void write(EndpointRecord next, long now) {
		EndpointRecord union = this.record;
		for (EndpointRecord.Entry entry : next.entries()) {
			union = union.with(entry);
		}
		this.possible = union;
		put(next, now);
	}

	private void put(EndpointRecord next, long now) {
		this.busy = true;
		this.writes++;
		KeyValueStore.Operation operation = new KeyValueStore.Operation.Put(this.key, next.toJson(), 0);
		CompletableFuture<KeyValueStore.Outcome> outcome = this.keyValue
			.transact(new KeyValueStore.Transaction(conditions(), List.of(operation)));
		outcome.whenComplete((answer, failure) -> {
			synchronized (this.lock) {
				this.busy = false;
				written(next, answer, now);
			}
		});
	}

	private void written(EndpointRecord next, KeyValueStore.@Nullable Outcome answer, long now) {
		if (answer == null) {
			this.unresolved = true;
			this.nextAttemptAt = now + RETRY_MILLISECONDS;
		}
		else if (answer.applied()) {
			this.record = next;
			this.possible = next;
			this.unresolved = false;
			this.modifyRevision = answer.revision();
		}
		else {
			this.known = false;
		}
	}

	private List<KeyValueStore.Condition> conditions() {
		return List.of(new KeyValueStore.Condition.ModifiedAt(this.key, this.modifyRevision),
				new KeyValueStore.Condition.CreatedAt(this.tenure.key(), this.tenure.fencing()));
	}

}

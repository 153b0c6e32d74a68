package org.masticshelf.control.placement;

import java.util.List;
import java.util.concurrent.CompletableFuture;

import org.jspecify.annotations.Nullable;

import org.masticshelf.control.duty.Duty;
import org.masticshelf.kernel.placement.EndpointRecord;
import org.masticshelf.kernel.port.KeyValueStore;

/**
 * Reads and writes the record of one endpoint during a tenure.
 * <p>
 * Invariants: a write takes effect only if the record is still the one that this holder
 * knows and the duty's key is still that of its tenure. After a write with unknown
 * outcome no decision is made until either the previous record was written again, which
 * keeps the first write from taking effect later, or the record was found changed and was
 * read. Until then both possible records count. Guarded by the lock of the store's
 * controller.
 */
final class EndpointRecordAccess {

	/** The prefix of the keys of all endpoint records. */
	static final String PREFIX = "masticshelf/endpoint/";

	private static final long RETRY_DELAY_MILLISECONDS = 200;

	private final KeyValueStore keyValue;

	private final Duty.Tenure tenure;

	private final Object lock;

	private final String key;

	private EndpointRecord record;

	private EndpointRecord possibleRecord;

	private long modifyRevision;

	private boolean outcomeUnknown;

	private boolean recordKnown;

	private boolean callInFlight;

	private long nextAttemptAt = Long.MIN_VALUE;

	private int writeCount;

	EndpointRecordAccess(KeyValueStore keyValue, Duty.Tenure tenure, Object lock, String endpoint) {
		this.keyValue = keyValue;
		this.tenure = tenure;
		this.lock = lock;
		this.key = PREFIX + endpoint;
		this.record = EndpointRecord.empty(endpoint);
		this.possibleRecord = this.record;
	}

	/**
	 * Returns the last known record.
	 * @return the record
	 */
	EndpointRecord record() {
		return this.record;
	}

	/**
	 * Returns every entry that may be recorded, including those of a write in flight.
	 * @return a record with all possible entries
	 */
	EndpointRecord possibleRecord() {
		return this.possibleRecord;
	}

	/**
	 * Returns whether the record is known, no call is in flight and no write has an
	 * unknown outcome.
	 * @return whether decisions may be based on it
	 */
	boolean isStable() {
		return this.recordKnown && !this.callInFlight && !this.outcomeUnknown;
	}

	/**
	 * Returns how many writes were sent.
	 * @return the count
	 */
	int writeCount() {
		return this.writeCount;
	}

	/**
	 * Replaces the known record with an entry that was read from the key-value service.
	 * @param entry the entry, absent if there is no record
	 */
	void readFrom(KeyValueStore.Entry entry) {
		String endpoint = this.record.endpoint();
		String value = entry.value();
		this.record = (value != null) ? EndpointRecord.of(endpoint, value) : EndpointRecord.empty(endpoint);
		this.possibleRecord = this.record;
		this.modifyRevision = entry.modifyRevision();
		this.outcomeUnknown = false;
		this.recordKnown = true;
	}

	/**
	 * Starts to find out what is recorded, unless that is known or a call is in flight.
	 * @param now the time in milliseconds
	 */
	void resolve(long now) {
		if (this.callInFlight || now < this.nextAttemptAt) {
			return;
		}
		if (!this.recordKnown) {
			read(now);
		}
		else if (this.outcomeUnknown) {
			put(this.record, now);
		}
	}

	private void read(long now) {
		this.callInFlight = true;
		this.keyValue.get(this.key).whenComplete((entry, failure) -> {
			synchronized (this.lock) {
				this.callInFlight = false;
				this.nextAttemptAt = now + RETRY_DELAY_MILLISECONDS;
				if (failure == null) {
					readFrom(entry);
				}
			}
		});
	}

	/**
	 * Writes the record.
	 * @param next the new record
	 * @param now the time in milliseconds
	 */
	void write(EndpointRecord next, long now) {
		EndpointRecord union = this.record;
		for (EndpointRecord.Entry entry : next.entries()) {
			union = union.with(entry);
		}
		this.possibleRecord = union;
		put(next, now);
	}

	private void put(EndpointRecord next, long now) {
		this.callInFlight = true;
		this.writeCount++;
		KeyValueStore.Operation operation = new KeyValueStore.Operation.Put(this.key, next.toJson(), 0);
		CompletableFuture<KeyValueStore.Outcome> outcome = this.keyValue
			.transact(new KeyValueStore.Transaction(conditions(), List.of(operation)));
		outcome.whenComplete((answer, failure) -> {
			synchronized (this.lock) {
				this.callInFlight = false;
				writeCompleted(next, answer, now);
			}
		});
	}

	private void writeCompleted(EndpointRecord next, KeyValueStore.@Nullable Outcome answer, long now) {
		if (answer == null) {
			this.outcomeUnknown = true;
			this.nextAttemptAt = now + RETRY_DELAY_MILLISECONDS;
		}
		else if (answer.applied()) {
			this.record = next;
			this.possibleRecord = next;
			this.outcomeUnknown = false;
			this.modifyRevision = answer.revision();
		}
		else {
			this.recordKnown = false;
		}
	}

	private List<KeyValueStore.Condition> conditions() {
		return List.of(new KeyValueStore.Condition.ModifiedAt(this.key, this.modifyRevision),
				new KeyValueStore.Condition.CreatedAt(this.tenure.key(), this.tenure.fencing()));
	}

}

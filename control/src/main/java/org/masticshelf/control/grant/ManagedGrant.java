package org.masticshelf.control.grant;

import java.util.List;
import java.util.concurrent.CompletableFuture;

import org.jspecify.annotations.Nullable;

import org.masticshelf.control.duty.Duty;
import org.masticshelf.kernel.configuration.QualifiedName;
import org.masticshelf.kernel.grant.Allotment;
import org.masticshelf.kernel.grant.GrantAnswer;
import org.masticshelf.kernel.grant.GrantLimits;
import org.masticshelf.kernel.grant.GrantParameters;
import org.masticshelf.kernel.grant.GrantRequest;
import org.masticshelf.kernel.grant.KeeperLedger;
import org.masticshelf.kernel.port.KeyValueStore;

/**
 * Manages one organisation's grant during one tenure: its ledger and its stored
 * allotments.
 * <p>
 * Invariant: the ledger is created only from allotments that were read during the tenure,
 * and an allotment is announced to its holder only after it was written under the tenure.
 * At most one read or write is in progress. Thread-safe; the ledger is guarded by this
 * object's lock.
 */
final class ManagedGrant {

	private static final long UNKNOWN_REVISION = -1;

	private final KeyValueStore keyValue;

	private final QualifiedName organisation;

	private final Duty.Tenure tenure;

	private final long gainedAt;

	private @Nullable KeeperLedger ledger;

	private @Nullable CompletableFuture<Void> pendingRead;

	private long modifyRevision = UNKNOWN_REVISION;

	private boolean writing;

	ManagedGrant(KeyValueStore keyValue, QualifiedName organisation, Duty.Tenure tenure, long gainedAt) {
		this.keyValue = keyValue;
		this.organisation = organisation;
		this.tenure = tenure;
		this.gainedAt = gainedAt;
	}

	Duty.Tenure tenure() {
		return this.tenure;
	}

	/**
	 * Creates the ledger from the stored allotments unless it exists.
	 * @param limits the rate and burst of the organisation
	 * @return a future that completes when the ledger exists and fails if the allotments
	 * could not be read
	 */
	synchronized CompletableFuture<Void> load(GrantLimits limits) {
		if (this.ledger != null) {
			return CompletableFuture.completedFuture(null);
		}
		if (this.pendingRead != null && !this.pendingRead.isCompletedExceptionally()) {
			return this.pendingRead;
		}
		CompletableFuture<Void> read = this.keyValue.get(GrantMessages.allotmentsKeyOf(this.organisation))
			.thenAccept((entry) -> createLedger(entry, limits));
		this.pendingRead = read;
		return read;
	}

	private synchronized void createLedger(KeyValueStore.Entry entry, GrantLimits limits) {
		String value = entry.value();
		List<Allotment> written = (value != null) ? GrantMessages.readAllotments(value) : List.of();
		this.modifyRevision = entry.modifyRevision();
		this.ledger = new KeeperLedger(limits, this.tenure.fencing(), written,
				GrantParameters.RESERVE_PARTS_PER_MILLION, this.gainedAt);
	}

	/**
	 * Answers a request.
	 * @param sender the daemon
	 * @param request the request
	 * @param limits the rate and burst of the organisation
	 * @param slots the number of daemons that share the reserve
	 * @param now the time in nanoseconds, read before the tenure was checked
	 * @return the answer, or {@code null} if the request must not be answered
	 */
	synchronized @Nullable GrantAnswer answer(GrantRequest.Sender sender, GrantRequest request, GrantLimits limits,
			int slots, long now) {
		KeeperLedger current = this.ledger;
		if (current == null) {
			return null;
		}
		current.changeLimits(limits, now);
		return current.answer(sender, request, slots, now);
	}

	/** Starts writing changed allotments unless a write is in progress. */
	void writeAllotments() {
		List<Allotment> toWrite = beginWrite();
		if (toWrite == null) {
			return;
		}
		attemptWrite(toWrite).whenComplete((written, failure) -> endWrite(toWrite, failure == null && written));
	}

	private synchronized @Nullable List<Allotment> beginWrite() {
		KeeperLedger current = this.ledger;
		List<Allotment> toWrite = (this.writing || current == null) ? null : current.pollAllotmentsToWrite();
		this.writing = this.writing || toWrite != null;
		return toWrite;
	}

	private CompletableFuture<Boolean> attemptWrite(List<Allotment> toWrite) {
		long revision = revision();
		if (revision != UNKNOWN_REVISION) {
			return transact(toWrite, revision);
		}
		return this.keyValue.get(GrantMessages.allotmentsKeyOf(this.organisation))
			.thenCompose((entry) -> transact(toWrite, entry.modifyRevision()));
	}

	private CompletableFuture<Boolean> transact(List<Allotment> toWrite, long revision) {
		String key = GrantMessages.allotmentsKeyOf(this.organisation);
		KeyValueStore.Transaction transaction = new KeyValueStore.Transaction(
				List.of(new KeyValueStore.Condition.ModifiedAt(key, revision),
						new KeyValueStore.Condition.CreatedAt(this.tenure.key(), this.tenure.fencing())),
				List.of(new KeyValueStore.Operation.Put(key, GrantMessages.writeAllotments(toWrite), 0)));
		clearRevision();
		return this.keyValue.transact(transaction).thenApply((outcome) -> {
			if (outcome.applied()) {
				setRevision(outcome.revision());
			}
			return outcome.applied();
		});
	}

	private synchronized void endWrite(List<Allotment> toWrite, boolean applied) {
		this.writing = false;
		KeeperLedger current = this.ledger;
		if (current == null) {
			return;
		}
		if (applied) {
			current.confirmWritten(toWrite);
		}
		else {
			current.retryWrite();
		}
	}

	private synchronized long revision() {
		return this.modifyRevision;
	}

	private synchronized void clearRevision() {
		this.modifyRevision = UNKNOWN_REVISION;
	}

	private synchronized void setRevision(long revision) {
		this.modifyRevision = revision;
	}

}

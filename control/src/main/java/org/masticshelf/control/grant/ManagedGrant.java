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
 * One organisation's grant during one tenure: its ledger and its written allotments.
 * <p>
 * Invariant: the ledger is made only from allotments that were read during the tenure,
 * and an allotment is told to its holder only after it was written under the tenure. At
 * most one read or write is under way. Safe for use by several threads; the ledger is
 * guarded by this object's lock.
 */
final class ManagedGrant {

	private static final long UNKNOWN_REVISION = -1;

	private final KeyValueStore keyValue;

	private final QualifiedName organisation;

	private final Duty.Tenure tenure;

	private final long gainedAt;

	private @Nullable KeeperLedger ledger;

	private @Nullable CompletableFuture<Void> loading;

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
	 * Makes the ledger from the written allotments if that has not been done.
	 * @param limits the rate and burst of the organisation
	 * @return completed when the ledger is there; it fails if the allotments could not be
	 * read
	 */
	synchronized CompletableFuture<Void> load(GrantLimits limits) {
		if (this.ledger != null) {
			return CompletableFuture.completedFuture(null);
		}
		if (this.loading != null && !this.loading.isCompletedExceptionally()) {
			return this.loading;
		}
		CompletableFuture<Void> read = this.keyValue.get(GrantMessages.allotmentsKeyOf(this.organisation))
			.thenAccept((entry) -> loaded(entry, limits));
		this.loading = read;
		return read;
	}

	private synchronized void loaded(KeyValueStore.Entry entry, GrantLimits limits) {
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
	 * @param slots over how many daemons the reserve is divided
	 * @param now the time in nanoseconds, read before the tenure was checked
	 * @return the answer, or {@code null} if there must be none
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

	/** Begins to write changed allotments unless a write is under way. */
	void writeAllotments() {
		List<Allotment> toWrite = toWrite();
		if (toWrite == null) {
			return;
		}
		attempt(toWrite).whenComplete((written, failure) -> written(toWrite, failure == null && written));
	}

	private synchronized @Nullable List<Allotment> toWrite() {
		KeeperLedger current = this.ledger;
		List<Allotment> toWrite = (this.writing || current == null) ? null : current.pollAllotmentsToWrite();
		this.writing = this.writing || toWrite != null;
		return toWrite;
	}

	private CompletableFuture<Boolean> attempt(List<Allotment> toWrite) {
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
		forgetRevision();
		return this.keyValue.transact(transaction).thenApply((outcome) -> {
			if (outcome.applied()) {
				noteRevision(outcome.revision());
			}
			return outcome.applied();
		});
	}

	private synchronized void written(List<Allotment> toWrite, boolean applied) {
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

	private synchronized void forgetRevision() {
		this.modifyRevision = UNKNOWN_REVISION;
	}

	private synchronized void noteRevision(long revision) {
		this.modifyRevision = revision;
	}

}

package org.masticshelf.control.claim;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;

import org.jspecify.annotations.Nullable;

import org.masticshelf.kernel.refusal.Refusal;

/**
 * The right to dispatch one non-idempotent request once.
 * <p>
 * Invariant: a claim is settled at most once; later settlements have no effect. Safe for
 * use by several threads.
 */
public final class Claim {

	private final ClaimRegistry registry;

	private final String storeKey;

	private final ClaimRecord claimed;

	private final long modifyRevision;

	private final long lease;

	private final AtomicBoolean settled = new AtomicBoolean();

	private final CompletableFuture<ClaimResult> result = new CompletableFuture<>();

	Claim(ClaimRegistry registry, String storeKey, ClaimRecord claimed, long modifyRevision, long lease) {
		this.registry = registry;
		this.storeKey = storeKey;
		this.claimed = claimed;
		this.modifyRevision = modifyRevision;
		this.lease = lease;
	}

	/**
	 * Records the answer. It need not be awaited before the caller is answered.
	 * @param outcome the answer
	 * @return completes with whether the service has the record, at the latest when the
	 * registry gives up writing it
	 */
	public CompletableFuture<Boolean> complete(RecordedOutcome outcome) {
		if (!outcome.isKept()) {
			return settle(ClaimRecord.State.NOT_KEPT, new ClaimResult.Refused(ClaimRegistry.notKept()), outcome);
		}
		return settle(ClaimRecord.State.DONE, new ClaimResult.Repeated(outcome), outcome);
	}

	/**
	 * Records that the request may have run but that its outcome is unknown.
	 * @return completes with whether the service has the record
	 */
	public CompletableFuture<Boolean> completeUnknown() {
		return settle(ClaimRecord.State.UNKNOWN, new ClaimResult.Refused(ClaimRegistry.outcomeUnknown()), null);
	}

	/**
	 * Releases the claim because the request provably did not run, so that the caller may
	 * retry.
	 * @return completes with whether the service has deleted the claim
	 */
	public CompletableFuture<Boolean> release() {
		if (!this.settled.compareAndSet(false, true)) {
			return CompletableFuture.completedFuture(false);
		}
		CompletableFuture<Boolean> released = this.registry.delete(this);
		this.result.complete(new ClaimResult.Refused(Refusal.notRun(Refusal.Reason.CLAIM_UNAVAILABLE, 100)));
		return released;
	}

	private CompletableFuture<Boolean> settle(ClaimRecord.State state, ClaimResult resultForDuplicates,
			@Nullable RecordedOutcome outcome) {
		if (!this.settled.compareAndSet(false, true)) {
			return CompletableFuture.completedFuture(false);
		}
		this.result.complete(resultForDuplicates);
		RecordedOutcome recordedOutcome = (state == ClaimRecord.State.DONE) ? outcome : null;
		return this.registry.record(this, this.claimed.withState(state, recordedOutcome));
	}

	/**
	 * Returns the key of the claim.
	 * @return the key in the key-value service
	 */
	public String storeKey() {
		return this.storeKey;
	}

	ClaimRecord claimed() {
		return this.claimed;
	}

	long modifyRevision() {
		return this.modifyRevision;
	}

	long lease() {
		return this.lease;
	}

	/**
	 * Returns the result for requests with the same key that wait at this daemon.
	 * @return completes when the claim is settled
	 */
	CompletableFuture<ClaimResult> result() {
		return this.result;
	}

}

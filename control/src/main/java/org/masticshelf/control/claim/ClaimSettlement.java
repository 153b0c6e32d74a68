package org.masticshelf.control.claim;

import java.util.concurrent.CompletableFuture;

import org.jspecify.annotations.Nullable;

import org.masticshelf.kernel.port.KeyValueFailure;
import org.masticshelf.kernel.port.KeyValueStore;

/**
 * Writes the outcome of claims, retrying for a bounded time while the key-value service
 * gives no answer.
 * <p>
 * Invariant: only the entry of the settled attempt is changed, because each write
 * compares its modification revision. Stateless and therefore safe for use by several
 * threads.
 */
final class ClaimSettlement {

	/** How long the write of a claim's outcome is retried. */
	static final long MAXIMUM_WRITE_NANOSECONDS = 600_000_000_000L;

	private static final int READS_FOR_ABANDONED_CLAIM = 3;

	private final ClaimContext context;

	ClaimSettlement(ClaimContext context) {
		this.context = context;
	}

	/**
	 * Records the outcome of a claim.
	 * @param claim the claim
	 * @param ended the record to write
	 * @return completes with whether the service has the record
	 */
	CompletableFuture<Boolean> record(Claim claim, ClaimRecord ended) {
		CompletableFuture<Boolean> recorded = new CompletableFuture<>();
		attemptRecord(claim, ended, recorded, writeDeadline(), 1);
		return recorded;
	}

	private long writeDeadline() {
		return this.context.clock().nanoseconds() + MAXIMUM_WRITE_NANOSECONDS;
	}

	private void attemptRecord(Claim claim, ClaimRecord ended, CompletableFuture<Boolean> recorded, long end,
			int tries) {
		KeyValueStore.Condition unchanged = new KeyValueStore.Condition.ModifiedAt(claim.storeKey(),
				claim.modifyRevision());
		this.context.lease()
			.current()
			.thenCompose((lease) -> this.context.commit()
				.write(unchanged, new KeyValueStore.Operation.Put(claim.storeKey(), ended.toJson(), lease))
				.whenComplete((written, failure) -> forgetLease(lease, failure)))
			.whenComplete((written, failure) -> {
				if (written != null) {
					recorded.complete(written.applied() || isRecorded(written.current(), ended));
				}
				else if (this.context.hasPassed(end)) {
					recorded.complete(false);
				}
				else {
					this.context.runWithBackoff(tries, () -> attemptRecord(claim, ended, recorded, end, tries + 1));
				}
			});
	}

	// A write that certainly had no effect may have named a lease that no longer exists.
	private void forgetLease(long lease, @Nullable Throwable failure) {
		if (failure != null && GroupCommit.unwrapFailure(failure) instanceof KeyValueFailure known
				&& !known.maybeApplied()) {
			this.context.lease().forget(lease);
		}
	}

	private static boolean isRecorded(KeyValueStore.@Nullable Entry entry, ClaimRecord ended) {
		ClaimRecord current = recordOf(entry);
		return current != null && current.attempt().equals(ended.attempt()) && current.state() == ended.state();
	}

	static @Nullable ClaimRecord recordOf(KeyValueStore.@Nullable Entry entry) {
		return (entry != null && entry.value() != null) ? ClaimRecord.parse(entry.value()) : null;
	}

	/**
	 * Deletes a claim whose request did not run.
	 * @param claim the claim
	 * @return completes with whether the service has deleted it
	 */
	CompletableFuture<Boolean> delete(Claim claim) {
		CompletableFuture<Boolean> deleted = new CompletableFuture<>();
		attemptDelete(claim.storeKey(), claim.modifyRevision(), deleted, writeDeadline(), 1);
		return deleted;
	}

	private void attemptDelete(String key, long modifyRevision, CompletableFuture<Boolean> deleted, long end,
			int tries) {
		this.context.commit()
			.write(new KeyValueStore.Condition.ModifiedAt(key, modifyRevision), new KeyValueStore.Operation.Delete(key))
			.whenComplete((written, failure) -> {
				if (written != null) {
					deleted.complete(written.applied() || isAbsent(written.current()));
				}
				else if (this.context.hasPassed(end)) {
					deleted.complete(false);
				}
				else {
					this.context.runWithBackoff(tries,
							() -> attemptDelete(key, modifyRevision, deleted, end, tries + 1));
				}
			});
	}

	private static boolean isAbsent(KeyValueStore.@Nullable Entry entry) {
		return entry == null || entry.value() == null;
	}

	/**
	 * Deletes the claim of an attempt that was abandoned while its write was in doubt.
	 * Its request was never dispatched.
	 * @param key the key of the claim
	 * @param attempt the identifier of the attempt
	 */
	void deleteAbandoned(String key, String attempt) {
		findAbandoned(key, attempt, writeDeadline(), 1, READS_FOR_ABANDONED_CLAIM);
	}

	private void findAbandoned(String key, String attempt, long end, int tries, int readsLeft) {
		this.context.store().get(key).whenComplete((entry, failure) -> {
			ClaimRecord current = recordOf(entry);
			if (current != null && current.attempt().equals(attempt)) {
				attemptDelete(key, entry.modifyRevision(), new CompletableFuture<>(), end, 1);
				return;
			}
			boolean resolved = failure == null && (!isAbsent(entry) || readsLeft <= 1);
			if (!resolved && !this.context.hasPassed(end)) {
				int left = (failure != null) ? readsLeft : readsLeft - 1;
				this.context.runWithBackoff(tries, () -> findAbandoned(key, attempt, end, tries + 1, left));
			}
		});
	}

}

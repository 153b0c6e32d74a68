package org.masticshelf.control.claim;

import java.util.concurrent.CompletableFuture;

import org.jspecify.annotations.Nullable;

import org.masticshelf.kernel.port.KeyValueFailure;
import org.masticshelf.kernel.port.KeyValueStore;

/**
 * Writes the end of claims, trying again for a bounded time while the key-value service
 * gives no answer.
 * <p>
 * Invariant: only the entry of the settled attempt is changed, because each write
 * compares its modification revision. Safe for use by several threads; holds no state.
 */
final class ClaimSettlement {

	/** How long the end of a claim is tried to be written. */
	static final long WRITE_LIFE_NANOSECONDS = 600_000_000_000L;

	private static final int LOOKS_FOR_ABANDONED = 3;

	private final ClaimContext context;

	ClaimSettlement(ClaimContext context) {
		this.context = context;
	}

	/**
	 * Records the end of a claim.
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
		return this.context.clock().nanoseconds() + WRITE_LIFE_NANOSECONDS;
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

	// A write that certainly had no effect may have named a lease that is gone.
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
	 * @return completes with whether the service has dropped it
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
	 * Deletes the claim of an attempt that was given up while its write was in doubt. Its
	 * request was never dispatched.
	 * @param key the key of the claim
	 * @param attempt the identifier of the attempt
	 */
	void deleteAbandoned(String key, String attempt) {
		findAbandoned(key, attempt, writeDeadline(), 1, LOOKS_FOR_ABANDONED);
	}

	private void findAbandoned(String key, String attempt, long end, int tries, int looksLeft) {
		this.context.store().get(key).whenComplete((entry, failure) -> {
			ClaimRecord current = recordOf(entry);
			if (current != null && current.attempt().equals(attempt)) {
				attemptDelete(key, entry.modifyRevision(), new CompletableFuture<>(), end, 1);
				return;
			}
			boolean settled = failure == null && (!isAbsent(entry) || looksLeft <= 1);
			if (!settled && !this.context.hasPassed(end)) {
				int left = (failure != null) ? looksLeft : looksLeft - 1;
				this.context.runWithBackoff(tries, () -> findAbandoned(key, attempt, end, tries + 1, left));
			}
		});
	}

}

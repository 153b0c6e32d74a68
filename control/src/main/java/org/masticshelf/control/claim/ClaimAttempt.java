package org.masticshelf.control.claim;

import java.util.concurrent.CompletableFuture;

import org.jspecify.annotations.Nullable;

import org.masticshelf.kernel.port.KeyValueFailure;
import org.masticshelf.kernel.port.KeyValueStore;
import org.masticshelf.kernel.refusal.Refusal;

/**
 * An attempt to claim a request: creates the claim if there is none, recognises its own
 * claim after a lost answer, and otherwise waits for the outcome of the existing claim
 * within the deadline.
 * <p>
 * Invariant: the result is {@link ClaimResult.Granted} only if the service holds the
 * claim with this attempt's identifier, and at most once. Safe for use by several
 * threads: the steps run one after another, and the result is completed once.
 */
final class ClaimAttempt {

	/**
	 * How long a write that may have taken effect is retried before the request is
	 * refused.
	 */
	static final long MAXIMUM_DOUBT_NANOSECONDS = 3_000_000_000L;

	private final ClaimContext context;

	private final ClaimRegistry registry;

	private final ClaimRequest request;

	private final String key;

	private final ClaimRecord ownRecord;

	private final CompletableFuture<ClaimResult> result = new CompletableFuture<>();

	private volatile boolean doubtful;

	private volatile long doubtEndsAt;

	private volatile boolean waitingForOther;

	ClaimAttempt(ClaimContext context, ClaimRegistry registry, ClaimRequest request, String attempt) {
		this.context = context;
		this.registry = registry;
		this.request = request;
		this.key = request.toStoreKey();
		this.ownRecord = new ClaimRecord(attempt, context.incarnation(), request.fingerprint(),
				ClaimRecord.State.RUNNING, null);
	}

	void start() {
		this.context.executor()
			.schedule(this.request.deadline() - this.context.clock().nanoseconds(), this::handleDeadline);
		create(0, 1);
	}

	private void handleDeadline() {
		refuse(this.waitingForOther ? ClaimRegistry.outcomeUnknown() : ClaimRegistry.unavailable());
	}

	private void create(long replacedRevision, int tries) {
		if (this.result.isDone()) {
			return;
		}
		this.context.lease().current().whenComplete((lease, failure) -> {
			if (failure != null) {
				handleFailure(failure, replacedRevision, tries);
			}
			else {
				put(lease, replacedRevision, tries);
			}
		});
	}

	private void put(long lease, long replacedRevision, int tries) {
		KeyValueStore.Condition expected = new KeyValueStore.Condition.ModifiedAt(this.key, replacedRevision);
		this.context.commit()
			.write(expected, new KeyValueStore.Operation.Put(this.key, this.ownRecord.toJson(), lease))
			.whenComplete((written, failure) -> {
				if (failure != null) {
					this.context.lease().forget(lease);
					handleFailure(failure, replacedRevision, tries);
				}
				else if (written.applied()) {
					grant(written.revision(), lease);
				}
				else {
					handleExistingClaim(written.current(), lease, tries);
				}
			});
	}

	private void grant(long modifyRevision, long lease) {
		Claim claim = new Claim(this.registry, this.key, this.ownRecord, modifyRevision, lease);
		if (!this.result.complete(new ClaimResult.Granted(claim))) {
			this.registry.abandon(this.key, this.ownRecord.attempt());
		}
	}

	private void handleFailure(Throwable failure, long replacedRevision, int tries) {
		boolean maybeApplied = !(GroupCommit.unwrapFailure(failure) instanceof KeyValueFailure known)
				|| known.maybeApplied();
		if (maybeApplied && !this.doubtful) {
			this.doubtEndsAt = this.context.clock().nanoseconds() + MAXIMUM_DOUBT_NANOSECONDS;
			this.doubtful = true;
		}
		boolean mayRetry = this.doubtful ? !this.context.hasPassed(this.doubtEndsAt) : tries <= 1;
		if (mayRetry) {
			this.context.runWithBackoff(tries, () -> create(replacedRevision, tries + 1));
		}
		else {
			refuse(ClaimRegistry.unavailable());
		}
	}

	private void handleExistingClaim(KeyValueStore.@Nullable Entry entry, long lease, int tries) {
		if (entry == null || entry.value() == null) {
			create(0, tries + 1);
			return;
		}
		ClaimRecord current = ClaimRecord.parse(entry.value());
		if (current == null) {
			refuse(ClaimRegistry.outcomeUnknown());
		}
		else if (current.attempt().equals(this.ownRecord.attempt())) {
			grant(entry.modifyRevision(), lease);
		}
		else if (this.registry.isAbandoned(current.attempt())) {
			create(entry.modifyRevision(), tries + 1);
		}
		else if (!current.fingerprint().equals(this.ownRecord.fingerprint())) {
			refuse(ClaimRegistry.keyReused());
		}
		else {
			handleOtherClaim(current, tries);
		}
	}

	private void handleOtherClaim(ClaimRecord other, int tries) {
		switch (other.state()) {
			case DONE -> repeatOutcome(other.outcome());
			case NOT_KEPT -> refuse(ClaimRegistry.notKept());
			case UNKNOWN -> refuse(ClaimRegistry.outcomeUnknown());
			case RUNNING -> {
				if (mayStillSettle(other)) {
					this.waitingForOther = true;
					this.context.runWithBackoff(tries, () -> readClaim(tries + 1));
				}
				else {
					refuse(ClaimRegistry.outcomeUnknown());
				}
			}
		}
	}

	// A claim of this daemon that is no longer open will not be settled.
	private boolean mayStillSettle(ClaimRecord other) {
		return !other.incarnation().equals(this.context.incarnation())
				&& this.context.isRunning().test(other.incarnation());
	}

	private void readClaim(int tries) {
		if (this.result.isDone()) {
			return;
		}
		this.context.store().get(this.key).whenComplete((entry, failure) -> {
			if (failure != null) {
				this.context.runWithBackoff(tries, () -> readClaim(tries + 1));
			}
			else {
				handleExistingClaim(entry, 0, tries);
			}
		});
	}

	private void repeatOutcome(@Nullable RecordedOutcome outcome) {
		if (outcome != null) {
			this.result.complete(new ClaimResult.Repeated(outcome));
		}
		else {
			refuse(ClaimRegistry.outcomeUnknown());
		}
	}

	// A write in doubt may have created the claim or may still create it. Nothing was
	// dispatched under that claim, so it is deleted.
	private void refuse(Refusal refusal) {
		if (this.result.complete(new ClaimResult.Refused(refusal)) && this.doubtful) {
			this.registry.abandon(this.key, this.ownRecord.attempt());
		}
	}

	CompletableFuture<ClaimResult> result() {
		return this.result;
	}

	ClaimRequest request() {
		return this.request;
	}

	String key() {
		return this.key;
	}

}

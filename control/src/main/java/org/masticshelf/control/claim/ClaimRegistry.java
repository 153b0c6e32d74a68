package org.masticshelf.control.claim;

import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Predicate;

import org.masticshelf.kernel.port.KeyValueStore;
import org.masticshelf.kernel.refusal.Refusal;
import org.masticshelf.kernel.time.MonotonicClock;

/**
 * Claims non-idempotent requests in the key-value service before they are dispatched.
 * <p>
 * Invariants: of all requests of one organisation with the same route and idempotency
 * key, at all daemons together, at most one is granted until its claim is released as
 * provably not run; a claim whose outcome was never recorded is never granted again. A
 * claim lives 24 hours. Safe for use by several threads; the state is guarded by one lock
 * that is not held while the service is called.
 */
public final class ClaimRegistry {

	/**
	 * The maximum number of claims of one daemon that are not yet settled and recorded.
	 */
	public static final int MAXIMUM_OPEN_CLAIMS = 2_000;

	private static final int MAXIMUM_ABANDONED_ATTEMPTS = 4_000;

	private static final long RETRY_AFTER_MILLISECONDS = 2_000;

	private final ClaimContext context;

	private final ClaimSettlement settlement;

	private final Object lock = new Object();

	private final Map<String, ClaimAttempt> open = new HashMap<>();

	private final Set<String> abandoned = Collections.newSetFromMap(new LinkedHashMap<>() {

		private static final long serialVersionUID = 1L;

		@Override
		protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
			return size() > MAXIMUM_ABANDONED_ATTEMPTS;
		}

	});

	private long attempts;

	/**
	 * Creates a registry.
	 * @param store the key-value service
	 * @param clock the clock of deadlines
	 * @param executor runs tasks after a delay
	 * @param incarnation the incarnation of this daemon, unique to this run
	 * @param isRunning tells whether a daemon is known to be running by its incarnation
	 */
	public ClaimRegistry(KeyValueStore store, MonotonicClock clock, DelayedExecutor executor, String incarnation,
			Predicate<String> isRunning) {
		this.context = new ClaimContext(store, new GroupCommit(store), new HourlyLease(store, clock), clock, executor,
				incarnation, isRunning);
		this.settlement = new ClaimSettlement(this.context);
	}

	/**
	 * Claims a request.
	 * @param request the request
	 * @return whether it may be dispatched, or the answer for the caller instead;
	 * completes normally and, apart from the time that tasks need, by the deadline
	 */
	public CompletableFuture<ClaimResult> claim(ClaimRequest request) {
		ClaimAttempt attempt;
		ClaimAttempt other;
		synchronized (this.lock) {
			attempt = new ClaimAttempt(this.context, this, request, this.context.incarnation() + "/" + this.attempts++);
			other = this.open.get(attempt.key());
			if (other == null && this.open.size() >= MAXIMUM_OPEN_CLAIMS) {
				return CompletableFuture.completedFuture(new ClaimResult.Refused(unavailable()));
			}
			if (other == null) {
				this.open.put(attempt.key(), attempt);
			}
		}
		return (other != null) ? joinOpenAttempt(other, request) : begin(attempt);
	}

	private CompletableFuture<ClaimResult> begin(ClaimAttempt attempt) {
		CompletableFuture<ClaimResult> result = attempt.result().whenComplete((claimed, failure) -> {
			if (!(claimed instanceof ClaimResult.Granted)) {
				close(attempt.key());
			}
		});
		attempt.start();
		return result;
	}

	private CompletableFuture<ClaimResult> joinOpenAttempt(ClaimAttempt other, ClaimRequest request) {
		if (!other.request().fingerprint().equals(request.fingerprint())) {
			return CompletableFuture.completedFuture(new ClaimResult.Refused(keyReused()));
		}
		CompletableFuture<ClaimResult> joined = new CompletableFuture<>();
		this.context.executor()
			.schedule(request.deadline() - this.context.clock().nanoseconds(),
					() -> joined.complete(new ClaimResult.Refused(outcomeUnknown())));
		other.result()
			.thenCompose((claimed) -> (claimed instanceof ClaimResult.Granted granted) ? granted.claim().result()
					: CompletableFuture.completedFuture(claimed))
			.thenAccept(joined::complete);
		return joined;
	}

	private void close(String key) {
		synchronized (this.lock) {
			this.open.remove(key);
		}
	}

	CompletableFuture<Boolean> record(Claim claim, ClaimRecord ended) {
		return this.settlement.record(claim, ended).whenComplete((recorded, failure) -> close(claim.storeKey()));
	}

	CompletableFuture<Boolean> delete(Claim claim) {
		return this.settlement.delete(claim).whenComplete((deleted, failure) -> close(claim.storeKey()));
	}

	void abandon(String key, String attempt) {
		synchronized (this.lock) {
			this.abandoned.add(attempt);
		}
		this.settlement.deleteAbandoned(key, attempt);
	}

	boolean isAbandoned(String attempt) {
		synchronized (this.lock) {
			return this.abandoned.contains(attempt);
		}
	}

	/**
	 * Returns how many claims are not yet settled and recorded.
	 * @return the number of open claims of this daemon
	 */
	public int openClaimCount() {
		synchronized (this.lock) {
			return this.open.size();
		}
	}

	// An earlier request with the same key may have run; the service cannot be asked now.
	static Refusal unavailable() {
		return Refusal.notRun(Refusal.Reason.CLAIM_UNAVAILABLE, RETRY_AFTER_MILLISECONDS).withUnknownExecution();
	}

	static Refusal outcomeUnknown() {
		return Refusal.possiblyRun(Refusal.Reason.OUTCOME_UNKNOWN);
	}

	static Refusal notKept() {
		return Refusal.possiblyRun(Refusal.Reason.OUTCOME_NOT_KEPT);
	}

	static Refusal keyReused() {
		return Refusal.notRun(Refusal.Reason.IDEMPOTENCY_KEY_REUSED, 0);
	}

}

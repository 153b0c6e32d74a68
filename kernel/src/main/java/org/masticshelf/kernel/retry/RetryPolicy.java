package org.masticshelf.kernel.retry;

import java.util.random.RandomGenerator;

import org.masticshelf.kernel.port.ExchangeFailure;
import org.masticshelf.kernel.refusal.Refusal;

/**
 * Decides whether a failed request is retried.
 * <p>
 * Invariants: a request that may have run is never retried unless it is idempotent; a
 * request is never retried after a part of its answer was sent to the caller; a refusal
 * says {@link Refusal.Execution#NOT_RUN} only if every attempt proves it. Not thread-safe
 * because of its budget and random numbers; guarded by the lock of its shard.
 */
public final class RetryPolicy {

	/** The maximum number of exchanges for one request. */
	public static final int MAXIMUM_ATTEMPTS = 3;

	private static final long BASE_DELAY_NANOSECONDS = 10_000_000L;

	private static final long MAXIMUM_DELAY_NANOSECONDS = 200_000_000L;

	private static final long RETRY_AFTER_MILLISECONDS = 1_000;

	private final RetryBudget budget;

	private final RandomGenerator random;

	/**
	 * Creates a policy.
	 * @param budget the budget, in which the caller also records requests and outcomes
	 * @param random the source of jitter
	 */
	public RetryPolicy(RetryBudget budget, RandomGenerator random) {
		this.budget = budget;
		this.random = random;
	}

	/**
	 * Decides on a failed exchange. Takes a retry from the budget if the decision is to
	 * retry.
	 * @param attempt the failed exchange
	 * @param now the monotonic reading in nanoseconds
	 * @return the decision
	 */
	public RetryDecision decide(FailedAttempt attempt, long now) {
		long remaining = attempt.deadline() - now;
		if (remaining <= 0) {
			return giveUp(Refusal.Reason.DEADLINE_EXCEEDED, attempt);
		}
		if (!mayRetry(attempt) || attempt.attempts() >= MAXIMUM_ATTEMPTS) {
			return giveUp(reasonOf(attempt.point()), attempt);
		}
		long delay = jitteredDelay(attempt.attempts());
		if (delay >= remaining || !this.budget.tryAcquire()) {
			return giveUp(reasonOf(attempt.point()), attempt);
		}
		return new RetryDecision.Retry(delay, attempt.excludedForRetry());
	}

	private static boolean mayRetry(FailedAttempt attempt) {
		return attempt.piecesSent() == 0 && (attempt.idempotent() || attempt.ran() == Refusal.Execution.NOT_RUN);
	}

	// Full jitter between zero and a bound that doubles with each attempt.
	private long jitteredDelay(int attempts) {
		long boundNanoseconds = Math.min(BASE_DELAY_NANOSECONDS << (attempts - 1), MAXIMUM_DELAY_NANOSECONDS);
		return this.random.nextLong(boundNanoseconds);
	}

	private static RetryDecision giveUp(Refusal.Reason reason, FailedAttempt attempt) {
		Refusal.Execution ran = attempt.ran();
		long retryAfterMilliseconds = (ran == Refusal.Execution.NOT_RUN) ? RETRY_AFTER_MILLISECONDS : 0;
		return new RetryDecision.GiveUp(new Refusal(reason, ran, retryAfterMilliseconds));
	}

	/**
	 * Returns the reason to refuse a request with.
	 * @param point the point at which the exchange failed
	 * @return the reason
	 */
	public static Refusal.Reason reasonOf(ExchangeFailure.Point point) {
		return switch (point) {
			case BEFORE_CONNECT, BEFORE_FIRST_BYTE -> Refusal.Reason.ENDPOINT_UNREACHABLE;
			case REFUSED_BY_ENDPOINT -> Refusal.Reason.ENDPOINT_REFUSED;
			case IN_REQUEST, AWAITING_ANSWER -> Refusal.Reason.EXCHANGE_BROKEN;
			case IN_ANSWER -> Refusal.Reason.ANSWER_INCOMPLETE;
			case INVALID_ANSWER -> Refusal.Reason.ANSWER_INVALID;
		};
	}

}

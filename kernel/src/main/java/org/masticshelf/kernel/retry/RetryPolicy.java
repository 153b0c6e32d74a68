package org.masticshelf.kernel.retry;

import java.util.random.RandomGenerator;

import org.masticshelf.kernel.port.ExchangeFailure;
import org.masticshelf.kernel.refusal.Refusal;

/**
 * Decides whether a failed request is tried again.
 * <p>
 * Invariants: a request that may have run is never tried again unless it is idempotent;
 * nor is one of whose answer the caller has got a piece; a refusal says
 * {@link Refusal.Execution#NOT_RUN} only if each attempt proves it. Not safe for use by
 * several threads, because of its budget and random numbers; guarded by the lock of its
 * shard.
 */
public final class RetryPolicy {

	/** The most exchanges that are made for one request. */
	public static final int MAXIMUM_ATTEMPTS = 3;

	private static final long BASE_DELAY_NANOSECONDS = 10_000_000L;

	private static final long MAXIMUM_DELAY_NANOSECONDS = 200_000_000L;

	private static final long RETRY_AFTER_MILLISECONDS = 1_000;

	private final RetryBudget budget;

	private final RandomGenerator random;

	/**
	 * Creates a policy.
	 * @param budget the budget, which the caller also tells of requests and outcomes
	 * @param random the source of jitter
	 */
	public RetryPolicy(RetryBudget budget, RandomGenerator random) {
		this.budget = budget;
		this.random = random;
	}

	/**
	 * Decides about a failed exchange. Takes from the budget if the answer is to retry.
	 * @param attempt what failed
	 * @param now the monotonic reading in nanoseconds
	 * @return the decision
	 */
	public RetryDecision decide(FailedAttempt attempt, long now) {
		long remaining = attempt.deadline() - now;
		if (remaining <= 0) {
			return giveUp(Refusal.Reason.DEADLINE_EXCEEDED, attempt);
		}
		if (!isRepeatable(attempt) || attempt.attempts() >= MAXIMUM_ATTEMPTS) {
			return giveUp(reasonOf(attempt.point()), attempt);
		}
		long delay = delay(attempt.attempts());
		if (delay >= remaining || !this.budget.tryTake()) {
			return giveUp(reasonOf(attempt.point()), attempt);
		}
		return new RetryDecision.Retry(delay, attempt.excludedAfter());
	}

	private static boolean isRepeatable(FailedAttempt attempt) {
		return attempt.piecesSent() == 0 && (attempt.idempotent() || attempt.ran() == Refusal.Execution.NOT_RUN);
	}

	// Full jitter between nothing and a bound that doubles with each attempt.
	private long delay(int attempts) {
		long bound = Math.min(BASE_DELAY_NANOSECONDS << (attempts - 1), MAXIMUM_DELAY_NANOSECONDS);
		return this.random.nextLong(bound);
	}

	private static RetryDecision giveUp(Refusal.Reason reason, FailedAttempt attempt) {
		Refusal.Execution ran = attempt.ran();
		long retryAfter = (ran == Refusal.Execution.NOT_RUN) ? RETRY_AFTER_MILLISECONDS : 0;
		return new RetryDecision.GiveUp(new Refusal(reason, ran, retryAfter));
	}

	/**
	 * Returns the reason that a failure is refused with.
	 * @param point how far the exchange had come
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

package org.masticshelf.kernel.retry;

import java.util.Random;
import java.util.Set;

import com.google.common.truth.Truth;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.masticshelf.kernel.port.ExchangeFailure;
import org.masticshelf.kernel.refusal.Refusal;

class RetryPolicyTests {

	private static final long NANOSECONDS_PER_SECOND = 1_000_000_000L;

	private final RetryBudget budget = new RetryBudget();

	private final RetryPolicy policy = new RetryPolicy(this.budget, new Random(1));

	@ParameterizedTest
	@CsvSource({ "BEFORE_CONNECT, true, 0, RETRY", "BEFORE_CONNECT, false, 0, RETRY",
			"BEFORE_FIRST_BYTE, true, 0, RETRY", "BEFORE_FIRST_BYTE, false, 0, RETRY", "IN_REQUEST, true, 0, RETRY",
			"IN_REQUEST, false, 0, UNKNOWN", "AWAITING_ANSWER, true, 0, RETRY", "AWAITING_ANSWER, false, 0, UNKNOWN",
			"IN_ANSWER, true, 0, RETRY", "IN_ANSWER, false, 0, UNKNOWN", "IN_ANSWER, true, 1, UNKNOWN",
			"IN_ANSWER, false, 1, UNKNOWN", "REFUSED_BY_ENDPOINT, true, 0, RETRY",
			"REFUSED_BY_ENDPOINT, false, 0, RETRY", "INVALID_ANSWER, true, 0, RETRY",
			"INVALID_ANSWER, false, 0, UNKNOWN", "INVALID_ANSWER, true, 3, UNKNOWN",
			"INVALID_ANSWER, false, 3, UNKNOWN" })
	void retriesOnlyRequestsThatMayRunAgain(ExchangeFailure.Point point, boolean idempotent, int pieces,
			String expected) {
		RetryDecision decision = this.policy
			.decide(FailedAttempt.first("one", point, idempotent, NANOSECONDS_PER_SECOND).withPiecesSent(pieces), 0);
		Truth.assertThat(describe(decision)).isEqualTo(expected);
	}

	@ParameterizedTest
	@CsvSource({ "BEFORE_CONNECT, 0, NOT_RUN", "BEFORE_FIRST_BYTE, 0, NOT_RUN", "REFUSED_BY_ENDPOINT, 0, NOT_RUN",
			"IN_REQUEST, 0, UNKNOWN", "AWAITING_ANSWER, 0, UNKNOWN", "IN_ANSWER, 0, UNKNOWN", "IN_ANSWER, 2, UNKNOWN",
			"INVALID_ANSWER, 0, UNKNOWN", "REFUSED_BY_ENDPOINT, 1, UNKNOWN" })
	void refusalSaysNotRunOnlyIfProven(ExchangeFailure.Point point, int pieces, Refusal.Execution expected) {
		exhaustBudget();
		for (boolean idempotent : new boolean[] { true, false }) {
			FailedAttempt attempt = FailedAttempt.first("one", point, idempotent, NANOSECONDS_PER_SECOND)
				.withPiecesSent(pieces);
			Truth.assertThat(describe(this.policy.decide(attempt, 0))).isEqualTo(expected.name());
		}
	}

	@Test
	void laterProvenFailureDoesNotHideEarlierAttemptThatMayHaveRun() {
		FailedAttempt attempt = FailedAttempt
			.first("one", ExchangeFailure.Point.AWAITING_ANSWER, true, NANOSECONDS_PER_SECOND)
			.followedBy("two", ExchangeFailure.Point.BEFORE_CONNECT, 0);
		Truth.assertThat(describe(this.policy.decide(attempt, 2 * NANOSECONDS_PER_SECOND))).isEqualTo("UNKNOWN");
	}

	@Test
	void retriesOnOtherEndpointWithinDeadline() {
		FailedAttempt attempt = FailedAttempt
			.first("one", ExchangeFailure.Point.BEFORE_CONNECT, false, NANOSECONDS_PER_SECOND)
			.followedBy("two", ExchangeFailure.Point.REFUSED_BY_ENDPOINT, 0);
		RetryDecision.Retry retry = (RetryDecision.Retry) this.policy.decide(attempt, 0);
		Truth.assertThat(retry.excluded()).isEqualTo(Set.of("one", "two"));
		Truth.assertThat(retry.delayNanoseconds()).isLessThan(NANOSECONDS_PER_SECOND);
	}

	@Test
	void givesUpAfterMaximumAttempts() {
		FailedAttempt attempt = FailedAttempt
			.first("one", ExchangeFailure.Point.BEFORE_CONNECT, true, NANOSECONDS_PER_SECOND)
			.followedBy("two", ExchangeFailure.Point.BEFORE_CONNECT, 0)
			.followedBy("three", ExchangeFailure.Point.BEFORE_CONNECT, 0);
		Truth.assertThat(describe(this.policy.decide(attempt, 0))).isEqualTo("NOT_RUN");
	}

	@Property(tries = 200, seed = "5")
	void retriesStayWithinShareOfRequests(@ForAll @IntRange(min = 1, max = 5_000) int requests,
			@ForAll @IntRange(min = 1, max = 100) int failurePercentage, @ForAll long seed) {
		Random random = new Random(seed);
		RetryBudget testedBudget = new RetryBudget();
		int retries = 0;
		for (int index = 0; index < requests; index++) {
			testedBudget.recordRequest();
			if (random.nextInt(100) < failurePercentage) {
				testedBudget.recordFailure();
				retries += testedBudget.tryAcquire() ? 1 : 0;
			}
			else {
				testedBudget.recordSuccess();
			}
		}
		Truth.assertThat((double) retries)
			.isAtMost(requests * RetryBudget.RETRIES_PER_REQUEST + RetryBudget.RESERVE_RETRIES + 1e-6);
	}

	@Test
	void permitsNoRetryWhileMostExchangesFail() {
		for (int index = 0; index < 100; index++) {
			this.budget.recordRequest();
			this.budget.recordFailure();
		}
		Truth.assertThat(this.budget.tryAcquire()).isFalse();
		for (int index = 0; index < 100; index++) {
			this.budget.recordSuccess();
		}
		Truth.assertThat(this.budget.tryAcquire()).isTrue();
	}

	private void exhaustBudget() {
		while (this.budget.tryAcquire()) {
			Truth.assertThat(this.budget.isMostlyFailing()).isFalse();
		}
	}

	private static String describe(RetryDecision decision) {
		return switch (decision) {
			case RetryDecision.Retry retry -> "RETRY";
			case RetryDecision.GiveUp giveUp -> giveUp.refusal().ran().name();
		};
	}

}

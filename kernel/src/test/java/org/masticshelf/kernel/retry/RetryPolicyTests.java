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

	private static final long SECOND = 1_000_000_000L;

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
	void retriesOnlyWhatMayRunAgain(ExchangeFailure.Point point, boolean idempotent, int pieces, String expected) {
		RetryDecision decision = this.policy
			.decide(FailedAttempt.first("one", point, idempotent, SECOND).withPiecesSent(pieces), 0);
		Truth.assertThat(render(decision)).isEqualTo(expected);
	}

	@ParameterizedTest
	@CsvSource({ "BEFORE_CONNECT, 0, NOT_RUN", "BEFORE_FIRST_BYTE, 0, NOT_RUN", "REFUSED_BY_ENDPOINT, 0, NOT_RUN",
			"IN_REQUEST, 0, UNKNOWN", "AWAITING_ANSWER, 0, UNKNOWN", "IN_ANSWER, 0, UNKNOWN", "IN_ANSWER, 2, UNKNOWN",
			"INVALID_ANSWER, 0, UNKNOWN", "REFUSED_BY_ENDPOINT, 1, UNKNOWN" })
	void refusalSaysNotRunOnlyIfProven(ExchangeFailure.Point point, int pieces, Refusal.Execution expected) {
		exhaustBudget();
		for (boolean idempotent : new boolean[] { true, false }) {
			FailedAttempt attempt = FailedAttempt.first("one", point, idempotent, SECOND).withPiecesSent(pieces);
			Truth.assertThat(render(this.policy.decide(attempt, 0))).isEqualTo(expected.name());
		}
	}

	@Test
	void laterProvenFailureDoesNotHideEarlierRun() {
		FailedAttempt attempt = FailedAttempt.first("one", ExchangeFailure.Point.AWAITING_ANSWER, true, SECOND)
			.then("two", ExchangeFailure.Point.BEFORE_CONNECT, 0);
		Truth.assertThat(render(this.policy.decide(attempt, 2 * SECOND))).isEqualTo("UNKNOWN");
	}

	@Test
	void retriesElsewhereWithinDeadline() {
		FailedAttempt attempt = FailedAttempt.first("one", ExchangeFailure.Point.BEFORE_CONNECT, false, SECOND)
			.then("two", ExchangeFailure.Point.REFUSED_BY_ENDPOINT, 0);
		RetryDecision.Retry retry = (RetryDecision.Retry) this.policy.decide(attempt, 0);
		Truth.assertThat(retry.excluded()).isEqualTo(Set.of("one", "two"));
		Truth.assertThat(retry.delayNanoseconds()).isLessThan(SECOND);
	}

	@Test
	void givesUpAfterMaximumAttempts() {
		FailedAttempt attempt = FailedAttempt.first("one", ExchangeFailure.Point.BEFORE_CONNECT, true, SECOND)
			.then("two", ExchangeFailure.Point.BEFORE_CONNECT, 0)
			.then("three", ExchangeFailure.Point.BEFORE_CONNECT, 0);
		Truth.assertThat(render(this.policy.decide(attempt, 0))).isEqualTo("NOT_RUN");
	}

	@Property(tries = 200, seed = "5")
	void retriesStayWithinShareOfRequests(@ForAll @IntRange(min = 1, max = 5_000) int requests,
			@ForAll @IntRange(min = 1, max = 100) int failuresInHundred, @ForAll long seed) {
		Random random = new Random(seed);
		RetryBudget shared = new RetryBudget();
		int retries = 0;
		for (int index = 0; index < requests; index++) {
			shared.requested();
			if (random.nextInt(100) < failuresInHundred) {
				shared.failed();
				retries += shared.tryTake() ? 1 : 0;
			}
			else {
				shared.succeeded();
			}
		}
		Truth.assertThat((double) retries)
			.isAtMost(requests * RetryBudget.RETRIES_PER_REQUEST + RetryBudget.RESERVE_RETRIES + 1e-6);
	}

	@Test
	void grantsNoRetryWhileMostExchangesFail() {
		for (int index = 0; index < 100; index++) {
			this.budget.requested();
			this.budget.failed();
		}
		Truth.assertThat(this.budget.tryTake()).isFalse();
		for (int index = 0; index < 100; index++) {
			this.budget.succeeded();
		}
		Truth.assertThat(this.budget.tryTake()).isTrue();
	}

	private void exhaustBudget() {
		while (this.budget.tryTake()) {
			Truth.assertThat(this.budget.isStorm()).isFalse();
		}
	}

	private static String render(RetryDecision decision) {
		return switch (decision) {
			case RetryDecision.Retry retry -> "RETRY";
			case RetryDecision.GiveUp giveUp -> giveUp.refusal().ran().name();
		};
	}

}

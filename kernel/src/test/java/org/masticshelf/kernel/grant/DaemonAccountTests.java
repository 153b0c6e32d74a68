package org.masticshelf.kernel.grant;

import java.util.List;

import com.google.common.truth.Truth;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class DaemonAccountTests {

	private static final long NANOSECONDS_PER_MILLISECOND = 1_000_000L;

	private static final GrantLimits LIMITS = new GrantLimits(1_000, 10_000);

	private final DaemonAccount account = new DaemonAccount(GrantModel.ORGANISATION, LIMITS, 0);

	private static GrantAnswer answer(long sequence, long mark, long slice, long allotment) {
		return new GrantAnswer(GrantModel.ORGANISATION, sequence, 9, mark * NANOSECONDS_PER_MILLISECOND, slice,
				allotment, 0, 1_000, 0);
	}

	private GrantRequest beginExchange(long milliseconds) {
		return this.account.beginExchange(0, 5_000, milliseconds * NANOSECONDS_PER_MILLISECOND);
	}

	private void exchange(long milliseconds, long slice, long allotment) {
		GrantRequest request = beginExchange(milliseconds);
		this.account.acceptAnswer(answer(request.sequence(), milliseconds, slice, allotment),
				milliseconds * NANOSECONDS_PER_MILLISECOND);
	}

	private long held(long milliseconds) {
		return this.account.heldTokens(milliseconds * NANOSECONDS_PER_MILLISECOND);
	}

	private ChargeOutcome.Charged charge(long tokens, long milliseconds) {
		return (ChargeOutcome.Charged) this.account.charge(tokens, milliseconds * NANOSECONDS_PER_MILLISECOND);
	}

	@Test
	void answerOfAnEarlierExchangeIsIgnored() {
		GrantRequest first = beginExchange(0);
		this.account.abandonExchange();
		beginExchange(500);
		Truth
			.assertThat(
					this.account.acceptAnswer(answer(first.sequence(), 1, 50, 0), 600 * NANOSECONDS_PER_MILLISECOND))
			.isFalse();
		Truth.assertThat(held(600)).isEqualTo(0);
	}

	@Test
	void duplicateAnswerIsIgnored() {
		GrantAnswer answer = answer(beginExchange(0).sequence(), 1, 50, 0);
		this.account.acceptAnswer(answer, 1);
		this.account.acceptAnswer(answer, 2);
		Truth.assertThat(held(1)).isEqualTo(50);
	}

	@ParameterizedTest
	@CsvSource({ "1899, 50", "1901, 0" })
	void sliceLifeIsCountedFromSending(long milliseconds, long expected) {
		GrantRequest request = beginExchange(0);
		this.account.acceptAnswer(answer(request.sequence(), 400, 50, 0), 800 * NANOSECONDS_PER_MILLISECOND);
		Truth.assertThat(held(milliseconds)).isEqualTo(expected);
	}

	@ParameterizedTest
	@CsvSource({ "100, 0", "1100, 100", "30000, 1000" })
	void allotmentStartsEmpty(long milliseconds, long expected) {
		exchange(100, 0, 100_000);
		Truth.assertThat(held(milliseconds)).isEqualTo(expected);
	}

	@ParameterizedTest
	@CsvSource({ "1000, 0", "3049, 0", "4050, 100" })
	void lentAllotmentIsNotSpentBeforeTheLoanAndItsSlicesEnd(long milliseconds, long expected) {
		this.account.recordDemand(10, 0);
		exchange(0, 0, 100_000);
		exchange(50, 0, 100_000);
		beginExchange(100);
		this.account.abandonExchange();
		Truth.assertThat(held(milliseconds)).isAtMost(expected);
	}

	@Test
	void lendingAnAllotmentCreditsItsTokens() {
		exchange(0, 0, 100_000);
		Truth.assertThat(beginExchange(500).credits()).containsExactly(new GrantRequest.Credit(0, 50));
	}

	@Test
	void nothingIsLentWithoutContact() {
		this.account.recordDemand(10, 0);
		exchange(0, 0, 100_000);
		this.account.recordDemand(10, 2_000 * NANOSECONDS_PER_MILLISECOND);
		Truth.assertThat(beginExchange(2_000).lendMilliseconds()).isEqualTo(0);
		Truth.assertThat(held(2_000)).isEqualTo(200);
	}

	@Test
	void loanIsExtendedWhenDemandStops() {
		this.account.recordDemand(10, 0);
		exchange(0, 0, 100_000);
		exchange(100, 0, 100_000);
		exchange(4_900, 0, 100_000);
		long silent = 5_000 * NANOSECONDS_PER_MILLISECOND;
		Truth.assertThat(this.account.nextExchangeAt(0, silent)).isAtMost(silent + 125 * NANOSECONDS_PER_MILLISECOND);
		Truth.assertThat(beginExchange(5_100).lendMilliseconds()).isEqualTo(30_000);
	}

	@ParameterizedTest
	@CsvSource({ "58, true", "60, false" })
	void allotmentRunsOutWithoutContact(long minutes, boolean usable) {
		exchange(0, 0, 100_000);
		Truth.assertThat(held(minutes * 60_000) > 0).isEqualTo(usable);
	}

	@Test
	void chargeIsSettledOnce() {
		exchange(0, 100, 0);
		ChargeOutcome.Charged charged = charge(100, 10);
		exchange(20, 0, 0);
		this.account.settle(charged, 40, 30 * NANOSECONDS_PER_MILLISECOND);
		this.account.settle(charged, 40, 30 * NANOSECONDS_PER_MILLISECOND);
		Truth.assertThat(beginExchange(40).credits())
			.containsExactly(new GrantRequest.Credit(20 * NANOSECONDS_PER_MILLISECOND, 60));
	}

	@ParameterizedTest
	@CsvSource({ "answered, 300", "abandoned, 0", "answered after the slice ended, 0" })
	void unusedTokensAreCreditedAtAMarkBeforeTheirRelease(String exchange, long mark) {
		exchange(0, 100, 0);
		beginExchange(10);
		ChargeOutcome.Charged charged = charge(100, 20);
		this.account.abandonExchange();
		GrantRequest report = beginExchange(200);
		long receivedAt = exchange.endsWith("ended") ? 2_000 : 300;
		if (exchange.equals("abandoned")) {
			this.account.abandonExchange();
		}
		else {
			this.account.acceptAnswer(answer(report.sequence(), 300, 0, 0), receivedAt * NANOSECONDS_PER_MILLISECOND);
		}
		this.account.settle(charged, 0, receivedAt * NANOSECONDS_PER_MILLISECOND);
		Truth.assertThat(beginExchange(receivedAt + 1).credits())
			.containsExactly(new GrantRequest.Credit(mark * NANOSECONDS_PER_MILLISECOND, 100));
	}

	@Test
	void tokensUsedBeyondTheChargeBecomeDebt() {
		exchange(0, 100, 0);
		this.account.settle(charge(60, 10), 90, 20 * NANOSECONDS_PER_MILLISECOND);
		Truth.assertThat(this.account.charge(11, 30 * NANOSECONDS_PER_MILLISECOND))
			.isInstanceOf(ChargeOutcome.Insufficient.class);
		Truth.assertThat(this.account.charge(10, 30 * NANOSECONDS_PER_MILLISECOND))
			.isInstanceOf(ChargeOutcome.Charged.class);
	}

	@Test
	void surplusIsReturned() {
		exchange(0, 6_000, 0);
		Truth.assertThat(beginExchange(10).slices()).isEqualTo(List.of(new GrantRequest.SliceReport(1, 0, 1_000)));
	}

	@Test
	void leavingDaemonSpendsNothing() {
		exchange(0, 100, 100_000);
		this.account.beginLeaving(10 * NANOSECONDS_PER_MILLISECOND);
		Truth.assertThat(held(60_000)).isEqualTo(0);
	}

	@Test
	void requestAboveTheBurstIsExcessive() {
		Truth.assertThat(this.account.charge(10_001, 0)).isInstanceOf(ChargeOutcome.Excessive.class);
	}

}

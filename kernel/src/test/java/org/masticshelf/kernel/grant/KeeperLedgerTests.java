package org.masticshelf.kernel.grant;

import java.util.List;
import java.util.Objects;

import com.google.common.truth.Truth;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class KeeperLedgerTests {

	private static final long NANOSECONDS_PER_MILLISECOND = 1_000_000L;

	private static final GrantLimits LIMITS = new GrantLimits(1_000, 10_000);

	private static final long RESERVE_PARTS_PER_MILLION = 500_000;

	private static final GrantRequest.Sender FIRST = sender("a", "10.0.0.1:70");

	private static final GrantRequest.Sender RESTARTED = sender("b", "10.0.0.1:70");

	private static final GrantRequest.Sender OTHER = sender("c", "10.0.0.2:70");

	private static final long FENCING = 9;

	private long sequence;

	private static GrantRequest.Sender sender(String incarnation, String address) {
		return new GrantRequest.Sender(incarnation, address, address);
	}

	private static KeeperLedger ledger(Allotment... written) {
		return new KeeperLedger(LIMITS, FENCING, List.of(written), RESERVE_PARTS_PER_MILLION, 0);
	}

	private GrantRequest request(long fencing, long mark, long lend, List<GrantRequest.Credit> credits, long wanted) {
		this.sequence++;
		return new GrantRequest(GrantModel.ORGANISATION, this.sequence, this.sequence - 1, fencing, mark, lend,
				List.of(), credits, 0, wanted, false);
	}

	private GrantAnswer answerTo(KeeperLedger ledger, GrantRequest.Sender sender, long wanted, long milliseconds) {
		return Objects.requireNonNull(ledger.answer(sender, request(0, 0, 0, List.of(), wanted), 5,
				milliseconds * NANOSECONDS_PER_MILLISECOND));
	}

	@ParameterizedTest
	@CsvSource({ "1000, 0", "2000, 0", "3000, 1000", "60000, 10000" })
	void newKeeperIsEmptyAndWaitsForItsPredecessorsSlices(long milliseconds, long available) {
		Truth.assertThat(ledger().availableTokens(milliseconds * NANOSECONDS_PER_MILLISECOND)).isEqualTo(available);
	}

	@Test
	void duplicateIsNotAnswered() {
		KeeperLedger ledger = ledger();
		GrantRequest request = request(0, 0, 0, List.of(), 10);
		ledger.answer(FIRST, request, 5, 0);
		Truth.assertThat(ledger.answer(FIRST, request, 5, 0)).isNull();
	}

	@ParameterizedTest
	@CsvSource({ "1900, 5000", "2100, 10000" })
	void sliceCountsUntilItExpires(long laterMilliseconds, long mostAvailable) {
		KeeperLedger ledger = ledger(new Allotment(FIRST, 0));
		answerTo(ledger, FIRST, 100_000, 20_000);
		Truth.assertThat(ledger.availableTokens((20_000 + laterMilliseconds) * NANOSECONDS_PER_MILLISECOND))
			.isAtMost(mostAvailable);
	}

	@Test
	void writtenAllotmentsAreWithheld() {
		Truth.assertThat(ledger(new Allotment(OTHER, 300_000)).availableTokens(60_000 * NANOSECONDS_PER_MILLISECOND))
			.isEqualTo(7_000);
	}

	@ParameterizedTest
	@CsvSource({ "999, 10000", "1001, 7000" })
	void loanEndsCountedFromTheMark(long milliseconds, long capacity) {
		KeeperLedger ledger = ledger(new Allotment(FIRST, 300_000));
		answerTo(ledger, FIRST, 0, 60_000);
		long mark = 60_000 * NANOSECONDS_PER_MILLISECOND;
		for (long step = 100; step <= 900; step += 100) {
			ledger.answer(FIRST, request(FENCING, mark, 1_000, List.of(new GrantRequest.Credit(mark, 10_000)), 0), 5,
					mark + step * NANOSECONDS_PER_MILLISECOND);
		}
		Truth.assertThat(ledger.availableTokens(mark + milliseconds * NANOSECONDS_PER_MILLISECOND)).isAtMost(capacity);
	}

	@Test
	void lentAllotmentAddsRateAndBurst() {
		KeeperLedger ledger = ledger(new Allotment(FIRST, 300_000));
		answerTo(ledger, FIRST, 0, 60_000);
		long mark = 60_000 * NANOSECONDS_PER_MILLISECOND;
		ledger.answer(FIRST, request(FENCING, mark, 30_000, List.of(), 0), 5, mark);
		Truth.assertThat(ledger.availableTokens(mark + 20_000 * NANOSECONDS_PER_MILLISECOND)).isEqualTo(10_000);
	}

	@ParameterizedTest
	@CsvSource({ "9, 500", "8, 0", "0, 0" })
	void creditsCountOnlyForTheSameKeeper(long fencing, long credited) {
		KeeperLedger ledger = ledger(new Allotment(FIRST, 0));
		long mark = 2_500 * NANOSECONDS_PER_MILLISECOND;
		long before = ledger.availableTokens(mark);
		GrantRequest request = request(fencing, mark, 0, List.of(new GrantRequest.Credit(mark, 500)), 0);
		ledger.answer(FIRST, request, 5, mark);
		Truth.assertThat(ledger.availableTokens(mark) - before).isEqualTo(credited);
	}

	@Test
	void allotmentIsAnnouncedOnlyAfterItIsWritten() {
		KeeperLedger ledger = ledger();
		GrantAnswer before = answerTo(ledger, FIRST, 0, 10);
		List<Allotment> written = Objects.requireNonNull(ledger.pollAllotmentsToWrite());
		Truth.assertThat(before.allotmentPartsPerMillion()).isEqualTo(0);
		Truth.assertThat(written).containsExactly(new Allotment(FIRST, 100_000));
		ledger.confirmWritten(written);
		Truth.assertThat(answerTo(ledger, FIRST, 0, 20).allotmentPartsPerMillion()).isEqualTo(100_000);
	}

	@ParameterizedTest
	@CsvSource({ "false, 8000", "true, 9000" })
	void restartedDaemonReplacesItsPredecessorOnlyWhenProvedAlive(boolean proved, long available) {
		KeeperLedger ledger = ledger();
		answerTo(ledger, FIRST, 0, 100);
		long mark = (proved ? 200 : 50) * NANOSECONDS_PER_MILLISECOND;
		ledger.answer(RESTARTED, request(FENCING, mark, 0, List.of(), 0), 5, 300 * NANOSECONDS_PER_MILLISECOND);
		Truth.assertThat(ledger.availableTokens(60_000 * NANOSECONDS_PER_MILLISECOND)).isEqualTo(available);
	}

	@Test
	void daemonAtAnotherAddressReplacesNone() {
		KeeperLedger ledger = ledger();
		answerTo(ledger, FIRST, 0, 100);
		ledger.answer(OTHER, request(FENCING, 200 * NANOSECONDS_PER_MILLISECOND, 0, List.of(), 0), 5,
				300 * NANOSECONDS_PER_MILLISECOND);
		Truth.assertThat(ledger.availableTokens(60_000 * NANOSECONDS_PER_MILLISECOND)).isEqualTo(8_000);
	}

	@Test
	void allotmentOfSilentDaemonExpires() {
		KeeperLedger ledger = ledger(new Allotment(FIRST, 300_000));
		long end = GrantParameters.ALLOTMENT_LIFETIME_NANOSECONDS;
		Truth.assertThat(ledger.availableTokens(end - 1)).isEqualTo(7_000);
		Truth.assertThat(ledger.availableTokens(end + 60_000 * NANOSECONDS_PER_MILLISECOND)).isEqualTo(10_000);
	}

	@Test
	void smallRequestsDoNotOvertakeLargeOne() {
		KeeperLedger ledger = ledger(new Allotment(OTHER, 500_000));
		ledger.answer(FIRST,
				new GrantRequest(GrantModel.ORGANISATION, 1, 0, 0, 0, 0, List.of(), List.of(), 800, 800, false), 5,
				2_500 * NANOSECONDS_PER_MILLISECOND);
		Truth.assertThat(answerTo(ledger, OTHER, 100, 2_600).sliceTokens()).isEqualTo(0);
	}

}

package org.masticshelf.kernel.grant;

import java.util.List;
import java.util.Objects;

import com.google.common.truth.Truth;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class KeeperLedgerTests {

	private static final long MILLISECOND = 1_000_000L;

	private static final GrantLimits LIMITS = new GrantLimits(1_000, 10_000);

	private static final long RESERVE = 500_000;

	private static final GrantRequest.Sender FIRST = sender("a", "10.0.0.1:70");

	private static final GrantRequest.Sender RESTARTED = sender("b", "10.0.0.1:70");

	private static final GrantRequest.Sender OTHER = sender("c", "10.0.0.2:70");

	private static final long FENCING = 9;

	private long sequence;

	private static GrantRequest.Sender sender(String incarnation, String address) {
		return new GrantRequest.Sender(incarnation, address, address);
	}

	private static KeeperLedger ledger(Allotment... written) {
		return new KeeperLedger(LIMITS, FENCING, List.of(written), RESERVE, 0);
	}

	private GrantRequest request(long fencing, long mark, long lend, List<GrantRequest.Credit> credits, long wanted) {
		this.sequence++;
		return new GrantRequest(GrantModel.ORGANISATION, this.sequence, this.sequence - 1, fencing, mark, lend,
				List.of(), credits, 0, wanted, false);
	}

	private GrantAnswer ask(KeeperLedger ledger, GrantRequest.Sender sender, long wanted, long milliseconds) {
		return Objects
			.requireNonNull(ledger.answer(sender, request(0, 0, 0, List.of(), wanted), 5, milliseconds * MILLISECOND));
	}

	@ParameterizedTest
	@CsvSource({ "1000, 0", "2000, 0", "3000, 1000", "60000, 10000" })
	void newKeeperIsEmptyAndWaitsForItsPredecessorsSlices(long milliseconds, long available) {
		Truth.assertThat(ledger().availableTokens(milliseconds * MILLISECOND)).isEqualTo(available);
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
	void sliceCountsUntilItsEnd(long laterMilliseconds, long mostAvailable) {
		KeeperLedger ledger = ledger(new Allotment(FIRST, 0));
		ask(ledger, FIRST, 100_000, 20_000);
		Truth.assertThat(ledger.availableTokens((20_000 + laterMilliseconds) * MILLISECOND)).isAtMost(mostAvailable);
	}

	@Test
	void writtenAllotmentsAreWithheld() {
		Truth.assertThat(ledger(new Allotment(OTHER, 300_000)).availableTokens(60_000 * MILLISECOND)).isEqualTo(7_000);
	}

	@ParameterizedTest
	@CsvSource({ "999, 10000", "1001, 7000" })
	void loanEndsCountedFromTheMark(long milliseconds, long capacity) {
		KeeperLedger ledger = ledger(new Allotment(FIRST, 300_000));
		ask(ledger, FIRST, 0, 60_000);
		long mark = 60_000 * MILLISECOND;
		for (long step = 100; step <= 900; step += 100) {
			ledger.answer(FIRST, request(FENCING, mark, 1_000, List.of(new GrantRequest.Credit(mark, 10_000)), 0), 5,
					mark + step * MILLISECOND);
		}
		Truth.assertThat(ledger.availableTokens(mark + milliseconds * MILLISECOND)).isAtMost(capacity);
	}

	@Test
	void lentAllotmentAddsRateAndBurst() {
		KeeperLedger ledger = ledger(new Allotment(FIRST, 300_000));
		ask(ledger, FIRST, 0, 60_000);
		long mark = 60_000 * MILLISECOND;
		ledger.answer(FIRST, request(FENCING, mark, 30_000, List.of(), 0), 5, mark);
		Truth.assertThat(ledger.availableTokens(mark + 20_000 * MILLISECOND)).isEqualTo(10_000);
	}

	@ParameterizedTest
	@CsvSource({ "9, 500", "8, 0", "0, 0" })
	void creditsCountOnlyForTheSameKeeper(long fencing, long credited) {
		KeeperLedger ledger = ledger(new Allotment(FIRST, 0));
		long mark = 2_500 * MILLISECOND;
		long before = ledger.availableTokens(mark);
		GrantRequest request = request(fencing, mark, 0, List.of(new GrantRequest.Credit(mark, 500)), 0);
		ledger.answer(FIRST, request, 5, mark);
		Truth.assertThat(ledger.availableTokens(mark) - before).isEqualTo(credited);
	}

	@Test
	void allotmentIsToldOnlyOnceItIsWritten() {
		KeeperLedger ledger = ledger();
		GrantAnswer before = ask(ledger, FIRST, 0, 10);
		List<Allotment> written = Objects.requireNonNull(ledger.pollAllotmentsToWrite());
		Truth.assertThat(before.allotmentPartsPerMillion()).isEqualTo(0);
		Truth.assertThat(written).containsExactly(new Allotment(FIRST, 100_000));
		ledger.confirmWritten(written);
		Truth.assertThat(ask(ledger, FIRST, 0, 20).allotmentPartsPerMillion()).isEqualTo(100_000);
	}

	@ParameterizedTest
	@CsvSource({ "false, 8000", "true, 9000" })
	void restartedDaemonTakesItsPredecessorsPlaceOnlyWhenProved(boolean proved, long available) {
		KeeperLedger ledger = ledger();
		ask(ledger, FIRST, 0, 100);
		long mark = (proved ? 200 : 50) * MILLISECOND;
		ledger.answer(RESTARTED, request(FENCING, mark, 0, List.of(), 0), 5, 300 * MILLISECOND);
		Truth.assertThat(ledger.availableTokens(60_000 * MILLISECOND)).isEqualTo(available);
	}

	@Test
	void daemonElsewhereTakesNobodysPlace() {
		KeeperLedger ledger = ledger();
		ask(ledger, FIRST, 0, 100);
		ledger.answer(OTHER, request(FENCING, 200 * MILLISECOND, 0, List.of(), 0), 5, 300 * MILLISECOND);
		Truth.assertThat(ledger.availableTokens(60_000 * MILLISECOND)).isEqualTo(8_000);
	}

	@Test
	void silentDaemonsAllotmentComesBackAfterItsLife() {
		KeeperLedger ledger = ledger(new Allotment(FIRST, 300_000));
		long end = GrantParameters.ALLOTMENT_LIFETIME_NANOSECONDS;
		Truth.assertThat(ledger.availableTokens(end - 1)).isEqualTo(7_000);
		Truth.assertThat(ledger.availableTokens(end + 60_000 * MILLISECOND)).isEqualTo(10_000);
	}

	@Test
	void largeRequestIsNotOvertakenBySmallOnes() {
		KeeperLedger ledger = ledger(new Allotment(OTHER, 500_000));
		ledger.answer(FIRST,
				new GrantRequest(GrantModel.ORGANISATION, 1, 0, 0, 0, 0, List.of(), List.of(), 800, 800, false), 5,
				2_500 * MILLISECOND);
		Truth.assertThat(ask(ledger, OTHER, 100, 2_600).sliceTokens()).isEqualTo(0);
	}

}

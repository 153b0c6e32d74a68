package org.masticshelf.kernel.admission;

import java.util.HashSet;
import java.util.Set;

import com.google.common.collect.Range;
import com.google.common.truth.Truth;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class AdmissionCutoffTests {

	/**
	 * A request that can start in time is never turned away, unless the cutoff holds and
	 * there is hardly room. Without hysteresis, each message of a peer would open or
	 * close it.
	 */
	@ParameterizedTest
	@CsvSource({ "false, 1000, 1000, false", "false, 1001, 1000, true", "true, 1000, 1000, true",
			"true, 751, 1000, true", "true, 750, 1000, false", "false, 0, -1, true" })
	void turnsAwayWhatCannotStartInTime(boolean refusing, long expected, long left, boolean turnedAway) {
		Truth.assertThat(new AdmissionCutoff(refusing).decide(expected, left).refusing()).isEqualTo(turnedAway);
	}

	@ParameterizedTest
	@CsvSource({ "1000, 1000, true", "1250, 1000, true", "1251, 1000, false", "0, 0, false" })
	void requestThatWaitsIsGivenUpOnlyIfThereIsClearlyNoRoom(long expected, long left, boolean waits) {
		Truth.assertThat(AdmissionCutoff.mayGoOnWaiting(expected, left)).isEqualTo(waits);
	}

	@ParameterizedTest
	@CsvSource({ "0, 1, 500, 500", "63, 32, 1000, 2000", "5, 0, 1000, -1", "5, 32, 0, -1" })
	void expectsTheStartByWhatIsAhead(double ahead, double slots, double service, long expected) {
		Truth.assertThat(AdmissionCutoff.expectedMilliseconds(ahead, slots, service)).isEqualTo(expected);
	}

	/**
	 * Guards against callers that return together: at most one caller of all daemons
	 * returns for each slot that becomes free, none before there is room.
	 */
	@Test
	void callersReturnOneByOne() {
		Set<Long> times = new HashSet<>();
		for (int daemon = 0; daemon < 4; daemon++) {
			ReturnOrder order = ReturnOrder.EMPTY;
			for (int caller = 0; caller < 20; caller++) {
				order = order.next(10_000 + caller, 2_000, 60, 4, daemon / 4.0);
				Truth.assertThat(order.lastAt()).isAtLeast(12_000 + caller);
				Truth.assertThat(order.lastAt()).isAtMost(12_000 + 21 * 240);
				Truth.assertThat(times.add(order.lastAt() / 60)).isTrue();
			}
		}
	}

	/** Guards against times that run ahead without end if callers never return. */
	@Test
	void positionsAreUsedAgain() {
		ReturnOrder order = ReturnOrder.EMPTY;
		for (int caller = 0; caller < 1_000; caller++) {
			order = order.next(10_000, 2_000, 60, 4, 0.5);
			Truth.assertThat(order.lastAt()).isIn(Range.closed(12_000L, 22_000L));
		}
	}

}

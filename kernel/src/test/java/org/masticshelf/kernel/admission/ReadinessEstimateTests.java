package org.masticshelf.kernel.admission;

import com.google.common.truth.Truth;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Tests {@link ReadinessEstimate}.
 */
class ReadinessEstimateTests {

	/**
	 * Replays a request for a model whose load takes 8 s and whose estimate vanishes.
	 * @param lastLearnedAt when the estimate was last learned, since the request arrived
	 * @param now the time since the request arrived
	 * @param expected the time until ready, negative if unknown
	 */
	@ParameterizedTest
	@CsvSource({ "0, 0, 8000", "0, 3000, 5000", "7900, 7990, 10", "7900, 8000, 0", "7900, 9400, 0", "7900, 9501, -1",
			"2000, 9400, 0" })
	void vanishedEstimateHoldsUntilShortlyAfterTheExpectedTime(long lastLearnedAt, long now, long expected) {
		ReadinessEstimate estimate = ReadinessEstimate.NONE.learn(0, 8_000)
			.learn(lastLearnedAt, 8_000 - lastLearnedAt)
			.learn(now, -1);
		Truth.assertThat(estimate.readyIn(now)).isEqualTo(expected);
	}

	/** A waiting request is not refused when its model becomes ready. */
	@ParameterizedTest
	@CsvSource({ "8000", "8100", "9000" })
	void requestKeepsWaitingWhileItsModelBecomesReady(long now) {
		ReadinessEstimate estimate = ReadinessEstimate.NONE.learn(0, 8_000).learn(now, -1);
		Truth.assertThat(WaitDecision.decide(now, 12_000, estimate.readyIn(now), 150))
			.isInstanceOf(WaitDecision.Wait.class);
	}

	@ParameterizedTest
	@CsvSource({ "0", "5000" })
	void isUnknownUntilLearned(long now) {
		Truth.assertThat(ReadinessEstimate.NONE.learn(now, -1).readyIn(now)).isEqualTo(-1);
	}

}

package org.masticshelf.kernel.admission;

import com.google.common.truth.Truth;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Tests {@link StopDecision} and the {@link ServiceTimeEstimate} that it uses.
 */
class StopDecisionTests {

	@ParameterizedTest
	@CsvSource({ "0, 0, 2000, 2000, 0", "900, 0, 2001, 2000, 1", "0, 500, 1600, 2000, 100", "0, -1, 2000, 2000, 0",
			"300, -1, 2000, 2000, 300", "0, 60000, 60000, 9223372036854775807, 0" })
	void refusesWhatCannotEndBeforeTheStop(long waited, long wait, long service, long left, long missing) {
		StopDecision decision = StopDecision.decide(waited, wait, service, left);
		Truth.assertThat(decision)
			.isEqualTo((missing > 0) ? new StopDecision.Refuse(missing) : StopDecision.Serve.INSTANCE);
	}

	@ParameterizedTest
	@CsvSource({ "200, 2100", "400, 4100", "-1, 2100" })
	void estimatesByTokensAfterSlowAnswer(long outputTokens, long expected) {
		ServiceTimeEstimate known = ServiceTimeEstimate.learn(null, 50, 250, 200);
		ServiceTimeEstimate slower = ServiceTimeEstimate.learn(known, 100, 2_100, 200);
		Truth.assertThat(slower.milliseconds(outputTokens)).isEqualTo(expected);
	}

	@ParameterizedTest
	@CsvSource({ "100, 1000", "10, 2000" })
	void forgetsOutlierAfterManyAnswers(int answers, long above) {
		ServiceTimeEstimate estimate = ServiceTimeEstimate.learn(null, 0, 4_000, -1);
		for (int count = 0; count < answers; count++) {
			estimate = ServiceTimeEstimate.learn(estimate, 0, 1_000, -1);
		}
		Truth.assertThat(estimate.milliseconds(-1)).isAtLeast(above);
		Truth.assertThat(estimate.milliseconds(-1)).isAtMost(2 * above);
	}

}

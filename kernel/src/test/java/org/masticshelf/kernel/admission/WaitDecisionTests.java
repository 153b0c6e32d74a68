package org.masticshelf.kernel.admission;

import com.google.common.truth.Truth;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Tests {@link WaitDecision}.
 */
class WaitDecisionTests {

	/**
	 * Cold models are requested faster than they can be loaded: requests whose model is
	 * ready in time wait, all others are refused at once with the time until it is ready.
	 * @param waited how long the request has waited
	 * @param limit the time by which its answer must begin
	 * @param ready the time until its model is ready
	 * @param waits whether it waits
	 * @param milliseconds how long it waits, or the time after which its caller may retry
	 */
	@ParameterizedTest
	@CsvSource({ "0, 2400, 1700, true, 2250", "0, 2400, 2250, true, 2250", "0, 2400, 2251, false, 2251",
			"0, 2400, 6900, false, 6900", "900, 2400, 1700, false, 1700", "0, 16000, 13800, true, 15850",
			"0, 16000, 20700, false, 20700", "2300, 2400, 10, false, 200" })
	void waitsOnlyForModelThatIsReadyInTime(long waited, long limit, long ready, boolean waits, long milliseconds) {
		WaitDecision decision = WaitDecision.decide(waited, limit, ready, 150);
		Truth.assertThat(decision)
			.isEqualTo(waits ? new WaitDecision.Wait(milliseconds) : new WaitDecision.Refuse(milliseconds));
	}

	@ParameterizedTest
	@CsvSource({ "0, 2400, true", "1199, 2400, true", "1200, 2400, false", "8000, 16000, false" })
	void waitsHalfOfItsLimitWithoutEstimate(long waited, long limit, boolean waits) {
		Truth.assertThat(WaitDecision.decide(waited, limit, -1, 150) instanceof WaitDecision.Wait).isEqualTo(waits);
	}

}

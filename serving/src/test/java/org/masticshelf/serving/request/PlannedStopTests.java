package org.masticshelf.serving.request;

import java.time.Duration;
import java.util.Map;
import java.util.Set;

import com.google.common.truth.Truth;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.masticshelf.kernel.serving.LoadableName;
import org.masticshelf.kernel.serving.ServedEndpoint;
import org.masticshelf.kernel.time.MonotonicClock;

/**
 * Tests {@link PlannedStop} and the {@link ServiceTimes} that are compared with it.
 */
class PlannedStopTests {

	private final MonotonicClock.Manual clock = new MonotonicClock.Manual();

	private final PlannedStop stop = new PlannedStop(this.clock, 8_000);

	@ParameterizedTest
	@CsvSource({ "LEAVING, 2700, 4800", "REFUSING, 6000, 1500", "ENDING, 7500, 0", "GIVING_UP, 7700, 0" })
	void phasesEndInOrderAndBeforeTheLimit(StopPhase phase, long until, long left) {
		this.stop.begin();
		this.clock.advance(Duration.ofMillis(until - 1));
		Truth.assertThat(this.stop.isOver(phase)).isFalse();
		this.clock.advance(Duration.ofMillis(1));
		Truth.assertThat(this.stop.isOver(phase)).isTrue();
		Truth.assertThat(this.stop.leftMilliseconds()).isEqualTo(left);
	}

	@Test
	void repeatedSignalDoesNotProlongTheStop() {
		Truth.assertThat(this.stop.begin()).isTrue();
		this.clock.advance(Duration.ofMillis(5_000));
		this.stop.enter(StopPhase.REFUSING);
		Truth.assertThat(this.stop.begin()).isFalse();
		Truth.assertThat(this.stop.phase()).isEqualTo(StopPhase.REFUSING);
		Truth.assertThat(this.stop.leftMilliseconds()).isEqualTo(2_500);
	}

	@Test
	void timeIsUnlimitedBeforeTheStop() {
		Truth.assertThat(this.stop.leftMilliseconds()).isEqualTo(Long.MAX_VALUE);
	}

	@ParameterizedTest
	@CsvSource({ "a, m, 4000", "b, m, 1000", "b, other, 3800", "a, other, 4000" })
	void slowEndpointCountsForItselfAndForUnknownModels(String endpoint, String model, long expected) {
		ServiceTimes times = new ServiceTimes();
		times.record(endpoint("a"), LoadableName.ofModel("slow"), 100, 0, 4_000);
		times.record(endpoint("b"), LoadableName.ofModel("m"), 100, 0, 1_000);
		long estimate = times.estimate("pool", LoadableName.ofModel(model), 100, endpoint(endpoint), 9_000);
		Truth.assertThat(estimate).isEqualTo(expected);
	}

	@Test
	void nothingKnownCountsAsTheLimit() {
		Truth.assertThat(new ServiceTimes().estimate("pool", null, -1, null, 9_000)).isEqualTo(9_000);
	}

	private static ServedEndpoint endpoint(String name) {
		return new ServedEndpoint(name, 1, "pool", "127.0.0.1", 1, "domain", 8, false,
				new ServedEndpoint.Holdings(Map.of(), Set.of(), Set.of()));
	}

}

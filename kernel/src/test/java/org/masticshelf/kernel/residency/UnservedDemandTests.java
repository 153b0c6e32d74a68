package org.masticshelf.kernel.residency;

import java.util.List;
import java.util.Set;

import com.google.common.truth.Truth;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.masticshelf.kernel.residency.UnservedDemand.Counted;
import org.masticshelf.kernel.residency.UnservedDemand.Requests;
import org.masticshelf.kernel.serving.LoadableName;

/**
 * Tests {@link UnservedDemand}.
 */
class UnservedDemandTests {

	private static final LoadableName MODEL = LoadableName.ofModel("m");

	private final UnservedDemand demand = new UnservedDemand();

	@Test
	void joinsTheCountsOfAllDaemons() {
		this.demand.update(List.of(new Counted(MODEL, 2, 9_000, 100), new Counted(MODEL, 3, 5_000, 2_000)), Set.of(),
				10_000);
		Truth.assertThat(this.demand.requests()).containsExactly(MODEL, new Requests(5, 9_000, 100));
	}

	@Test
	void requestThatRunsAtAnyDaemonEndsTheCountsOfAll() {
		this.demand.update(List.of(new Counted(MODEL, 4, 9_000, 500)), Set.of(MODEL), 10_000);
		Truth.assertThat(this.demand.requests()).isEmpty();
		this.demand.update(List.of(new Counted(MODEL, 4, 10_000, 1_500)), Set.of(), 11_000);
		Truth.assertThat(this.demand.requests()).isEmpty();
		this.demand.update(List.of(new Counted(MODEL, 5, 12_000, 100)), Set.of(), 13_000);
		Truth.assertThat(this.demand.requests()).containsExactly(MODEL, new Requests(1, 3_000, 100));
	}

	@ParameterizedTest
	@CsvSource({ "3, 20000, false", "4, 7999, false", "4, 8000, true" })
	void starvedIsWhatIsAskedForLongAndOftenEnough(int count, long since, boolean starved) {
		Truth.assertThat(new Requests(count, since, 0).areStarved()).isEqualTo(starved);
	}

	@ParameterizedTest
	@CsvSource({ "1, 7800, 7800, true", "1, 7801, 7801, false", "4, 24000, 12000, true", "4, 26000, 14000, false" })
	void callersAreExpectedAgainForThreeMeanGaps(int count, long since, long newest, boolean expected) {
		Truth.assertThat(new Requests(count, since, newest).areExpectedAgain(7_800)).isEqualTo(expected);
	}

}

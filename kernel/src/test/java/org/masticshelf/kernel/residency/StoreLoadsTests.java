package org.masticshelf.kernel.residency;

import java.util.ArrayList;
import java.util.List;

import com.google.common.truth.Truth;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests {@link StoreLoads}.
 */
class StoreLoadsTests {

	private static final long NOMINAL_MILLISECONDS = 7_800;

	private final StoreLoads loads = new StoreLoads();

	/**
	 * Four loads that are ordered at once to a store that serves fewer at full speed.
	 * Guards against counting them in another order than the store, which taught that it
	 * serves five when the first of them ended in time.
	 * @param served the number that the store serves at full speed
	 */
	@ParameterizedTest
	@ValueSource(ints = { 1, 2, 3, 4 })
	void loadsThatBeginTogetherTeachWhatTheStoreServes(int served) {
		StoreThroughput throughput = new StoreThroughput(4);
		for (int index = 0; index < 4; index++) {
			this.loads.begin("e" + (3 - index), NOMINAL_MILLISECONDS, 4, index * 5);
		}
		for (int index = 0; index < 4; index++) {
			long took = NOMINAL_MILLISECONDS * Math.max(served, index + 1) / served;
			throughput = throughput.learn(took, NOMINAL_MILLISECONDS, this.loads.complete("e" + index));
		}
		Truth.assertThat(throughput.loadsAtFullSpeed()).isAtLeast(served);
		Truth.assertThat(throughput.loadsAtFullSpeed()).isAtMost((served == 4) ? 5 : served);
	}

	/**
	 * Guards against ordering further loads beyond what the store serves while it is
	 * known that one of them is late.
	 */
	@Test
	void overdueLoadLowersTheEstimateBeforeItEnds() {
		for (int index = 0; index < 4; index++) {
			this.loads.begin("e" + index, NOMINAL_MILLISECONDS, 4, 0);
		}
		this.loads.complete("e0");
		this.loads.complete("e1");
		Truth.assertThat(this.loads.findOverdue(4, NOMINAL_MILLISECONDS)).isEqualTo(0);
		int concurrent = this.loads.findOverdue(4, NOMINAL_MILLISECONDS + 1_000);
		Truth.assertThat(new StoreThroughput(4).learnOverdue(concurrent).loadsAtFullSpeed()).isEqualTo(2);
		Truth.assertThat(this.loads.findOverdue(2, NOMINAL_MILLISECONDS + 1_000)).isEqualTo(0);
	}

	/**
	 * Half of the loading engines are lost. Guards against replacing their loads while
	 * the store still serves them, which made all of them three times as long.
	 * @param lost the number of lost engines
	 * @param now when the loads are counted
	 * @param expected the number of loads that the store serves
	 */
	@ParameterizedTest
	@CsvSource({ "0, 1000, 4", "2, 1000, 4", "2, 7900, 2", "1, 7900, 3" })
	void loadsOfLostEnginesCountUntilTheirExpectedEnd(int lost, long now, int expected) {
		List<Long> expectedDurations = new ArrayList<>();
		for (int index = 0; index < 4; index++) {
			expectedDurations.add(this.loads.begin("e" + index, NOMINAL_MILLISECONDS, 4, 0));
		}
		for (int index = 0; index < lost; index++) {
			this.loads.recordLostEngine("e" + index);
		}
		Truth.assertThat(expectedDurations).containsExactly(7_800L, 7_800L, 7_800L, 7_800L);
		Truth.assertThat(this.loads.count(now)).isEqualTo(expected);
		Truth.assertThat(this.loads.countLost(now)).isEqualTo((now < NOMINAL_MILLISECONDS) ? lost : 0);
	}

	/**
	 * Guards against promising callers the end of a load beyond what the store serves.
	 */
	@Test
	void loadBeyondWhatTheStoreServesIsExpectedLater() {
		this.loads.begin("e0", NOMINAL_MILLISECONDS, 2, 0);
		this.loads.begin("e1", NOMINAL_MILLISECONDS, 2, 0);
		Truth.assertThat(this.loads.begin("e2", NOMINAL_MILLISECONDS, 2, 0)).isEqualTo(11_700);
	}

}

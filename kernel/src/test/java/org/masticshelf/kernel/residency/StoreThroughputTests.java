package org.masticshelf.kernel.residency;

import com.google.common.truth.Truth;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Tests {@link StoreThroughput}.
 */
class StoreThroughputTests {

	private static final long NOMINAL_MILLISECONDS = 7_800;

	/**
	 * Learns from one load.
	 * @param known the number of loads at full speed before
	 * @param took how long the load took
	 * @param concurrent the number of concurrent loads when it began
	 * @param expected the number after it
	 */
	@ParameterizedTest
	@CsvSource({ "4, 15600, 4, 2", "4, 10400, 4, 3", "4, 31200, 4, 1", "4, 8000, 4, 5", "4, 8000, 3, 4",
			"2, 9000, 1, 1", "8, 7800, 8, 8", "1, 20000, 1, 1", "4, 15600, 8, 4", "4, 0, 4, 4" })
	void learnsFromLoad(int known, long took, int concurrent, int expected) {
		Truth.assertThat(new StoreThroughput(known).learn(took, NOMINAL_MILLISECONDS, concurrent).loadsAtFullSpeed())
			.isEqualTo(expected);
	}

	/**
	 * Replays recorded loads of a store that serves two at full speed, of which the later
	 * ones began while earlier, slower ones ended.
	 */
	@Test
	void slowLoadsThatOutlastOthersDoNotHalveTheThroughput() {
		StoreThroughput throughput = new StoreThroughput(4);
		long[][] loads = { { 8_013, 1 }, { 8_203, 2 }, { 11_969, 3 }, { 15_844, 4 }, { 15_811, 4 }, { 15_871, 4 } };
		for (long[] load : loads) {
			throughput = throughput.learn(load[0], NOMINAL_MILLISECONDS, (int) load[1]);
			Truth.assertThat(throughput.loadsAtFullSpeed()).isAtLeast(2);
		}
		Truth.assertThat(throughput.loadsAtFullSpeed()).isEqualTo(2);
	}

	/**
	 * Two loads at full speed at once have been seen. A load that loads on lost engines
	 * slowed down does not make the store idle.
	 */
	@Test
	void slowLoadDoesNotUndoWhatLoadsAtFullSpeedHaveShown() {
		StoreThroughput shown = new StoreThroughput(2).learn(8_203, NOMINAL_MILLISECONDS, 2);
		StoreThroughput after = shown.learn(11_911, NOMINAL_MILLISECONDS, 3).learn(15_819, NOMINAL_MILLISECONDS, 2);
		Truth.assertThat(after.loadsAtFullSpeed()).isEqualTo(2);
	}

	/**
	 * Replays a queue of rare models that never ends against a store that serves some
	 * loads at full speed and slows down in proportion beyond.
	 * @param served the number that the store serves
	 */
	@ParameterizedTest
	@CsvSource({ "1", "2", "3", "4", "6" })
	void staysCloseToWhatTheStoreServes(int served) {
		StoreThroughput throughput = new StoreThroughput(4);
		for (int load = 0; load < 20; load++) {
			int concurrent = throughput.loadsAtFullSpeed();
			long took = Math.round(NOMINAL_MILLISECONDS * Math.max(1, (double) concurrent / served));
			throughput = throughput.learn(took, NOMINAL_MILLISECONDS, concurrent);
		}
		Truth.assertThat(throughput.loadsAtFullSpeed()).isAtLeast(served);
		Truth.assertThat(throughput.loadsAtFullSpeed()).isAtMost(served + 1);
	}

	/**
	 * Callers wait for a load as long as it takes at full speed, and wait in vain if it
	 * takes longer. At most one load in eight may therefore try out what was slow before.
	 */
	@Test
	void numberThatWasSlowIsNotTriedOutAfterEachLoadAtFullSpeed() {
		StoreThroughput throughput = new StoreThroughput(4);
		int slow = 0;
		for (int load = 0; load < 80; load++) {
			int concurrent = throughput.loadsAtFullSpeed();
			long took = NOMINAL_MILLISECONDS * Math.max(2, concurrent) / 2;
			slow += (took > NOMINAL_MILLISECONDS) ? 1 : 0;
			throughput = throughput.learn(took, NOMINAL_MILLISECONDS, concurrent);
		}
		Truth.assertThat(slow).isAtMost(80 / 8);
	}

	/**
	 * Replays recorded loads that began together, so that the first counted one that the
	 * store began later. The store serves two at full speed.
	 */
	@Test
	void loadsThatBeganTogetherDoNotShowMoreThanTheStoreServes() {
		StoreThroughput throughput = new StoreThroughput(4).learn(8_002, NOMINAL_MILLISECONDS, 3)
			.learn(12_079, NOMINAL_MILLISECONDS, 2)
			.learn(16_000, NOMINAL_MILLISECONDS, 4);
		Truth.assertThat(throughput.loadsAtFullSpeed()).isEqualTo(2);
	}

}

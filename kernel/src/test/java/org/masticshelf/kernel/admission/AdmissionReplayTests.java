package org.masticshelf.kernel.admission;

import java.util.EnumSet;
import java.util.Set;

import com.google.common.truth.Truth;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.masticshelf.kernel.admission.AdmissionReplay.Condition;
import org.masticshelf.kernel.admission.AdmissionReplay.Order;

/**
 * Compares {@link WaitingOrder} and {@link AdmissionCutoff} with the order of arrival
 * under hard load.
 */
class AdmissionReplayTests {

	private static final int SEEDS = 5;

	/**
	 * Guards against urgent requests that wait behind deferrable ones, and against an
	 * order that serves them at the cost of more value. The order of arrival fails each
	 * case.
	 * @param first what is special about the load
	 * @param second what else is special about it
	 */
	@ParameterizedTest
	@CsvSource({ "DEFERRABLE_BURST, DEFERRABLE_BURST", "DEFERRABLE_BURST, THIRD_RETRIES",
			"DEFERRABLE_BURST, THIRD_LEAVES", "HALF_THE_SLOTS_LOST, HALF_THE_SLOTS_LOST",
			"DEFERRABLE_BURST, TWO_DAEMONS" })
	void urgentRequestsAreInTimeAndCallersGetMore(Condition first, Condition second) {
		Set<Condition> conditions = EnumSet.of(first, second);
		for (int seed = 1; seed <= SEEDS; seed++) {
			AdmissionReplay byArrival = new AdmissionReplay(Order.ARRIVAL, conditions, seed).run();
			AdmissionReplay built = new AdmissionReplay(Order.BUILT, conditions, seed).run();
			Truth.assertThat(built.urgentInTime).isAtLeast((int) (1.1 * byArrival.urgentInTime));
			Truth.assertThat(built.value).isGreaterThan(byArrival.value);
		}
	}

	/**
	 * Guards against one organisation that sends six times as much as each other one and
	 * delays them.
	 */
	@ParameterizedTest
	@CsvSource({ "ARRIVAL, 1.05", "LEAST_WORK, 1.0" })
	void largeOrganisationDelaysOthersLess(Order compared, double factor) {
		Set<Condition> conditions = EnumSet.of(Condition.LARGE_ORGANISATION);
		for (int seed = 1; seed <= SEEDS; seed++) {
			AdmissionReplay other = new AdmissionReplay(compared, conditions, seed).run();
			AdmissionReplay built = new AdmissionReplay(Order.BUILT, conditions, seed).run();
			Truth.assertThat(built.othersInTime).isAtLeast((int) (factor * other.othersInTime));
		}
	}

}

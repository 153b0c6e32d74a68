package org.masticshelf.kernel.admission;

import java.util.ArrayList;
import java.util.List;

import com.google.common.truth.Truth;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.masticshelf.kernel.admission.HeldBytes.HeldAnswer;
import org.masticshelf.kernel.admission.HeldBytes.Holdings;
import org.masticshelf.kernel.admission.HeldBytes.Level;
import org.masticshelf.kernel.admission.HeldBytes.Relief;

/**
 * Tests {@link HeldBytes}.
 */
class HeldBytesTests {

	private static final long LIMIT = 1_000;

	private static final long MEDIAN = 10;

	/**
	 * Guards against a daemon that accepts bodies until it runs out of memory, and
	 * against one that refuses small requests while it has room for them.
	 * @param bodies the held bytes of bodies
	 * @param answers the held bytes of answers
	 * @param bodyBytes the length of the new body
	 * @param refusedAt the level that refuses it, {@code null} if it is accepted
	 */
	@ParameterizedTest
	@CsvSource({ "0, 0, 5000,", "750, 0, 11,", "400, 350, -1,", "751, 0, 11, NEARLY_FULL", "0, 751, 11, NEARLY_FULL",
			"400, 351, -1, NEARLY_FULL", "751, 0, 10,", "751, 0, 0,", "500, 500, 10,", "500, 501, 10, FULL",
			"1001, 0, 0, FULL", "0, 1001, -1, FULL" })
	void refusesLargeRequestsFirstAndAllAboveTheLimit(long bodies, long answers, long bodyBytes, Level refusedAt) {
		HeldBytes decision = HeldBytes.decide(new Holdings(bodies, answers, LIMIT, MEDIAN), bodyBytes);
		Truth.assertThat(decision)
			.isEqualTo((refusedAt != null) ? new HeldBytes.Refuse(refusedAt, HeldBytes.RETRY_AFTER_MILLISECONDS)
					: HeldBytes.Accept.INSTANCE);
	}

	/**
	 * Guards against answers in progress that are given up while there is room, or
	 * although their callers still take them.
	 * @param name the case
	 * @param held the bytes that are held in all
	 * @param answers each answer as bytes and milliseconds without progress
	 * @param givenUp the index of the answer that is given up, negative for none
	 */
	@ParameterizedTest(name = "{0}")
	@CsvSource({ "within the limit, 1000, 600:60000 400:60000, -1", "largest is stalled, 1001, 600:10000 401:60000, 0",
			"largest moves, 1001, 600:9999 401:60000, -1", "equal ones, 1200, 600:10000 600:10001, 1",
			"only bodies are held, 1001, , -1" })
	void givesUpOnlyTheLargestAnswerAndOnlyIfItsCallerTakesNothing(String name, long held, String answers,
			int givenUp) {
		List<HeldAnswer> listed = new ArrayList<>();
		for (String answer : (answers != null) ? answers.split(" ") : new String[0]) {
			String[] parts = answer.split(":");
			listed.add(new HeldAnswer(listed.size(), Long.parseLong(parts[0]), Long.parseLong(parts[1])));
		}
		Relief relief = HeldBytes.relieve(new Holdings(0, held, LIMIT, MEDIAN), listed);
		Truth.assertThat(relief)
			.isEqualTo((givenUp < 0) ? Relief.None.INSTANCE : new Relief.GiveUp(listed.get(givenUp)));
	}

}

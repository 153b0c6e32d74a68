package org.masticshelf.kernel.grant;

import com.google.common.truth.Truth;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Checks that under any faults no window uses more tokens than rate times its length plus
 * burst.
 */
class GrantModelTests {

	@ParameterizedTest(name = "{0}")
	@CsvSource({ "nothing, 0, 0, 0, 0, 0, 0, 0, 0", "kills, 0.5, 0, 0, 0, 0, 0, 0, 0",
			"freezes, 0, 0.5, 0, 0, 0, 0, 0, 0", "cuts, 0, 0, 0.6, 0, 0, 0, 0, 0",
			"keeper moves, 0, 0, 0, 0.4, 0, 0, 0, 0", "lost messages, 0, 0, 0, 0, 0, 0.3, 0, 0",
			"duplicates, 0, 0, 0, 0, 0, 0, 0.5, 0.1", "late messages, 0, 0, 0, 0, 0, 0, 0, 0.3",
			"hours pass, 0.2, 0.2, 0.2, 0.2, 0.3, 0, 0, 0", "everything, 0.3, 0.3, 0.3, 0.3, 0.02, 0.1, 0.2, 0.1" })
	void holdsInEveryWindow(String name, double kill, double freeze, double cut, double move, double pause, double lose,
			double duplicate, double late) {
		GrantModel.Faults faults = new GrantModel.Faults(kill, freeze, cut, move, pause, lose, duplicate, late);
		for (long seed = 1; seed <= 30; seed++) {
			assertLimitsHold(new GrantLimits(1_000, 800), faults, seed);
			assertLimitsHold(new GrantLimits(50, 2_000), faults, seed);
		}
	}

	@Property(tries = 150, seed = "7")
	void holdsForAnyLimits(@ForAll @LongRange(min = 1, max = 100_000) long rate,
			@ForAll @LongRange(min = 1, max = 100_000) long burst, @ForAll long seed) {
		assertLimitsHold(new GrantLimits(rate, burst), new GrantModel.Faults(0.2, 0.2, 0.2, 0.2, 0.02, 0.1, 0.2, 0.1),
				seed);
	}

	private static void assertLimitsHold(GrantLimits limits, GrantModel.Faults faults, long seed) {
		UsageTally tally = new GrantModel(limits, faults, seed).run(40);
		Truth.assertWithMessage("greatest burst of seed %s, limits %s", seed, limits)
			.that(tally.greatestBurst(limits.tokensPerSecond()))
			.isAtMost(limits.burstTokens());
	}

}

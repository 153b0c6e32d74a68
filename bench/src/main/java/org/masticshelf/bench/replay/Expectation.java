package org.masticshelf.bench.replay;

import java.util.List;

/**
 * Something that the users expect of a replay, stated before it ran.
 * <p>
 * Immutable.
 *
 * @param text what is expected
 * @param met whether it came out
 * @param seen the figures
 */
public record Expectation(String text, boolean met, String seen) {

	private static final double ROUNDING = 1e-6;

	private static final double COLD_START_FACTOR = 2;

	private static final double WRONGFUL_REFUSALS_FACTOR = 10;

	private static final double IDLE_FACTOR = 2;

	/**
	 * Judges a replay by what must always hold and by the targets against the baseline.
	 * @param own the measures of masticshelf
	 * @param baseline the measures of the baseline
	 * @return the judged expectations
	 */
	public static List<Expectation> judge(Measures own, Measures baseline) {
		return List.of(exactly("no request is dropped", own.dropped(), 0),
				exactly("no request is answered or refused after its deadline", own.late(), 0),
				new Expectation("no organisation gets more than its grant", own.tokensAboveGrant() <= ROUNDING,
						"tokens above: " + Math.round(own.tokensAboveGrant())),
				new Expectation("at most four loads from the weight store at once", own.mostRemoteLoads() <= 4,
						"most: " + own.mostRemoteLoads()),
				fewer("tail cold start (p99) of small organisations at least 2 times shorter",
						own.smallColdStart().ninetyNinth(), baseline.smallColdStart().ninetyNinth(), COLD_START_FACTOR),
				fewer("wrongful refusals at least 10 times fewer", own.wrongfulRefusals(), baseline.wrongfulRefusals(),
						WRONGFUL_REFUSALS_FACTOR),
				fewer("refusals of organisations inside their rate at least 10 times fewer", own.refusalsOfModerate(),
						baseline.refusalsOfModerate(), WRONGFUL_REFUSALS_FACTOR),
				fewer("idle accelerator hours at least 2 times fewer", own.idleAcceleratorHours(),
						baseline.idleAcceleratorHours(), IDLE_FACTOR),
				new Expectation("the worst-served organisation is not worse",
						own.worstShareInTime() >= baseline.worstShareInTime() - ROUNDING,
						own.worstShareInTime() + " against " + baseline.worstShareInTime()),
				fewer("cold start p50 is not worse", own.coldStart().median(), baseline.coldStart().median(), 1),
				fewer("cold start p95 is not worse", own.coldStart().ninetyFifth(), baseline.coldStart().ninetyFifth(),
						1),
				fewer("cold start p99 is not worse", own.coldStart().ninetyNinth(), baseline.coldStart().ninetyNinth(),
						1));
	}

	private static Expectation exactly(String text, int seen, int expected) {
		return new Expectation(text, seen == expected, "seen: " + seen);
	}

	private static Expectation fewer(String text, double own, double baseline, double factor) {
		return new Expectation(text, own * factor <= baseline + ROUNDING, own + " against " + baseline);
	}

}

package org.masticshelf.serving;

import com.google.common.truth.Truth;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Tests {@link SuspensionAwareClock}.
 */
class SuspensionAwareClockTests {

	private static final long NANOSECONDS_PER_MILLISECOND = 1_000_000;

	private long monotonicNanoseconds;

	private long wallMilliseconds = 1_000_000;

	/**
	 * Advances both underlying clocks and compares the readings.
	 * @param monotonicStep the step of the monotonic clock, in milliseconds
	 * @param wallStep the step of the wall clock, in milliseconds
	 * @param expected the expected step of the reading, in milliseconds
	 */
	@ParameterizedTest
	@CsvSource({ "1000, 1000, 1000", "1000, 1150, 1000", "1000, 1000, 1000", "10, 5010, 5010", "1000, 3400, 3400",
			"1000, -1400, 1000", "0, 0, 0" })
	void includesSuspensionsAndNeverDecreases(long monotonicStep, long wallStep, long expected) {
		SuspensionAwareClock clock = new SuspensionAwareClock(() -> this.monotonicNanoseconds,
				() -> this.wallMilliseconds);
		long previous = clock.nanoseconds();
		this.monotonicNanoseconds += monotonicStep * NANOSECONDS_PER_MILLISECOND;
		this.wallMilliseconds += wallStep;
		Truth.assertThat((clock.nanoseconds() - previous) / NANOSECONDS_PER_MILLISECOND).isEqualTo(expected);
	}

}

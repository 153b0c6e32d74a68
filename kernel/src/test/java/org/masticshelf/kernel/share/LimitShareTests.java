package org.masticshelf.kernel.share;

import java.util.List;
import java.util.stream.IntStream;

import com.google.common.truth.Truth;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Tests {@link LimitShare}.
 */
class LimitShareTests {

	private static final double WINDOW_SECONDS = 4;

	private static List<LimitShare> shares(int daemons, double limit, String endpoint) {
		List<String> all = IntStream.range(0, daemons).mapToObj((daemon) -> "daemon-" + daemon).toList();
		return all.stream()
			.map((self) -> LimitShare.of(limit, endpoint, self,
					all.stream().filter((other) -> !other.equals(self)).toList()))
			.toList();
	}

	/**
	 * All daemons together send at most one and a half times the limit and five requests
	 * in four seconds, also if all bursts come at once.
	 * @param daemons the number of daemons
	 * @param limit the limit
	 */
	@ParameterizedTest
	@CsvSource({ "1, 0", "1, 1", "1, 50", "4, 0", "4, 0.25", "4, 1", "4, 2.5", "4, 100", "39, 0", "39, 0.25", "39, 1",
			"39, 18", "39, 100", "1629, 0.25", "1629, 1", "1629, 300", "1629, 5000", "4, 1e20" })
	void sharesStayWithinTheLimitTogether(int daemons, double limit) {
		List<LimitShare> shares = shares(daemons, limit, "e/1");
		double rate = shares.stream().mapToDouble(LimitShare::ratePerSecond).sum();
		double burst = shares.stream().mapToDouble(LimitShare::burst).sum();
		Truth.assertThat(rate * WINDOW_SECONDS + burst).isAtMost(1.5 * limit * WINDOW_SECONDS + 5);
		Truth.assertThat(rate)
			.isWithin(1e-6 * Math.max(1, limit))
			.of(Math.max(LimitShare.MINIMUM_REQUESTS_PER_SECOND, limit));
	}

	@Test
	void holdersDifferFromEndpointToEndpoint() {
		long daemonsWithAShare = IntStream.range(0, 39)
			.filter((daemon) -> IntStream.range(0, 200)
				.anyMatch((endpoint) -> shares(39, 1, "e" + endpoint + "/1").get(daemon).ratePerSecond() > 0))
			.count();
		Truth.assertThat(daemonsWithAShare).isEqualTo(39);
	}

	/**
	 * Guards against more requests than a cold endpoint withstands within one second,
	 * also from two halves of the daemons that do not see each other.
	 * @param daemons the number of daemons
	 * @param tolerated the requests a second that the endpoint tolerates
	 */
	@ParameterizedTest
	@CsvSource({ "1, 0.1", "1, 1", "1, 50", "2, 1", "2, 8", "4, 0.5", "4, 8", "34, 1", "34, 8", "34, 40", "1629, 8",
			"1629, 300" })
	void sharesOfColdEndpointStayWithinHalfOfTheBoundInOneSecond(int daemons, double tolerated) {
		List<String> all = IntStream.range(0, daemons).mapToObj((daemon) -> "daemon-" + daemon).toList();
		List<LimitShare> shares = all.stream()
			.map((self) -> LimitShare.ofCold(tolerated, ColdBound.DEFAULT, "e/1", self,
					all.stream().filter((other) -> !other.equals(self)).toList()))
			.toList();
		double rate = shares.stream().mapToDouble(LimitShare::ratePerSecond).sum();
		double burst = shares.stream().mapToDouble(LimitShare::burst).sum();
		Truth.assertThat(rate + burst).isAtMost((tolerated * 1.5 + 5) / 2 + 1e-6);
		Truth.assertThat(rate).isGreaterThan(0);
		Truth.assertThat(burst).isAtLeast(1);
	}

}

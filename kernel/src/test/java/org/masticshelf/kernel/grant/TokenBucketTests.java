package org.masticshelf.kernel.grant;

import com.google.common.truth.Truth;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class TokenBucketTests {

	private static final long NANOSECONDS_PER_SECOND = 1_000_000_000L;

	@Test
	void startsEmpty() {
		Truth.assertThat(new TokenBucket(new GrantLimits(10, 10), 5).level(5)).isEqualTo(0);
	}

	@Property(tries = 200, seed = "3")
	void refillIsExactForAnySteps(@ForAll @LongRange(min = 0, max = GrantLimits.MAXIMUM_TOKENS) long rate,
			@ForAll @LongRange(min = 1, max = 999_999_999) long step) {
		TokenBucket bucket = new TokenBucket(new GrantLimits(rate, GrantLimits.MAXIMUM_TOKENS), 0);
		bucket.advance(step);
		Truth.assertThat(bucket.level(NANOSECONDS_PER_SECOND)).isEqualTo(rate);
	}

	@ParameterizedTest
	@CsvSource({ "9000, 0", "10500, 10", "17000, 10", "17500, 40" })
	void creditIsLimitedByMinimumHeadroomSince(long sinceMilliseconds, long expected) {
		TokenBucket bucket = new TokenBucket(new GrantLimits(10, 100), 0);
		bucket.tryTake(80, 10 * NANOSECONDS_PER_SECOND);
		bucket.tryTake(50, 17 * NANOSECONDS_PER_SECOND);
		Truth
			.assertThat(
					bucket.credit(40, sinceMilliseconds * NANOSECONDS_PER_SECOND / 1_000, 18 * NANOSECONDS_PER_SECOND))
			.isEqualTo(expected);
	}

	@Test
	void creditsOfOneTimeShareItsHeadroom() {
		TokenBucket bucket = new TokenBucket(new GrantLimits(10, 100), 0);
		bucket.tryTake(90, 9 * NANOSECONDS_PER_SECOND);
		bucket.advance(17 * NANOSECONDS_PER_SECOND);
		bucket.tryTake(80, 17 * NANOSECONDS_PER_SECOND);
		Truth.assertThat(bucket.credit(15, 10 * NANOSECONDS_PER_SECOND, 17 * NANOSECONDS_PER_SECOND)).isEqualTo(15);
		Truth.assertThat(bucket.credit(15, 10 * NANOSECONDS_PER_SECOND, 17 * NANOSECONDS_PER_SECOND)).isEqualTo(5);
	}

	@Test
	void shrinkingDropsTokensAndGrowingAddsNone() {
		TokenBucket bucket = new TokenBucket(new GrantLimits(10, 100), 0);
		bucket.resize(10, 40, 10 * NANOSECONDS_PER_SECOND);
		bucket.resize(10, 100, 10 * NANOSECONDS_PER_SECOND);
		Truth.assertThat(bucket.level(10 * NANOSECONDS_PER_SECOND)).isEqualTo(40);
	}

}

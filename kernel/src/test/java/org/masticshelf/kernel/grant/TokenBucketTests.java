package org.masticshelf.kernel.grant;

import com.google.common.truth.Truth;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class TokenBucketTests {

	private static final long SECOND = 1_000_000_000L;

	@Test
	void startsEmpty() {
		Truth.assertThat(new TokenBucket(new GrantLimits(10, 10), 5).level(5)).isEqualTo(0);
	}

	@Property(tries = 200, seed = "3")
	void fillsExactlyWhateverTheSteps(@ForAll @LongRange(min = 0, max = GrantLimits.MAXIMUM_TOKENS) long rate,
			@ForAll @LongRange(min = 1, max = 999_999_999) long step) {
		TokenBucket bucket = new TokenBucket(new GrantLimits(rate, GrantLimits.MAXIMUM_TOKENS), 0);
		bucket.advance(step);
		Truth.assertThat(bucket.level(SECOND)).isEqualTo(rate);
	}

	@ParameterizedTest
	@CsvSource({ "9000, 0", "10500, 10", "17000, 10", "17500, 40" })
	void creditIsLimitedByLeastHeadroomSince(long sinceMilliseconds, long expected) {
		TokenBucket bucket = new TokenBucket(new GrantLimits(10, 100), 0);
		bucket.tryTake(80, 10 * SECOND);
		bucket.tryTake(50, 17 * SECOND);
		Truth.assertThat(bucket.credit(40, sinceMilliseconds * SECOND / 1_000, 18 * SECOND)).isEqualTo(expected);
	}

	@Test
	void creditsOfOneTimeShareItsHeadroom() {
		TokenBucket bucket = new TokenBucket(new GrantLimits(10, 100), 0);
		bucket.tryTake(90, 9 * SECOND);
		bucket.advance(17 * SECOND);
		bucket.tryTake(80, 17 * SECOND);
		Truth.assertThat(bucket.credit(15, 10 * SECOND, 17 * SECOND)).isEqualTo(15);
		Truth.assertThat(bucket.credit(15, 10 * SECOND, 17 * SECOND)).isEqualTo(5);
	}

	@Test
	void shrinkingLosesTokensAndGrowingAddsNone() {
		TokenBucket bucket = new TokenBucket(new GrantLimits(10, 100), 0);
		bucket.resize(10, 40, 10 * SECOND);
		bucket.resize(10, 100, 10 * SECOND);
		Truth.assertThat(bucket.level(10 * SECOND)).isEqualTo(40);
	}

}

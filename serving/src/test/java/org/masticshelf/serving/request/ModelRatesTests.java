package org.masticshelf.serving.request;

import java.time.Duration;
import java.util.Map;

import com.google.common.truth.Truth;
import org.junit.jupiter.api.Test;

import org.masticshelf.kernel.time.MonotonicClock;
import org.masticshelf.serving.peer.RateKeys;

/**
 * Tests {@link ModelRates}.
 */
class ModelRatesTests {

	private final MonotonicClock.Manual clock = new MonotonicClock.Manual();

	/**
	 * Prompt tokens in the map of request rates must not count as requests for a model,
	 * and must not outlast these, or messages would grow.
	 */
	@Test
	void promptTokensDecayWithTheRequestsAndAreNoRequests() {
		ModelRates rates = new ModelRates(this.clock);
		rates.recordRequest("pool", "long", 4_000);
		rates.recordRequest("pool", "unknown", -1);
		this.clock.advance(Duration.ofSeconds(4));
		Map<String, Double> sent = rates.requestsAndTokensPerSecond();
		Truth.assertThat(RateKeys.selectRequests(sent, "pool")).containsExactly("long", 0.092, "unknown", 0.092);
		Truth.assertThat(RateKeys.selectPromptTokens(sent, "pool")).containsExactly("long", 367.9);
		this.clock.advance(Duration.ofSeconds(26));
		Truth.assertThat(rates.requestsAndTokensPerSecond()).isEmpty();
	}

}

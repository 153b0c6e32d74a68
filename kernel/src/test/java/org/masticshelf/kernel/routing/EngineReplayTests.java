package org.masticshelf.kernel.routing;

import java.util.Comparator;
import java.util.List;
import java.util.function.ToDoubleFunction;

import com.google.common.truth.Truth;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.masticshelf.kernel.routing.EndpointSelection.Candidate;
import org.masticshelf.kernel.routing.ExpectedTimeSelection.TimedCandidate;

/**
 * Compares ways to choose among engines by {@link EngineReplay}.
 */
class EngineReplayTests {

	static final EngineReplay.Choice LEAST_REQUESTS = (candidates, work, paces, seed) -> {
		Candidate chosen = EndpointSelection.choose(candidates.stream().map(TimedCandidate::candidate).toList(),
				work.sharedPrompt(), seed);
		return candidates.stream()
			.filter((candidate) -> candidate.candidate().equals(chosen))
			.findFirst()
			.orElseThrow();
	};

	static final EngineReplay.Choice WEIGHTED_BY_SPEED = (candidates, work, paces, seed) -> least(candidates,
			(candidate) -> (candidate.candidate().requests() + 1) * candidate.pace());

	static final EngineReplay.Choice TWO_RANDOM = (candidates, work, paces, seed) -> {
		int first = Math.floorMod(seed, candidates.size());
		int second = Math.floorMod(first + 1 + Math.floorMod(seed >>> 8, candidates.size() - 1), candidates.size());
		return least(List.of(candidates.get(first), candidates.get(second)),
				(candidate) -> candidate.candidate().requests());
	};

	static final EngineReplay.Choice EXPECTED_TIME = (candidates, work, paces, seed) -> {
		boolean active = paces.differ() || candidates.stream().anyMatch((candidate) -> candidate.backlogTokens() > 0);
		TimedCandidate chosen = active ? ExpectedTimeSelection.choose(candidates, work, paces.rates(), seed)
				: LEAST_REQUESTS.choose(candidates, work, paces, seed);
		if (chosen == null) {
			throw new AssertionError("no engine was chosen");
		}
		return chosen;
	};

	private static TimedCandidate least(List<TimedCandidate> candidates, ToDoubleFunction<TimedCandidate> load) {
		return candidates.stream().min(Comparator.comparingDouble(load)).orElseThrow();
	}

	/**
	 * Guards against a choice that serves fewer streams on time than that by the number
	 * of requests, or that reads shared parts of prompts more often.
	 * @param daemons the daemons
	 * @param engines the engines
	 * @param exchangeMilliseconds the interval of messages between daemons
	 * @param uneven whether the engines differ and have slow spells
	 * @param requestsPerSecond the rate of requests
	 * @param gain the least gain of streams on time, as a share of all
	 */
	@ParameterizedTest
	@CsvSource({ "6, 15, 300, true, 50, 0.01", "6, 15, 300, true, 80, 0.02", "40, 42, 600, true, 160, 0.03",
			"6, 15, 300, false, 80, -0.002" })
	void expectedTimeServesMoreStreamsOnTime(int daemons, int engines, long exchangeMilliseconds, boolean uneven,
			double requestsPerSecond, double gain) {
		EngineReplay.Size size = new EngineReplay.Size(daemons, engines, exchangeMilliseconds);
		EngineReplay.Result byCount = new EngineReplay(LEAST_REQUESTS, size, uneven, 1).run(30, requestsPerSecond);
		EngineReplay.Result byTime = new EngineReplay(EXPECTED_TIME, size, uneven, 1).run(30, requestsPerSecond);
		Truth.assertThat(byTime.onTime()).isAtLeast(byCount.onTime() + gain);
		Truth.assertThat((double) byTime.readTokens()).isAtMost(1.08 * byCount.readTokens());
	}

	/** Guards against a choice that is not worth more than the alternatives weighed. */
	@Test
	void expectedTimeServesMoreThanAlternativesAtHighLoad() {
		EngineReplay.Size size = new EngineReplay.Size(40, 42, 600);
		double byTime = new EngineReplay(EXPECTED_TIME, size, true, 1).run(30, 220).onTime();
		for (EngineReplay.Choice alternative : List.of(LEAST_REQUESTS, WEIGHTED_BY_SPEED, TWO_RANDOM)) {
			double other = new EngineReplay(alternative, size, true, 1).run(30, 220).onTime();
			Truth.assertThat(byTime).isAtLeast(other + 0.03);
		}
	}

}

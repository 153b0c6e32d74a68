package org.masticshelf.kernel.routing;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

import com.google.common.truth.Truth;
import org.junit.jupiter.api.Test;

import org.masticshelf.kernel.routing.EndpointSelection.Candidate;

/**
 * Tests {@link EndpointSelection}.
 */
class EndpointSelectionTests {

	private static Candidate candidate(String name, double requests) {
		return new Candidate(name, requests, true, false, 0);
	}

	@Test
	void choosesNoFullEndpoint() {
		Truth.assertThat(EndpointSelection.choose(List.of(new Candidate("a", 0, true, true, 0)), "", 0)).isNull();
	}

	@Test
	void choosesLeastLoadedEndpoint() {
		Candidate chosen = EndpointSelection.choose(List.of(candidate("a", 3), candidate("b", 1)), "", 0);
		Truth.assertThat(chosen).isEqualTo(candidate("b", 1));
	}

	@Test
	void penaltyCountsAsLoad() {
		Candidate failing = new Candidate("a", 0, true, false, 5);
		Truth.assertThat(EndpointSelection.choose(List.of(failing, candidate("b", 4)), "", 0))
			.isEqualTo(candidate("b", 4));
	}

	@Test
	void sharedPromptGoesToSameEndpointInAnyOrder() {
		List<Candidate> candidates = new ArrayList<>(List.of(candidate("a", 0), candidate("b", 0), candidate("c", 0)));
		Candidate first = EndpointSelection.choose(candidates, "m 1:10,2:20", 1);
		for (int seed = 0; seed < 20; seed++) {
			Collections.shuffle(candidates, new Random(seed));
			Truth.assertThat(EndpointSelection.choose(candidates, "m 1:10,2:20", seed)).isEqualTo(first);
		}
	}

	@Test
	void burstWithSharedPromptSpillsOver() {
		Map<String, Integer> requests = new HashMap<>(Map.of("a", 0, "b", 0, "c", 0));
		for (int index = 0; index < 60; index++) {
			List<Candidate> candidates = new ArrayList<>();
			requests.forEach((name, count) -> candidates.add(candidate(name, count)));
			Candidate chosen = EndpointSelection.choose(candidates, "m 1:10", index);
			if (chosen == null) {
				throw new AssertionError("no endpoint was chosen");
			}
			requests.merge(chosen.identifier(), 1, Integer::sum);
		}
		int most = Collections.max(requests.values());
		int least = Collections.min(requests.values());
		Truth.assertThat(most - least).isAtMost((int) EndpointSelection.AFFINITY_SLACK_REQUESTS + 1);
	}

}

package org.masticshelf.kernel.routing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import com.google.common.collect.Range;
import com.google.common.truth.Truth;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.masticshelf.kernel.routing.EndpointSelection.Candidate;
import org.masticshelf.kernel.routing.ExpectedTimeSelection.MedianRates;
import org.masticshelf.kernel.routing.ExpectedTimeSelection.TimedCandidate;

/**
 * Tests {@link ExpectedTimeSelection}.
 */
class ExpectedTimeSelectionTests {

	private static final MedianRates RATES = new MedianRates(0.05, 1);

	private static TimedCandidate candidate(String name, int requests, long backlogTokens, double pace) {
		return new TimedCandidate(new Candidate(name, requests, true, false, 0), backlogTokens, pace, false);
	}

	private static String choose(List<TimedCandidate> candidates, PromptWork work, int seed) {
		TimedCandidate chosen = ExpectedTimeSelection.choose(candidates, work, RATES, seed);
		return (chosen != null) ? chosen.candidate().identifier() : "none";
	}

	/**
	 * Guards against requests that wait behind prompts which the number of requests does
	 * not show, and against streams that pause meanwhile. Of the two endpoints, "few" has
	 * fewer requests.
	 * @param name the case
	 * @param fewBacklog the backlog of the endpoint with 2 requests
	 * @param fewPace the ratio of the time that it takes
	 * @param manyBacklog the backlog of the endpoint with 6 requests
	 * @param prompt the tokens of the request's prompt
	 * @param objective the objective in milliseconds
	 */
	@ParameterizedTest(name = "{0}")
	@CsvSource({ "long prompts wait there, 12000, 1, 0, 100, 500", "slow and reading, 3900, 2.5, 0, 2000, 500",
			"a chunk on it pauses streams, 0, 1.7, 0, 4096, 800", "backlog pauses streams, 4000, 1.6, 100, 500, 8000",
			"much slower, 2000, 5, 2000, 500, 600" })
	void fewerRequestsDoNotOutweighTime(String name, long fewBacklog, double fewPace, long manyBacklog, long prompt,
			long objective) {
		List<TimedCandidate> candidates = List.of(candidate("few", 2, fewBacklog, fewPace),
				candidate("many", 6, manyBacklog, 1));
		for (int seed = 0; seed < 20; seed++) {
			Truth.assertThat(choose(candidates, new PromptWork(prompt, "", objective, 300), seed)).isEqualTo("many");
		}
		Candidate byCount = EndpointSelection.choose(candidates.stream().map(TimedCandidate::candidate).toList(), "",
				0);
		Truth.assertThat(byCount).isEqualTo(candidates.getFirst().candidate());
	}

	@Test
	void endpointsThatAreAllAffectedStillServe() {
		List<TimedCandidate> candidates = List.of(candidate("a", 2, 8_000, 3), candidate("b", 2, 90_000, 3));
		Truth.assertThat(choose(candidates, new PromptWork(100, "", 500, 300), 0)).isEqualTo("a");
		Truth.assertThat(choose(List.of(), new PromptWork(100, "", 500, 300), 0)).isEqualTo("none");
	}

	/**
	 * Guards against deferrable requests that take the fast endpoints from short
	 * objectives.
	 * @param objective the objective in milliseconds
	 * @param slow whether only the slow endpoint is chosen
	 */
	@ParameterizedTest
	@CsvSource({ "500, false", "2000, false", "3000, true", "8000, true" })
	void deferrableRequestsTakeSlowEndpoints(long objective, boolean slow) {
		List<TimedCandidate> candidates = List.of(candidate("slow", 3, 0, 1.6), candidate("fast", 3, 0, 0.6));
		for (int seed = 0; seed < 20; seed++) {
			Truth.assertThat(choose(candidates, new PromptWork(500, "", objective, 300), seed))
				.isEqualTo(slow ? "slow" : "fast");
		}
	}

	/** Guards against daemons that all choose the one endpoint that has become free. */
	@Test
	void endpointThatBecomesFreeIsNotOverrun() {
		List<TimedCandidate> candidates = new ArrayList<>();
		for (int index = 0; index < 10; index++) {
			candidates.add(candidate("e" + index, (index == 0) ? 0 : 8, (index == 0) ? 0 : 1_000, 1));
		}
		Map<String, Integer> chosen = new HashMap<>();
		for (int seed = 0; seed < 1_000; seed++) {
			chosen.merge(choose(candidates, new PromptWork(400, "", 800, 300), seed * 7_919), 1, Integer::sum);
		}
		Truth.assertThat(chosen.getOrDefault("e0", 0)).isIn(Range.closed(100, 300));
		Truth.assertThat(chosen).hasSize(10);
	}

	/**
	 * Guards against shared parts of prompts that are read at several endpoints.
	 * @param backlog the backlog of the endpoint that the prompt hashes to
	 * @param kept whether it still gets the request
	 */
	@ParameterizedTest
	@CsvSource({ "0, true", "3600, true", "3700, false", "12000, false", "40000, false" })
	void sharedPromptIsReadOnce(long backlog, boolean kept) {
		PromptWork work = new PromptWork(3_000, "m 1:2000,2:900", 800, 250);
		Truth.assertThat(work.sharedTokens()).isEqualTo(2_900);
		List<String> names = List.of("a", "b", "c", "d");
		String preferred = names.stream()
			.max(Comparator.comparingLong((name) -> EndpointSelection
				.rendezvousWeight(candidate(name, 0, 0, 1).candidate(), work.sharedPrompt())))
			.orElseThrow();
		List<TimedCandidate> candidates = names.stream()
			.map((name) -> candidate(name, 3, name.equals(preferred) ? backlog : 0, 1))
			.toList();
		for (int seed = 0; seed < 20; seed++) {
			Truth.assertThat(choose(candidates, work, seed).equals(preferred)).isEqualTo(kept);
		}
	}

	/**
	 * Parts that state no tokens, or more than the prompt has, do not count as read.
	 * @param sharedPrompt the shared parts
	 * @param tokens the tokens that they have
	 */
	@ParameterizedTest
	@CsvSource(delimiter = '|',
			value = { "'' | 0", "m 1:10,2:20 | 30", "m 7 | 0", "m 1:x,2:5 | 5", "m 1:99999999 | 100", "m:3/a 4:5 | 5" })
	void readsTokensOfSharedParts(String sharedPrompt, long tokens) {
		Truth.assertThat(new PromptWork(100, sharedPrompt, 1, 1).sharedTokens()).isEqualTo(tokens);
	}

}

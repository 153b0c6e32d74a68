package org.masticshelf.kernel.quarantine;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import com.google.common.truth.Truth;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Tests {@link CrashAttribution}.
 */
class CrashAttributionTests {

	/**
	 * Parses crashes separated by blanks, each as its time, its address and its segments
	 * in the order of the prompt, then the whole request:
	 * {@code 1000@a:system,deadly,:request}.
	 * @param text the text
	 * @return the crashes
	 */
	private static List<EndpointCrash> crashes(String text) {
		List<EndpointCrash> crashes = new ArrayList<>();
		for (String crash : text.split(" ")) {
			String[] parts = crash.split("[@:]", 3);
			Map<String, Integer> segments = new HashMap<>();
			for (String segment : parts[2].split(",")) {
				segments.put(segment, segments.size());
			}
			crashes.add(new EndpointCrash("run-" + crashes.size(), parts[1], Long.parseLong(parts[0]), segments));
		}
		return crashes;
	}

	private static Map<String, Long> times(String text) {
		Map<String, Long> times = new HashMap<>();
		for (String answer : text.split(" ")) {
			if (!answer.isEmpty()) {
				times.put(answer.split("@")[0], Long.valueOf(answer.split("@")[1]));
			}
		}
		return times;
	}

	private static Map<String, CrashVerdict> judge(String crashes, String answers) {
		Map<String, Long> answeredAt = times(answers);
		return CrashAttribution.judge(crashes(crashes),
				(segment) -> answeredAt.getOrDefault(segment, CrashAttribution.NEVER));
	}

	private static String describe(Map<String, CrashVerdict> verdicts) {
		StringBuilder text = new StringBuilder();
		new TreeMap<>(verdicts).forEach((segment, verdict) -> text.append(switch (verdict) {
			case CrashVerdict.Implicated implicated -> segment + "! ";
			case CrashVerdict.Suspected suspected -> segment + " ";
		}));
		return text.toString().strip();
	}

	@ParameterizedTest(name = "{0}")
	@CsvSource(delimiter = '|', emptyValue = "", value = { "one crash | 1000@a:p | '' | ''",
			"two crashes | 1000@a:p 2000@b:p | '' | p", "three crashes | 1000@a:p 2000@b:p 3000@c:p | '' | p!",
			"answered since | 1000@a:p 2000@b:p 3000@c:p | p@3000 | ''",
			"answered between | 1000@a:p 2000@b:p 3000@c:p | p@1500 | ''",
			"answered before | 1000@a:p 2000@b:p 3000@c:p | p@500 | p",
			"answered before, once more | 1000@a:p 2000@b:p 3000@c:p 4000@d:p | p@500 | p!",
			"sound segments ahead | 1000@a:s,p 2000@b:s,p 3000@c:s,t,p | s@900 t@900 | p!",
			"sound segment behind | 1000@a:p,s 2000@b:p,s 3000@c:p,s | s@900 | p!",
			"unknown segments ahead | 1000@a:s,p 2000@b:s,p 3000@c:s,p | '' | p!",
			"first in the prompt | 1000@a:p,s 2000@b:p,t 3000@c:p,u | '' | p!",
			"first in the prompt, same behind | 1000@a:p,s 2000@b:p,s 3000@c:p,s | '' | s!",
			"first in the prompt, another behind | 1000@a:p,s 2000@b:p,s 3000@c:p,s 4000@d:p,t 5000@e:p,u | '' | p!",
			"two, one after the other | 1000@a:s,p 2000@b:s,p 3000@c:s,p 4000@d:s,q | '' | p!",
			"two at once | 1000@a:p,s 1100@b:q,s 2000@b:p,s 2100@c:q,s 3000@c:p,s 3100@d:q,s | s@3101 | p! q!",
			"sound requests on the same endpoints | 1000@a:p,s,t 2000@b:p,t,u 3000@c:p,s,u | '' | p!",
			"simultaneous, never answered | 1000@a:p 1001@b:p 1002@c:p | '' | p!",
			"simultaneous, answered before | 1000@a:p 1001@b:p 1002@c:p 1003@d:p | p@500 | ''",
			"simultaneous, beside one more | 1000@a:p 1001@b:p 1300@c:p | p@500 | p",
			"simultaneous, then once more | 1000@a:p 1001@b:p 1002@c:p 1300@d:p | p@500 | p!",
			"whole request | 1000@a::w 2000@b::w 3000@c::w | '' | :w!",
			"whole request, two crashes | 1000@a::w 2000@b::w | '' | :w",
			"whole request, segments answered before | 1000@a:s,:w 2000@b:s,:w 3000@c:s,:w | s@900 | :w!",
			"deadly segment, its request came again | 1000@a:p,t,:w 2000@b:p,t,:w 3000@c:p,t,:w | t@900 | p!",
			"deadly segment, its request and others | 1000@a:p,:w 2000@b:p,:w 3000@c:p,:w 4000@d:p,:x | '' | p!",
			"whole request, others on the same endpoints | 1000@a:s,:w,:x 2000@b:s,:w,:y 3000@c:s,:w,:z | s@900 | :w!",
			"whole requests that share a segment | 1000@a:p,:w 2000@b:p,:x 3000@c:p,:w 4000@d:p,:y | '' | p!",
			"whole request, last of its segments answered before | 1000@a:s,t,u,:w 2000@b:s,t,u,:w 3000@c:s,t,u,:w 4000@d:s,t,u,:w | s@900 t@900 u@900 | :w!",
			"whole request, unknown segment | 1000@a:s,:w 2000@b:s,:w 3000@c:s,:w | '' | s!",
			"whole request, unknown segment answered since | 1000@a:s,:w 2000@b:s,:w 3000@c:s,:w | s@3001 | :w!",
			"whole request, answered since | 1000@a::w 2000@b::w 3000@c::w | :w@3000 | ''",
			"whole request, simultaneous | 1000@a::w 1001@b::w 1250@c::w | '' | :w",
			"whole request, simultaneous, then once more | 1000@a::w 1001@b::w 1250@c::w 1300@d::w | '' | :w!",
			"one address | 1000@a:p 5000@a:p 9000@a:p | '' | p",
			"one address, once more | 1000@a:p 5000@a:p 9000@a:p 13000@a:p | '' | p!" })
	void attributesCrashesToSegments(String name, String crashes, String answers, String verdicts) {
		Truth.assertThat(describe(judge(crashes, answers))).isEqualTo(verdicts);
	}

	@ParameterizedTest
	@CsvSource(delimiter = '|', value = { "1000@a:p 2000@b:p 3000@c:p | 3000 | 1000",
			"1000@a:p 2000@b:p 3000@c:p 4000@d:p | 3000 | 2000", "1000@a:p 2000@a:p 3000@a:p 4000@a:p | 4000 | 1000" })
	void verdictRestsOnCrashesThatSuffice(String crashes, long since, long decisive) {
		if (!(judge(crashes, "").get("p") instanceof CrashVerdict.Implicated implicated)) {
			throw new AssertionError("not implicated");
		}
		Truth.assertThat(implicated.since()).isEqualTo(since);
		Truth.assertThat(implicated.decisive().at()).isEqualTo(decisive);
	}

	@Test
	void observationsOfOneRunAreOneCrash() {
		EndpointCrash merged = new EndpointCrash("r", "a", 1_007, Map.of("p", 1, "s", 0))
			.merge(new EndpointCrash("r", "a", 1_000, Map.of("t", 0, "p", 2)));
		Truth.assertThat(merged).isEqualTo(new EndpointCrash("r", "a", 1_000, Map.of("p", 2, "s", 0, "t", 0)));
	}

}

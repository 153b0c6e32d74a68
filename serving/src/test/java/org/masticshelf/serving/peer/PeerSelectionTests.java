package org.masticshelf.serving.peer;

import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import com.google.common.truth.Truth;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.masticshelf.control.membership.Members.Member;

/**
 * Tests {@link PeerSelection}.
 */
class PeerSelectionTests {

	private static Member member(String incarnation) {
		String instance = incarnation.substring(0, incarnation.indexOf('-'));
		return new Member(incarnation, instance, "127.0.0.1:" + instance.hashCode(), "domain");
	}

	private static Set<String> parseSet(String text) {
		return Stream.of(text.split(" ")).filter((one) -> !one.isEmpty()).collect(Collectors.toSet());
	}

	@ParameterizedTest
	@CsvSource({ "nobody was heard yet, a-2 b-1 c-1, '', b-1 c-1", "all are heard, a-2 b-1 c-1, b-1 c-1, b-1 c-1",
			"own run before, a-1 a-2 b-1, b-1, b-1",
			"run before of a peer that is heard, a-2 b-1 b-2 c-1, b-2, b-2 c-1",
			"all started anew, a-1 a-2 b-1 b-2 c-1 c-2, b-2 c-2, b-2 c-2",
			"a peer that is silent counts, a-2 b-1 b-2 c-1 c-2, b-2, b-2 c-1 c-2" })
	void countsEachInstanceOnceIfItsCurrentIncarnationIsKnown(String situation, String members, String recent,
			String expected) {
		List<Member> all = parseSet(members).stream().map(PeerSelectionTests::member).toList();
		Truth.assertWithMessage(situation)
			.that(PeerSelection.select(member("a-2"), all, parseSet(recent)).keySet())
			.isEqualTo(parseSet(expected));
	}

}

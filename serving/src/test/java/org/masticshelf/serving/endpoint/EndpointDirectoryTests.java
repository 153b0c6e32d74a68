package org.masticshelf.serving.endpoint;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import com.google.common.truth.Truth;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.masticshelf.kernel.serving.LoadableName;
import org.masticshelf.kernel.serving.ServedEndpoint;
import org.masticshelf.kernel.serving.ServedEndpoint.Holdings;
import org.masticshelf.kernel.time.MonotonicClock;

/**
 * Tests {@link EndpointDirectory}.
 */
class EndpointDirectoryTests {

	private final MonotonicClock.Manual clock = new MonotonicClock.Manual();

	private final EndpointDirectory directory = new EndpointDirectory(this.clock, (event) -> {
	});

	private static Holdings holdings(String... models) {
		Map<String, Set<String>> loaded = new HashMap<>();
		for (String model : models) {
			loaded.put(model, Set.of());
		}
		return new Holdings(loaded, Set.of(), Set.of());
	}

	private static ServedEndpoint endpoint(long startedAt, boolean leaving, Holdings holdings) {
		return new ServedEndpoint("e", startedAt, "pool", "10.0.0.1", 80, "domain", 8, leaving, holdings);
	}

	private List<ServedEndpoint> holding(String model) {
		return this.directory.holding("pool", LoadableName.ofModel(model));
	}

	@Test
	void outdatedReadyDescriptionDoesNotRestoreLeavingEndpoint() {
		this.directory.replace(List.of(endpoint(1, true, Holdings.NONE)));
		this.directory.replace(List.of(endpoint(1, false, Holdings.NONE)));
		Truth.assertThat(this.directory.inPool("pool")).isEmpty();
	}

	@Test
	void restartedEndpointIsReady() {
		this.directory.replace(List.of(endpoint(1, true, Holdings.NONE)));
		this.directory.replace(List.of(endpoint(2, false, Holdings.NONE)));
		Truth.assertThat(this.directory.inPool("pool")).hasSize(1);
	}

	@Test
	void descriptionFromBeforeRestartIsIgnored() {
		this.directory.replace(List.of(endpoint(2, false, holdings("new"))));
		this.directory.replace(List.of(endpoint(1, false, holdings("old"))));
		Truth.assertThat(holding("old")).isEmpty();
		Truth.assertThat(holding("new")).hasSize(1);
	}

	@Test
	void notifiesOfRestartedAndRemovedEndpoints() {
		List<ServedEndpoint> gone = new ArrayList<>();
		this.directory.addRemovalListener(gone::add);
		ServedEndpoint first = endpoint(1, false, Holdings.NONE);
		this.directory.replace(List.of(first));
		this.directory.replace(List.of(endpoint(2, false, Holdings.NONE)));
		this.directory.replace(List.of());
		Truth.assertThat(gone).containsExactly(first, endpoint(2, false, Holdings.NONE)).inOrder();
	}

	/**
	 * Compares an announcement of the placing daemon with the engine's own description,
	 * which may be read before or after the announcement and is older than it either way.
	 * @param startedAt the start time in the announcement
	 * @param ageMilliseconds the age of the announcement
	 * @param describedLater whether the description is read after the announcement
	 * @param expected the holdings that must be used
	 */
	@ParameterizedTest
	@CsvSource({ "1, 0, false, announced", "1, 0, true, announced", "1, 1900, false, announced",
			"1, 1900, true, announced", "1, 2500, false, written", "1, 2500, true, written", "0, 0, false, written",
			"0, 0, true, written", "2, 0, true, written" })
	void prefersRecentAnnouncementOfTheSameRun(long startedAt, long ageMilliseconds, boolean describedLater,
			String expected) {
		this.directory.replace(List.of(endpoint(1, false, describedLater ? holdings("earlier") : holdings("written"))));
		this.directory.applyAnnouncements(List.of(announced("e", startedAt, "announced")));
		this.directory.replace(List.of(endpoint(1, false, holdings("written"))));
		this.clock.advance(Duration.ofMillis(ageMilliseconds));
		Truth.assertThat(holding(expected)).hasSize(1);
		Truth.assertThat(holding(expected.equals("written") ? "announced" : "written")).isEmpty();
	}

	/**
	 * A listener that looks for what the message has announced finds all of it, so that
	 * no request that waits for one of the engines concludes that none is expected.
	 */
	@Test
	void listenersSeeAllAnnouncementsOfMessage() {
		this.directory.replace(List.of(endpoint(1, false, Holdings.NONE),
				new ServedEndpoint("f", 1, "pool", "10.0.0.2", 80, "domain", 8, false, Holdings.NONE)));
		List<Integer> found = new ArrayList<>();
		this.directory.addListener(() -> found.add(holding("m").size() + holding("n").size()));
		this.directory.applyAnnouncements(List.of(announced("e", 1, "m"), announced("f", 1, "n")));
		Truth.assertThat(found).containsExactly(2);
	}

	private static EndpointDirectory.AnnouncedHoldings announced(String identifier, long startedAt, String model) {
		return new EndpointDirectory.AnnouncedHoldings(identifier, startedAt, holdings(model));
	}

	@Test
	void endpointThatLacksModelIsExcludedTemporarily() {
		ServedEndpoint endpoint = endpoint(1, false, holdings("m"));
		this.directory.replace(List.of(endpoint));
		this.directory.recordLacking(endpoint, LoadableName.ofModel("m"));
		Truth.assertThat(holding("m")).isEmpty();
		this.clock.advance(Duration.ofSeconds(1));
		Truth.assertThat(holding("m")).hasSize(1);
	}

}

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

	private static ServedEndpoint endpoint(long startedAt, boolean leaving, long orders, Holdings holdings) {
		return new ServedEndpoint("e", startedAt, "pool", "10.0.0.1", 80, "domain", 8, leaving, orders, holdings);
	}

	private List<ServedEndpoint> holding(String model) {
		return this.directory.holding("pool", LoadableName.ofModel(model));
	}

	@Test
	void outdatedReadyDescriptionDoesNotRestoreLeavingEndpoint() {
		this.directory.replace(List.of(endpoint(1, true, 0, Holdings.NONE)));
		this.directory.replace(List.of(endpoint(1, false, 0, Holdings.NONE)));
		Truth.assertThat(this.directory.inPool("pool")).isEmpty();
	}

	@Test
	void restartedEndpointIsReady() {
		this.directory.replace(List.of(endpoint(1, true, 0, Holdings.NONE)));
		this.directory.replace(List.of(endpoint(2, false, 0, Holdings.NONE)));
		Truth.assertThat(this.directory.inPool("pool")).hasSize(1);
	}

	@Test
	void descriptionFromBeforeRestartIsIgnored() {
		this.directory.replace(List.of(endpoint(2, false, 0, holdings("new"))));
		this.directory.replace(List.of(endpoint(1, false, 9, holdings("old"))));
		Truth.assertThat(holding("old")).isEmpty();
		Truth.assertThat(holding("new")).hasSize(1);
	}

	@Test
	void notifiesOfRestartedAndRemovedEndpoints() {
		List<ServedEndpoint> gone = new ArrayList<>();
		this.directory.addRemovalListener(gone::add);
		ServedEndpoint first = endpoint(1, false, 0, Holdings.NONE);
		this.directory.replace(List.of(first));
		this.directory.replace(List.of(endpoint(2, false, 0, Holdings.NONE)));
		this.directory.replace(List.of());
		Truth.assertThat(gone).containsExactly(first, endpoint(2, false, 0, Holdings.NONE)).inOrder();
	}

	/**
	 * Compares an announcement of the placing daemon with the engine's own description.
	 * @param announcedOrders the number of orders in the announcement
	 * @param startedAt the start time in the announcement
	 * @param ageMilliseconds the age of the announcement
	 * @param expected the holdings that must be used
	 */
	@ParameterizedTest
	@CsvSource({ "5, 1, 0, announced", "4, 1, 0, announced", "3, 1, 0, written", "4, 1, 2500, written",
			"5, 1, 2500, announced", "9, 0, 0, written" })
	void prefersNewerHoldings(long announcedOrders, long startedAt, long ageMilliseconds, String expected) {
		this.directory.replace(List.of(endpoint(1, false, 4, holdings("written"))));
		this.directory.applyAnnouncement("e", startedAt, announcedOrders, holdings("announced"));
		this.clock.advance(Duration.ofMillis(ageMilliseconds));
		Truth.assertThat(holding(expected)).hasSize(1);
		Truth.assertThat(holding(expected.equals("written") ? "announced" : "written")).isEmpty();
	}

	@Test
	void endpointThatLacksModelIsExcludedTemporarily() {
		ServedEndpoint endpoint = endpoint(1, false, 0, holdings("m"));
		this.directory.replace(List.of(endpoint));
		this.directory.recordLacking(endpoint, LoadableName.ofModel("m"));
		Truth.assertThat(holding("m")).isEmpty();
		this.clock.advance(Duration.ofSeconds(1));
		Truth.assertThat(holding("m")).hasSize(1);
	}

}

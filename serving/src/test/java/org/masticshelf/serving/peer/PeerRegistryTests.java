package org.masticshelf.serving.peer;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Set;

import com.google.common.truth.Truth;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.masticshelf.kernel.serving.LoadableName;
import org.masticshelf.kernel.time.MonotonicClock;
import org.masticshelf.transport.json.Json;

/**
 * Tests {@link PeerRegistry} and the JSON form of {@link PeerMessage}.
 */
class PeerRegistryTests {

	private final MonotonicClock.Manual clock = new MonotonicClock.Manual();

	private final PeerRegistry registry = new PeerRegistry(this.clock);

	private static PeerMessage message(String incarnation, PeerMessage.@Nullable Placement placement) {
		return new PeerMessage(incarnation, "127.0.0.1:1", 1, Map.of(), Map.of("e", Map.of("m", 2)), List.of(),
				Map.of(), List.of(), placement, Map.of(), null);
	}

	private static PeerMessage.Placement placement(long fencing, long readyInMilliseconds) {
		return new PeerMessage.Placement(fencing, List.of(), Map.of("pool/m", readyInMilliseconds));
	}

	@Test
	void silentPeerIsDropped() {
		this.registry.receive(message("a", null));
		Truth.assertThat(this.registry.runningRequests()).containsExactly("e", Map.of("m", 2));
		this.clock.advance(Duration.ofMillis(PeerRegistry.SILENT_MILLISECONDS + 1));
		Truth.assertThat(this.registry.runningRequests()).isEmpty();
	}

	@Test
	void placementOfPreviousHolderIsIgnored() {
		this.registry.receive(message("new", placement(9, 500)));
		this.registry.receive(message("old", placement(5, 100)));
		Truth.assertThat(this.registry.readyIn("pool", LoadableName.ofModel("m"))).isEqualTo(500);
		Truth.assertThat(this.registry.placingPeer()).isEqualTo("new");
	}

	@ParameterizedTest
	@CsvSource({ "0, 500", "200, 300", "700, 0", "1600, -1" })
	void readinessEstimateDecreasesWithItsAge(long milliseconds, long readyInMilliseconds) {
		this.registry.receive(message("a", placement(1, 500)));
		this.clock.advance(Duration.ofMillis(milliseconds));
		Truth.assertThat(this.registry.readyIn("pool", LoadableName.ofModel("m"))).isEqualTo(readyInMilliseconds);
	}

	@Test
	void domainIsSilentIfAllItsPeersAreSilent() {
		Map<String, String> domains = Map.of("a", "one", "b", "one", "c", "two");
		this.registry.receive(message("a", null));
		this.registry.receive(message("c", null));
		Truth.assertThat(this.registry.findSilentDomains(domains, 450)).isEmpty();
		this.clock.advance(Duration.ofMillis(460));
		this.registry.receive(message("b", null));
		Truth.assertThat(this.registry.findSilentDomains(domains, 450)).isEqualTo(Set.of("two"));
	}

	@Test
	void messageSurvivesJsonRoundTripWithoutEmptyParts() {
		PeerMessage sent = new PeerMessage("a", "127.0.0.1:1", 7, Map.of("org", 2.5), Map.of(),
				List.of(new PeerMessage.Waiting("pool", "m/a1", 2, 30, 470)), Map.of(),
				List.of(new PeerMessage.Unserved("pool", "n", 3, 9_000, 50)), placement(3, 40), Map.of(), null);
		byte[] bytes = Json.toBytes(sent);
		Truth.assertThat(Json.toValue(bytes, PeerMessage.class)).isEqualTo(sent);
		Truth.assertThat(Json.toTree(bytes).has("running")).isFalse();
	}

}

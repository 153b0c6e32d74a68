package org.masticshelf.serving.peer;

import java.util.List;
import java.util.Map;
import java.util.Set;

import com.google.common.truth.Truth;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.masticshelf.transport.json.Json;

/**
 * Tests {@link PeerBroadcast}.
 */
class PeerBroadcastTests {

	private static final Map<String, PeerMessage.StatedLimit> LIMITS = Map.of("e/1",
			new PeerMessage.StatedLimit(1.5, 20));

	private static final PeerMessage COMMON = new PeerMessage("self", "10.0.0.1:1", 7, Map.of("org", 5.0),
			Map.of("e", Map.of("m", 2)), List.of(), Map.of(), List.of(), null, LIMITS, null);

	private static final PeerMessage.Waiting WAITING = new PeerMessage.Waiting("pool", "m", 1, 10, 100);

	private static final PeerMessage.Unserved UNSERVED = new PeerMessage.Unserved("pool", "n", 3, 9_000, 50);

	private static final PeerMessage.CrashEvidence EVIDENCE = new PeerMessage.CrashEvidence(
			List.of(new PeerMessage.Crash("e/1", "10.0.1.1:1", 20, Map.of("5c", 0))), Map.of("91", 10L));

	private static PeerMessage.Placement placement(boolean withEngine) {
		List<PeerMessage.Engine> engines = withEngine ? List.of(new PeerMessage.Engine("e", 1, 1, Map.of()))
				: List.of();
		return new PeerMessage.Placement(3, engines, Map.of("pool/m", 500L, "pool/n", 900L));
	}

	private static PeerBroadcast broadcast(PeerMessage.@Nullable Placement decided) {
		PeerMessage fromWaitingPeer = new PeerMessage("waits", "10.0.0.2:1", 1, Map.of(), Map.of(), List.of(WAITING),
				Map.of(), List.of(), null, Map.of(), null);
		return new PeerBroadcast(COMMON, new PeerBroadcast.Details("places", List.of(WAITING), Map.of("pool/m", 1.0),
				List.of(UNSERVED), decided, Map.of("waits", fromWaitingPeer), EVIDENCE, Set.of("learns")));
	}

	private static PeerMessage decode(byte @Nullable [] bytes) {
		if (bytes == null) {
			throw new AssertionError("no message");
		}
		return Json.toValue(bytes, PeerMessage.class);
	}

	@Test
	void encodesMessageOfUnconcernedPeersOnce() {
		PeerBroadcast broadcast = broadcast(placement(true));
		Truth.assertThat(broadcast.messageTo("one", true)).isSameInstanceAs(broadcast.messageTo("two", true));
		Truth.assertThat(decode(broadcast.messageTo("one", true)))
			.isEqualTo(new PeerMessage("self", "10.0.0.1:1", 7, COMMON.spent(), COMMON.running(), List.of(), Map.of(),
					List.of(), placement(true).withEstimates(Map.of()), LIMITS, null));
	}

	@Test
	void tellsEvidenceOnCrashesToTheSelectedPeersOnly() {
		PeerBroadcast broadcast = broadcast(null);
		Truth.assertThat(decode(broadcast.messageTo("learns", false)).crashEvidence()).isEqualTo(EVIDENCE);
		Truth.assertThat(broadcast.messageTo("other", false)).isNull();
		Truth.assertThat(decode(broadcast.messageTo("other", true)).crashEvidence()).isNull();
	}

	@Test
	void tellsWaitingRequestsToThePlacingDaemonOnly() {
		PeerBroadcast broadcast = broadcast(null);
		Truth.assertThat(decode(broadcast.messageTo("places", false)).waiting()).containsExactly(WAITING);
		Truth.assertThat(decode(broadcast.messageTo("places", false)).unserved()).containsExactly(UNSERVED);
		Truth.assertThat(decode(broadcast.messageTo("places", false)).rates()).containsExactly("pool/m", 1.0);
		Truth.assertThat(decode(broadcast.messageTo("other", true)).waiting()).isEmpty();
	}

	@Test
	void tellsEachPeerTheEstimatesThatItWaitsFor() {
		PeerMessage message = decode(broadcast(placement(false)).messageTo("waits", false));
		Truth.assertThat(message.placement()).isEqualTo(placement(false).withEstimates(Map.of("pool/m", 500L)));
	}

	/**
	 * Between the regular rounds, only those get a message whom the change concerns.
	 * @param peer the peer
	 * @param withEngine whether the holdings of an engine have changed
	 * @param sent whether the peer gets a message
	 */
	@ParameterizedTest
	@CsvSource({ "places, false, true", "waits, false, true", "other, false, false", "other, true, true" })
	void leavesOutUnconcernedPeers(String peer, boolean withEngine, boolean sent) {
		Truth.assertThat(broadcast(placement(withEngine)).messageTo(peer, false) != null).isEqualTo(sent);
	}

}

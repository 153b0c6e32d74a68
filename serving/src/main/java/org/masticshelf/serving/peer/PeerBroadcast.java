package org.masticshelf.serving.peer;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.jspecify.annotations.Nullable;

import org.masticshelf.transport.json.Json;

/**
 * The messages of one round to all peers.
 * <p>
 * Designed for many daemons: all but a few peers get the same message, which is encoded
 * once, so that the cost of a round hardly grows with their number. The placing daemon
 * alone learns what requests wait for, each peer only the estimates that its own requests
 * wait for, and a few peers at a time the evidence on crashes, which they pass on. Not
 * thread-safe.
 */
public final class PeerBroadcast {

	private final PeerMessage common;

	private final Details details;

	private byte @Nullable [] commonBytes;

	/**
	 * Creates the messages of a round.
	 * @param common what all peers are told, with the number of the round
	 * @param details what only some are told
	 */
	public PeerBroadcast(PeerMessage common, Details details) {
		this.common = common;
		this.details = details;
	}

	/**
	 * Returns the message to a peer.
	 * @param incarnation the incarnation of the peer
	 * @param always whether the peer gets a message even if nothing new concerns it
	 * @return the encoded message, {@code null} if the peer gets none
	 */
	public byte @Nullable [] messageTo(String incarnation, boolean always) {
		boolean toPlacingPeer = incarnation.equals(this.details.placingPeer());
		PeerMessage.Placement decided = this.details.decided();
		Map<String, Long> estimates = (decided != null) ? estimatesFor(incarnation, decided) : Map.of();
		PeerMessage.CrashEvidence evidence = this.details.evidencePeers().contains(incarnation)
				? this.details.crashEvidence() : null;
		boolean concerned = toPlacingPeer || !estimates.isEmpty() || evidence != null
				|| (decided != null && !decided.engines().isEmpty());
		if (!always && !concerned) {
			return null;
		}
		if (!toPlacingPeer && estimates.isEmpty() && evidence == null) {
			return commonBytes();
		}
		return Json.toBytes(new PeerMessage(this.common.incarnation(), this.common.address(), this.common.number(),
				this.common.spent(), this.common.running(), toPlacingPeer ? this.details.waiting() : List.of(),
				toPlacingPeer ? this.details.rates() : Map.of(), toPlacingPeer ? this.details.unserved() : List.of(),
				(decided != null) ? decided.withEstimates(estimates) : null, this.common.limits(), evidence,
				this.common.queued(), this.common.backlog(), this.common.paces()));
	}

	private byte[] commonBytes() {
		byte[] bytes = this.commonBytes;
		if (bytes == null) {
			PeerMessage.Placement decided = this.details.decided();
			bytes = Json.toBytes(new PeerMessage(this.common.incarnation(), this.common.address(), this.common.number(),
					this.common.spent(), this.common.running(), List.of(), Map.of(), List.of(),
					(decided != null) ? decided.withEstimates(Map.of()) : null, this.common.limits(), null,
					this.common.queued(), this.common.backlog(), this.common.paces()));
			this.commonBytes = bytes;
		}
		return bytes;
	}

	private Map<String, Long> estimatesFor(String incarnation, PeerMessage.Placement decided) {
		Map<String, Long> estimates = new HashMap<>();
		PeerMessage lastMessage = this.details.recentMessages().get(incarnation);
		if (lastMessage != null) {
			for (PeerMessage.Waiting waiting : lastMessage.waiting()) {
				String key = PeerRegistry.estimateKey(waiting.pool(), waiting.loadable());
				Long readyInMilliseconds = decided.readyIn().get(key);
				if (readyInMilliseconds != null) {
					estimates.put(key, readyInMilliseconds);
				}
			}
		}
		return estimates;
	}

	/**
	 * What only some peers are told. Immutable.
	 *
	 * @param placingPeer the incarnation of the placing daemon, {@code null} if unknown
	 * @param waiting what this daemon's requests wait for
	 * @param rates this daemon's requests per second for each model
	 * @param unserved the models and adapters that this daemon could not serve
	 * @param decided the placement with all estimates, {@code null} unless this daemon
	 * places
	 * @param recentMessages the latest message of each peer
	 * @param crashEvidence what this daemon knows about requests that crash endpoints
	 * @param evidencePeers the incarnations of the peers that are told so this time
	 */
	public record Details(@Nullable String placingPeer, List<PeerMessage.Waiting> waiting, Map<String, Double> rates,
			List<PeerMessage.Unserved> unserved, PeerMessage.@Nullable Placement decided,
			Map<String, PeerMessage> recentMessages, PeerMessage.CrashEvidence crashEvidence,
			Set<String> evidencePeers) {
	}

}

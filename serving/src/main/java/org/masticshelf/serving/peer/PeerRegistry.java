package org.masticshelf.serving.peer;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

import org.jspecify.annotations.Nullable;

import org.masticshelf.kernel.serving.Loadable;
import org.masticshelf.kernel.time.MonotonicClock;

/**
 * The last message of each peer and its age. Safe for use by several threads.
 */
public final class PeerRegistry {

	/** A peer that was not heard for this long counts as silent, milliseconds. */
	public static final long SILENT_MILLISECONDS = 1_500;

	private final MonotonicClock clock;

	private final Map<String, Heard> heard = new HashMap<>();

	private PeerMessage.@Nullable Placement newest;

	private long placedAt;

	private @Nullable String placing;

	/**
	 * Creates an empty board.
	 * @param clock the clock
	 */
	public PeerRegistry(MonotonicClock clock) {
		this.clock = clock;
	}

	/**
	 * Takes in a message of a peer.
	 * @param message the message
	 * @return whether it carries the newest placement
	 */
	public synchronized boolean receive(PeerMessage message) {
		this.heard.put(message.incarnation(), new Heard(message, this.clock.milliseconds()));
		PeerMessage.Placement placement = message.placement();
		boolean newest = placement != null && updatePlacement(placement);
		if (newest) {
			this.placing = message.incarnation();
		}
		return newest;
	}

	/**
	 * Returns the peer that places, as seen from its messages.
	 * @return its incarnation, {@code null} if none was heard lately
	 */
	public synchronized @Nullable String placingPeer() {
		String last = this.placing;
		return (last != null && recentMessages().containsKey(last)) ? last : null;
	}

	/**
	 * Takes in a placement of a peer or of this daemon.
	 * @param placement the placement
	 * @return whether it is the newest
	 */
	public synchronized boolean updatePlacement(PeerMessage.Placement placement) {
		PeerMessage.Placement known = this.newest;
		if (known != null && known.fencing() > placement.fencing()) {
			return false;
		}
		this.newest = placement;
		this.placedAt = this.clock.milliseconds();
		return true;
	}

	/**
	 * Returns the peers that were heard lately.
	 * @return the messages by incarnation
	 */
	public synchronized Map<String, PeerMessage> recentMessages() {
		long now = this.clock.milliseconds();
		this.heard.values().removeIf((one) -> now - one.at() > SILENT_MILLISECONDS);
		Map<String, PeerMessage> lately = new HashMap<>();
		this.heard.forEach((incarnation, one) -> lately.put(incarnation, one.message()));
		return lately;
	}

	/**
	 * Returns the identities of the peers that were heard lately.
	 * @return the incarnations
	 */
	public Set<String> recentPeers() {
		return new HashSet<>(recentMessages().keySet());
	}

	/**
	 * Returns the failure domains from which no peer was heard lately, although there are
	 * peers in them: their endpoints may be cut off, too.
	 * @param domains the failure domain of each peer
	 * @param within how long ago at most, milliseconds
	 * @return the silent failure domains
	 */
	public synchronized Set<String> findSilentDomains(Map<String, String> domains, long within) {
		long now = this.clock.milliseconds();
		Set<String> silent = new HashSet<>(domains.values());
		domains.forEach((incarnation, domain) -> {
			Heard last = this.heard.get(incarnation);
			if (last != null && now - last.at() < within) {
				silent.remove(domain);
			}
		});
		return silent;
	}

	/**
	 * Sums up what all peers have running.
	 * @return requests by endpoint and model or adapter
	 */
	public Map<String, Map<String, Integer>> runningRequests() {
		Map<String, Map<String, Integer>> sum = new HashMap<>();
		for (PeerMessage message : recentMessages().values()) {
			message.running().forEach((endpoint, counts) -> {
				Map<String, Integer> target = sum.computeIfAbsent(endpoint, (key) -> new HashMap<>());
				counts.forEach((loadable, count) -> target.merge(loadable, count, Integer::sum));
			});
		}
		return sum;
	}

	/**
	 * Returns when the placing daemon expects a model or adapter to be ready.
	 * @param pool the pool
	 * @param loadable the model or adapter
	 * @return milliseconds from now, negative if nobody can tell
	 */
	public synchronized long readyIn(String pool, Loadable loadable) {
		PeerMessage.Placement placement = this.newest;
		if (placement == null) {
			return -1;
		}
		long age = this.clock.milliseconds() - this.placedAt;
		Long ready = placement.readyIn().get(estimateKey(pool, loadable.toString()));
		return (ready == null || age > SILENT_MILLISECONDS) ? -1 : Math.max(0, ready - age);
	}

	/**
	 * Returns the key of an estimate.
	 * @param pool the pool
	 * @param loadable the model or adapter
	 * @return the key
	 */
	public static String estimateKey(String pool, String loadable) {
		return pool + "/" + loadable;
	}

	/**
	 * A message and when it came.
	 *
	 * @param message the message
	 * @param at monotonic milliseconds
	 */
	private record Heard(PeerMessage message, long at) {
	}

}

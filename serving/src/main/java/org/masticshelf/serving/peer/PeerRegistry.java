package org.masticshelf.serving.peer;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.jspecify.annotations.Nullable;

import org.masticshelf.kernel.serving.LoadableName;
import org.masticshelf.kernel.time.MonotonicClock;

/**
 * Holds the latest message of each peer and the newest placement. Thread-safe.
 */
public final class PeerRegistry {

	/** A peer counts as silent after this time without a message. */
	public static final long SILENT_MILLISECONDS = 1_500;

	/**
	 * The most prompt tokens that count for one endpoint and peer, which is ten times
	 * what an engine's memory holds. A peer that tells more is mistaken.
	 */
	private static final long MAXIMUM_BACKLOG_TOKENS = 1_000_000;

	private final MonotonicClock clock;

	private final Map<String, ReceivedMessage> received = new HashMap<>();

	private PeerMessage.@Nullable Placement newestPlacement;

	private long placementReceivedAt;

	private @Nullable String placingPeer;

	/**
	 * Creates an empty registry.
	 * @param clock the clock
	 */
	public PeerRegistry(MonotonicClock clock) {
		this.clock = clock;
	}

	/**
	 * Records a message from a peer.
	 * @param message the message
	 * @return whether the message carries the newest placement
	 */
	public synchronized boolean receive(PeerMessage message) {
		this.received.put(message.incarnation(), new ReceivedMessage(message, this.clock.milliseconds()));
		PeerMessage.Placement placement = message.placement();
		boolean isNewest = placement != null && updatePlacement(placement);
		if (isNewest) {
			this.placingPeer = message.incarnation();
		}
		return isNewest;
	}

	/**
	 * Returns the placing daemon, as known from its messages.
	 * @return its incarnation, {@code null} if there is no recent message from it
	 */
	public synchronized @Nullable String placingPeer() {
		String last = this.placingPeer;
		return (last != null && recentMessages().containsKey(last)) ? last : null;
	}

	/**
	 * Returns whether a placement is at least as new as the known one.
	 * @param placement the placement
	 * @return whether it would be recorded
	 */
	public synchronized boolean supersedes(PeerMessage.Placement placement) {
		PeerMessage.Placement known = this.newestPlacement;
		return known == null || known.fencing() <= placement.fencing();
	}

	/**
	 * Records a placement from a peer or from this daemon.
	 * @param placement the placement
	 * @return whether the placement is the newest one
	 */
	public synchronized boolean updatePlacement(PeerMessage.Placement placement) {
		if (!supersedes(placement)) {
			return false;
		}
		this.newestPlacement = placement;
		this.placementReceivedAt = this.clock.milliseconds();
		return true;
	}

	/**
	 * Returns the latest messages of the peers that are not silent.
	 * @return the messages by incarnation
	 */
	public synchronized Map<String, PeerMessage> recentMessages() {
		long now = this.clock.milliseconds();
		this.received.values().removeIf((entry) -> now - entry.at() > SILENT_MILLISECONDS);
		Map<String, PeerMessage> recent = new HashMap<>();
		this.received.forEach((incarnation, entry) -> recent.put(incarnation, entry.message()));
		return recent;
	}

	/**
	 * Returns the peers that are not silent.
	 * @return the incarnations of the peers
	 */
	public Set<String> recentPeers() {
		return new HashSet<>(recentMessages().keySet());
	}

	/**
	 * Returns the failure domains that have peers of which none has sent a message
	 * recently. Their endpoints may be partitioned off, too.
	 * @param domains the failure domain of each peer
	 * @param within the maximum age of a recent message, in milliseconds
	 * @return the silent failure domains
	 */
	public synchronized Set<String> findSilentDomains(Map<String, String> domains, long within) {
		long now = this.clock.milliseconds();
		Set<String> silent = new HashSet<>(domains.values());
		domains.forEach((incarnation, domain) -> {
			ReceivedMessage last = this.received.get(incarnation);
			if (last != null && now - last.at() < within) {
				silent.remove(domain);
			}
		});
		return silent;
	}

	/**
	 * Returns the requests of peers that wait for slots of a pool.
	 * @param pool the name of the pool
	 * @return one entry for each peer that is not silent and kind of request
	 */
	public synchronized List<PeerQueue> queuedWork(String pool) {
		long now = this.clock.milliseconds();
		List<PeerQueue> queues = new ArrayList<>();
		this.received.forEach((incarnation, entry) -> {
			long age = now - entry.at();
			for (PeerMessage.QueuedWork work : entry.message().queued()) {
				if (age <= SILENT_MILLISECONDS && work.pool().equals(pool)) {
					queues.add(new PeerQueue(incarnation, work, age));
				}
			}
		});
		return queues;
	}

	/**
	 * Sums the running requests of all peers.
	 * @return the number of requests by endpoint and model or adapter
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
	 * Sums the prompt tokens that endpoints have yet to read for the peers.
	 * @param tokensPerMillisecond the tokens that an endpoint reads in a millisecond, by
	 * which what a peer told becomes less as it ages
	 * @return the tokens by endpoint
	 */
	public synchronized Map<String, Long> backlog(double tokensPerMillisecond) {
		long now = this.clock.milliseconds();
		Map<String, Long> sum = new HashMap<>();
		for (ReceivedMessage entry : this.received.values()) {
			long age = now - entry.at();
			entry.message().backlog().forEach((endpoint, tokens) -> {
				long unread = tokens - (long) (age * tokensPerMillisecond);
				if (unread > 0 && age <= SILENT_MILLISECONDS) {
					sum.merge(endpoint, Math.min(unread, MAXIMUM_BACKLOG_TOKENS), Long::sum);
				}
			});
		}
		return sum;
	}

	/**
	 * Returns when the placing daemon expects a model or adapter to be ready.
	 * @param pool the pool
	 * @param loadable the model or adapter
	 * @return milliseconds from now, negative if unknown
	 */
	public synchronized long readyIn(String pool, LoadableName loadable) {
		PeerMessage.Placement placement = this.newestPlacement;
		if (placement == null) {
			return -1;
		}
		long age = this.clock.milliseconds() - this.placementReceivedAt;
		Long readyInMilliseconds = placement.readyIn().get(estimateKey(pool, loadable.toString()));
		return (readyInMilliseconds == null || age > SILENT_MILLISECONDS) ? -1 : Math.max(0, readyInMilliseconds - age);
	}

	/**
	 * Returns the key of a readiness estimate.
	 * @param pool the pool
	 * @param loadable the model or adapter
	 * @return the key
	 */
	public static String estimateKey(String pool, String loadable) {
		return pool + "/" + loadable;
	}

	/**
	 * The requests of one kind that wait at a peer.
	 *
	 * @param incarnation the incarnation of the peer
	 * @param work the requests
	 * @param age the age of its message in milliseconds
	 */
	public record PeerQueue(String incarnation, PeerMessage.QueuedWork work, long age) {
	}

	/**
	 * A message and the time of its receipt.
	 *
	 * @param message the message
	 * @param at when it was received, monotonic milliseconds
	 */
	private record ReceivedMessage(PeerMessage message, long at) {
	}

}

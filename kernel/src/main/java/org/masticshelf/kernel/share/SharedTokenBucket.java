package org.masticshelf.kernel.share;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * One organisation's bucket as one daemon sees it. Every daemon fills the same bucket by
 * the same rate and takes out what it has spent itself and what its peers say that they
 * have spent since they last spoke. A silent peer is taken to spend its even part of the
 * rate until it speaks again, so that parts which cannot hear each other stay within the
 * rate together.
 * <p>
 * Load pattern: one organisation sends several times its rate through all daemons at
 * once, while daemons are cut off from each other, killed and started.
 * <p>
 * Invariant: the level never exceeds the burst. A bucket begins empty, since a daemon
 * that starts does not know what was spent before. Not safe for use by several threads.
 */
public final class SharedTokenBucket {

	private final Map<String, Peer> peers = new HashMap<>();

	private double level;

	private double spent;

	private long filledAt;

	private double rate;

	private double burst;

	/**
	 * Creates an empty bucket.
	 * @param now the monotonic time in milliseconds
	 * @param rate the rate a second over all daemons
	 * @param burst what may come at once beyond the rate
	 */
	public SharedTokenBucket(long now, double rate, double burst) {
		this.filledAt = now;
		this.rate = rate;
		this.burst = burst;
	}

	/**
	 * Changes the grant. What was spent stays spent.
	 * @param now the monotonic time in milliseconds
	 * @param newRate the rate a second
	 * @param newBurst the burst
	 */
	public void setLimits(long now, double newRate, double newBurst) {
		fill(now);
		this.rate = newRate;
		this.burst = newBurst;
		this.level = Math.min(this.level, newBurst);
	}

	/**
	 * Sets which peers there are. A new peer counts as silent from now on; what a peer
	 * that is gone was taken to spend stays spent.
	 * @param now the monotonic time in milliseconds
	 * @param identifiers the peers without this daemon
	 */
	public void setPeers(long now, Set<String> identifiers) {
		fill(now);
		this.peers.keySet().retainAll(identifiers);
		for (String identifier : identifiers) {
			this.peers.computeIfAbsent(identifier, (key) -> new Peer(now));
		}
	}

	/**
	 * Takes in what a peer has spent in total since it started.
	 * @param now the monotonic time in milliseconds
	 * @param identifier the peer; ignored if it is not one of the peers
	 * @param total what it has spent
	 */
	public void recordPeerSpending(long now, String identifier, double total) {
		fill(now);
		Peer peer = this.peers.get(identifier);
		if (peer == null) {
			return;
		}
		double news = peer.known ? Math.max(0, total - peer.total) : 0;
		this.level = Math.min(this.burst, this.level + peer.presumed - news);
		peer.presumed = 0;
		peer.total = Math.max(peer.total, total);
		peer.known = true;
		peer.heardAt = now;
	}

	/**
	 * Spends if the bucket holds enough.
	 * @param now the monotonic time in milliseconds
	 * @param cost what to spend
	 * @return whether it was spent
	 */
	public boolean trySpend(long now, double cost) {
		fill(now);
		if (this.level < Math.min(cost, this.burst)) {
			return false;
		}
		this.level -= cost;
		this.spent += cost;
		return true;
	}

	/**
	 * Gives back what was spent for a request that certainly did not run.
	 * @param cost what was spent
	 */
	public void refund(double cost) {
		this.level = Math.min(this.burst, this.level + cost);
		this.spent -= cost;
	}

	/**
	 * Returns when the bucket will hold enough if nothing else is spent.
	 * @param now the monotonic time in milliseconds
	 * @param cost what is to be spent
	 * @return the time from now in milliseconds
	 */
	public long millisecondsUntilAvailable(long now, double cost) {
		fill(now);
		double missing = Math.min(cost, this.burst) - this.level;
		return (missing <= 0) ? 0 : (long) Math.ceil(missing / Math.max(this.rate, Double.MIN_NORMAL) * 1_000);
	}

	/**
	 * Returns what this daemon has spent in total.
	 * @return the sum
	 */
	public double spent() {
		return this.spent;
	}

	/**
	 * Returns what the bucket holds.
	 * @param now the monotonic time in milliseconds
	 * @return the level, negative while more was spent than the bucket held
	 */
	public double level(long now) {
		fill(now);
		return this.level;
	}

	private void fill(long now) {
		double seconds = Math.max(0, now - this.filledAt) / 1_000.0;
		this.filledAt = Math.max(now, this.filledAt);
		this.level += this.rate * seconds;
		double part = this.rate / (this.peers.size() + 1);
		for (Peer peer : this.peers.values()) {
			double silent = Math.max(0, now - peer.heardAt) / 1_000.0;
			double presumed = part * silent;
			this.level -= presumed - peer.presumed;
			peer.presumed = presumed;
		}
		this.level = Math.min(this.burst, this.level);
	}

	/** What is known of a peer. */
	private static final class Peer {

		private long heardAt;

		private double total;

		private double presumed;

		private boolean known;

		private Peer(long now) {
			this.heardAt = now;
		}

	}

}

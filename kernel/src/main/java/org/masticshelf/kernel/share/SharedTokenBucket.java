package org.masticshelf.kernel.share;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * One daemon's copy of the token bucket of an organisation. Every daemon fills its copy
 * at the full rate and deducts its own spending and the spending that its peers report. A
 * silent peer is assumed to spend an equal share of the rate until it reports again, so
 * that partitions that cannot reach each other stay within the rate together.
 * <p>
 * Designed for an organisation that sends several times its rate through all daemons at
 * once while daemons are partitioned, killed and started.
 * <p>
 * Invariant: the level never exceeds the burst. A bucket starts empty, because a daemon
 * that starts does not know what was spent before. Not thread-safe.
 */
public final class SharedTokenBucket {

	private final Map<String, Peer> peers = new HashMap<>();

	private double level;

	private double spent;

	private long filledAtMilliseconds;

	private double ratePerSecond;

	private double burst;

	/**
	 * Creates an empty bucket.
	 * @param now the monotonic time in milliseconds
	 * @param ratePerSecond the rate per second over all daemons
	 * @param burst the capacity of the bucket
	 */
	public SharedTokenBucket(long now, double ratePerSecond, double burst) {
		this.filledAtMilliseconds = now;
		this.ratePerSecond = ratePerSecond;
		this.burst = burst;
	}

	/**
	 * Changes the rate and the burst. Earlier spending still counts.
	 * @param now the monotonic time in milliseconds
	 * @param newRate the rate per second over all daemons
	 * @param newBurst the capacity of the bucket
	 */
	public void setLimits(long now, double newRate, double newBurst) {
		fill(now);
		this.ratePerSecond = newRate;
		this.burst = newBurst;
		this.level = Math.min(this.level, newBurst);
	}

	/**
	 * Sets the peers. A new peer counts as silent from now on; the assumed spending of a
	 * peer that is removed still counts.
	 * @param now the monotonic time in milliseconds
	 * @param identifiers the identifiers of the peers, without this daemon
	 */
	public void setPeers(long now, Set<String> identifiers) {
		fill(now);
		this.peers.keySet().retainAll(identifiers);
		for (String identifier : identifiers) {
			this.peers.computeIfAbsent(identifier, (key) -> new Peer(now));
		}
	}

	/**
	 * Records the total spending that a peer reports.
	 * @param now the monotonic time in milliseconds
	 * @param identifier the peer; ignored if it is unknown
	 * @param total what the peer has spent since it started
	 */
	public void recordPeerSpending(long now, String identifier, double total) {
		fill(now);
		Peer peer = this.peers.get(identifier);
		if (peer == null) {
			return;
		}
		double newlySpent = peer.hasReported ? Math.max(0, total - peer.reportedTotal) : 0;
		this.level = Math.min(this.burst, this.level + peer.assumedSpending - newlySpent);
		peer.assumedSpending = 0;
		peer.reportedTotal = Math.max(peer.reportedTotal, total);
		peer.hasReported = true;
		peer.reportedAt = now;
	}

	/**
	 * Spends a cost if the bucket holds enough.
	 * @param now the monotonic time in milliseconds
	 * @param cost the cost
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
	 * Refunds the cost of a request that certainly did not run.
	 * @param cost the cost
	 */
	public void refund(double cost) {
		this.level = Math.min(this.burst, this.level + cost);
		this.spent -= cost;
	}

	/**
	 * Returns how long it takes until the bucket covers a cost if nothing else is spent.
	 * @param now the monotonic time in milliseconds
	 * @param cost the cost
	 * @return the time from now in milliseconds
	 */
	public long millisecondsUntilAvailable(long now, double cost) {
		fill(now);
		double missing = Math.min(cost, this.burst) - this.level;
		return (missing <= 0) ? 0 : (long) Math.ceil(missing / Math.max(this.ratePerSecond, Double.MIN_NORMAL) * 1_000);
	}

	/**
	 * Returns the total spending of this daemon.
	 * @return the sum of all costs minus refunds
	 */
	public double spent() {
		return this.spent;
	}

	/**
	 * Returns the level of the bucket.
	 * @param now the monotonic time in milliseconds
	 * @return the level, negative while more was spent than the bucket held
	 */
	public double level(long now) {
		fill(now);
		return this.level;
	}

	private void fill(long now) {
		double seconds = Math.max(0, now - this.filledAtMilliseconds) / 1_000.0;
		this.filledAtMilliseconds = Math.max(now, this.filledAtMilliseconds);
		this.level += this.ratePerSecond * seconds;
		double peerRate = this.ratePerSecond / (this.peers.size() + 1);
		for (Peer peer : this.peers.values()) {
			double silentSeconds = Math.max(0, now - peer.reportedAt) / 1_000.0;
			double assumedSpending = peerRate * silentSeconds;
			this.level -= assumedSpending - peer.assumedSpending;
			peer.assumedSpending = assumedSpending;
		}
		this.level = Math.min(this.burst, this.level);
	}

	/** A peer's reported and assumed spending. */
	private static final class Peer {

		private long reportedAt;

		private double reportedTotal;

		private double assumedSpending;

		private boolean hasReported;

		private Peer(long now) {
			this.reportedAt = now;
		}

	}

}

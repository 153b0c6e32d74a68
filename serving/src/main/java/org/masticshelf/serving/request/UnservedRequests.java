package org.masticshelf.serving.request;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.masticshelf.kernel.serving.LoadableName;
import org.masticshelf.kernel.time.MonotonicClock;
import org.masticshelf.serving.peer.PeerMessage;

/**
 * Counts, for each model and adapter, the requests that ended without an endpoint since
 * one was last served here.
 * <p>
 * A request that is refused at once never waits, so the need for what it asked for would
 * otherwise be forgotten with its answer. Invariant: at most {@link #MAXIMUM_ENTRIES}
 * models and adapters are kept, those requested last. Thread-safe.
 */
public final class UnservedRequests {

	/** The maximum number of models and adapters that are counted at a time. */
	static final int MAXIMUM_ENTRIES = 256;

	/** The maximum number of models and adapters in a summary. */
	static final int MAXIMUM_SUMMARY = 48;

	/** How long a model or adapter that is requested no longer is remembered. */
	static final long RETENTION_MILLISECONDS = 30_000;

	private final MonotonicClock clock;

	private final Map<Key, Count> counts = new HashMap<>();

	/**
	 * Creates an empty set of counts.
	 * @param clock the clock
	 */
	public UnservedRequests(MonotonicClock clock) {
		this.clock = clock;
	}

	/**
	 * Records a request that ended without an endpoint.
	 * @param pool the pool
	 * @param loadable the requested model or adapter
	 */
	public synchronized void recordUnserved(String pool, LoadableName loadable) {
		long now = this.clock.milliseconds();
		this.counts.merge(new Key(pool, loadable), new Count(1, now, now),
				(known, added) -> new Count(known.requests() + 1, known.firstAt(), now));
		removeExpired(now);
		if (this.counts.size() > MAXIMUM_ENTRIES) {
			this.counts.entrySet()
				.stream()
				.min(Comparator.comparingLong((entry) -> entry.getValue().lastAt()))
				.ifPresent((oldest) -> this.counts.remove(oldest.getKey()));
		}
	}

	/**
	 * Records that a request was served, which ends the count of what it asked for.
	 * @param pool the pool
	 * @param loadable the requested model or adapter
	 */
	public synchronized void recordServed(String pool, LoadableName loadable) {
		this.counts.remove(new Key(pool, loadable));
	}

	/**
	 * Summarises the counts for the placing daemon.
	 * @return the models and adapters that most requests asked for in vain
	 */
	public synchronized List<PeerMessage.Unserved> summary() {
		long now = this.clock.milliseconds();
		removeExpired(now);
		List<PeerMessage.Unserved> summary = new ArrayList<>();
		this.counts.forEach((key, count) -> summary.add(new PeerMessage.Unserved(key.pool(), key.loadable().toString(),
				count.requests(), now - count.firstAt(), now - count.lastAt())));
		summary.sort(Comparator.comparingInt(PeerMessage.Unserved::count)
			.reversed()
			.thenComparingLong(PeerMessage.Unserved::newest));
		return List.copyOf(summary.subList(0, Math.min(MAXIMUM_SUMMARY, summary.size())));
	}

	private void removeExpired(long now) {
		this.counts.values().removeIf((count) -> now - count.lastAt() > RETENTION_MILLISECONDS);
	}

	/**
	 * What requests asked for.
	 *
	 * @param pool the pool
	 * @param loadable the model or adapter
	 */
	private record Key(String pool, LoadableName loadable) {
	}

	/**
	 * The requests for one model or adapter.
	 *
	 * @param requests their number
	 * @param firstAt when the first of them ended, monotonic milliseconds
	 * @param lastAt when the last of them ended, monotonic milliseconds
	 */
	private record Count(int requests, long firstAt, long lastAt) {
	}

}

package org.masticshelf.serving.request;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;

import org.jspecify.annotations.Nullable;

import org.masticshelf.kernel.serving.LoadableName;
import org.masticshelf.kernel.serving.ServedPool;
import org.masticshelf.kernel.serving.ServedTables;
import org.masticshelf.kernel.time.MonotonicClock;
import org.masticshelf.serving.peer.PeerMessage;

/**
 * Tracks the requests that wait for an endpoint which holds what they need and has
 * capacity.
 * <p>
 * Invariant: no wake-up is lost; a change that is signalled after a request has read the
 * change count ends its wait. Thread-safe.
 */
public final class WaitingRequests {

	private final MonotonicClock clock;

	private final Runnable onEntry;

	private final ReentrantLock lock = new ReentrantLock();

	private final Condition changed = this.lock.newCondition();

	private final Map<Entry, Long> entries = new HashMap<>();

	private final OrderedRequests ordered;

	private final QueueCutoffs cutoffs;

	private final UrgentArrivals urgentArrivals;

	private volatile boolean costAllowed = true;

	private long changeCount;

	/**
	 * Creates an empty set.
	 * @param clock the clock
	 * @param onEntry called when a request begins to wait for a model or adapter
	 */
	public WaitingRequests(MonotonicClock clock, Runnable onEntry) {
		this.clock = clock;
		this.onEntry = onEntry;
		this.ordered = new OrderedRequests(clock);
		this.cutoffs = new QueueCutoffs(clock);
		this.urgentArrivals = new UrgentArrivals(clock);
	}

	/**
	 * Sets whether requests may be ordered by cost.
	 * @param allowed whether they are ordered so in the pools whose routes ask for it,
	 * rather than by arrival everywhere
	 */
	public void setCostAllowed(boolean allowed) {
		this.costAllowed = allowed;
	}

	/**
	 * Summarises the requests that wait for slots of pools that are ordered by cost.
	 * @return a bounded number of entries for each pool
	 */
	public List<PeerMessage.QueuedWork> queuedWork() {
		return this.ordered.summary();
	}

	/**
	 * Returns the cutoffs of the pools that are ordered by cost.
	 * @return the cutoffs
	 */
	QueueCutoffs cutoffs() {
		return this.cutoffs;
	}

	/**
	 * Returns the urgent requests that arrived recently.
	 * @return the requests in pools that are ordered by cost
	 */
	UrgentArrivals urgentArrivals() {
		return this.urgentArrivals;
	}

	/**
	 * Returns the requests that are ordered by cost.
	 * @return the queues of the pools that are ordered so
	 */
	OrderedRequests ordered() {
		return this.ordered;
	}

	/**
	 * Returns whether requests get slots of a pool in order of cost instead of arrival.
	 * @param tables the current tables
	 * @param pool the name of the pool
	 * @return whether it has engines and its routes state different priorities
	 */
	boolean isOrderedByCost(@Nullable ServedTables tables, String pool) {
		return this.costAllowed && tables != null && tables.hasSeveralPriorities(pool)
				&& tables.findPool(pool) instanceof ServedPool found && found.engine() != null;
	}

	/**
	 * Returns the number of signalled changes.
	 * @return a number that grows with each change
	 */
	public long changeCount() {
		this.lock.lock();
		try {
			return this.changeCount;
		}
		finally {
			this.lock.unlock();
		}
	}

	/**
	 * Wakes the waiting requests, so that they check again; of those that are ordered by
	 * cost only the ones that may proceed.
	 */
	public void signal() {
		this.lock.lock();
		try {
			this.changeCount++;
			this.changed.signalAll();
		}
		finally {
			this.lock.unlock();
		}
		this.ordered.signal();
	}

	/** Wakes all waiting requests, so that each checks whether it goes on waiting. */
	public void wakeAll() {
		signal();
		this.ordered.wakeAll();
	}

	/**
	 * Adds a request.
	 * @param pool the pool
	 * @param loadable the model or adapter, {@code null} for a plain call
	 * @param objectiveMilliseconds the time left until the request's latency objective
	 * @return the entry, to be passed to {@link #remove}
	 */
	public Entry add(String pool, @Nullable LoadableName loadable, long objectiveMilliseconds) {
		Entry entry = new Entry(pool, loadable, this.clock.milliseconds() + objectiveMilliseconds);
		this.lock.lock();
		try {
			this.entries.put(entry, this.clock.milliseconds());
		}
		finally {
			this.lock.unlock();
		}
		if (loadable != null) {
			this.onEntry.run();
		}
		return entry;
	}

	/**
	 * Removes a request.
	 * @param entry the entry of the request
	 */
	public void remove(Entry entry) {
		this.lock.lock();
		try {
			this.entries.remove(entry);
		}
		finally {
			this.lock.unlock();
		}
	}

	/**
	 * Counts the requests that wait for the same and came earlier.
	 * @param pool the pool
	 * @param loadable the model or adapter, {@code null} for a plain call
	 * @param entry the entry of the request, {@code null} if it does not wait yet
	 * @return the number of requests
	 */
	public int countAhead(String pool, @Nullable LoadableName loadable, @Nullable Entry entry) {
		this.lock.lock();
		try {
			Long since = (entry != null) ? this.entries.get(entry) : null;
			long before = (since != null) ? since : Long.MAX_VALUE;
			return (int) this.entries.entrySet()
				.stream()
				.filter((other) -> other.getKey() != entry && other.getValue() <= before
						&& other.getKey().pool.equals(pool) && Objects.equals(other.getKey().loadable, loadable))
				.count();
		}
		finally {
			this.lock.unlock();
		}
	}

	/**
	 * Waits until a change is signalled.
	 * @param seenChanges the change count before the last check
	 * @param milliseconds the timeout
	 */
	public void awaitChange(long seenChanges, long milliseconds) {
		this.lock.lock();
		try {
			long remainingNanoseconds = TimeUnit.MILLISECONDS.toNanos(milliseconds);
			while (this.changeCount == seenChanges && remainingNanoseconds > 0) {
				remainingNanoseconds = this.changed.awaitNanos(remainingNanoseconds);
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		finally {
			this.lock.unlock();
		}
	}

	/**
	 * Returns the number of waiting requests.
	 * @return the number
	 */
	public int size() {
		this.lock.lock();
		try {
			return this.entries.size();
		}
		finally {
			this.lock.unlock();
		}
	}

	/**
	 * Summarises what requests wait for.
	 * @return one entry for each pool and model or adapter
	 */
	public List<PeerMessage.Waiting> summary() {
		this.lock.lock();
		try {
			long now = this.clock.milliseconds();
			Map<String, PeerMessage.Waiting> sums = new HashMap<>();
			this.entries.forEach((entry, since) -> {
				if (entry.loadable != null) {
					PeerMessage.Waiting one = new PeerMessage.Waiting(entry.pool, entry.loadable.toString(), 1,
							now - since, entry.objectiveAt - now);
					sums.merge(entry.pool + " " + entry.loadable, one, WaitingRequests::merge);
				}
			});
			return new ArrayList<>(sums.values());
		}
		finally {
			this.lock.unlock();
		}
	}

	private static PeerMessage.Waiting merge(PeerMessage.Waiting first, PeerMessage.Waiting second) {
		return new PeerMessage.Waiting(first.pool(), first.loadable(), first.count() + second.count(),
				Math.max(first.oldest(), second.oldest()), Math.max(first.objective(), second.objective()));
	}

	/** The entry of one waiting request. */
	public static final class Entry {

		private final String pool;

		private final @Nullable LoadableName loadable;

		private final long objectiveAt;

		private Entry(String pool, @Nullable LoadableName loadable, long objectiveAt) {
			this.pool = pool;
			this.loadable = loadable;
			this.objectiveAt = objectiveAt;
		}

	}

}

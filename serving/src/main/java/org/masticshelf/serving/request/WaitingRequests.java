package org.masticshelf.serving.request;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;

import org.jspecify.annotations.Nullable;

import org.masticshelf.kernel.serving.Loadable;
import org.masticshelf.kernel.time.MonotonicClock;
import org.masticshelf.serving.peer.PeerMessage;

/**
 * Requests that wait for an endpoint which holds what they need and has room.
 * <p>
 * Invariant: a change that is signalled after a request has looked ends its wait. Safe
 * for use by several threads.
 */
public final class WaitingRequests {

	private final MonotonicClock clock;

	private final Runnable onEntry;

	private final ReentrantLock lock = new ReentrantLock();

	private final Condition changed = this.lock.newCondition();

	private final Map<Entry, Long> waiting = new HashMap<>();

	private long changes;

	/**
	 * Creates an empty room.
	 * @param clock the clock
	 * @param onEntry run when a request begins to wait for a model or adapter
	 */
	public WaitingRequests(MonotonicClock clock, Runnable onEntry) {
		this.clock = clock;
		this.onEntry = onEntry;
	}

	/**
	 * Returns a number that grows with each change.
	 * @return the number of changes so far
	 */
	public long changeCount() {
		this.lock.lock();
		try {
			return this.changes;
		}
		finally {
			this.lock.unlock();
		}
	}

	/** Ends the waits of all requests, so that they look again. */
	public void signal() {
		this.lock.lock();
		try {
			this.changes++;
			this.changed.signalAll();
		}
		finally {
			this.lock.unlock();
		}
	}

	/**
	 * Begins to wait.
	 * @param pool the pool
	 * @param loadable the model or adapter, {@code null} for a plain call
	 * @param objectiveMilliseconds how long until the request's latency objective
	 * @return the place in the room, to be given back by {@link #remove}
	 */
	public Entry add(String pool, @Nullable Loadable loadable, long objectiveMilliseconds) {
		Entry ticket = new Entry(pool, loadable, this.clock.milliseconds() + objectiveMilliseconds);
		this.lock.lock();
		try {
			this.waiting.put(ticket, this.clock.milliseconds());
		}
		finally {
			this.lock.unlock();
		}
		if (loadable != null) {
			this.onEntry.run();
		}
		return ticket;
	}

	/**
	 * Ends waiting.
	 * @param ticket the place in the room
	 */
	public void remove(Entry ticket) {
		this.lock.lock();
		try {
			this.waiting.remove(ticket);
		}
		finally {
			this.lock.unlock();
		}
	}

	/**
	 * Waits for a change.
	 * @param seen the number of changes before the last look
	 * @param milliseconds how long to wait at most
	 */
	public void awaitChange(long seen, long milliseconds) {
		this.lock.lock();
		try {
			long left = TimeUnit.MILLISECONDS.toNanos(milliseconds);
			while (this.changes == seen && left > 0) {
				left = this.changed.awaitNanos(left);
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
	 * Returns how many requests wait.
	 * @return the number
	 */
	public int size() {
		this.lock.lock();
		try {
			return this.waiting.size();
		}
		finally {
			this.lock.unlock();
		}
	}

	/**
	 * Sums up what requests wait for.
	 * @return one entry for each pool and model or adapter
	 */
	public List<PeerMessage.Waiting> summary() {
		this.lock.lock();
		try {
			long now = this.clock.milliseconds();
			Map<String, PeerMessage.Waiting> sums = new HashMap<>();
			this.waiting.forEach((ticket, since) -> {
				if (ticket.loadable != null) {
					PeerMessage.Waiting one = new PeerMessage.Waiting(ticket.pool, ticket.loadable.toString(), 1,
							now - since, ticket.objectiveAt - now);
					sums.merge(ticket.pool + " " + ticket.loadable, one, WaitingRequests::merge);
				}
			});
			return new ArrayList<>(sums.values());
		}
		finally {
			this.lock.unlock();
		}
	}

	private static PeerMessage.Waiting merge(PeerMessage.Waiting left, PeerMessage.Waiting right) {
		return new PeerMessage.Waiting(left.pool(), left.loadable(), left.count() + right.count(),
				Math.max(left.oldest(), right.oldest()), Math.max(left.objective(), right.objective()));
	}

	/** The place of one request in the room. */
	public static final class Entry {

		private final String pool;

		private final @Nullable Loadable loadable;

		private final long objectiveAt;

		private Entry(String pool, @Nullable Loadable loadable, long objectiveAt) {
			this.pool = pool;
			this.loadable = loadable;
			this.objectiveAt = objectiveAt;
		}

	}

}

package org.masticshelf.serving.request;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.locks.ReentrantLock;

import org.jspecify.annotations.Nullable;

import org.masticshelf.kernel.admission.WaitingOrder;
import org.masticshelf.kernel.serving.ServedEndpoint;
import org.masticshelf.kernel.time.MonotonicClock;
import org.masticshelf.serving.peer.PeerMessage;

/**
 * Gives free slots to waiting requests in the order of {@link WaitingOrder}, in the pools
 * that are ordered by cost.
 * <p>
 * A change is examined once for all requests: the thread that signals it claims a slot
 * for each request that may proceed, in order, and wakes only these.
 * <p>
 * Invariants: no wake-up is lost, because a request tries to claim a slot and is added in
 * one step under the lock, and each later change is examined with it in the queue; a
 * request that cannot use a free slot is passed over, so that it delays no other; a
 * claimed slot is counted as used before the next one is claimed. The lock guards all
 * fields; it is taken before those of the endpoints' state. Thread-safe.
 */
final class OrderedRequests {

	private final MonotonicClock clock;

	private final ReentrantLock lock = new ReentrantLock();

	private final Map<String, PoolQueue> pools = new HashMap<>();

	private final AtomicBoolean examinationPending = new AtomicBoolean();

	private volatile int size;

	private long lastNumber;

	OrderedRequests(MonotonicClock clock) {
		this.clock = clock;
	}

	/**
	 * Creates the turn of a request that has just been admitted.
	 * @param pool the pool
	 * @param claim claims a slot for the request
	 * @param needs what the request needs
	 * @return the turn, to be passed to {@link #leave}
	 */
	QueuedTurn create(String pool, QueuedTurn.Claim claim, QueuedTurn.Needs needs) {
		this.lock.lock();
		try {
			PoolQueue queue = this.pools.computeIfAbsent(pool, PoolQueue::new);
			return new QueuedTurn(queue, claim, needs, ++this.lastNumber, this.lock.newCondition());
		}
		finally {
			this.lock.unlock();
		}
	}

	/**
	 * Takes a free slot unless requests that rank before this one could use it. A request
	 * that gets none waits from now on.
	 * @param turn the turn of the request
	 * @return the endpoint with the claimed slot, {@code null} if the request has to wait
	 */
	@Nullable ServedEndpoint take(QueuedTurn turn) {
		this.lock.lock();
		try {
			long now = this.clock.milliseconds();
			if (!turn.hasSlot() && !turn.isQueued()) {
				// A change that is signalled from here on is examined for this request.
				this.size++;
				turn.setQueued(true);
				this.size += turn.queue().add(turn, now) - 1;
			}
			else if (!turn.hasSlot() && turn.queue().isExaminationDue(now)) {
				this.size -= turn.queue().examineChange(now);
			}
			return turn.take();
		}
		finally {
			this.lock.unlock();
		}
	}

	/**
	 * Waits until a slot is claimed for the request or its caller has gone.
	 * @param turn the turn of the request
	 * @param milliseconds the timeout
	 */
	void await(QueuedTurn turn, long milliseconds) {
		this.lock.lock();
		try {
			// Each waiting request checks its limits now and then; many do so less often.
			long bounded = Math.min(milliseconds, Math.clamp(2L * this.size, 100, 1_000));
			turn.await(TimeUnit.MILLISECONDS.toNanos(bounded));
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		finally {
			this.lock.unlock();
		}
	}

	/**
	 * Ends the turn of a request.
	 * @param turn the turn
	 * @return the endpoint with a slot that was claimed and not taken, to be released
	 */
	@Nullable ServedEndpoint leave(QueuedTurn turn) {
		this.lock.lock();
		try {
			if (turn.isQueued()) {
				turn.queue().remove(turn);
				turn.setQueued(false);
				this.size--;
			}
			return turn.take();
		}
		finally {
			this.lock.unlock();
		}
	}

	/** Examines a change for all waiting requests. */
	void signal() {
		// A thread that has not begun its examination yet sees this change, too.
		if (this.size == 0 || this.examinationPending.getAndSet(true)) {
			return;
		}
		this.lock.lock();
		try {
			this.examinationPending.getAndSet(false);
			long now = this.clock.milliseconds();
			for (PoolQueue queue : this.pools.values()) {
				this.size -= queue.examineChange(now);
			}
		}
		finally {
			this.lock.unlock();
		}
	}

	/** Wakes all waiting requests, so that they check whether they go on waiting. */
	void wakeAll() {
		this.lock.lock();
		try {
			this.pools.values().forEach(PoolQueue::wakeAll);
		}
		finally {
			this.lock.unlock();
		}
	}

	/**
	 * Records that a request has left its slot.
	 * @param pool the pool
	 * @param startMilliseconds how long the endpoint took to begin the answer
	 * @param wholeMilliseconds how long the request occupied the slot
	 */
	void recordService(String pool, long startMilliseconds, long wholeMilliseconds) {
		this.lock.lock();
		try {
			PoolQueue queue = this.pools.get(pool);
			if (queue != null) {
				queue.recordService(startMilliseconds, wholeMilliseconds);
			}
		}
		finally {
			this.lock.unlock();
		}
	}

	/**
	 * Returns where a waiting request stands.
	 * @param turn the turn of the request
	 * @return its place as of the last examination
	 */
	QueuedTurn.Place place(QueuedTurn turn) {
		this.lock.lock();
		try {
			return turn.place(this.clock.milliseconds());
		}
		finally {
			this.lock.unlock();
		}
	}

	/**
	 * Records whether a request waits for a slot, rather than for a model that no engine
	 * holds.
	 * @param turn the turn of the request
	 * @param waitsForSlot whether engines hold what it needs
	 */
	void recordWaitsForSlot(QueuedTurn turn, boolean waitsForSlot) {
		this.lock.lock();
		try {
			turn.setWaitsForSlot(waitsForSlot);
		}
		finally {
			this.lock.unlock();
		}
	}

	/**
	 * Summarises the requests that wait for slots.
	 * @return at most {@value PoolQueue#MAXIMUM_KINDS} kinds of each pool, lower
	 * priorities joined
	 */
	List<PeerMessage.QueuedWork> summary() {
		if (this.size == 0) {
			return List.of();
		}
		List<PeerMessage.QueuedWork> result = new ArrayList<>();
		this.lock.lock();
		try {
			long now = this.clock.milliseconds();
			this.pools.values().forEach((queue) -> result.addAll(queue.summary(now)));
		}
		finally {
			this.lock.unlock();
		}
		return result;
	}

	/**
	 * Counts the waiting requests.
	 * @return their number by pool and priority
	 */
	Map<String, Map<Integer, Integer>> depths() {
		this.lock.lock();
		try {
			Map<String, Map<Integer, Integer>> depths = new HashMap<>();
			this.pools.forEach((pool, queue) -> depths.put(pool, queue.depths()));
			return depths;
		}
		finally {
			this.lock.unlock();
		}
	}

}

package org.masticshelf.serving.request;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;

import org.jspecify.annotations.Nullable;

import org.masticshelf.kernel.admission.RecentWork;
import org.masticshelf.kernel.admission.WaitingOrder;
import org.masticshelf.kernel.serving.ServedEndpoint;
import org.masticshelf.kernel.time.MonotonicClock;

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

	/**
	 * How often changes that nobody signals are examined, such as the end of an ejection.
	 */
	private static final long EXAMINATION_MILLISECONDS = 50;

	/** How long an endpoint is expected to begin an answer until one has been seen. */
	private static final double DEFAULT_START_MILLISECONDS = 150;

	/** The weight of the latest answer in averages. */
	private static final double SMOOTHING_FACTOR = 0.1;

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
	Turn create(String pool, Claim claim, Needs needs) {
		this.lock.lock();
		try {
			PoolQueue queue = this.pools.computeIfAbsent(pool, (name) -> new PoolQueue());
			long start = (long) (needs.untilFirstEvent() ? queue.startMilliseconds
					: Math.max(queue.startMilliseconds, queue.serviceMilliseconds));
			WaitingOrder.Waiting waiting = new WaitingOrder.Waiting(needs.priority(), needs.arrivedAt(),
					needs.objectiveMilliseconds(), needs.deadlineAt(), start, needs.work(), ++this.lastNumber);
			return new Turn(queue, claim, needs, waiting, this.lock.newCondition());
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
	@Nullable ServedEndpoint take(Turn turn) {
		this.lock.lock();
		try {
			PoolQueue queue = turn.queue;
			boolean outdated = this.clock.milliseconds() - queue.examinedAt >= EXAMINATION_MILLISECONDS;
			if (queue.turns.isEmpty()) {
				// Changes are not examined while nobody waits.
				queue.blocked.clear();
			}
			boolean arrives = turn.claimed == null && !turn.queued;
			if (arrives) {
				this.size++;
				turn.queued = true;
				queue.turns.add(turn);
			}
			if (turn.claimed == null && outdated) {
				examineChange(queue);
			}
			else if (arrives) {
				examine(queue, turn);
			}
			ServedEndpoint endpoint = turn.claimed;
			turn.claimed = null;
			return endpoint;
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
	void await(Turn turn, long milliseconds) {
		this.lock.lock();
		try {
			// Each waiting request checks its limits now and then; many do so less often.
			long bounded = Math.min(milliseconds, Math.clamp(2L * this.size, 100, 1_000));
			long remainingNanoseconds = TimeUnit.MILLISECONDS.toNanos(bounded);
			while (!turn.woken && remainingNanoseconds > 0) {
				remainingNanoseconds = turn.wakeUp.awaitNanos(remainingNanoseconds);
			}
			turn.woken = false;
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
	@Nullable ServedEndpoint leave(Turn turn) {
		this.lock.lock();
		try {
			if (turn.queued) {
				turn.queue.turns.remove(turn);
				turn.queued = false;
				this.size--;
			}
			ServedEndpoint unused = turn.claimed;
			turn.claimed = null;
			return unused;
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
			this.pools.values().forEach(this::examineChange);
		}
		finally {
			this.lock.unlock();
		}
	}

	/**
	 * Records that a request has left its slot.
	 * @param pool the pool
	 * @param startMilliseconds the time until the first event, negative if there was none
	 * @param wholeMilliseconds how long the request occupied the slot
	 */
	void recordService(String pool, long startMilliseconds, long wholeMilliseconds) {
		this.lock.lock();
		try {
			PoolQueue queue = this.pools.get(pool);
			if (queue != null) {
				queue.serviceMilliseconds = (queue.serviceMilliseconds > 0)
						? queue.serviceMilliseconds + SMOOTHING_FACTOR * (wholeMilliseconds - queue.serviceMilliseconds)
						: Math.max(1, wholeMilliseconds);
				if (startMilliseconds >= 0) {
					queue.startMilliseconds += SMOOTHING_FACTOR * (startMilliseconds - queue.startMilliseconds);
				}
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
	Place place(Turn turn) {
		this.lock.lock();
		try {
			return new Place(turn.rank, turn.ahead, turn.aheadWork, turn.waiting.slack(this.clock.milliseconds()),
					turn.queue.serviceMilliseconds);
		}
		finally {
			this.lock.unlock();
		}
	}

	private void examineChange(PoolQueue queue) {
		queue.blocked.clear();
		queue.examinedAt = this.clock.milliseconds();
		if (!queue.turns.isEmpty()) {
			examine(queue, null);
		}
	}

	/**
	 * Claims slots in order.
	 * @param queue the queue of the pool
	 * @param last the request after which the examination ends, {@code null} to examine
	 * all
	 */
	private void examine(PoolQueue queue, @Nullable Turn last) {
		List<Turn> ranked = rank(queue);
		int missedFrom = 0;
		while (missedFrom < ranked.size() && !ranked.get(missedFrom).rank.isMissed()) {
			missedFrom++;
		}
		int missed = missedFrom;
		int inTime = 0;
		while (inTime < missedFrom || missed < ranked.size()) {
			boolean fromMissed = missed < ranked.size()
					&& (inTime == missedFrom || WaitingOrder.isMissedDue(queue.slotsSinceMissed));
			Turn turn = ranked.get(fromMissed ? missed++ : inTime++);
			if (claim(queue, turn)) {
				queue.slotsSinceMissed = fromMissed ? 0 : queue.slotsSinceMissed + 1;
			}
			if (turn == last) {
				return;
			}
		}
	}

	// The queue was sorted before and has hardly changed since, so that sorting is cheap.
	private List<Turn> rank(PoolQueue queue) {
		long now = this.clock.milliseconds();
		for (Turn turn : queue.turns) {
			turn.rank = WaitingOrder.rank(turn.waiting, now, queue.recentWork.of(turn.needs.organisation()));
		}
		queue.turns.sort(Comparator.comparing((turn) -> turn.rank));
		Map<String, long[]> sums = new HashMap<>();
		for (Turn turn : queue.turns) {
			long[] sum = sums.computeIfAbsent(turn.needs.loadable(), (key) -> new long[2]);
			turn.ahead = (int) sum[0]++;
			turn.aheadWork = sum[1];
			sum[1] += turn.waiting.work();
		}
		return new ArrayList<>(queue.turns);
	}

	private boolean claim(PoolQueue queue, Turn turn) {
		if (turn.claim.isGone()) {
			turn.wake();
			return false;
		}
		String loadable = turn.needs.loadable();
		Long blockedWork = queue.blocked.get(loadable);
		if (blockedWork != null && turn.waiting.work() >= blockedWork) {
			return false;
		}
		ServedEndpoint endpoint = turn.claim.claim();
		if (endpoint == null) {
			// A request that avoids endpoints says nothing about the others.
			if (!turn.claim.avoidsEndpoints()) {
				queue.blocked.merge(loadable, turn.waiting.work(), Math::min);
			}
			return false;
		}
		turn.claimed = endpoint;
		turn.queued = false;
		this.size--;
		queue.turns.remove(turn);
		queue.recentWork.add(turn.needs.organisation(), turn.waiting.work(), this.clock.milliseconds());
		turn.wake();
		return true;
	}

	/** Claims a slot for one request. Called under the lock. */
	interface Claim {

		/**
		 * Chooses an endpoint with a free slot and counts the request as running there.
		 * @return the endpoint, {@code null} if none that the request can use has one
		 */
		@Nullable ServedEndpoint claim();

		/**
		 * Returns whether endpoints have failed or refused this request.
		 * @return whether it can use fewer endpoints than others of its kind
		 */
		boolean avoidsEndpoints();

		/**
		 * Returns whether the caller has disconnected.
		 * @return whether the request ends without a slot
		 */
		boolean isGone();

	}

	/**
	 * What decides on the rank of a request. Immutable.
	 *
	 * @param loadable the model or adapter, empty for none; requests for the same one can
	 * use the same endpoints
	 * @param organisation the organisation, empty for none
	 * @param priority the priority, 0 is the highest
	 * @param arrivedAt when it arrived, in milliseconds
	 * @param objectiveMilliseconds its objective
	 * @param untilFirstEvent whether the objective is for the first event of a stream
	 * @param deadlineAt when its caller gives up, in milliseconds
	 * @param work the tokens of its prompt and output
	 */
	record Needs(String loadable, String organisation, int priority, long arrivedAt, long objectiveMilliseconds,
			boolean untilFirstEvent, long deadlineAt, long work) {
	}

	/**
	 * Where a waiting request stands. Immutable.
	 *
	 * @param rank its rank
	 * @param ahead the requests for the same model or adapter that rank before it
	 * @param aheadWork their work in tokens
	 * @param slackMilliseconds the time that it can wait and meet its objective, negative
	 * if it misses it
	 * @param serviceMilliseconds how long a request of its pool occupies a slot on
	 * average, 0 if unknown
	 */
	record Place(WaitingOrder.Rank rank, int ahead, long aheadWork, long slackMilliseconds,
			double serviceMilliseconds) {
	}

	/** The turn of one request. Guarded by the lock of the enclosing instance. */
	static final class Turn {

		private final PoolQueue queue;

		private final Claim claim;

		private final Needs needs;

		private final WaitingOrder.Waiting waiting;

		private final Condition wakeUp;

		private WaitingOrder.Rank rank;

		private @Nullable ServedEndpoint claimed;

		private boolean queued;

		private boolean woken;

		private int ahead;

		private long aheadWork;

		private Turn(PoolQueue queue, Claim claim, Needs needs, WaitingOrder.Waiting waiting, Condition wakeUp) {
			this.queue = queue;
			this.claim = claim;
			this.needs = needs;
			this.waiting = waiting;
			this.wakeUp = wakeUp;
			this.rank = WaitingOrder.rank(waiting, waiting.arrivedAt(), 0);
		}

		private void wake() {
			this.woken = true;
			this.wakeUp.signal();
		}

	}

	/** The queue of one pool. Guarded by the lock of the enclosing instance. */
	private static final class PoolQueue {

		private final List<Turn> turns = new ArrayList<>();

		private final RecentWork recentWork = new RecentWork();

		/**
		 * The least work of a request that could use no slot, by model or adapter, as of
		 * the last change.
		 */
		private final Map<String, Long> blocked = new HashMap<>();

		private int slotsSinceMissed;

		private long examinedAt;

		private double serviceMilliseconds;

		private double startMilliseconds = DEFAULT_START_MILLISECONDS;

	}

}

package org.masticshelf.serving.request;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;

import org.jspecify.annotations.Nullable;

import org.masticshelf.kernel.admission.RecentWork;
import org.masticshelf.kernel.admission.WaitingOrder;
import org.masticshelf.kernel.serving.ServedEndpoint;
import org.masticshelf.serving.peer.PeerMessage;

/**
 * The requests that wait in one pool, and what was learned from those that were served.
 * <p>
 * Designed for thousands of waiting requests on a fraction of a core: requests that can
 * use the same endpoints are checked against these once for each change, and the queue
 * stays sorted between examinations. Not thread-safe; guarded by the lock of
 * {@link OrderedRequests}.
 */
final class PoolQueue {

	/** The kinds of requests of a pool of which peers are told. */
	static final int MAXIMUM_KINDS = 8;

	/**
	 * How often changes that nobody signals are examined, such as the end of an ejection.
	 */
	private static final long EXAMINATION_MILLISECONDS = 50;

	/** How long an endpoint is expected to begin an answer until one has been seen. */
	private static final double DEFAULT_START_MILLISECONDS = 150;

	/** The weight of the latest answer in averages. */
	private static final double SMOOTHING_FACTOR = 0.1;

	private final String pool;

	private final List<QueuedTurn> turns = new ArrayList<>();

	private final RecentWork recentWork = new RecentWork();

	/**
	 * The least work of a request that could use no slot, by model or adapter and by
	 * whether room is kept from it, as of the last change.
	 */
	private final Map<String, Long> blocked = new HashMap<>();

	/** Priorities that were seen keep a depth of 0. */
	private final Map<Integer, Integer> depths = new HashMap<>();

	private int slotsSinceMissed;

	private long examinedAt = Long.MIN_VALUE / 2;

	private double serviceMilliseconds;

	private double startMilliseconds = DEFAULT_START_MILLISECONDS;

	PoolQueue(String pool) {
		this.pool = pool;
	}

	/**
	 * Adds a request and claims a slot for it unless requests that rank before it could
	 * use the slot.
	 * @param turn the turn of the request
	 * @param now the current time in milliseconds
	 * @return by how much the number of waiting requests has grown
	 */
	int add(QueuedTurn turn, long now) {
		if (this.turns.isEmpty()) {
			// Changes are not examined while nobody waits.
			this.blocked.clear();
		}
		int before = this.turns.size();
		this.turns.add(turn);
		if (isExaminationDue(now)) {
			examineChange(now);
		}
		else {
			examine(turn, now);
		}
		return this.turns.size() - before;
	}

	/**
	 * Removes a request.
	 * @param turn the turn of the request
	 * @return whether it was waiting
	 */
	boolean remove(QueuedTurn turn) {
		return this.turns.remove(turn);
	}

	/**
	 * Returns whether unsignalled changes may have happened.
	 * @param now the current time in milliseconds
	 * @return whether the last examination is long ago
	 */
	boolean isExaminationDue(long now) {
		return now - this.examinedAt >= EXAMINATION_MILLISECONDS;
	}

	/**
	 * Claims slots for all requests that may proceed after a change.
	 * @param now the current time in milliseconds
	 * @return the number of requests that no longer wait
	 */
	int examineChange(long now) {
		this.blocked.clear();
		this.examinedAt = now;
		int before = this.turns.size();
		if (before > 0) {
			examine(null, now);
		}
		return before - this.turns.size();
	}

	/** Wakes all requests without a slot. */
	void wakeAll() {
		this.turns.forEach(QueuedTurn::wake);
	}

	private void examine(@Nullable QueuedTurn last, long now) {
		List<QueuedTurn> ranked = rank(now);
		int missedFrom = 0;
		while (missedFrom < ranked.size() && !ranked.get(missedFrom).rank().isMissed()) {
			missedFrom++;
		}
		int missed = missedFrom;
		int inTime = 0;
		while (inTime < missedFrom || missed < ranked.size()) {
			boolean fromMissed = missed < ranked.size()
					&& (inTime == missedFrom || WaitingOrder.isMissedDue(this.slotsSinceMissed));
			QueuedTurn turn = ranked.get(fromMissed ? missed++ : inTime++);
			if (claim(turn, now)) {
				this.slotsSinceMissed = fromMissed ? 0 : this.slotsSinceMissed + 1;
			}
			if (turn == last) {
				return;
			}
		}
	}

	// The queue was sorted before and has hardly changed since, so that sorting is cheap.
	private List<QueuedTurn> rank(long now) {
		for (QueuedTurn turn : this.turns) {
			turn.rank(now, this.recentWork.of(turn.needs().organisation()));
		}
		this.turns.sort(Comparator.comparing(QueuedTurn::rank));
		Map<String, long[]> sums = new HashMap<>();
		for (QueuedTurn turn : this.turns) {
			long[] sum = sums.computeIfAbsent(turn.needs().loadable(), (key) -> new long[2]);
			turn.place((int) sum[0]++, sum[1]);
			sum[1] += turn.needs().work();
		}
		return new ArrayList<>(this.turns);
	}

	private boolean claim(QueuedTurn turn, long now) {
		if (turn.claim().isGone()) {
			turn.wake();
			return false;
		}
		String loadable = turn.needs().loadable();
		String kind = turn.needs().isUrgent() ? loadable : loadable + " deferrable";
		Long blockedWork = this.blocked.get(kind);
		if (blockedWork != null && turn.needs().work() >= blockedWork) {
			return false;
		}
		ServedEndpoint endpoint = turn.claim().claim();
		if (endpoint == null) {
			// A request that avoids endpoints says nothing about the others.
			if (!turn.claim().avoidsEndpoints()) {
				this.blocked.merge(kind, turn.needs().work(), Math::min);
			}
			return false;
		}
		this.turns.remove(turn);
		this.recentWork.add(turn.needs().organisation(), turn.needs().work(), now);
		turn.give(endpoint);
		return true;
	}

	/**
	 * Learns from a request that was served.
	 * @param untilFirstEvent how long the endpoint took to begin the answer, in
	 * milliseconds
	 * @param whole how long the request occupied its slot, in milliseconds
	 */
	void recordService(long untilFirstEvent, long whole) {
		this.serviceMilliseconds = (this.serviceMilliseconds > 0)
				? this.serviceMilliseconds + SMOOTHING_FACTOR * (whole - this.serviceMilliseconds) : Math.max(1, whole);
		this.startMilliseconds += SMOOTHING_FACTOR * (untilFirstEvent - this.startMilliseconds);
	}

	/**
	 * Returns how long a request occupies a slot on average.
	 * @return the time in milliseconds, 0 if unknown
	 */
	double serviceMilliseconds() {
		return this.serviceMilliseconds;
	}

	/**
	 * Returns how long an endpoint takes to what an objective asks for.
	 * @param untilFirstEvent whether the objective is for the first event
	 * @return the average time in milliseconds
	 */
	long startMilliseconds(boolean untilFirstEvent) {
		return (long) (untilFirstEvent ? this.startMilliseconds
				: Math.max(this.startMilliseconds, this.serviceMilliseconds));
	}

	/**
	 * Summarises the requests that wait for slots.
	 * @param now the current time in milliseconds
	 * @return at most {@value #MAXIMUM_KINDS} kinds, lower priorities joined
	 */
	List<PeerMessage.QueuedWork> summary(long now) {
		NavigableMap<Integer, PeerMessage.QueuedWork> inTime = new TreeMap<>();
		NavigableMap<Integer, PeerMessage.QueuedWork> missed = new TreeMap<>();
		for (QueuedTurn turn : this.turns) {
			if (turn.waitsForSlot()) {
				boolean meets = turn.slack(now) >= 0;
				sum(meets ? inTime : missed,
						new PeerMessage.QueuedWork(this.pool, turn.needs().priority(), meets, 1, turn.needs().work()));
			}
		}
		List<PeerMessage.QueuedWork> result = new ArrayList<>(inTime.values());
		result.addAll(missed.values());
		return result;
	}

	private static void sum(NavigableMap<Integer, PeerMessage.QueuedWork> kinds, PeerMessage.QueuedWork one) {
		kinds.merge(one.priority(), one, PoolQueue::merge);
		if (kinds.size() > MAXIMUM_KINDS / 2) {
			PeerMessage.QueuedWork lowest = kinds.pollLastEntry().getValue();
			kinds.merge(kinds.lastKey(), lowest, PoolQueue::merge);
		}
	}

	private static PeerMessage.QueuedWork merge(PeerMessage.QueuedWork first, PeerMessage.QueuedWork second) {
		return new PeerMessage.QueuedWork(first.pool(), first.priority(), first.inTime(),
				first.count() + second.count(), first.work() + second.work());
	}

	/**
	 * Counts the waiting requests.
	 * @return their number by priority
	 */
	Map<Integer, Integer> depths() {
		this.depths.replaceAll((priority, count) -> 0);
		this.turns.forEach((turn) -> this.depths.merge(turn.needs().priority(), 1, Integer::sum));
		return Map.copyOf(this.depths);
	}

}

package org.masticshelf.kernel.queue;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;
import java.util.function.BiConsumer;
import java.util.function.Function;

import org.jspecify.annotations.Nullable;

/**
 * The waiting requests of one organisation by lane, and its deficit.
 * <p>
 * Invariant: no lane in the map is empty. Not safe for use by several threads; guarded by
 * the lock of the queue's shard.
 *
 * @param <T> the type of the item
 */
final class OrganisationQueue<T> {

	private final Map<String, NavigableMap<Long, WaitingRequest<T>>> lanes = new HashMap<>();

	private final NavigableMap<Long, WaitingRequest<T>> all = new TreeMap<>();

	private final Map<String, Long> costs = new HashMap<>();

	private final ServiceRate grantRate = new ServiceRate();

	private long deficit;

	private long totalCost;

	private @Nullable WaitingRequest<T> oldestWithoutGrant;

	private @Nullable Long limitedSince;

	private int weight = 1;

	void add(WaitingRequest<T> waiting) {
		this.weight = waiting.weight();
		this.all.put(waiting.sequence(), waiting);
		this.lanes.computeIfAbsent(waiting.lane(), (lane) -> new TreeMap<>()).put(waiting.sequence(), waiting);
		this.costs.merge(waiting.lane(), waiting.costTokens(), Long::sum);
		this.totalCost += waiting.costTokens();
	}

	boolean remove(WaitingRequest<T> waiting) {
		if (!this.all.remove(waiting.sequence(), waiting)) {
			return false;
		}
		NavigableMap<Long, WaitingRequest<T>> lane = this.lanes.get(waiting.lane());
		if (lane == null) {
			throw new IllegalStateException("lane " + waiting.lane() + " of a waiting request is missing");
		}
		lane.remove(waiting.sequence());
		this.costs.merge(waiting.lane(), -waiting.costTokens(), Long::sum);
		this.totalCost -= waiting.costTokens();
		if (lane.isEmpty()) {
			this.lanes.remove(waiting.lane());
			this.costs.remove(waiting.lane());
		}
		return true;
	}

	/**
	 * Finds the earliest request that is first of its lane and ready.
	 * @param readiness tells whether a request can be dispatched now
	 * @param observer told the readiness that was seen for each first request of a lane
	 * @return the request or {@code null} if no lane is ready
	 */
	@Nullable WaitingRequest<T> firstReady(Function<WaitingRequest<T>, Readiness> readiness,
			BiConsumer<WaitingRequest<T>, Readiness> observer) {
		WaitingRequest<T> best = null;
		for (NavigableMap<Long, WaitingRequest<T>> lane : this.lanes.values()) {
			WaitingRequest<T> head = lane.firstEntry().getValue();
			if (best != null && best.sequence() < head.sequence()) {
				continue;
			}
			Readiness state = readiness.apply(head);
			observer.accept(head, state);
			if (state == Readiness.READY) {
				best = head;
			}
		}
		return best;
	}

	/**
	 * Returns how many rounds have to pass until a cost is covered.
	 * @param costTokens the cost in tokens
	 * @param quantumTokens the gain of weight 1 per round in tokens
	 * @return rounds, 0 if the deficit covers it now
	 */
	long roundsUntil(long costTokens, long quantumTokens) {
		long missing = costTokens - this.deficit;
		return (missing <= 0) ? 0 : Math.ceilDiv(missing, quantumTokens * this.weight);
	}

	void addQuanta(long rounds, long quantumTokens) {
		this.deficit += rounds * quantumTokens * this.weight;
	}

	/**
	 * Measures how fast the grant lets requests go.
	 * @param limits what was seen to limit the first requests of lanes
	 * @param now the monotonic reading in nanoseconds
	 */
	void recordLimits(Map<WaitingRequest<T>, Readiness> limits, long now) {
		this.oldestWithoutGrant = limits.entrySet()
			.stream()
			.filter((entry) -> entry.getValue() == Readiness.NO_GRANT)
			.map(Map.Entry::getKey)
			.min(Comparator.comparingLong(WaitingRequest::sequence))
			.orElse(null);
		this.limitedSince = (this.oldestWithoutGrant != null) ? sinceOrNow(this.limitedSince, now) : null;
		if (this.oldestWithoutGrant != null) {
			this.grantRate.recordLimited(now);
		}
		else if (!limits.containsValue(Readiness.READY)) {
			this.grantRate.reset();
		}
	}

	private static Long sinceOrNow(@Nullable Long since, long now) {
		return (since != null) ? since : Long.valueOf(now);
	}

	/**
	 * Notes that one of the requests was dispatched.
	 * @param costTokens its cost in tokens
	 * @param now the monotonic reading in nanoseconds
	 */
	void recordDispatch(long costTokens, long now) {
		deduct(costTokens);
		this.grantRate.recordDispatch(costTokens, now);
	}

	/**
	 * Estimates how long the waiting requests take to get their tokens: by the measured
	 * rate, and at least as long as the first of them has waited for its own. Time in
	 * which the keeper of the grant did not answer is not counted.
	 * @param now the monotonic reading in nanoseconds
	 * @return nanoseconds, 0 unless the grant limits them
	 */
	long grantWaitNanoseconds(long now) {
		WaitingRequest<T> oldest = this.oldestWithoutGrant;
		boolean isWaiting = oldest != null && this.all.containsKey(oldest.sequence());
		Long since = this.limitedSince;
		long waited = 0;
		if (isWaiting && oldest != null && since != null) {
			waited = Math.min(now - oldest.arrivedAt(), now - since);
		}
		return Math.max(waited, this.grantRate.nanosecondsFor(this.totalCost));
	}

	void deduct(long costTokens) {
		this.deficit -= costTokens;
	}

	long costOf(String lane) {
		return this.costs.getOrDefault(lane, 0L);
	}

	WaitingRequest<T> newest() {
		return this.all.lastEntry().getValue();
	}

	int size() {
		return this.all.size();
	}

	int weight() {
		return this.weight;
	}

	boolean isEmpty() {
		return this.all.isEmpty();
	}

	Iterable<WaitingRequest<T>> waitingRequests() {
		return this.all.values();
	}

}

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
 * The waiting requests of one organisation by lane, and its deficit counter.
 * <p>
 * Invariant: no lane in the map is empty. Not thread-safe; guarded by the lock of the
 * queue's shard.
 *
 * @param <T> the type of the item
 */
final class OrganisationQueue<T> {

	private final Map<String, NavigableMap<Long, WaitingRequest<T>>> lanes = new HashMap<>();

	private final NavigableMap<Long, WaitingRequest<T>> bySequence = new TreeMap<>();

	private final Map<String, Long> costByLane = new HashMap<>();

	private final ServiceRate grantRate = new ServiceRate();

	private long deficitTokens;

	private long totalCostTokens;

	private @Nullable WaitingRequest<T> oldestWithoutGrant;

	private @Nullable Long limitedByGrantSince;

	private int weight = 1;

	void add(WaitingRequest<T> waiting) {
		this.weight = waiting.weight();
		this.bySequence.put(waiting.sequence(), waiting);
		this.lanes.computeIfAbsent(waiting.lane(), (lane) -> new TreeMap<>()).put(waiting.sequence(), waiting);
		this.costByLane.merge(waiting.lane(), waiting.costTokens(), Long::sum);
		this.totalCostTokens += waiting.costTokens();
	}

	boolean remove(WaitingRequest<T> waiting) {
		if (!this.bySequence.remove(waiting.sequence(), waiting)) {
			return false;
		}
		NavigableMap<Long, WaitingRequest<T>> lane = this.lanes.get(waiting.lane());
		if (lane == null) {
			throw new IllegalStateException("lane " + waiting.lane() + " of a waiting request is missing");
		}
		lane.remove(waiting.sequence());
		this.costByLane.merge(waiting.lane(), -waiting.costTokens(), Long::sum);
		this.totalCostTokens -= waiting.costTokens();
		if (lane.isEmpty()) {
			this.lanes.remove(waiting.lane());
			this.costByLane.remove(waiting.lane());
		}
		return true;
	}

	/**
	 * Returns the earliest request that is at the head of its lane and ready.
	 * @param readiness tells whether a request can be dispatched now
	 * @param observer receives each head that was examined and its readiness
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
	 * Returns how many rounds it takes until the deficit covers a cost.
	 * @param costTokens the cost in tokens
	 * @param quantumTokens the tokens that weight 1 gains per round
	 * @return the number of rounds, 0 if the deficit covers the cost now
	 */
	long roundsUntil(long costTokens, long quantumTokens) {
		long missing = costTokens - this.deficitTokens;
		return (missing <= 0) ? 0 : Math.ceilDiv(missing, quantumTokens * this.weight);
	}

	void addQuanta(long rounds, long quantumTokens) {
		this.deficitTokens += rounds * quantumTokens * this.weight;
	}

	/**
	 * Updates the measurement of how fast the grant admits requests.
	 * @param readinessByRequest the readiness of the examined heads of lanes
	 * @param now the monotonic reading in nanoseconds
	 */
	void recordLimits(Map<WaitingRequest<T>, Readiness> readinessByRequest, long now) {
		this.oldestWithoutGrant = readinessByRequest.entrySet()
			.stream()
			.filter((entry) -> entry.getValue() == Readiness.NO_GRANT)
			.map(Map.Entry::getKey)
			.min(Comparator.comparingLong(WaitingRequest::sequence))
			.orElse(null);
		this.limitedByGrantSince = (this.oldestWithoutGrant != null) ? sinceOrNow(this.limitedByGrantSince, now) : null;
		if (this.oldestWithoutGrant != null) {
			this.grantRate.recordLimited(now);
		}
		else if (!readinessByRequest.containsValue(Readiness.READY)) {
			this.grantRate.reset();
		}
	}

	private static Long sinceOrNow(@Nullable Long since, long now) {
		return (since != null) ? since : Long.valueOf(now);
	}

	/**
	 * Records that one of the requests was dispatched.
	 * @param costTokens its cost in tokens
	 * @param now the monotonic reading in nanoseconds
	 */
	void recordDispatch(long costTokens, long now) {
		deduct(costTokens);
		this.grantRate.recordDispatch(costTokens, now);
	}

	/**
	 * Estimates how long the waiting requests take to get their tokens: by the measured
	 * rate, and at least as long as the first of them has waited for its tokens. Time
	 * during which the keeper of the grant did not answer is not counted.
	 * @param now the monotonic reading in nanoseconds
	 * @return nanoseconds, 0 unless the grant limits the requests
	 */
	long grantWaitNanoseconds(long now) {
		WaitingRequest<T> oldest = this.oldestWithoutGrant;
		boolean isWaiting = oldest != null && this.bySequence.containsKey(oldest.sequence());
		Long since = this.limitedByGrantSince;
		long waited = 0;
		if (isWaiting && oldest != null && since != null) {
			waited = Math.min(now - oldest.arrivedAt(), now - since);
		}
		return Math.max(waited, this.grantRate.nanosecondsFor(this.totalCostTokens));
	}

	void deduct(long costTokens) {
		this.deficitTokens -= costTokens;
	}

	long costOf(String lane) {
		return this.costByLane.getOrDefault(lane, 0L);
	}

	WaitingRequest<T> newest() {
		return this.bySequence.lastEntry().getValue();
	}

	int size() {
		return this.bySequence.size();
	}

	int weight() {
		return this.weight;
	}

	boolean isEmpty() {
		return this.bySequence.isEmpty();
	}

	Iterable<WaitingRequest<T>> waitingRequests() {
		return this.bySequence.values();
	}

}

package org.masticshelf.kernel.queue;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Function;

import org.jspecify.annotations.Nullable;

import org.masticshelf.kernel.configuration.QualifiedName;
import org.masticshelf.kernel.refusal.Refusal;

/**
 * A queue of requests, served by deficit round robin over organisations with costs in
 * tokens.
 * <p>
 * The requests of an organisation wait in lanes, so that a request that waits for a cold
 * model, for tokens or for a full endpoint blocks neither another lane nor another
 * organisation. Invariants: a request is in the queue until it is polled, removed,
 * displaced or expired, exactly once; while an organisation has a ready request, another
 * one is served at most its weighted share plus one request. Not thread-safe; guarded by
 * the lock of its shard. Times are monotonic readings in nanoseconds.
 *
 * @param <T> the type of the item
 */
public final class FairQueue<T> {

	private static final long NANOSECONDS_PER_MILLISECOND = 1_000_000L;

	private static final int MAXIMUM_MEASURED_LANES = 1_024;

	private static final long MINIMUM_RETRY_AFTER_MILLISECONDS = 100;

	private final QueueBounds bounds;

	private final Map<QualifiedName, OrganisationQueue<T>> organisations = new HashMap<>();

	private final List<QualifiedName> rotation = new ArrayList<>();

	private final TreeSet<WaitingRequest<T>> byDeadline = new TreeSet<>(FairQueue::compareDeadlines);

	private final Map<String, ServiceRate> serviceRates = new LinkedHashMap<>(16, 0.75f, true) {

		private static final long serialVersionUID = 1L;

		@Override
		protected boolean removeEldestEntry(Map.Entry<String, ServiceRate> eldest) {
			return size() > MAXIMUM_MEASURED_LANES;
		}

	};

	private int cursor;

	private long nextSequence;

	/**
	 * Creates an empty queue.
	 * @param bounds the bounds
	 */
	public FairQueue(QueueBounds bounds) {
		this.bounds = bounds;
	}

	private static int compareDeadlines(WaitingRequest<?> first, WaitingRequest<?> second) {
		int byDeadline = Long.signum(first.deadline() - second.deadline());
		return (byDeadline != 0) ? byDeadline : Long.compare(first.sequence(), second.sequence());
	}

	/**
	 * Offers a request. It is refused if the queue is full and no organisation has more
	 * waiting requests than its own, if it is not expected to be answered before its
	 * deadline, or if the requests of its organisation already wait too long for tokens
	 * of the grant.
	 * @param candidate the request
	 * @param forecast the earliest start of the request as far as it does not depend on
	 * this queue
	 * @param now the monotonic reading
	 * @return whether the request was queued
	 */
	public QueueAdmission<T> offer(WaitingRequest.Candidate<T> candidate, Forecast forecast, long now) {
		long queueing = estimateWaitNanoseconds(candidate);
		long wait = Math.max(forecast.waitNanoseconds(), queueing);
		if (wait + forecast.serviceNanoseconds() > candidate.deadline() - now) {
			return refuse(
					(queueing > forecast.waitNanoseconds()) ? Refusal.Reason.DEADLINE_UNREACHABLE : forecast.cause(),
					wait);
		}
		long grantWait = grantWaitNanoseconds(candidate.organisation(), now);
		if (grantWait > Math.min(this.bounds.maximumGrantWaitNanoseconds(), candidate.deadline() - now)) {
			return refuse(Refusal.Reason.RATE_EXCEEDED, grantWait);
		}
		WaitingRequest<T> displaced = null;
		if (size() >= this.bounds.maximumWaiting()) {
			OrganisationQueue<T> largest = largestQueue();
			if (largest.size() <= sizeOf(candidate.organisation()) + 1) {
				return refuse(Refusal.Reason.QUEUE_FULL, queueing);
			}
			displaced = largest.newest();
			remove(displaced);
		}
		WaitingRequest<T> waiting = new WaitingRequest<>(candidate, now, this.nextSequence++);
		insert(waiting);
		return new QueueAdmission.Queued<>(waiting, displaced);
	}

	private QueueAdmission<T> refuse(Refusal.Reason reason, long waitNanoseconds) {
		long milliseconds = waitNanoseconds / NANOSECONDS_PER_MILLISECOND;
		return new QueueAdmission.Refused<>(
				Refusal.notRun(reason, Math.max(milliseconds, MINIMUM_RETRY_AFTER_MILLISECONDS)));
	}

	private long grantWaitNanoseconds(QualifiedName organisation, long now) {
		OrganisationQueue<T> own = this.organisations.get(organisation);
		return (own != null) ? own.grantWaitNanoseconds(now) : 0;
	}

	private OrganisationQueue<T> largestQueue() {
		return this.rotation.stream()
			.map(this::queueOf)
			.max(Comparator.comparingInt(OrganisationQueue::size))
			.orElseThrow(() -> new IllegalStateException("a full queue holds no request"));
	}

	private OrganisationQueue<T> queueOf(QualifiedName organisation) {
		OrganisationQueue<T> queue = this.organisations.get(organisation);
		if (queue == null) {
			throw new IllegalStateException("organisation " + organisation + " is in the rotation without a queue");
		}
		return queue;
	}

	private void insert(WaitingRequest<T> waiting) {
		OrganisationQueue<T> queue = this.organisations.get(waiting.organisation());
		if (queue == null) {
			queue = new OrganisationQueue<>();
			this.organisations.put(waiting.organisation(), queue);
			this.rotation.add(waiting.organisation());
		}
		queue.add(waiting);
		this.byDeadline.add(waiting);
	}

	/**
	 * Removes the next request in turn that can be dispatched now.
	 * @param now the monotonic reading
	 * @param readiness tells whether a request can be dispatched now; called at most once
	 * per organisation and lane
	 * @return the request or {@code null} if none can be dispatched
	 */
	public @Nullable WaitingRequest<T> poll(long now, Function<WaitingRequest<T>, Readiness> readiness) {
		Map<String, Readiness> readinessByLane = new HashMap<>();
		TreeMap<Integer, WaitingRequest<T>> heads = readyHeads(readiness, readinessByLane, now);
		readinessByLane.forEach((lane, state) -> recordLimit(lane, state, now));
		Turn turn = nextTurn(heads);
		if (turn == null) {
			return null;
		}
		WaitingRequest<T> chosen = turn.requestOf(heads);
		heads.forEach((position, head) -> addQuanta(position, turn));
		queueOf(chosen.organisation()).recordDispatch(chosen.costTokens(), now);
		this.cursor = (this.cursor + turn.position()) % this.rotation.size();
		rateOf(chosen.lane()).recordDispatch(chosen.costTokens(), now);
		remove(chosen);
		return chosen;
	}

	private TreeMap<Integer, WaitingRequest<T>> readyHeads(Function<WaitingRequest<T>, Readiness> readiness,
			Map<String, Readiness> readinessByLane, long now) {
		TreeMap<Integer, WaitingRequest<T>> heads = new TreeMap<>();
		for (int position = 0; position < this.rotation.size(); position++) {
			OrganisationQueue<T> queue = queueAt(position);
			Map<WaitingRequest<T>, Readiness> readinessByRequest = new HashMap<>();
			WaitingRequest<T> head = queue.firstReady(readiness, (first, state) -> {
				readinessByRequest.put(first, state);
				readinessByLane.merge(first.lane(), state, FairQueue::moreLimiting);
			});
			queue.recordLimits(readinessByRequest, now);
			if (head != null) {
				heads.put(position, head);
			}
		}
		return heads;
	}

	private static Readiness moreLimiting(Readiness first, Readiness second) {
		return (first.compareTo(second) <= 0) ? first : second;
	}

	private OrganisationQueue<T> queueAt(int positionFromCursor) {
		return queueOf(this.rotation.get((this.cursor + positionFromCursor) % this.rotation.size()));
	}

	private @Nullable Turn nextTurn(TreeMap<Integer, WaitingRequest<T>> heads) {
		Turn best = null;
		for (Map.Entry<Integer, WaitingRequest<T>> head : heads.entrySet()) {
			int position = head.getKey();
			long rounds = queueAt(position).roundsUntil(head.getValue().costTokens(), this.bounds.quantumTokens());
			Turn turn = new Turn(position, rounds, visitOrder(position, rounds));
			if (best == null || turn.isBefore(best)) {
				best = turn;
			}
		}
		return best;
	}

	// The organisation at the cursor already received its quantum for this round, so it
	// receives the next one after all others.
	private int visitOrder(int position, long rounds) {
		return (position == 0 && rounds > 0) ? this.rotation.size() : position;
	}

	private void addQuanta(int position, Turn turn) {
		boolean visited = visitOrder(position, turn.rounds()) <= turn.order();
		long rounds = visited ? turn.rounds() : Math.max(turn.rounds() - 1, 0);
		queueAt(position).addQuanta(rounds, this.bounds.quantumTokens());
	}

	private void recordLimit(String lane, Readiness state, long now) {
		switch (state) {
			case FULL -> rateOf(lane).recordLimited(now);
			case COLD, NO_GRANT, GRANT_UNKNOWN -> rateOf(lane).recordUnlimited();
			case READY -> {
			}
		}
	}

	private ServiceRate rateOf(String lane) {
		return this.serviceRates.computeIfAbsent(lane, (name) -> new ServiceRate());
	}

	/**
	 * Puts a polled request that could not be dispatched back in its place, and returns
	 * its cost to its organisation.
	 * @param waiting the polled request
	 */
	public void restore(WaitingRequest<T> waiting) {
		insert(waiting);
		queueOf(waiting.organisation()).deduct(-waiting.costTokens());
	}

	/**
	 * Removes the requests whose deadline has passed.
	 * @param now the monotonic reading
	 * @return the removed requests, earliest deadline first
	 */
	public List<WaitingRequest<T>> expire(long now) {
		List<WaitingRequest<T>> expired = new ArrayList<>();
		while (!this.byDeadline.isEmpty() && this.byDeadline.first().deadline() - now <= 0) {
			WaitingRequest<T> first = this.byDeadline.first();
			remove(first);
			expired.add(first);
		}
		return expired;
	}

	/**
	 * Removes a request, for example because its caller has disconnected.
	 * @param waiting the request
	 * @return whether it was still waiting
	 */
	public boolean remove(WaitingRequest<T> waiting) {
		OrganisationQueue<T> queue = this.organisations.get(waiting.organisation());
		if (queue == null || !queue.remove(waiting)) {
			return false;
		}
		this.byDeadline.remove(waiting);
		if (queue.isEmpty()) {
			removeOrganisation(waiting.organisation());
		}
		return true;
	}

	private void removeOrganisation(QualifiedName organisation) {
		this.organisations.remove(organisation);
		int index = this.rotation.indexOf(organisation);
		this.rotation.remove(index);
		if (index < this.cursor) {
			this.cursor--;
		}
		if (this.cursor >= this.rotation.size()) {
			this.cursor = 0;
		}
	}

	/**
	 * Estimates how long a request would wait for its turn at the measured service rate
	 * of its lane. The requests ahead of it are those of its organisation and, of each
	 * other organisation, at most its weighted share.
	 * @param candidate the request
	 * @return nanoseconds, 0 while the rate is unknown or nothing waits in the lane
	 */
	public long estimateWaitNanoseconds(WaitingRequest.Candidate<T> candidate) {
		ServiceRate rate = this.serviceRates.get(candidate.lane());
		if (rate == null || !rate.isKnown()) {
			return 0;
		}
		OrganisationQueue<T> own = this.organisations.get(candidate.organisation());
		double ownCost = (own != null) ? own.costOf(candidate.lane()) : 0;
		double costPerWeight = (ownCost + candidate.costTokens()) / candidate.weight();
		double cost = ownCost;
		for (Map.Entry<QualifiedName, OrganisationQueue<T>> other : this.organisations.entrySet()) {
			if (!other.getKey().equals(candidate.organisation())) {
				OrganisationQueue<T> queue = other.getValue();
				cost += Math.min(queue.costOf(candidate.lane()), costPerWeight * queue.weight());
			}
		}
		return rate.nanosecondsFor(cost);
	}

	/**
	 * Returns the number of waiting requests.
	 * @return the number of waiting requests
	 */
	public int size() {
		return this.byDeadline.size();
	}

	/**
	 * Returns the number of waiting requests of an organisation.
	 * @param organisation the organisation
	 * @return the number of its waiting requests
	 */
	public int sizeOf(QualifiedName organisation) {
		OrganisationQueue<T> queue = this.organisations.get(organisation);
		return (queue != null) ? queue.size() : 0;
	}

	/**
	 * Returns the waiting requests, from which demand is reported to the placement
	 * planner.
	 * @return a copy, earliest deadline first
	 */
	public List<WaitingRequest<T>> waitingRequests() {
		return List.copyOf(this.byDeadline);
	}

	/**
	 * Returns when {@link #refuseExpired} next has a request to remove.
	 * @return the earliest deadline, or {@code null} if nothing waits
	 */
	public @Nullable Long earliestDeadline() {
		return this.byDeadline.isEmpty() ? null : this.byDeadline.first().deadline();
	}

	/**
	 * The organisation that is served next.
	 *
	 * @param position the position of the organisation, counted from the cursor
	 * @param rounds the number of rounds until its deficit covers its request
	 * @param order its place within the last of these rounds
	 */
	private record Turn(int position, long rounds, int order) {

		boolean isBefore(Turn other) {
			return this.rounds < other.rounds || (this.rounds == other.rounds && this.order < other.order);
		}

		<T> WaitingRequest<T> requestOf(TreeMap<Integer, WaitingRequest<T>> heads) {
			WaitingRequest<T> waiting = heads.get(this.position);
			if (waiting == null) {
				throw new IllegalStateException("the chosen organisation has no ready request");
			}
			return waiting;
		}

	}

}

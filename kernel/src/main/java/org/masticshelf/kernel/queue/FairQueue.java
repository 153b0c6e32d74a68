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
 * Waiting requests, served by deficit round robin over organisations with the cost in
 * tokens.
 * <p>
 * Within an organisation requests wait in lanes, so that one that waits for a cold model,
 * for tokens or for a full endpoint holds up neither another lane nor another
 * organisation. Invariants: a request is in the queue until it is polled, removed,
 * displaced or expired, exactly once; while an organisation has a ready request, another
 * one gets at most its weighted share and one request more. Not safe for use by several
 * threads; guarded by the lock of its shard. Readings are monotonic nanoseconds.
 *
 * @param <T> the type of the item
 */
public final class FairQueue<T> {

	private static final long NANOSECONDS_PER_MILLISECOND = 1_000_000L;

	private static final int MAXIMUM_MEASURED_LANES = 1_024;

	private static final long MINIMUM_RETRY_AFTER_MILLISECONDS = 100;

	private final QueueBounds bounds;

	private final Map<QualifiedName, OrganisationQueue<T>> organisations = new HashMap<>();

	private final List<QualifiedName> ring = new ArrayList<>();

	private final TreeSet<WaitingRequest<T>> byDeadline = new TreeSet<>(FairQueue::compareDeadlines);

	private final Map<String, ServiceRate> rates = new LinkedHashMap<>(16, 0.75f, true) {

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
	 * Offers a request. It is refused at once if the queue is full of requests of
	 * organisations with no more waiting than its own, if by the estimate it cannot be
	 * answered before its deadline, or if its organisation's requests already wait long
	 * enough for tokens of the grant.
	 * @param candidate the request
	 * @param forecast what is known outside about its earliest start
	 * @param now the monotonic reading
	 * @return whether it waits
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
			OrganisationQueue<T> largest = largest();
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

	private OrganisationQueue<T> largest() {
		return this.ring.stream()
			.map(this::queueOf)
			.max(Comparator.comparingInt(OrganisationQueue::size))
			.orElseThrow(() -> new IllegalStateException("a full queue holds no request"));
	}

	private OrganisationQueue<T> queueOf(QualifiedName organisation) {
		OrganisationQueue<T> queue = this.organisations.get(organisation);
		if (queue == null) {
			throw new IllegalStateException("organisation " + organisation + " is in the ring without a queue");
		}
		return queue;
	}

	private void insert(WaitingRequest<T> waiting) {
		OrganisationQueue<T> queue = this.organisations.get(waiting.organisation());
		if (queue == null) {
			queue = new OrganisationQueue<>();
			this.organisations.put(waiting.organisation(), queue);
			this.ring.add(waiting.organisation());
		}
		queue.add(waiting);
		this.byDeadline.add(waiting);
	}

	/**
	 * Takes the request whose turn it is among those that can be dispatched now.
	 * @param now the monotonic reading
	 * @param readiness tells whether a request can be dispatched now; called at most once
	 * per organisation and lane
	 * @return the request or {@code null} if none can be dispatched
	 */
	public @Nullable WaitingRequest<T> poll(long now, Function<WaitingRequest<T>, Readiness> readiness) {
		Map<String, Readiness> seen = new HashMap<>();
		TreeMap<Integer, WaitingRequest<T>> heads = readyHeads(readiness, seen, now);
		seen.forEach((lane, state) -> measure(lane, state, now));
		Turn turn = nextTurn(heads);
		if (turn == null) {
			return null;
		}
		WaitingRequest<T> chosen = turn.waiting(heads);
		heads.forEach((position, head) -> gain(position, turn));
		queueOf(chosen.organisation()).recordDispatch(chosen.costTokens(), now);
		this.cursor = (this.cursor + turn.position()) % this.ring.size();
		rateOf(chosen.lane()).recordDispatch(chosen.costTokens(), now);
		remove(chosen);
		return chosen;
	}

	private TreeMap<Integer, WaitingRequest<T>> readyHeads(Function<WaitingRequest<T>, Readiness> readiness,
			Map<String, Readiness> seen, long now) {
		TreeMap<Integer, WaitingRequest<T>> heads = new TreeMap<>();
		for (int position = 0; position < this.ring.size(); position++) {
			OrganisationQueue<T> queue = queueAt(position);
			Map<WaitingRequest<T>, Readiness> limits = new HashMap<>();
			WaitingRequest<T> head = queue.firstReady(readiness, (first, state) -> {
				limits.put(first, state);
				seen.merge(first.lane(), state, FairQueue::moreLimiting);
			});
			queue.recordLimits(limits, now);
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
		return queueOf(this.ring.get((this.cursor + positionFromCursor) % this.ring.size()));
	}

	private @Nullable Turn nextTurn(TreeMap<Integer, WaitingRequest<T>> heads) {
		Turn best = null;
		for (Map.Entry<Integer, WaitingRequest<T>> head : heads.entrySet()) {
			int position = head.getKey();
			long rounds = queueAt(position).roundsUntil(head.getValue().costTokens(), this.bounds.quantumTokens());
			Turn turn = new Turn(position, rounds, order(position, rounds));
			if (best == null || turn.isBefore(best)) {
				best = turn;
			}
		}
		return best;
	}

	// The organisation at the cursor has had its gain of this round, so that its next one
	// comes after that of all others.
	private int order(int position, long rounds) {
		return (position == 0 && rounds > 0) ? this.ring.size() : position;
	}

	private void gain(int position, Turn turn) {
		boolean visited = order(position, turn.rounds()) <= turn.order();
		long rounds = visited ? turn.rounds() : Math.max(turn.rounds() - 1, 0);
		queueAt(position).addQuanta(rounds, this.bounds.quantumTokens());
	}

	private void measure(String lane, Readiness state, long now) {
		switch (state) {
			case FULL -> rateOf(lane).recordLimited(now);
			case COLD, NO_GRANT, GRANT_UNKNOWN -> rateOf(lane).recordUnlimited();
			case READY -> {
			}
		}
	}

	private ServiceRate rateOf(String lane) {
		return this.rates.computeIfAbsent(lane, (name) -> new ServiceRate());
	}

	/**
	 * Puts a polled request back in its old place because it could not be dispatched
	 * after all, and returns its cost to its organisation.
	 * @param waiting the polled request
	 */
	public void restore(WaitingRequest<T> waiting) {
		insert(waiting);
		queueOf(waiting.organisation()).deduct(-waiting.costTokens());
	}

	/**
	 * Removes the requests whose deadline has come.
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
	 * Removes a request, for example because its caller has gone.
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
			forget(waiting.organisation());
		}
		return true;
	}

	private void forget(QualifiedName organisation) {
		this.organisations.remove(organisation);
		int index = this.ring.indexOf(organisation);
		this.ring.remove(index);
		if (index < this.cursor) {
			this.cursor--;
		}
		if (this.cursor >= this.ring.size()) {
			this.cursor = 0;
		}
	}

	/**
	 * Estimates how long a request would wait for its turn at the measured service rate
	 * of its lane: the cost of its organisation's waiting requests, and of each other
	 * organisation at most its weighted share meanwhile.
	 * @param candidate the request
	 * @return nanoseconds, 0 while the rate is unknown or nothing waits in the lane
	 */
	public long estimateWaitNanoseconds(WaitingRequest.Candidate<T> candidate) {
		ServiceRate rate = this.rates.get(candidate.lane());
		if (rate == null || !rate.isKnown()) {
			return 0;
		}
		OrganisationQueue<T> own = this.organisations.get(candidate.organisation());
		double ownCost = (own != null) ? own.costOf(candidate.lane()) : 0;
		double shareUnit = (ownCost + candidate.costTokens()) / candidate.weight();
		double cost = ownCost;
		for (Map.Entry<QualifiedName, OrganisationQueue<T>> other : this.organisations.entrySet()) {
			if (!other.getKey().equals(candidate.organisation())) {
				OrganisationQueue<T> queue = other.getValue();
				cost += Math.min(queue.costOf(candidate.lane()), shareUnit * queue.weight());
			}
		}
		return rate.nanosecondsFor(cost);
	}

	/**
	 * Returns how many requests wait.
	 * @return the number of waiting requests
	 */
	public int size() {
		return this.byDeadline.size();
	}

	/**
	 * Returns how many requests of an organisation wait.
	 * @param organisation the organisation
	 * @return the number of its waiting requests
	 */
	public int sizeOf(QualifiedName organisation) {
		OrganisationQueue<T> queue = this.organisations.get(organisation);
		return (queue != null) ? queue.size() : 0;
	}

	/**
	 * Returns the waiting requests, for telling the placing daemon about demand.
	 * @return a copy, earliest deadline first
	 */
	public List<WaitingRequest<T>> waitingRequests() {
		return List.copyOf(this.byDeadline);
	}

	/**
	 * Returns when {@link #expire} has work to do.
	 * @return the earliest deadline, or {@code null} if nothing waits
	 */
	public @Nullable Long earliestDeadline() {
		return this.byDeadline.isEmpty() ? null : this.byDeadline.first().deadline();
	}

	/**
	 * Whose turn it is.
	 *
	 * @param position the position of the organisation from the cursor
	 * @param rounds how many rounds pass until its deficit covers its request
	 * @param order its place in the last of these rounds
	 */
	private record Turn(int position, long rounds, int order) {

		boolean isBefore(Turn other) {
			return this.rounds < other.rounds || (this.rounds == other.rounds && this.order < other.order);
		}

		<T> WaitingRequest<T> waiting(TreeMap<Integer, WaitingRequest<T>> heads) {
			WaitingRequest<T> waiting = heads.get(this.position);
			if (waiting == null) {
				throw new IllegalStateException("the turn is that of an organisation without a ready request");
			}
			return waiting;
		}

	}

}

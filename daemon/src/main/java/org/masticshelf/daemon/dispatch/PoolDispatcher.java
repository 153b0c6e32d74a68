package org.masticshelf.daemon.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.locks.ReentrantLock;
import java.util.random.RandomGenerator;

import org.jspecify.annotations.Nullable;

import org.masticshelf.kernel.configuration.Pool;
import org.masticshelf.kernel.event.Event;
import org.masticshelf.kernel.port.Engine;
import org.masticshelf.kernel.queue.Admission;
import org.masticshelf.kernel.queue.FairQueue;
import org.masticshelf.kernel.queue.QueueBounds;
import org.masticshelf.kernel.queue.Readiness;
import org.masticshelf.kernel.queue.Waiting;
import org.masticshelf.kernel.refusal.Refusal;
import org.masticshelf.kernel.retry.FailedAttempt;
import org.masticshelf.kernel.retry.RetryBudget;
import org.masticshelf.kernel.retry.RetryDecision;
import org.masticshelf.kernel.retry.RetryPolicy;
import org.masticshelf.kernel.routing.EndpointBoard;
import org.masticshelf.kernel.routing.PrefixHints;
import org.masticshelf.kernel.routing.RouteDecision;
import org.masticshelf.kernel.routing.Router;
import org.masticshelf.kernel.routing.Selection;
import org.masticshelf.kernel.time.MonotonicClock;
import org.masticshelf.transport.log.EventLog;

/**
 * The queue before one pool and the dispatch to its endpoints.
 * <p>
 * Invariants: each submitted work is run or refused; a work is run only after its grant
 * has been charged. All state is guarded by one lock for the pool, and no work is called
 * back while it is held, except for its cheap readings. Safe for use by several threads.
 */
public final class PoolDispatcher {

	private static final long DISTANCE_NANOSECONDS = 1_000_000L;

	private static final long DISPLACED_RETRY_MILLISECONDS = 1_000;

	private final MonotonicClock clock;

	private final ReentrantLock lock = new ReentrantLock();

	private final FairQueue<QueuedRequest> queue;

	private final EndpointBoard board = new EndpointBoard();

	private final PrefixHints hints = new PrefixHints();

	private final RetryBudget budget = new RetryBudget();

	private final Router router;

	private final RetryPolicy retries;

	private final Map<String, Waiting<QueuedRequest>> waiting = new HashMap<>();

	private final Map<String, Long> lastUsed = new HashMap<>();

	private volatile Pool pool;

	/**
	 * Creates a dispatcher.
	 * @param pool the pool
	 * @param ownDomain the failure domain of this daemon
	 * @param bounds the bounds of the queue
	 * @param clock the clock
	 * @param random the source of choices and jitter
	 */
	public PoolDispatcher(Pool pool, String ownDomain, QueueBounds bounds, MonotonicClock clock,
			RandomGenerator random) {
		this.pool = pool;
		this.clock = clock;
		this.queue = new FairQueue<>(bounds);
		this.router = new Router(ownDomain, (domain) -> DISTANCE_NANOSECONDS, this.hints, random);
		this.retries = new RetryPolicy(this.budget, random);
		this.board.update(pool.endpoints());
	}

	/**
	 * Takes over a changed pool.
	 * @param changed the pool
	 */
	public void update(Pool changed) {
		this.lock.lock();
		try {
			this.pool = changed;
			this.board.update(changed.endpoints());
		}
		finally {
			this.lock.unlock();
		}
	}

	/**
	 * Returns the pool.
	 * @return the pool as configured now
	 */
	public Pool pool() {
		return this.pool;
	}

	/**
	 * Marks endpoints as leaving and all others as staying.
	 * @param leaving identifiers of the endpoints that get no new work
	 */
	public void markLeaving(Set<String> leaving) {
		this.lock.lock();
		try {
			this.pool.endpoints()
				.forEach((endpoint) -> this.board.leaving(endpoint.identifier(),
						leaving.contains(endpoint.identifier())));
		}
		finally {
			this.lock.unlock();
		}
	}

	/**
	 * Queues a work, or refuses it at once.
	 * @param work the work
	 */
	public void submit(QueuedRequest work) {
		this.lock.lock();
		try {
			this.budget.requested();
		}
		finally {
			this.lock.unlock();
		}
		resubmit(work);
	}

	/**
	 * Queues a work again after a failed exchange, or refuses it at once.
	 * @param work the work
	 */
	public void resubmit(QueuedRequest work) {
		Refusal refusal = null;
		QueuedRequest displaced = null;
		this.lock.lock();
		try {
			switch (offer(work)) {
				case Admission.Queued<QueuedRequest> queued -> displaced = removeDisplaced(queued);
				case Admission.Refused<QueuedRequest> refused -> refusal = refused.refusal();
			}
		}
		finally {
			this.lock.unlock();
		}
		if (refusal != null) {
			work.refuse(refusal);
			return;
		}
		if (displaced != null) {
			displaced.refuse(Refusal.notRun(Refusal.Reason.DISPLACED, DISPLACED_RETRY_MILLISECONDS));
		}
		dispatchWaiting();
	}

	private Admission<QueuedRequest> offer(QueuedRequest work) {
		Waiting.Candidate<QueuedRequest> candidate = new Waiting.Candidate<>(work, work.organisation(), work.weight(),
				work.lane(), work.costTokens(), work.deadlineNanoseconds());
		Admission<QueuedRequest> admission = this.queue.offer(candidate, work.forecast(), this.clock.nanoseconds());
		if (admission instanceof Admission.Queued<QueuedRequest> queued) {
			this.waiting.put(work.requestIdentifier(), queued.waiting());
		}
		return admission;
	}

	private @Nullable QueuedRequest removeDisplaced(Admission.Queued<QueuedRequest> queued) {
		Waiting<QueuedRequest> displaced = queued.displaced();
		if (displaced == null) {
			return null;
		}
		this.waiting.remove(displaced.item().requestIdentifier());
		return displaced.item();
	}

	/**
	 * Takes a work out of the queue because its caller has gone.
	 * @param work the work
	 * @return whether it was still waiting
	 */
	public boolean withdraw(QueuedRequest work) {
		this.lock.lock();
		try {
			Waiting<QueuedRequest> place = this.waiting.remove(work.requestIdentifier());
			return place != null && this.queue.remove(place);
		}
		finally {
			this.lock.unlock();
		}
	}

	/** Dispatches all that can be dispatched now and refuses what is too late. */
	public void dispatchWaiting() {
		refuseExpired();
		Dispatch next = takeNext();
		while (next != null) {
			EventLog.info(next.decision()
				.toEvent()
				.with("request", next.work().requestIdentifier())
				.with("organisation", next.work().organisation())
				.with("lane", next.work().lane()));
			next.work()
				.send(next.decision().endpoint(), new Slot(this, next.decision().endpoint().identifier(), this.clock));
			next = takeNext();
		}
	}

	private void refuseExpired() {
		List<QueuedRequest> late = new ArrayList<>();
		this.lock.lock();
		try {
			for (Waiting<QueuedRequest> expired : this.queue.expire(this.clock.nanoseconds())) {
				this.waiting.remove(expired.item().requestIdentifier());
				late.add(expired.item());
			}
		}
		finally {
			this.lock.unlock();
		}
		late.forEach((work) -> work.refuse(Refusal.notRun(Refusal.Reason.DEADLINE_EXCEEDED, 0)));
	}

	private @Nullable Dispatch takeNext() {
		this.lock.lock();
		try {
			if (this.queue.size() == 0) {
				return null;
			}
			long now = this.clock.nanoseconds();
			Map<String, RouteDecision.Chosen> choices = new HashMap<>();
			Waiting<QueuedRequest> polled = this.queue.poll(now, (candidate) -> readiness(candidate.item(), choices, now));
			if (polled == null) {
				return null;
			}
			QueuedRequest work = polled.item();
			RouteDecision.Chosen chosen = choices.get(work.requestIdentifier());
			if (chosen == null) {
				throw new IllegalStateException("a request was polled that has no endpoint");
			}
			if (!work.charge()) {
				this.queue.restore(polled);
				return null;
			}
			this.waiting.remove(work.requestIdentifier());
			this.board.started(chosen.endpoint().identifier());
			this.lastUsed.put(chosen.endpoint().identifier(), now);
			recordAffinity(work, chosen, now);
			return new Dispatch(work, chosen);
		}
		finally {
			this.lock.unlock();
		}
	}

	private void recordAffinity(QueuedRequest work, RouteDecision.Chosen chosen, long now) {
		Long prefix = work.prefixHash();
		if (prefix != null) {
			this.hints.sent(prefix, chosen.endpoint().identifier(), now);
		}
	}

	private Readiness readiness(QueuedRequest work, Map<String, RouteDecision.Chosen> choices, long now) {
		Set<String> holders = work.candidateEndpoints();
		if (holders.isEmpty()) {
			return Readiness.COLD;
		}
		Readiness grant = work.grantReadiness();
		if (grant != Readiness.READY) {
			return grant;
		}
		Selection selection = new Selection(holders, work.prefixHash(), work.excludedEndpoints());
		return switch (this.router.choose(this.board, selection, now)) {
			case RouteDecision.None none -> Readiness.FULL;
			case RouteDecision.Chosen chosen -> {
				choices.put(work.requestIdentifier(), chosen);
				yield Readiness.READY;
			}
		};
	}

	/**
	 * Decides about a failed exchange.
	 * @param attempt what failed
	 * @return whether to retry
	 */
	public RetryDecision decideRetry(FailedAttempt attempt) {
		this.lock.lock();
		try {
			return this.retries.decide(attempt, this.clock.nanoseconds());
		}
		finally {
			this.lock.unlock();
		}
	}

	/**
	 * Returns the endpoints that requests were sent to lately.
	 * @param since the monotonic reading in nanoseconds from which on a request counts
	 * @return the endpoints
	 */
	public List<Pool.Endpoint> endpointsUsedSince(long since) {
		this.lock.lock();
		try {
			this.lastUsed.values().removeIf((at) -> at - since < 0);
			return this.pool.endpoints()
				.stream()
				.filter((endpoint) -> this.lastUsed.containsKey(endpoint.identifier()))
				.toList();
		}
		finally {
			this.lock.unlock();
		}
	}

	/**
	 * Takes over a load report.
	 * @param endpoint the identifier of the endpoint
	 * @param report the report
	 * @param mark the mark taken when it was asked for
	 */
	public void applyReport(String endpoint, Engine.Report report, EndpointBoard.ReportMark mark) {
		this.lock.lock();
		try {
			this.board.reported(endpoint, report.running(), report.waiting(), mark);
		}
		finally {
			this.lock.unlock();
		}
	}

	/**
	 * Marks the moment at which a report is asked for.
	 * @param endpoint the identifier of the endpoint
	 * @return the mark
	 */
	public EndpointBoard.ReportMark markReportRequested(String endpoint) {
		this.lock.lock();
		try {
			return this.board.mark(endpoint, this.clock.nanoseconds());
		}
		finally {
			this.lock.unlock();
		}
	}

	/**
	 * Returns the waiting works, for telling the placing daemon about demand.
	 * @return a copy
	 */
	public List<Waiting<QueuedRequest>> waitingRequests() {
		this.lock.lock();
		try {
			return List.copyOf(this.waiting.values());
		}
		finally {
			this.lock.unlock();
		}
	}

	/**
	 * Returns the choice that a request would get now, without making it.
	 * @param selection the endpoints that hold what it needs
	 * @return the decision
	 */
	public RouteDecision explain(Selection selection) {
		this.lock.lock();
		try {
			return this.router.choose(this.board, selection, this.clock.nanoseconds());
		}
		finally {
			this.lock.unlock();
		}
	}

	void recordSuccess(String endpoint, long firstPieceNanoseconds) {
		this.lock.lock();
		try {
			this.budget.succeeded();
			this.board.succeeded(endpoint, firstPieceNanoseconds, this.clock.nanoseconds());
		}
		finally {
			this.lock.unlock();
		}
		dispatchWaiting();
	}

	void recordFailure(String endpoint) {
		boolean ejected;
		this.lock.lock();
		try {
			this.budget.failed();
			ejected = this.board.failed(endpoint, this.clock.nanoseconds());
		}
		finally {
			this.lock.unlock();
		}
		if (ejected) {
			EventLog.warning(Event.named("endpoint.ejected").with("endpoint", endpoint));
		}
		dispatchWaiting();
	}

	void recordCancellation(String endpoint) {
		this.lock.lock();
		try {
			this.board.cancelled(endpoint);
		}
		finally {
			this.lock.unlock();
		}
		dispatchWaiting();
	}

	/**
	 * A work that was taken from the queue and the endpoint that it goes to.
	 *
	 * @param work the work
	 * @param decision the choice
	 */
	private record Dispatch(QueuedRequest work, RouteDecision.Chosen decision) {
	}

}

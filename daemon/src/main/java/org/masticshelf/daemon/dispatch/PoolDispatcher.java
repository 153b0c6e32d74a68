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
import org.masticshelf.kernel.queue.FairQueue;
import org.masticshelf.kernel.queue.QueueAdmission;
import org.masticshelf.kernel.queue.QueueBounds;
import org.masticshelf.kernel.queue.Readiness;
import org.masticshelf.kernel.queue.WaitingRequest;
import org.masticshelf.kernel.refusal.Refusal;
import org.masticshelf.kernel.retry.FailedAttempt;
import org.masticshelf.kernel.retry.RetryBudget;
import org.masticshelf.kernel.retry.RetryDecision;
import org.masticshelf.kernel.retry.RetryPolicy;
import org.masticshelf.kernel.routing.EndpointTracker;
import org.masticshelf.kernel.routing.PrefixHints;
import org.masticshelf.kernel.routing.RouteDecision;
import org.masticshelf.kernel.routing.Router;
import org.masticshelf.kernel.routing.RoutingRequest;
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

	private final FairQueue<Work> queue;

	private final EndpointTracker board = new EndpointTracker();

	private final PrefixHints hints = new PrefixHints();

	private final RetryBudget budget = new RetryBudget();

	private final Router router;

	private final RetryPolicy retries;

	private final Map<String, WaitingRequest<Work>> waiting = new HashMap<>();

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
	public void leaving(Set<String> leaving) {
		this.lock.lock();
		try {
			this.pool.endpoints()
				.forEach((endpoint) -> this.board.setLeaving(endpoint.identifier(),
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
	public void submit(Work work) {
		this.lock.lock();
		try {
			this.budget.recordRequest();
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
	public void resubmit(Work work) {
		Refusal refusal = null;
		Work displaced = null;
		this.lock.lock();
		try {
			switch (offer(work)) {
				case QueueAdmission.Queued<Work> queued -> displaced = displacedBy(queued);
				case QueueAdmission.Refused<Work> refused -> refusal = refused.refusal();
			}
		}
		finally {
			this.lock.unlock();
		}
		if (refusal != null) {
			work.refused(refusal);
			return;
		}
		if (displaced != null) {
			displaced.refused(Refusal.notRun(Refusal.Reason.DISPLACED, DISPLACED_RETRY_MILLISECONDS));
		}
		pump();
	}

	private QueueAdmission<Work> offer(Work work) {
		WaitingRequest.Candidate<Work> candidate = new WaitingRequest.Candidate<>(work, work.organisation(), work.weight(),
				work.lane(), work.costTokens(), work.deadline());
		QueueAdmission<Work> admission = this.queue.offer(candidate, work.forecast(), this.clock.nanoseconds());
		if (admission instanceof QueueAdmission.Queued<Work> queued) {
			this.waiting.put(work.requestIdentifier(), queued.waiting());
		}
		return admission;
	}

	private @Nullable Work displacedBy(QueueAdmission.Queued<Work> queued) {
		WaitingRequest<Work> displaced = queued.displaced();
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
	public boolean withdraw(Work work) {
		this.lock.lock();
		try {
			WaitingRequest<Work> place = this.waiting.remove(work.requestIdentifier());
			return place != null && this.queue.remove(place);
		}
		finally {
			this.lock.unlock();
		}
	}

	/** Dispatches all that can be dispatched now and refuses what is too late. */
	public void pump() {
		expire();
		Dispatch next = take();
		while (next != null) {
			EventLog.info(next.decision()
				.toEvent()
				.with("request", next.work().requestIdentifier())
				.with("organisation", next.work().organisation())
				.with("lane", next.work().lane()));
			next.work()
				.run(next.decision().endpoint(), new Slot(this, next.decision().endpoint().identifier(), this.clock));
			next = take();
		}
	}

	private void expire() {
		List<Work> late = new ArrayList<>();
		this.lock.lock();
		try {
			for (WaitingRequest<Work> expired : this.queue.expire(this.clock.nanoseconds())) {
				this.waiting.remove(expired.item().requestIdentifier());
				late.add(expired.item());
			}
		}
		finally {
			this.lock.unlock();
		}
		late.forEach((work) -> work.refused(Refusal.notRun(Refusal.Reason.DEADLINE_EXCEEDED, 0)));
	}

	private @Nullable Dispatch take() {
		this.lock.lock();
		try {
			if (this.queue.size() == 0) {
				return null;
			}
			long now = this.clock.nanoseconds();
			Map<String, RouteDecision.Chosen> choices = new HashMap<>();
			WaitingRequest<Work> polled = this.queue.poll(now, (candidate) -> readiness(candidate.item(), choices, now));
			if (polled == null) {
				return null;
			}
			Work work = polled.item();
			RouteDecision.Chosen chosen = choices.get(work.requestIdentifier());
			if (chosen == null) {
				throw new IllegalStateException("a request was polled that has no endpoint");
			}
			if (!work.charge()) {
				this.queue.restore(polled);
				return null;
			}
			this.waiting.remove(work.requestIdentifier());
			this.board.recordStart(chosen.endpoint().identifier());
			this.lastUsed.put(chosen.endpoint().identifier(), now);
			noteAffinity(work, chosen, now);
			return new Dispatch(work, chosen);
		}
		finally {
			this.lock.unlock();
		}
	}

	private void noteAffinity(Work work, RouteDecision.Chosen chosen, long now) {
		Long prefix = work.prefixHash();
		if (prefix != null) {
			this.hints.recordDispatch(prefix, chosen.endpoint().identifier(), now);
		}
	}

	private Readiness readiness(Work work, Map<String, RouteDecision.Chosen> choices, long now) {
		Set<String> holders = work.holders();
		if (holders.isEmpty()) {
			return Readiness.COLD;
		}
		Readiness grant = work.grantReadiness();
		if (grant != Readiness.READY) {
			return grant;
		}
		RoutingRequest selection = new RoutingRequest(holders, work.prefixHash(), work.excluded());
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
	public List<Pool.Endpoint> usedSince(long since) {
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
	public void reported(String endpoint, Engine.Report report, EndpointTracker.ReportMark mark) {
		this.lock.lock();
		try {
			this.board.recordReport(endpoint, report.running(), report.waiting(), mark);
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
	public EndpointTracker.ReportMark mark(String endpoint) {
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
	public List<WaitingRequest<Work>> waiting() {
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
	public RouteDecision explain(RoutingRequest selection) {
		this.lock.lock();
		try {
			return this.router.choose(this.board, selection, this.clock.nanoseconds());
		}
		finally {
			this.lock.unlock();
		}
	}

	void succeeded(String endpoint, long firstPieceNanoseconds) {
		this.lock.lock();
		try {
			this.budget.recordSuccess();
			this.board.recordSuccess(endpoint, firstPieceNanoseconds, this.clock.nanoseconds());
		}
		finally {
			this.lock.unlock();
		}
		pump();
	}

	void failed(String endpoint) {
		boolean ejected;
		this.lock.lock();
		try {
			this.budget.recordFailure();
			ejected = this.board.recordFailure(endpoint, this.clock.nanoseconds());
		}
		finally {
			this.lock.unlock();
		}
		if (ejected) {
			EventLog.warning(Event.named("endpoint.ejected").with("endpoint", endpoint));
		}
		pump();
	}

	void cancelled(String endpoint) {
		this.lock.lock();
		try {
			this.board.recordCancellation(endpoint);
		}
		finally {
			this.lock.unlock();
		}
		pump();
	}

	/**
	 * A work that was taken from the queue and the endpoint that it goes to.
	 *
	 * @param work the work
	 * @param decision the choice
	 */
	private record Dispatch(Work work, RouteDecision.Chosen decision) {
	}

}

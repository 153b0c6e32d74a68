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
 * Queues the requests to one pool and dispatches them to its endpoints.
 * <p>
 * Invariants: each submitted request is sent or refused; a request is sent only after its
 * grant has been charged. All state is guarded by one lock for the pool, and no request
 * is called back while it is held, except for cheap reads of its properties. Safe for use
 * by several threads.
 */
public final class PoolDispatcher {

	private static final long DOMAIN_DISTANCE_NANOSECONDS = 1_000_000L;

	private static final long DISPLACED_RETRY_MILLISECONDS = 1_000;

	private final MonotonicClock clock;

	private final ReentrantLock lock = new ReentrantLock();

	private final FairQueue<QueuedRequest> queue;

	private final EndpointTracker board = new EndpointTracker();

	private final PrefixHints prefixHints = new PrefixHints();

	private final RetryBudget retryBudget = new RetryBudget();

	private final Router router;

	private final RetryPolicy retryPolicy;

	private final Map<String, WaitingRequest<QueuedRequest>> waiting = new HashMap<>();

	private final Map<String, Long> lastUsedNanoseconds = new HashMap<>();

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
		this.router = new Router(ownDomain, (domain) -> DOMAIN_DISTANCE_NANOSECONDS, this.prefixHints, random);
		this.retryPolicy = new RetryPolicy(this.retryBudget, random);
		this.board.update(pool.endpoints());
	}

	/**
	 * Applies a changed configuration of the pool.
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
	 * Marks endpoints as leaving and all others as not leaving.
	 * @param leaving identifiers of the endpoints that get no new requests
	 */
	public void markLeaving(Set<String> leaving) {
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
	 * Queues a request, or refuses it immediately.
	 * @param request the request
	 */
	public void submit(QueuedRequest request) {
		this.lock.lock();
		try {
			this.retryBudget.recordRequest();
		}
		finally {
			this.lock.unlock();
		}
		resubmit(request);
	}

	/**
	 * Queues a request again after a failed exchange, or refuses it immediately.
	 * @param request the request
	 */
	public void resubmit(QueuedRequest request) {
		Refusal refusal = null;
		QueuedRequest displaced = null;
		this.lock.lock();
		try {
			switch (offer(request)) {
				case QueueAdmission.Queued<QueuedRequest> queued -> displaced = removeDisplaced(queued);
				case QueueAdmission.Refused<QueuedRequest> refused -> refusal = refused.refusal();
			}
		}
		finally {
			this.lock.unlock();
		}
		if (refusal != null) {
			request.refuse(refusal);
			return;
		}
		if (displaced != null) {
			displaced.refuse(Refusal.notRun(Refusal.Reason.DISPLACED, DISPLACED_RETRY_MILLISECONDS));
		}
		dispatchWaiting();
	}

	private QueueAdmission<QueuedRequest> offer(QueuedRequest request) {
		WaitingRequest.Candidate<QueuedRequest> candidate = new WaitingRequest.Candidate<>(request,
				request.organisation(), request.weight(), request.lane(), request.costTokens(),
				request.deadlineNanoseconds());
		QueueAdmission<QueuedRequest> admission = this.queue.offer(candidate, request.forecast(),
				this.clock.nanoseconds());
		if (admission instanceof QueueAdmission.Queued<QueuedRequest> queued) {
			this.waiting.put(request.requestIdentifier(), queued.waiting());
		}
		return admission;
	}

	private @Nullable QueuedRequest removeDisplaced(QueueAdmission.Queued<QueuedRequest> queued) {
		WaitingRequest<QueuedRequest> displaced = queued.displaced();
		if (displaced == null) {
			return null;
		}
		this.waiting.remove(displaced.item().requestIdentifier());
		return displaced.item();
	}

	/**
	 * Removes a request from the queue because it was aborted or its caller has
	 * disconnected.
	 * @param request the request
	 * @return whether it was still waiting
	 */
	public boolean withdraw(QueuedRequest request) {
		this.lock.lock();
		try {
			WaitingRequest<QueuedRequest> removed = this.waiting.remove(request.requestIdentifier());
			return removed != null && this.queue.remove(removed);
		}
		finally {
			this.lock.unlock();
		}
	}

	/**
	 * Dispatches all requests that can be sent now and refuses those that have expired.
	 */
	public void dispatchWaiting() {
		refuseExpired();
		Dispatch next = takeNext();
		while (next != null) {
			EventLog.info(next.decision()
				.toEvent()
				.with("request", next.request().requestIdentifier())
				.with("organisation", next.request().organisation())
				.with("lane", next.request().lane()));
			next.request()
				.send(next.decision().endpoint(), new Slot(this, next.decision().endpoint().identifier(), this.clock));
			next = takeNext();
		}
	}

	private void refuseExpired() {
		List<QueuedRequest> late = new ArrayList<>();
		this.lock.lock();
		try {
			for (WaitingRequest<QueuedRequest> expired : this.queue.expire(this.clock.nanoseconds())) {
				this.waiting.remove(expired.item().requestIdentifier());
				late.add(expired.item());
			}
		}
		finally {
			this.lock.unlock();
		}
		late.forEach((request) -> request.refuse(Refusal.notRun(Refusal.Reason.DEADLINE_EXCEEDED, 0)));
	}

	private @Nullable Dispatch takeNext() {
		this.lock.lock();
		try {
			if (this.queue.size() == 0) {
				return null;
			}
			long now = this.clock.nanoseconds();
			Map<String, RouteDecision.Chosen> choices = new HashMap<>();
			WaitingRequest<QueuedRequest> polled = this.queue.poll(now,
					(candidate) -> readiness(candidate.item(), choices, now));
			if (polled == null) {
				return null;
			}
			QueuedRequest request = polled.item();
			RouteDecision.Chosen chosen = choices.get(request.requestIdentifier());
			if (chosen == null) {
				throw new IllegalStateException("no endpoint was chosen for a polled request");
			}
			if (!request.charge()) {
				this.queue.restore(polled);
				return null;
			}
			this.waiting.remove(request.requestIdentifier());
			this.board.recordStart(chosen.endpoint().identifier());
			this.lastUsedNanoseconds.put(chosen.endpoint().identifier(), now);
			recordAffinity(request, chosen, now);
			return new Dispatch(request, chosen);
		}
		finally {
			this.lock.unlock();
		}
	}

	private void recordAffinity(QueuedRequest request, RouteDecision.Chosen chosen, long now) {
		Long prefix = request.prefixHash();
		if (prefix != null) {
			this.prefixHints.recordDispatch(prefix, chosen.endpoint().identifier(), now);
		}
	}

	private Readiness readiness(QueuedRequest request, Map<String, RouteDecision.Chosen> choices, long now) {
		Set<String> candidates = request.candidateEndpoints();
		if (candidates.isEmpty()) {
			return Readiness.COLD;
		}
		Readiness grant = request.grantReadiness();
		if (grant != Readiness.READY) {
			return grant;
		}
		RoutingRequest selection = new RoutingRequest(candidates, request.prefixHash(), request.excludedEndpoints());
		return switch (this.router.choose(this.board, selection, now)) {
			case RouteDecision.None none -> Readiness.FULL;
			case RouteDecision.Chosen chosen -> {
				choices.put(request.requestIdentifier(), chosen);
				yield Readiness.READY;
			}
		};
	}

	/**
	 * Decides whether to retry after a failed exchange.
	 * @param attempt the failed attempt
	 * @return the decision
	 */
	public RetryDecision decideRetry(FailedAttempt attempt) {
		this.lock.lock();
		try {
			return this.retryPolicy.decide(attempt, this.clock.nanoseconds());
		}
		finally {
			this.lock.unlock();
		}
	}

	/**
	 * Returns the endpoints to which requests were sent since a given time.
	 * @param since the time on the monotonic clock in nanoseconds
	 * @return the endpoints
	 */
	public List<Pool.Endpoint> endpointsUsedSince(long since) {
		this.lock.lock();
		try {
			this.lastUsedNanoseconds.values().removeIf((at) -> at - since < 0);
			return this.pool.endpoints()
				.stream()
				.filter((endpoint) -> this.lastUsedNanoseconds.containsKey(endpoint.identifier()))
				.toList();
		}
		finally {
			this.lock.unlock();
		}
	}

	/**
	 * Applies a load report.
	 * @param endpoint the identifier of the endpoint
	 * @param report the report
	 * @param mark the mark taken when the report was requested
	 */
	public void applyReport(String endpoint, Engine.Report report, EndpointTracker.ReportMark mark) {
		this.lock.lock();
		try {
			this.board.recordReport(endpoint, report.running(), report.waiting(), mark);
		}
		finally {
			this.lock.unlock();
		}
	}

	/**
	 * Marks the time at which a report is requested.
	 * @param endpoint the identifier of the endpoint
	 * @return the mark
	 */
	public EndpointTracker.ReportMark markReportRequested(String endpoint) {
		this.lock.lock();
		try {
			return this.board.mark(endpoint, this.clock.nanoseconds());
		}
		finally {
			this.lock.unlock();
		}
	}

	/**
	 * Returns the waiting requests, to report demand to the placing daemon.
	 * @return a copy
	 */
	public List<WaitingRequest<QueuedRequest>> waitingRequests() {
		this.lock.lock();
		try {
			return List.copyOf(this.waiting.values());
		}
		finally {
			this.lock.unlock();
		}
	}

	/**
	 * Returns the decision that a request would get now, without sending it.
	 * @param selection the endpoints that hold what the request needs
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

	void recordSuccess(String endpoint, long firstChunkNanoseconds) {
		this.lock.lock();
		try {
			this.retryBudget.recordSuccess();
			this.board.recordSuccess(endpoint, firstChunkNanoseconds, this.clock.nanoseconds());
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
			this.retryBudget.recordFailure();
			ejected = this.board.recordFailure(endpoint, this.clock.nanoseconds());
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
			this.board.recordCancellation(endpoint);
		}
		finally {
			this.lock.unlock();
		}
		dispatchWaiting();
	}

	/**
	 * A request that was taken from the queue and the endpoint to which it is sent.
	 *
	 * @param request the request
	 * @param decision the chosen endpoint
	 */
	private record Dispatch(QueuedRequest request, RouteDecision.Chosen decision) {
	}

}

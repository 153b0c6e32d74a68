package org.masticshelf.serving.request;

import java.util.HashSet;
import java.util.Set;

import org.jspecify.annotations.Nullable;

import org.masticshelf.kernel.admission.WaitDecision;
import org.masticshelf.kernel.event.Event;
import org.masticshelf.kernel.serving.Loadable;
import org.masticshelf.kernel.serving.ServedEndpoint;
import org.masticshelf.kernel.serving.ServedOrganisation;
import org.masticshelf.kernel.serving.ServedRequest;
import org.masticshelf.kernel.serving.ServedRoute;
import org.masticshelf.serving.caller.CallerChannel;
import org.masticshelf.serving.upstream.EndpointProtocol.OutboundRequest;

/**
 * The way of one request that was read: where it runs once {@link Admission} has let it
 * in, and what its caller is told.
 * <p>
 * Invariants: a status that promises that the request did not run is given only if no
 * sending may have run it; a request that is not repeatable is sent again only after an
 * endpoint said that it did not run. Used by one thread.
 */
final class Forwarding {

	/** How long an endpoint takes to begin an answer, for deciding whether to wait. */
	private static final long BEGIN_MILLISECONDS = 150;

	/** How long a repeatable call may stay silent before another endpoint is asked. */
	private static final long SHORTEST_SILENCE_MILLISECONDS = 300;

	private static final long SILENCE_IN_OBJECTIVES = 2;

	/** Pauses in a resumable stream before another endpoint goes on with it. */
	private static final long SILENCE_IN_GAPS = 6;

	/** What a caller is told to wait for after an endpoint refused for want of room. */
	private static final long RETRY_AFTER_FULL_MILLISECONDS = 300;

	/** How often a waiting request looks again for endpoints that were left out. */
	private static final long LOOK_MILLISECONDS = 100;

	/** What a caller is told to wait for before it asks another daemon. */
	private static final long RETRY_ELSEWHERE_MILLISECONDS = 50;

	private static final int BAD_GATEWAY = 502;

	private static final int UNAVAILABLE = 503;

	private static final int GATEWAY_TIMEOUT = 504;

	private final RequestContext context;

	private final ServedRequest request;

	private final CallerChannel caller;

	private final CallerReply reply;

	private final StreamRelay relay;

	private final Set<String> avoided = new HashSet<>();

	private Admission.@Nullable Admitted admitted;

	private boolean mayHaveRun;

	private int sendings;

	private int arrivals;

	Forwarding(RequestContext context, ServedRequest request, CallerChannel caller, long arrivedNanoseconds) {
		this.context = context;
		this.request = request;
		this.caller = caller;
		this.reply = new CallerReply(context, request, caller, arrivedNanoseconds);
		this.relay = new StreamRelay(caller, request.resumeAfter());
	}

	/** Serves the request or refuses it. */
	void run() {
		this.caller.onGone(this.context.waitingRoom()::signal);
		StopPhase phase = this.context.stopPhase().get();
		if (phase != StopPhase.RUNNING) {
			this.caller.closeAfterAnswer();
		}
		if (phase.compareTo(StopPhase.REFUSING) >= 0) {
			refuse(UNAVAILABLE, "stopping", RETRY_ELSEWHERE_MILLISECONDS);
			return;
		}
		switch (new Admission(this.context, this.request, this::event).decide()) {
			case Admission.Refused refused ->
				refuse(refused.status(), refused.reason(), refused.retryAfterMilliseconds());
			case Admission.Admitted accepted -> {
				this.admitted = accepted;
				serve();
			}
		}
	}

	private void serve() {
		while (true) {
			ServedEndpoint endpoint = awaitEndpoint();
			if (endpoint == null) {
				return;
			}
			ExchangeResult result = send(endpoint);
			if (this.caller.isGone()) {
				finish("caller_gone", 0);
				return;
			}
			if (!handleResult(endpoint, result)) {
				return;
			}
		}
	}

	private @Nullable ServedEndpoint awaitEndpoint() {
		WaitingRequests.Entry ticket = null;
		try {
			while (true) {
				if (this.caller.isGone()) {
					refundIfNotRun();
					finish("caller_gone", 0);
					return null;
				}
				long seen = this.context.waitingRoom().changeCount();
				if (this.context.stopPhase().get() == StopPhase.ENDING) {
					giveUpWithoutEndpoint(RETRY_ELSEWHERE_MILLISECONDS, -1);
					return null;
				}
				ServedEndpoint endpoint = new EndpointChooser(this.context, this.request, pool(),
						admitted().pool().engine())
					.choose(this.avoided);
				if (endpoint != null) {
					return endpoint;
				}
				long ready = readyIn();
				WaitDecision decision = WaitDecision.decide(elapsed(), firstEventLimit(), ready, BEGIN_MILLISECONDS);
				switch (decision) {
					case WaitDecision.Refuse refuse -> {
						giveUpWithoutEndpoint(refuse.retryAfterMilliseconds(), ready);
						return null;
					}
					case WaitDecision.Wait wait -> {
						if (ticket == null) {
							ticket = this.context.waitingRoom()
								.add(pool(), loadable(), route().objectiveMilliseconds() - elapsed());
							this.context.log()
								.accept(event("request.waiting").with("loadable", loadable()).with("ready_in", ready));
						}
						this.context.waitingRoom().awaitChange(seen, Math.min(wait.milliseconds(), LOOK_MILLISECONDS));
					}
				}
			}
		}
		finally {
			if (ticket != null) {
				this.context.waitingRoom().remove(ticket);
			}
		}
	}

	private @Nullable Loadable loadable() {
		return (admitted().pool().engine() != null) ? this.request.loadable() : null;
	}

	private long readyIn() {
		Loadable loadable = loadable();
		return (loadable != null) ? this.context.peers().readyIn(pool(), loadable) : -1;
	}

	private long tokens() {
		return Math.max(0, this.request.tokens());
	}

	private ExchangeResult send(ServedEndpoint endpoint) {
		ServedOrganisation payer = admitted().organisation();
		ServedRoute used = route();
		this.sendings++;
		this.context.log()
			.accept(event("request.sent").with("endpoint", endpoint.identifier())
				.with("sending", this.sendings)
				.with("waited_ms", elapsed())
				.with("left_ms", remaining())
				.with("requests_there", this.context.loads().view(endpoint).own())
				.with("resume_after", this.relay.lastIdentifier()));
		this.context.metrics().recordSend(pool());
		int priority = (payer != null && payer.priority() != null) ? payer.priority() : used.priority();
		OutboundRequest passage = new OutboundRequest(this.request, endpoint, (payer != null) ? payer.name() : null,
				priority, remaining(), this.relay.lastIdentifier());
		this.context.loads().recordStart(endpoint, loadable(), tokens());
		try {
			return new EndpointExchange(this.context.connections(), this.context.protocol(), passage, new RouteLimits(),
					this.caller, this.context.loads().isInSilentDomain(endpoint))
				.run(this.relay);
		}
		finally {
			this.context.loads().recordEnd(endpoint, loadable(), tokens());
			this.context.waitingRoom().signal();
		}
	}

	/**
	 * Decides what follows from a sending.
	 * @param endpoint where the request was sent
	 * @param result how that ended
	 * @return whether to send it again
	 */
	private boolean handleResult(ServedEndpoint endpoint, ExchangeResult result) {
		return switch (result) {
			case ExchangeResult.Streamed streamed -> {
				this.context.loads().recordAnswer(endpoint, true);
				this.context.retries().recordExchange(pool(), true);
				yield finish("served", 200);
			}
			case ExchangeResult.Answered answered -> handleAnswer(endpoint, answered);
			case ExchangeResult.Unreached unreached -> {
				recordFailure(endpoint, unreached.reason());
				yield remaining() > BEGIN_MILLISECONDS || giveUpAfterFailure(true);
			}
			case ExchangeResult.NotRun notRun -> handleNotRun(endpoint, notRun);
			case ExchangeResult.Lost lost -> handleLoss(endpoint, lost);
		};
	}

	private boolean handleAnswer(ServedEndpoint endpoint, ExchangeResult.Answered answered) {
		boolean failed = answered.status() >= 500;
		this.context.loads().recordAnswer(endpoint, !failed);
		this.context.retries().recordExchange(pool(), true);
		this.arrivals++;
		if (failed) {
			this.mayHaveRun = true;
			this.avoided.add(endpoint.identifier());
			if (mayRetry() && this.context.retries().tryTake(pool())) {
				return true;
			}
		}
		if (this.relay.isStarted()) {
			this.caller.abort();
			return finish("broken", answered.status());
		}
		this.reply.deliver(answered.status(), answered.headers(), answered.body());
		return finish(failed ? "endpoint_failed" : "served", answered.status());
	}

	private boolean handleNotRun(ServedEndpoint endpoint, ExchangeResult.NotRun notRun) {
		Loadable loadable = loadable();
		this.arrivals++;
		if (notRun.lacking() && loadable != null) {
			this.context.directory().recordLacking(endpoint, loadable);
		}
		else if (notRun.lacking()) {
			this.context.loads().recordFailure(endpoint);
		}
		else {
			this.context.loads().recordFull(endpoint);
		}
		this.context.log()
			.accept(event("request.not_run").with("endpoint", endpoint.identifier())
				.with("status", notRun.status())
				.with("lacking", notRun.lacking()));
		this.avoided.add(endpoint.identifier());
		boolean another = this.arrivals < route().maximumAttempts();
		if (another && this.context.retries().tryTake(pool())) {
			return true;
		}
		return giveUpAfterFailure(true);
	}

	private boolean handleLoss(ServedEndpoint endpoint, ExchangeResult.Lost lost) {
		this.mayHaveRun = true;
		this.arrivals++;
		this.avoided.add(endpoint.identifier());
		if (lost.timedOut()) {
			recordTimeout(endpoint);
		}
		else {
			recordFailure(endpoint, lost.reason());
		}
		if (remaining() > BEGIN_MILLISECONDS && mayRetry() && this.context.retries().tryTake(pool())) {
			return true;
		}
		return giveUpAfterFailure(!lost.timedOut());
	}

	private void recordTimeout(ServedEndpoint endpoint) {
		long time = this.context.loads().recordTimeout(endpoint);
		this.context.retries().recordExchange(pool(), false);
		this.context.log()
			.accept(event("request.exchange_silent").with("endpoint", endpoint.identifier()).with("ejected_ms", time));
	}

	private void recordFailure(ServedEndpoint endpoint, String reason) {
		long time = this.context.loads().recordFailure(endpoint);
		this.context.retries().recordExchange(pool(), false);
		this.context.log()
			.accept(event("request.exchange_failed").with("endpoint", endpoint.identifier())
				.with("reason", reason)
				.with("ejected_ms", time));
	}

	private boolean mayRetry() {
		return route().execution().isRepeatable() && this.arrivals < route().maximumAttempts();
	}

	private void giveUpWithoutEndpoint(long retryAfter, long ready) {
		this.context.log()
			.accept(event("request.unplaced").with("loadable", loadable())
				.with("waited_ms", elapsed())
				.with("ready_in", ready)
				.with("may_have_run", this.mayHaveRun));
		if (this.mayHaveRun || this.relay.isStarted()) {
			giveUpAfterFailure(true);
			return;
		}
		refundIfNotRun();
		refuse(UNAVAILABLE, "no_endpoint", retryAfter);
	}

	private void refundIfNotRun() {
		if (!this.mayHaveRun) {
			this.context.grants().refund(admitted().organisation(), admitted().cost());
		}
	}

	private boolean giveUpAfterFailure(boolean early) {
		if (this.relay.isStarted()) {
			this.caller.abort();
			return finish("broken", 0);
		}
		if (!this.mayHaveRun) {
			refundIfNotRun();
			return refuse(UNAVAILABLE, "endpoint_refused", RETRY_AFTER_FULL_MILLISECONDS);
		}
		return refuse(early ? BAD_GATEWAY : GATEWAY_TIMEOUT, "no_answer", 0);
	}

	private boolean refuse(int status, String reason, long retryAfterMilliseconds) {
		this.reply.refuse(status, reason, retryAfterMilliseconds);
		return finish("refused_" + reason, status);
	}

	private boolean finish(String outcome, int status) {
		this.reply.recordEnd(outcome, status, this.sendings);
		return false;
	}

	private Event event(String name) {
		return this.reply.event(name);
	}

	private Admission.Admitted admitted() {
		Admission.Admitted found = this.admitted;
		if (found == null) {
			throw new IllegalStateException("the request was not admitted");
		}
		return found;
	}

	private ServedRoute route() {
		return admitted().route();
	}

	private String pool() {
		return admitted().pool().name();
	}

	private long elapsed() {
		return this.reply.elapsedMilliseconds();
	}

	private long limit() {
		return Math.min(this.request.deadlineMilliseconds(), route().timeoutMilliseconds());
	}

	private long firstEventLimit() {
		return Math.min(limit(), route().patienceMilliseconds());
	}

	private long remaining() {
		return limit() - elapsed();
	}

	/** Limits by route and deadline, and by the silence after which another is asked. */
	private final class RouteLimits implements EndpointExchange.Limits {

		@Override
		public long firstByteMilliseconds() {
			if (!canMoveOn()) {
				return remaining();
			}
			long silence = route().execution().isStreamed() ? route().objectiveMilliseconds()
					: Math.max(SHORTEST_SILENCE_MILLISECONDS, SILENCE_IN_OBJECTIVES * route().objectiveMilliseconds());
			return Math.min(remaining(), silence);
		}

		@Override
		public long gapMilliseconds() {
			return canMoveOn() ? Math.min(remaining(), SILENCE_IN_GAPS * route().gapObjectiveMilliseconds())
					: remaining();
		}

		@Override
		public long totalMilliseconds() {
			return remaining();
		}

		private boolean canMoveOn() {
			return route().execution().isRepeatable() && Forwarding.this.arrivals + 1 < route().maximumAttempts()
					&& Forwarding.this.context.directory().holding(pool(), loadable()).size() > 1;
		}

	}

}

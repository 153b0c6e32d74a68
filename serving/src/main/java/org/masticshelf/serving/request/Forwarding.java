package org.masticshelf.serving.request;

import java.util.HashSet;
import java.util.Set;

import org.jspecify.annotations.Nullable;

import org.masticshelf.kernel.admission.ReadinessEstimate;
import org.masticshelf.kernel.admission.StopDecision;
import org.masticshelf.kernel.admission.WaitDecision;
import org.masticshelf.kernel.event.Event;
import org.masticshelf.kernel.serving.LoadableName;
import org.masticshelf.kernel.serving.ServedEndpoint;
import org.masticshelf.kernel.serving.ServedOrganisation;
import org.masticshelf.kernel.serving.ServedRequest;
import org.masticshelf.kernel.serving.ServedRoute;
import org.masticshelf.serving.caller.CallerChannel;
import org.masticshelf.serving.endpoint.EndpointLimits.Availability;
import org.masticshelf.serving.quarantine.RequestFingerprints;
import org.masticshelf.serving.quarantine.RequestQuarantine.Finding;
import org.masticshelf.serving.upstream.EndpointProtocol.AnswerMetadata;
import org.masticshelf.serving.upstream.EndpointProtocol.OutboundRequest;

/**
 * Processes one decoded request: admits it with {@link Admission}, waits for an endpoint,
 * sends it, retries it where that is safe, and replies to the caller.
 * <p>
 * Invariants: the caller is told that the request did not run only if no endpoint may
 * have run it; a request that is not repeatable is sent again only after an endpoint
 * reported that it did not run. Not thread-safe.
 */
final class Forwarding {

	/**
	 * The time an endpoint needs to begin an answer, reserved when deciding whether to
	 * wait or retry.
	 */
	private static final long ANSWER_START_MILLISECONDS = RequestTurn.ANSWER_START_MILLISECONDS;

	/** The minimum silence of a repeatable call before it is sent to another endpoint. */
	private static final long MINIMUM_SILENCE_MILLISECONDS = 300;

	private static final long SILENCE_LATENCY_OBJECTIVES = 2;

	/**
	 * The silence of a resumable stream, in gap objectives, after which another endpoint
	 * resumes it.
	 */
	private static final long SILENCE_GAP_OBJECTIVES = 6;

	/** The retry delay announced after endpoints refused for lack of capacity. */
	private static final long RETRY_AFTER_FULL_MILLISECONDS = 300;

	/**
	 * An answer that has been under way for this long is not what crashes its endpoint.
	 */
	private static final long HARMLESS_MILLISECONDS = 400;

	/** The retry delay announced when another daemon should serve the request. */
	private static final long RETRY_ELSEWHERE_MILLISECONDS = 50;

	private static final int BAD_GATEWAY = 502;

	private static final int SERVICE_UNAVAILABLE = 503;

	private static final int GATEWAY_TIMEOUT = 504;

	private final RequestContext context;

	private final ServedRequest request;

	private final CallerChannel caller;

	private final CallerReply reply;

	private final StreamRelay relay;

	private final RequestFingerprints fingerprints;

	private final Set<String> avoidedEndpoints = new HashSet<>();

	private Admission.@Nullable Admitted admitted;

	private boolean mayHaveRun;

	private int sends;

	private int attempts;

	/**
	 * When the current endpoint sent its first event, in milliseconds since the request
	 * arrived, negative if it has sent none.
	 */
	private long answeringSince = -1;

	/** When the request was last sent, in milliseconds since it arrived. */
	private long sentAt;

	/** Whether the request counts as running at the chosen endpoint before it is sent. */
	private boolean started;

	/** Whether the current endpoint goes on with a stream that another one began. */
	private boolean resumed;

	/** Whether an endpoint has answered this request for some time without a crash. */
	private boolean harmless;

	Forwarding(RequestContext context, ServedRequest request, CallerChannel caller, long arrivedNanoseconds) {
		this.context = context;
		this.request = request;
		this.caller = caller;
		this.reply = new CallerReply(context, request, caller, arrivedNanoseconds);
		this.relay = new StreamRelay(caller, request.resumeAfter());
		this.fingerprints = new RequestFingerprints(request);
	}

	/** Serves or refuses the request. */
	void run() {
		this.caller.onGone(this.context.waitingRequests()::signal);
		StopPhase phase = this.context.plannedStop().phase();
		if (phase != StopPhase.RUNNING) {
			this.caller.closeAfterAnswer();
		}
		if (phase.compareTo(StopPhase.REFUSING) >= 0) {
			refuse(SERVICE_UNAVAILABLE, "stopping", RETRY_ELSEWHERE_MILLISECONDS);
			return;
		}
		switch (new Admission(this.context, this.request, this.fingerprints, this::event).decide()) {
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
			if (!this.context.endpointLimits().tryTake(endpoint)
					|| !this.context.endpointBodies().tryBegin(endpoint, this.request.body().length)) {
				if (this.started) {
					recordEnd(endpoint);
				}
				continue;
			}
			ExchangeResult result = send(endpoint);
			if (this.caller.isGone()) {
				finish("caller_gone", 0);
				return;
			}
			if (result instanceof ExchangeResult.Lost lost && isGivenUp(lost)) {
				this.mayHaveRun = true;
				giveUpAfterFailure(false);
				return;
			}
			if (!handleResult(endpoint, result)) {
				return;
			}
		}
	}

	private boolean isGivenUp(ExchangeResult.Lost lost) {
		return !lost.timedOut() && this.context.plannedStop().phase() == StopPhase.GIVING_UP;
	}

	private @Nullable ServedEndpoint awaitEndpoint() {
		ReadinessEstimate estimate = ReadinessEstimate.NONE;
		try (RequestTurn turn = RequestTurn.of(new RequestTurn.Subject(this.context, this.request, admitted(),
				this.avoidedEndpoints, this.caller::isGone, this::elapsed, this::event))) {
			while (true) {
				if (this.caller.isGone()) {
					refundIfNotRun();
					recordUnserved();
					finish("caller_gone", 0);
					return null;
				}
				turn.beginCheck();
				if (this.context.plannedStop().phase().compareTo(StopPhase.ENDING) >= 0) {
					giveUpWithoutEndpoint(RETRY_ELSEWHERE_MILLISECONDS, -1);
					return null;
				}
				if (examineRequest() instanceof Finding.Quarantined finding) {
					giveUpQuarantined(finding);
					return null;
				}
				ServedEndpoint endpoint = turn.choose();
				if (endpoint != null) {
					if (refuseIfStopping(endpoint, 0)) {
						return null;
					}
					this.started = turn.keep();
					return endpoint;
				}
				estimate = estimate.learn(elapsed(), readyIn());
				long readyInMilliseconds = estimate.readyIn(elapsed());
				Availability limited = turn.limitedAvailability();
				if (limited != null && readyInMilliseconds < 0) {
					if (!limited.here()) {
						giveUpWithoutEndpoint(limited.milliseconds(), limited.milliseconds());
						return null;
					}
					readyInMilliseconds = limited.milliseconds();
				}
				if (refuseIfStopping(null, readyInMilliseconds)) {
					return null;
				}
				switch (turn.decide(elapsed(), firstEventLimit(), readyInMilliseconds)) {
					case WaitDecision.Refuse refuse -> {
						giveUpWithoutEndpoint(refuse.retryAfterMilliseconds(), readyInMilliseconds);
						return null;
					}
					case WaitDecision.Wait wait -> turn.await(wait.milliseconds(), readyInMilliseconds);
				}
			}
		}
	}

	private boolean refuseIfStopping(@Nullable ServedEndpoint endpoint, long waitMilliseconds) {
		if (!(decideOnStop(endpoint, waitMilliseconds) instanceof StopDecision.Refuse refuse)) {
			return false;
		}
		this.context.log()
			.accept(event("request.too_late_for_stop").with("wait_ms", waitMilliseconds)
				.with("missing_ms", refuse.missingMilliseconds())
				.with("stop_left_ms", this.context.plannedStop().leftForLog()));
		if (this.mayHaveRun || this.relay.isStarted()) {
			giveUpAfterFailure(true);
			return true;
		}
		refundIfNotRun();
		// A caller that returns before it has noticed the stop may be refused here again.
		long unnoticed = this.context.plannedStop().unnoticedMilliseconds();
		long startsAt = elapsed() + unnoticed + Math.max(0, waitMilliseconds) + ANSWER_START_MILLISECONDS;
		boolean meetsObjective = startsAt <= route().objectiveMilliseconds();
		refuse(SERVICE_UNAVAILABLE, "stopping",
				meetsObjective ? Math.max(RETRY_ELSEWHERE_MILLISECONDS, unnoticed) : RETRY_ELSEWHERE_MILLISECONDS);
		return true;
	}

	private StopDecision decideOnStop(@Nullable ServedEndpoint endpoint, long waitMilliseconds) {
		if (this.context.plannedStop().phase() == StopPhase.RUNNING) {
			return StopDecision.Serve.INSTANCE;
		}
		long service = this.context.serviceTimes()
			.estimate(pool(), loadable(), this.request.outputTokens(), endpoint, remaining());
		return StopDecision.decide(elapsed(), waitMilliseconds, service, this.context.plannedStop().leftMilliseconds());
	}

	private boolean endsBeforeStop() {
		return decideOnStop(null, 0) instanceof StopDecision.Serve;
	}

	private void recordServiceTime(ServedEndpoint endpoint) {
		if (!this.resumed) {
			long whole = elapsed() - this.sentAt;
			long start = (this.answeringSince < 0) ? whole : this.answeringSince - this.sentAt;
			this.context.serviceTimes().record(endpoint, loadable(), this.request.outputTokens(), start, whole);
			this.context.waitingRequests().ordered().recordService(pool(), start, whole);
		}
	}

	private @Nullable LoadableName loadable() {
		return (admitted().pool().engine() != null) ? this.request.loadable() : null;
	}

	private long readyIn() {
		LoadableName loadable = loadable();
		return (loadable != null) ? this.context.peers().readyIn(pool(), loadable) : -1;
	}

	private ExchangeResult send(ServedEndpoint endpoint) {
		ServedOrganisation payer = admitted().organisation();
		ServedRoute route = route();
		this.sends++;
		this.sentAt = elapsed();
		this.resumed = this.relay.lastIdentifier() != null;
		this.answeringSince = -1;
		this.context.log()
			.accept(event("request.sent").with("endpoint", endpoint.identifier())
				.with("sending", this.sends)
				.with("waited_ms", elapsed())
				.with("left_ms", remaining())
				.with("stop_left_ms", this.context.plannedStop().leftForLog())
				.with("requests_there", this.context.loads().view(endpoint).own() - (this.started ? 1 : 0))
				.with("resume_after", this.relay.lastIdentifier()));
		this.context.metrics().recordSend(pool());
		int priority = (payer != null && payer.priority() != null) ? payer.priority() : route.priority();
		OutboundRequest outbound = new OutboundRequest(this.request, endpoint, (payer != null) ? payer.name() : null,
				priority, remaining(), this.relay.lastIdentifier());
		ExchangeProgress sent = ExchangeProgress.begin(this.context.loads(), endpoint, this.request, loadable(), route,
				this.started);
		try {
			return new EndpointExchange(this.context.connections(), this.context.protocol(), outbound,
					new RouteLimits(endpoint, sent), this.caller, chooseConnection(endpoint),
					this.context.plannedStop(), this.context.answerMemory())
				.run(this.relay);
		}
		finally {
			this.context.endpointBodies().end(endpoint, this.request.body().length);
			sent.end();
			this.started = false;
			this.context.waitingRequests().signal();
		}
	}

	private void recordEnd(ServedEndpoint endpoint) {
		this.context.loads().recordEnd(endpoint, loadable(), Math.max(0, this.request.totalTokens()));
		this.started = false;
		this.context.waitingRequests().signal();
	}

	private ConnectionChoice chooseConnection(ServedEndpoint endpoint) {
		if (this.context.loads().isInSilentDomain(endpoint)) {
			return ConnectionChoice.PROBING;
		}
		return this.avoidedEndpoints.contains(endpoint.identifier()) ? ConnectionChoice.NEW : ConnectionChoice.POOLED;
	}

	/**
	 * Handles the result of sending the request to an endpoint.
	 * @param endpoint the endpoint
	 * @param result the result of the exchange
	 * @return whether to send the request again
	 */
	private boolean handleResult(ServedEndpoint endpoint, ExchangeResult result) {
		return switch (result) {
			case ExchangeResult.Streamed streamed -> {
				recordServiceTime(endpoint);
				recordHarmless();
				recordServed();
				this.context.loads().recordAnswer(endpoint, true);
				this.context.retries().recordExchange(pool(), true);
				yield finish("served", streamed.status());
			}
			case ExchangeResult.Answered answered -> handleAnswer(endpoint, answered);
			case ExchangeResult.Unreached unreached -> {
				recordFailure(endpoint, "UNREACHED", unreached.reason());
				yield remaining() > ANSWER_START_MILLISECONDS || giveUpAfterFailure(true);
			}
			case ExchangeResult.NotRun notRun -> handleNotRun(endpoint, notRun);
			case ExchangeResult.Lost lost -> handleLoss(endpoint, lost);
		};
	}

	private boolean handleAnswer(ServedEndpoint endpoint, ExchangeResult.Answered answered) {
		boolean failed = answered.status() >= 500;
		if (!failed) {
			recordServiceTime(endpoint);
			recordHarmless();
			recordServed();
		}
		this.context.loads().recordAnswer(endpoint, !failed);
		this.context.retries().recordExchange(pool(), true);
		this.attempts++;
		if (failed) {
			this.mayHaveRun = true;
			this.avoidedEndpoints.add(endpoint.identifier());
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
		LoadableName loadable = loadable();
		this.attempts++;
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
		this.avoidedEndpoints.add(endpoint.identifier());
		return (this.attempts < route().maximumAttempts() && this.context.retries().tryTake(pool()))
				|| giveUpAfterFailure(true);
	}

	private boolean handleLoss(ServedEndpoint endpoint, ExchangeResult.Lost lost) {
		this.mayHaveRun = true;
		this.attempts++;
		this.avoidedEndpoints.add(endpoint.identifier());
		if (lost.timedOut()) {
			recordTimeout(endpoint);
		}
		else {
			recordFailure(endpoint, lost.kind().name(), lost.reason());
		}
		if (lost.kind() == ExchangeResult.Lost.Kind.DISCONNECTED && answeringMilliseconds() < HARMLESS_MILLISECONDS) {
			this.context.quarantine().recordCrash(endpoint, this.fingerprints);
		}
		if (remaining() > ANSWER_START_MILLISECONDS && mayRetry() && this.context.retries().tryTake(pool())) {
			return true;
		}
		return giveUpAfterFailure(!lost.timedOut());
	}

	private void recordTimeout(ServedEndpoint endpoint) {
		long ejectedMilliseconds = this.context.loads().recordTimeout(endpoint);
		this.context.retries().recordExchange(pool(), false);
		this.context.log()
			.accept(event("request.exchange_silent").with("endpoint", endpoint.identifier())
				.with("ejected_ms", ejectedMilliseconds));
	}

	private void recordFailure(ServedEndpoint endpoint, String kind, String reason) {
		long ejectedMilliseconds = this.context.loads().recordFailure(endpoint);
		this.context.retries().recordExchange(pool(), false);
		this.context.log()
			.accept(event("request.exchange_failed").with("endpoint", endpoint.identifier())
				.with("started_at", endpoint.startedAt())
				.with("kind", kind)
				.with("reason", reason)
				.with("answering_ms", answeringMilliseconds())
				.with("segments", this.request.sharedSegments())
				.with("request", this.fingerprints.whole())
				.with("ejected_ms", ejectedMilliseconds));
	}

	private boolean mayRetry() {
		return route().execution().isRepeatable() && this.attempts < route().maximumAttempts() && endsBeforeStop()
				&& this.relay.isResumable() && (this.harmless || examineRequest() instanceof Finding.Clear);
	}

	private void giveUpWithoutEndpoint(long retryAfter, long readyInMilliseconds) {
		this.context.log()
			.accept(event("request.unplaced").with("loadable", loadable())
				.with("waited_ms", elapsed())
				.with("ready_in", readyInMilliseconds)
				.with("may_have_run", this.mayHaveRun));
		if (this.mayHaveRun || this.relay.isStarted()) {
			giveUpAfterFailure(true);
			return;
		}
		refundIfNotRun();
		recordUnserved();
		refuse(SERVICE_UNAVAILABLE, "no_endpoint", retryAfter);
	}

	private void recordUnserved() {
		LoadableName loadable = loadable();
		if (loadable != null && !this.mayHaveRun) {
			this.context.unserved().recordUnserved(pool(), loadable);
		}
	}

	private void recordServed() {
		LoadableName loadable = loadable();
		if (loadable != null) {
			this.context.unserved().recordServed(pool(), loadable);
		}
	}

	private Finding examineRequest() {
		return this.context.quarantine().examine(this.fingerprints);
	}

	private void giveUpQuarantined(Finding.Quarantined finding) {
		this.context.log()
			.accept(event("request.quarantined").with("fingerprint", finding.fingerprint())
				.with("crashes", finding.crashes()));
		if (this.mayHaveRun || this.relay.isStarted()) {
			giveUpAfterFailure(true);
			return;
		}
		refundIfNotRun();
		refuse(SERVICE_UNAVAILABLE, "request_quarantined", finding.remainingMilliseconds());
	}

	/** Records that the current answer has not harmed its endpoint. */
	private void recordHarmless() {
		this.context.quarantine()
			.recordAnswer(this.fingerprints,
					this.context.clock().milliseconds() - Math.max(0, answeringMilliseconds()));
	}

	private long answeringMilliseconds() {
		return (this.answeringSince < 0) ? -1 : elapsed() - this.answeringSince;
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
			recordUnserved();
			return refuse(SERVICE_UNAVAILABLE, "endpoint_refused", RETRY_AFTER_FULL_MILLISECONDS);
		}
		return refuse(early ? BAD_GATEWAY : GATEWAY_TIMEOUT, "no_answer", 0);
	}

	private boolean refuse(int status, String reason, long retryAfterMilliseconds) {
		this.reply.refuse(status, reason, retryAfterMilliseconds);
		return finish("refused_" + reason, status);
	}

	private boolean finish(String outcome, int status) {
		this.reply.recordEnd(outcome, status, this.sends);
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
		return Math.min(limit(), route().eventTimeoutMilliseconds());
	}

	private long remaining() {
		return limit() - elapsed();
	}

	/**
	 * Timeouts from the route, the caller's deadline and the silence after which another
	 * endpoint is tried.
	 */
	private final class RouteLimits implements EndpointExchange.Limits {

		private long progressAt = elapsed();

		private final ServedEndpoint endpoint;

		private final ExchangeProgress progress;

		private RouteLimits(ServedEndpoint endpoint, ExchangeProgress progress) {
			this.endpoint = endpoint;
			this.progress = progress;
		}

		@Override
		public void recordStatements(AnswerMetadata metadata) {
			Forwarding.this.context.endpointLimits().learnFrom(this.endpoint, metadata);
		}

		@Override
		public void recordLeaving() {
			Forwarding.this.context.directory().recordLeaving(this.endpoint);
		}

		@Override
		public void recordPause(long milliseconds) {
			Forwarding.this.context.log()
				.accept(event("endpoint.paused").with("endpoint", this.endpoint.identifier())
					.with("for_ms", milliseconds));
			Forwarding.this.context.loads().recordPause(this.endpoint, milliseconds);
		}

		@Override
		public void recordHead() {
			this.progressAt = elapsed();
		}

		@Override
		public void recordEvent() {
			this.progressAt = elapsed();
			this.progress.recordEvent();
			if (Forwarding.this.answeringSince < 0) {
				Forwarding.this.answeringSince = this.progressAt;
			}
			else if (!Forwarding.this.harmless && answeringMilliseconds() >= HARMLESS_MILLISECONDS) {
				Forwarding.this.harmless = true;
				recordHarmless();
			}
		}

		@Override
		public long firstByteMilliseconds() {
			if (!canTryAnother()) {
				return remaining();
			}
			long silence = route().execution().isStreamed() ? route().objectiveMilliseconds() : Math
				.max(MINIMUM_SILENCE_MILLISECONDS, SILENCE_LATENCY_OBJECTIVES * route().objectiveMilliseconds());
			return Math.min(remaining(), silence - withoutProgress());
		}

		@Override
		public long gapMilliseconds() {
			this.progress.recordAwaiting();
			long silence = SILENCE_GAP_OBJECTIVES * route().gapObjectiveMilliseconds();
			return canTryAnother() ? Math.min(remaining(), silence - withoutProgress()) : remaining();
		}

		private long withoutProgress() {
			return elapsed() - this.progressAt;
		}

		@Override
		public long totalMilliseconds() {
			return remaining();
		}

		private boolean canTryAnother() {
			return route().execution().isRepeatable() && endsBeforeStop()
					&& Forwarding.this.attempts + 1 < route().maximumAttempts()
					&& new EndpointChooser(Forwarding.this.context, Forwarding.this.request, admitted()).hasChoice();
		}

	}

}

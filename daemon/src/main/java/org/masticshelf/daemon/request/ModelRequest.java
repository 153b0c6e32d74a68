package org.masticshelf.daemon.request;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.jspecify.annotations.Nullable;

import org.masticshelf.daemon.dispatch.PoolDispatcher;
import org.masticshelf.daemon.dispatch.QueuedRequest;
import org.masticshelf.daemon.dispatch.Slot;
import org.masticshelf.kernel.configuration.Pool;
import org.masticshelf.kernel.configuration.QualifiedName;
import org.masticshelf.kernel.event.Event;
import org.masticshelf.kernel.port.Engine;
import org.masticshelf.kernel.port.ExchangeFailure;
import org.masticshelf.kernel.queue.Forecast;
import org.masticshelf.kernel.queue.Readiness;
import org.masticshelf.kernel.refusal.Refusal;
import org.masticshelf.kernel.retry.FailedAttempt;
import org.masticshelf.kernel.retry.RetryDecision;
import org.masticshelf.kernel.stream.Piece;
import org.masticshelf.kernel.stream.StreamAssembly;
import org.masticshelf.kernel.stream.StreamOutcome;
import org.masticshelf.transport.json.Json;
import org.masticshelf.transport.log.EventLog;

/**
 * A request to a model, from its arrival to its response.
 * <p>
 * Invariants: the caller receives exactly one end; each charge is settled once; chunks of
 * an exchange that has ended are dropped. State is guarded by this object's lock, and
 * nothing that may call back is called while it is held. Safe for use by several threads.
 */
public final class ModelRequest implements QueuedRequest, ActiveRequests.Abortable {

	private static final byte[] FINAL_EVENT = "[DONE]".getBytes(StandardCharsets.US_ASCII);

	private final RequestDetails details;

	private final ModelCall call;

	private final CallerResponse response;

	private final RequestServices services;

	private final PoolDispatcher dispatcher;

	private final StreamAssembly assembly;

	private final long arrivedNanoseconds;

	private boolean ended;

	private Grants.@Nullable Charge charge;

	private @Nullable Attempt currentAttempt;

	private @Nullable FailedAttempt lastFailure;

	private volatile Set<String> excludedEndpoints = Set.of();

	private int resumeAfterTokens;

	/**
	 * Creates a request.
	 * @param details the details of the request
	 * @param call the validated call
	 * @param response writes the response
	 * @param services the services that requests use
	 * @param dispatcher the dispatcher of the pool
	 */
	public ModelRequest(RequestDetails details, ModelCall call, CallerResponse response, RequestServices services,
			PoolDispatcher dispatcher) {
		this.details = details;
		this.call = call;
		this.response = response;
		this.services = services;
		this.dispatcher = dispatcher;
		this.assembly = new StreamAssembly(details.identifier(), details.route().idempotent());
		this.arrivedNanoseconds = services.clock().nanoseconds();
	}

	/** Queues the request. */
	public void submit() {
		this.services.active().add(this.details.identifier(), this);
		this.response.onDisconnect(this::handleDisconnect);
		this.dispatcher.submit(this);
	}

	@Override
	public RequestDetails details() {
		return this.details;
	}

	@Override
	public String requestIdentifier() {
		return this.details.identifier();
	}

	@Override
	public QualifiedName organisation() {
		return this.details.queueOrganisation();
	}

	@Override
	public int weight() {
		return this.details.weight();
	}

	@Override
	public String lane() {
		return this.call.loadable().toString();
	}

	/**
	 * Returns the call.
	 * @return the validated call
	 */
	public ModelCall call() {
		return this.call;
	}

	@Override
	public long costTokens() {
		return this.call.costTokens();
	}

	@Override
	public long deadlineNanoseconds() {
		return this.details.deadlineNanoseconds();
	}

	@Override
	public Set<String> candidateEndpoints() {
		return this.services.locations().endpointsFor(this.call.loadable());
	}

	@Override
	public Set<String> excludedEndpoints() {
		return this.excludedEndpoints;
	}

	@Override
	public Long prefixHash() {
		return this.call.prefixHash();
	}

	@Override
	public Forecast forecast() {
		long untilCovered = applicableGrants().nanosecondsUntilCovered(organisation(), costTokens());
		long untilReady = candidateEndpoints().isEmpty()
				? this.services.locations().nanosecondsUntilReady(this.call.loadable()) : 0;
		return (untilCovered > untilReady) ? Forecast.ofGrant(untilCovered, 0) : Forecast.ofLoad(untilReady, 0);
	}

	private Grants applicableGrants() {
		return (this.details.organisation() != null) ? this.services.grants() : Grants.Unlimited.INSTANCE;
	}

	@Override
	public Readiness grantReadiness() {
		if (applicableGrants().covers(organisation(), costTokens())) {
			return Readiness.READY;
		}
		return applicableGrants().isKeeperReachable(organisation()) ? Readiness.NO_GRANT : Readiness.GRANT_UNKNOWN;
	}

	@Override
	public synchronized boolean charge() {
		if (this.ended) {
			return true;
		}
		this.charge = applicableGrants().charge(organisation(), costTokens());
		return this.charge != null;
	}

	@Override
	public void send(Pool.Endpoint endpoint, Slot slot) {
		Attempt attempt = new Attempt(endpoint, slot);
		boolean canRun;
		boolean requeue;
		synchronized (this) {
			canRun = !this.ended && this.charge != null && this.charge.isValid();
			requeue = !this.ended && !canRun;
			this.currentAttempt = canRun ? attempt : null;
		}
		if (!canRun) {
			slot.cancel();
			settleCharge(0);
			if (requeue) {
				this.dispatcher.resubmit(this);
			}
			return;
		}
		this.services.locations().requestStarted(this.call.loadable(), endpoint.identifier());
		long remainingNanoseconds = Math.max(1_000_000L, deadlineNanoseconds() - this.services.clock().nanoseconds());
		Engine.Generation generation = new Engine.Generation(requestIdentifier(), this.call.loadable().engineName(),
				this.details.path(), this.call.toEngineBody(), this.call.stream(), 0,
				Duration.ofNanos(remainingNanoseconds), this.resumeAfterTokens);
		attempt.setCancellation(this.services.engine().generate(endpoint, generation, attempt));
	}

	@Override
	public void refuse(Refusal refusal) {
		FailedAttempt failure = this.lastFailure;
		Refusal.Execution ran = (failure != null) ? failure.ran().combine(refusal.ran()) : refusal.ran();
		if (this.assembly.tokens() > 0) {
			ran = Refusal.Execution.UNKNOWN;
		}
		endWithRefusal(new Refusal(refusal.reason(), ran, refusal.retryAfterMilliseconds()),
				"refused before it could be served");
	}

	@Override
	public void abort(Refusal.Reason reason) {
		boolean wasQueued = this.dispatcher.withdraw(this);
		boolean notRun = wasQueued && this.lastFailure == null;
		Refusal refusal = notRun ? Refusal.notRun(reason, 0) : Refusal.possiblyRun(reason);
		cancelRunning();
		endWithRefusal(refusal, "ended early");
	}

	private void handleDisconnect() {
		abort(Refusal.Reason.CALLER_GONE);
	}

	private void cancelRunning() {
		Attempt attempt;
		synchronized (this) {
			attempt = this.currentAttempt;
			this.currentAttempt = null;
		}
		if (attempt != null) {
			attempt.cancel();
			this.services.locations().requestEnded(this.call.loadable(), attempt.endpoint.identifier());
			settleCharge(this.call.promptTokens() + this.assembly.tokens());
		}
	}

	private void settleCharge(long usedTokens) {
		Grants.Charge charged;
		synchronized (this) {
			charged = this.charge;
			this.charge = null;
		}
		if (charged != null) {
			charged.settle(usedTokens);
			this.services.metrics().recordTokens(this.details, usedTokens);
		}
	}

	private synchronized boolean markEnded() {
		boolean first = !this.ended;
		this.ended = true;
		return first;
	}

	private void endWithRefusal(Refusal refusal, String message) {
		if (markEnded()) {
			this.response.refuse(refusal, message);
			RequestCompletion.recordRefused(this.details, this.services, this.arrivedNanoseconds, refusal);
		}
	}

	private synchronized boolean isCurrent(Attempt attempt) {
		return this.currentAttempt == attempt;
	}

	private boolean endAttempt(Attempt attempt) {
		synchronized (this) {
			if (this.currentAttempt != attempt) {
				return false;
			}
			this.currentAttempt = null;
		}
		this.services.locations().requestEnded(this.call.loadable(), attempt.endpoint.identifier());
		return true;
	}

	private void handleCompletion(@Nullable ObjectNode whole, Engine.Usage usage) {
		long usedTokens = usage.promptTokens() + usage.generatedTokens();
		settleCharge(usedTokens);
		if (whole != null) {
			whole.put("model", this.details.route().name().toString());
			if (markEnded()) {
				this.response.respond(200, ModelCall.JSON_HEADERS, Json.toBytes(whole));
				RequestCompletion.recordServed(this.details, this.services, this.arrivedNanoseconds, usedTokens);
			}
			return;
		}
		handleEnding(this.assembly.exchangeFinished(true, this.resumeAfterTokens + usage.generatedTokens(),
				isBeforeDeadline()), usedTokens);
	}

	private boolean isBeforeDeadline() {
		return deadlineNanoseconds() - this.services.clock().nanoseconds() > 0;
	}

	private void handleEnding(StreamOutcome ending, long usedTokens) {
		switch (ending) {
			case StreamOutcome.Whole whole -> {
				if (markEnded()) {
					this.response.sendEvent(FINAL_EVENT);
					this.response.finishStream();
					RequestCompletion.recordServed(this.details, this.services, this.arrivedNanoseconds, usedTokens);
				}
			}
			case StreamOutcome.Resume resume -> {
				EventLog.info(resume.toEvent().with("request", requestIdentifier()));
				this.resumeAfterTokens = resume.afterTokens();
				this.dispatcher.resubmit(this);
			}
			case StreamOutcome.Broken broken -> {
				EventLog.warning(broken.toEvent().with("request", requestIdentifier()));
				endWithRefusal(broken.refusal(), "the answer broke off: " + broken.cause().code());
			}
		}
	}

	private void handleFailure(Attempt attempt, ExchangeFailure failure) {
		EventLog.info(Event.named("exchange.failed")
			.with("request", requestIdentifier())
			.with("endpoint", attempt.endpoint.identifier())
			.with("point", failure.point())
			.with("cause", failure.getMessage()));
		boolean ran = !failure.point().provesNotRun();
		settleCharge(ran ? this.call.promptTokens() + this.assembly.tokens() : 0);
		reportFailure(attempt, failure);
		if (this.assembly.tokens() > 0) {
			handleEnding(this.assembly.exchangeInterrupted(isBeforeDeadline()), this.assembly.tokens());
			return;
		}
		FailedAttempt failedAttempt = recordFailedAttempt(attempt, failure);
		RetryDecision decision = this.dispatcher.decideRetry(failedAttempt);
		EventLog.info(decision.toEvent().with("request", requestIdentifier()));
		switch (decision) {
			case RetryDecision.Retry retry -> {
				this.excludedEndpoints = retry.excluded();
				this.services.scheduler()
					.schedule(() -> this.dispatcher.resubmit(this), retry.delayNanoseconds(), TimeUnit.NANOSECONDS);
			}
			case RetryDecision.GiveUp givenUp -> endWithRefusal(givenUp.refusal(), failure.point().name());
		}
	}

	private void reportFailure(Attempt attempt, ExchangeFailure failure) {
		if (failure.point() == ExchangeFailure.Point.REFUSED_BY_ENDPOINT) {
			attempt.slot.cancel();
			if (String.valueOf(failure.getMessage()).contains("model_not_loaded")) {
				this.services.locations().reportNotLoaded(this.call.loadable(), attempt.endpoint.identifier());
			}
			return;
		}
		if (isBeforeDeadline()) {
			attempt.slot.fail();
		}
		else {
			attempt.slot.cancel();
		}
	}

	private FailedAttempt recordFailedAttempt(Attempt attempt, ExchangeFailure failure) {
		FailedAttempt previous = this.lastFailure;
		String endpoint = attempt.endpoint.identifier();
		FailedAttempt failedAttempt = (previous != null) ? previous.followedBy(endpoint, failure.point(), 0)
				: FailedAttempt.first(endpoint, failure.point(), this.details.route().idempotent(),
						deadlineNanoseconds());
		this.lastFailure = failedAttempt;
		return failedAttempt;
	}

	/**
	 * One exchange with an engine. Called by one thread at a time.
	 */
	private final class Attempt implements Engine.AnswerSink {

		private final Pool.Endpoint endpoint;

		private final Slot slot;

		private volatile boolean cancelled;

		private volatile Engine.@Nullable Cancellation cancellation;

		Attempt(Pool.Endpoint endpoint, Slot slot) {
			this.endpoint = endpoint;
			this.slot = slot;
		}

		void setCancellation(Engine.Cancellation started) {
			this.cancellation = started;
			if (this.cancelled) {
				started.cancel();
			}
		}

		void cancel() {
			this.cancelled = true;
			this.slot.cancel();
			Engine.Cancellation known = this.cancellation;
			if (known != null) {
				known.cancel();
			}
		}

		@Override
		public void onChunk(ObjectNode chunk, int tokens) {
			if (!isCurrent(this)) {
				return;
			}
			this.slot.recordFirstChunk();
			switch (ModelRequest.this.assembly.accept(Piece.unnumbered(requestIdentifier(), tokens))) {
				case FORWARD -> {
					chunk.put("model", ModelRequest.this.details.route().name().toString());
					ModelRequest.this.response.sendEvent(Json.toBytes(chunk));
				}
				case REPEATED, LATE -> {
				}
				case OTHER_REQUEST, GAP, OVERLAP -> cancel();
			}
		}

		@Override
		public void onComplete(@Nullable ObjectNode whole, Engine.Usage usage) {
			if (endAttempt(this)) {
				this.slot.succeed();
				handleCompletion(whole, usage);
			}
		}

		@Override
		public void onFailure(ExchangeFailure failure) {
			if (endAttempt(this)) {
				ModelRequest.this.handleFailure(this, failure);
			}
		}

	}

}

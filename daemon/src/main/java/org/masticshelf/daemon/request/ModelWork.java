package org.masticshelf.daemon.request;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.jspecify.annotations.Nullable;

import org.masticshelf.daemon.dispatch.PoolDispatcher;
import org.masticshelf.daemon.dispatch.Slot;
import org.masticshelf.daemon.dispatch.Work;
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
import org.masticshelf.kernel.stream.Ending;
import org.masticshelf.kernel.stream.Piece;
import org.masticshelf.kernel.stream.StreamAssembly;
import org.masticshelf.transport.json.Json;
import org.masticshelf.transport.log.EventLog;

/**
 * A request to a model from its arrival to its answer.
 * <p>
 * Invariants: the caller hears exactly one end; each charge is settled once; pieces of an
 * exchange that has ended are dropped. State is guarded by this object's lock, under
 * which nothing that may call back is called. Safe for use by several threads.
 */
public final class ModelWork implements Work, ActiveRequests.Abortable {

	private static final byte[] FINAL_EVENT = "[DONE]".getBytes(StandardCharsets.US_ASCII);

	private final RequestDetails details;

	private final ModelCall call;

	private final CallerAnswer answer;

	private final RequestServices services;

	private final PoolDispatcher dispatcher;

	private final StreamAssembly assembly;

	private final long arrived;

	private boolean ended;

	private Grants.@Nullable Charge charge;

	private @Nullable Attempt running;

	private @Nullable FailedAttempt lastFailure;

	private volatile Set<String> excluded = Set.of();

	private int resumeAfter;

	/**
	 * Creates a work.
	 * @param details what is known of the request
	 * @param call the call
	 * @param answer the way back to the caller
	 * @param services what requests need from the daemon
	 * @param dispatcher the queue before the pool
	 */
	public ModelWork(RequestDetails details, ModelCall call, CallerAnswer answer, RequestServices services,
			PoolDispatcher dispatcher) {
		this.details = details;
		this.call = call;
		this.answer = answer;
		this.services = services;
		this.dispatcher = dispatcher;
		this.assembly = new StreamAssembly(details.identifier(), details.route().idempotent());
		this.arrived = services.clock().nanoseconds();
	}

	/** Queues the work. */
	public void submit() {
		this.services.active().add(this.details.identifier(), this);
		this.answer.onGone(this::callerGone);
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
	 * @return the checked call
	 */
	public ModelCall call() {
		return this.call;
	}

	@Override
	public long costTokens() {
		return this.call.costTokens();
	}

	@Override
	public long deadline() {
		return this.details.deadline();
	}

	@Override
	public Set<String> holders() {
		return this.services.holders().of(this.call.loadable());
	}

	@Override
	public Set<String> excluded() {
		return this.excluded;
	}

	@Override
	public Long prefixHash() {
		return this.call.prefixHash();
	}

	@Override
	public Forecast forecast() {
		long refill = grants().refillNanoseconds(organisation(), costTokens());
		long wake = holders().isEmpty() ? this.services.holders().wakeNanoseconds(this.call.loadable()) : 0;
		return (refill > wake) ? Forecast.ofGrant(refill, 0) : Forecast.ofWake(wake, 0);
	}

	private Grants grants() {
		return (this.details.organisation() != null) ? this.services.grants() : Grants.Unlimited.INSTANCE;
	}

	@Override
	public Readiness grantReadiness() {
		if (grants().covers(organisation(), costTokens())) {
			return Readiness.READY;
		}
		return grants().isKnown(organisation()) ? Readiness.NO_GRANT : Readiness.GRANT_UNKNOWN;
	}

	@Override
	public synchronized boolean charge() {
		if (this.ended) {
			return true;
		}
		this.charge = grants().charge(organisation(), costTokens());
		return this.charge != null;
	}

	@Override
	public void run(Pool.Endpoint endpoint, Slot slot) {
		Attempt attempt = new Attempt(endpoint, slot);
		boolean runnable;
		boolean again;
		synchronized (this) {
			runnable = !this.ended && this.charge != null && this.charge.isValid();
			again = !this.ended && !runnable;
			this.running = runnable ? attempt : null;
		}
		if (!runnable) {
			slot.cancelled();
			settle(0);
			if (again) {
				this.dispatcher.resubmit(this);
			}
			return;
		}
		this.services.holders().began(this.call.loadable(), endpoint.identifier());
		long left = Math.max(1_000_000L, deadline() - this.services.clock().nanoseconds());
		Engine.Generation generation = new Engine.Generation(requestIdentifier(), this.call.loadable().engineName(),
				this.details.path(), this.call.toEngineBody(), this.call.stream(), 0, Duration.ofNanos(left),
				this.resumeAfter);
		attempt.cancellation(this.services.engine().generate(endpoint, generation, attempt));
	}

	@Override
	public void refused(Refusal refusal) {
		FailedAttempt failure = this.lastFailure;
		Refusal.Execution ran = (failure != null) ? failure.ran().combine(refusal.ran()) : refusal.ran();
		if (this.assembly.tokens() > 0) {
			ran = Refusal.Execution.UNKNOWN;
		}
		end(new Refusal(refusal.reason(), ran, refusal.retryAfterMilliseconds()), "refused before it could be served");
	}

	@Override
	public void abort(Refusal.Reason reason) {
		boolean waiting = this.dispatcher.withdraw(this);
		boolean untouched = waiting && this.lastFailure == null;
		Refusal refusal = untouched ? Refusal.notRun(reason, 0) : Refusal.possiblyRun(reason);
		cancelRunning();
		end(refusal, "ended early");
	}

	private void callerGone() {
		abort(Refusal.Reason.CALLER_GONE);
	}

	private void cancelRunning() {
		Attempt attempt;
		synchronized (this) {
			attempt = this.running;
			this.running = null;
		}
		if (attempt != null) {
			attempt.cancel();
			this.services.holders().ended(this.call.loadable(), attempt.endpoint.identifier());
			settle(this.call.promptTokens() + this.assembly.tokens());
		}
	}

	private void settle(long usedTokens) {
		Grants.Charge charged;
		synchronized (this) {
			charged = this.charge;
			this.charge = null;
		}
		if (charged != null) {
			charged.settle(usedTokens);
			this.services.metrics().used(this.details, usedTokens);
		}
	}

	private synchronized boolean markEnded() {
		boolean first = !this.ended;
		this.ended = true;
		return first;
	}

	private void end(Refusal refusal, String message) {
		if (markEnded()) {
			this.answer.refuse(refusal, message);
			RequestEnd.refused(this.details, this.services, this.arrived, refusal);
		}
	}

	private synchronized boolean isCurrent(Attempt attempt) {
		return this.running == attempt;
	}

	private boolean takeCurrent(Attempt attempt) {
		synchronized (this) {
			if (this.running != attempt) {
				return false;
			}
			this.running = null;
		}
		this.services.holders().ended(this.call.loadable(), attempt.endpoint.identifier());
		return true;
	}

	private void completed(@Nullable ObjectNode whole, Engine.Usage usage) {
		long used = usage.promptTokens() + usage.generatedTokens();
		settle(used);
		if (whole != null) {
			whole.put("model", this.details.route().name().toString());
			if (markEnded()) {
				this.answer.whole(200, ModelCall.JSON_HEADERS, Json.toBytes(whole));
				RequestEnd.served(this.details, this.services, this.arrived, used);
			}
			return;
		}
		goOn(this.assembly.finished(true, this.resumeAfter + usage.generatedTokens(), isTimeLeft()), used);
	}

	private boolean isTimeLeft() {
		return deadline() - this.services.clock().nanoseconds() > 0;
	}

	private void goOn(Ending ending, long used) {
		switch (ending) {
			case Ending.Whole whole -> {
				if (markEnded()) {
					this.answer.event(FINAL_EVENT);
					this.answer.finish();
					RequestEnd.served(this.details, this.services, this.arrived, used);
				}
			}
			case Ending.Resume resume -> {
				EventLog.info(resume.toEvent().with("request", requestIdentifier()));
				this.resumeAfter = resume.afterTokens();
				this.dispatcher.resubmit(this);
			}
			case Ending.Broken broken -> {
				EventLog.warning(broken.toEvent().with("request", requestIdentifier()));
				end(broken.refusal(), "the answer broke off: " + broken.cause().code());
			}
		}
	}

	private void failed(Attempt attempt, ExchangeFailure failure) {
		EventLog.info(Event.named("exchange.failed")
			.with("request", requestIdentifier())
			.with("endpoint", attempt.endpoint.identifier())
			.with("point", failure.point())
			.with("cause", failure.getMessage()));
		boolean ran = !failure.point().provesNotRun();
		settle(ran ? this.call.promptTokens() + this.assembly.tokens() : 0);
		noteFailure(attempt, failure);
		if (this.assembly.tokens() > 0) {
			goOn(this.assembly.interrupted(isTimeLeft()), this.assembly.tokens());
			return;
		}
		FailedAttempt attempted = remember(attempt, failure);
		RetryDecision decision = this.dispatcher.decideRetry(attempted);
		EventLog.info(decision.toEvent().with("request", requestIdentifier()));
		switch (decision) {
			case RetryDecision.Retry retry -> {
				this.excluded = retry.excluded();
				this.services.scheduler()
					.schedule(() -> this.dispatcher.resubmit(this), retry.delayNanoseconds(), TimeUnit.NANOSECONDS);
			}
			case RetryDecision.GiveUp givenUp -> end(givenUp.refusal(), failure.point().name());
		}
	}

	private void noteFailure(Attempt attempt, ExchangeFailure failure) {
		if (failure.point() == ExchangeFailure.Point.REFUSED_BY_ENDPOINT) {
			attempt.slot.cancelled();
			if (String.valueOf(failure.getMessage()).contains("model_not_loaded")) {
				this.services.holders().notHeld(this.call.loadable(), attempt.endpoint.identifier());
			}
			return;
		}
		if (isTimeLeft()) {
			attempt.slot.failed();
		}
		else {
			attempt.slot.cancelled();
		}
	}

	private FailedAttempt remember(Attempt attempt, ExchangeFailure failure) {
		FailedAttempt previous = this.lastFailure;
		String endpoint = attempt.endpoint.identifier();
		FailedAttempt attempted = (previous != null) ? previous.then(endpoint, failure.point(), 0)
				: FailedAttempt.first(endpoint, failure.point(), this.details.route().idempotent(), deadline());
		this.lastFailure = attempted;
		return attempted;
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

		void cancellation(Engine.Cancellation running) {
			this.cancellation = running;
			if (this.cancelled) {
				running.cancel();
			}
		}

		void cancel() {
			this.cancelled = true;
			this.slot.cancelled();
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
			this.slot.firstPiece();
			switch (ModelWork.this.assembly.accept(Piece.unnumbered(requestIdentifier(), tokens))) {
				case FORWARD -> {
					chunk.put("model", ModelWork.this.details.route().name().toString());
					ModelWork.this.answer.event(Json.toBytes(chunk));
				}
				case REPEATED, LATE -> {
				}
				case OTHER_REQUEST, GAP, OVERLAP -> cancel();
			}
		}

		@Override
		public void onComplete(@Nullable ObjectNode whole, Engine.Usage usage) {
			if (takeCurrent(this)) {
				this.slot.succeeded();
				completed(whole, usage);
			}
		}

		@Override
		public void onFailure(ExchangeFailure failure) {
			if (takeCurrent(this)) {
				ModelWork.this.failed(this, failure);
			}
		}

	}

}

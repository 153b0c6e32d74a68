package org.masticshelf.daemon.request;

import java.time.Duration;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

import org.jspecify.annotations.Nullable;

import org.masticshelf.daemon.dispatch.PoolDispatcher;
import org.masticshelf.daemon.dispatch.QueuedRequest;
import org.masticshelf.daemon.dispatch.Slot;
import org.masticshelf.kernel.configuration.Pool;
import org.masticshelf.kernel.configuration.QualifiedName;
import org.masticshelf.kernel.event.Event;
import org.masticshelf.kernel.port.ExchangeFailure;
import org.masticshelf.kernel.port.PlainService;
import org.masticshelf.kernel.queue.Forecast;
import org.masticshelf.kernel.queue.Readiness;
import org.masticshelf.kernel.refusal.Refusal;
import org.masticshelf.kernel.retry.FailedAttempt;
import org.masticshelf.kernel.retry.RetryDecision;
import org.masticshelf.transport.log.EventLog;

/**
 * A call to a plain service, from its queueing to its outcome.
 * <p>
 * Invariants: the outcome is completed once; a call of a route that is not idempotent is
 * sent again only if it provably did not run. Plain calls use no tokens of a grant. One
 * exchange runs at a time, so the state needs no lock. Safe for use by several threads.
 */
final class QueuedPlainCall implements QueuedRequest {

	private static final int TOO_MANY_REQUESTS = 429;

	private final RequestDetails details;

	private final PlainCall call;

	private final RequestServices services;

	private final PoolDispatcher dispatcher;

	private final CompletableFuture<PlainOutcome> outcome = new CompletableFuture<>();

	private volatile @Nullable FailedAttempt lastFailure;

	private volatile Set<String> excludedEndpoints = Set.of();

	QueuedPlainCall(RequestDetails details, PlainCall call, RequestServices services, PoolDispatcher dispatcher) {
		this.details = details;
		this.call = call;
		this.services = services;
		this.dispatcher = dispatcher;
	}

	CompletableFuture<PlainOutcome> submit() {
		this.dispatcher.submit(this);
		return this.outcome;
	}

	boolean withdraw() {
		return this.dispatcher.withdraw(this);
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
		return this.details.pool().name().toString();
	}

	@Override
	public long costTokens() {
		return 1;
	}

	@Override
	public long deadlineNanoseconds() {
		return this.details.deadlineNanoseconds();
	}

	@Override
	public Set<String> candidateEndpoints() {
		return this.dispatcher.pool()
			.endpoints()
			.stream()
			.map(Pool.Endpoint::identifier)
			.collect(Collectors.toUnmodifiableSet());
	}

	@Override
	public Set<String> excludedEndpoints() {
		return this.excludedEndpoints;
	}

	@Override
	public @Nullable Long prefixHash() {
		return null;
	}

	@Override
	public Forecast forecast() {
		return Forecast.NOW;
	}

	@Override
	public Readiness grantReadiness() {
		return Readiness.READY;
	}

	@Override
	public boolean charge() {
		return true;
	}

	@Override
	public void send(Pool.Endpoint endpoint, Slot slot) {
		long remainingNanoseconds = Math.max(1_000_000L, deadlineNanoseconds() - this.services.clock().nanoseconds());
		PlainService.Call serviceCall = new PlainService.Call(requestIdentifier(), this.call.method(),
				this.details.path(), this.call.headers(), this.call.body(), Duration.ofNanos(remainingNanoseconds));
		this.services.plainService()
			.call(endpoint, serviceCall)
			.whenComplete((answer, failure) -> handleAnswer(endpoint, slot, answer, failure));
	}

	private void handleAnswer(Pool.Endpoint endpoint, Slot slot, PlainService.@Nullable Answer answer,
			@Nullable Throwable failure) {
		if (answer != null && answer.status() != TOO_MANY_REQUESTS) {
			slot.succeed();
			this.outcome.complete(new PlainOutcome.Answered(answer));
			return;
		}
		ExchangeFailure cause = (answer != null)
				? new ExchangeFailure(ExchangeFailure.Point.REFUSED_BY_ENDPOINT, "status " + answer.status())
				: toExchangeFailure(failure);
		if (deadlineNanoseconds() - this.services.clock().nanoseconds() > 0) {
			slot.fail();
		}
		else {
			slot.cancel();
		}
		retryOrRefuse(endpoint, cause);
	}

	private static ExchangeFailure toExchangeFailure(@Nullable Throwable failure) {
		Throwable cause = (failure instanceof CompletionException wrapped && wrapped.getCause() != null)
				? wrapped.getCause() : failure;
		return (cause instanceof ExchangeFailure known) ? known
				: new ExchangeFailure(ExchangeFailure.Point.INVALID_ANSWER, String.valueOf(cause));
	}

	private void retryOrRefuse(Pool.Endpoint endpoint, ExchangeFailure cause) {
		EventLog.info(Event.named("exchange.failed")
			.with("request", requestIdentifier())
			.with("endpoint", endpoint.identifier())
			.with("point", cause.point())
			.with("cause", cause.getMessage()));
		FailedAttempt previous = this.lastFailure;
		FailedAttempt failedAttempt = (previous != null) ? previous.followedBy(endpoint.identifier(), cause.point(), 0)
				: FailedAttempt.first(endpoint.identifier(), cause.point(), this.details.route().idempotent(),
						deadlineNanoseconds());
		this.lastFailure = failedAttempt;
		RetryDecision decision = this.dispatcher.decideRetry(failedAttempt);
		EventLog.info(decision.toEvent().with("request", requestIdentifier()));
		switch (decision) {
			case RetryDecision.Retry retry -> {
				this.excludedEndpoints = retry.excluded();
				this.services.scheduler()
					.schedule(() -> this.dispatcher.resubmit(this), retry.delayNanoseconds(), TimeUnit.NANOSECONDS);
			}
			case RetryDecision.GiveUp givenUp -> this.outcome.complete(new PlainOutcome.Refused(givenUp.refusal()));
		}
	}

	@Override
	public void refuse(Refusal refusal) {
		FailedAttempt failure = this.lastFailure;
		Refusal.Execution ran = (failure != null) ? failure.ran().combine(refusal.ran()) : refusal.ran();
		this.outcome
			.complete(new PlainOutcome.Refused(new Refusal(refusal.reason(), ran, refusal.retryAfterMilliseconds())));
	}

}

package org.masticshelf.daemon.request;

import java.util.Map;
import java.util.Set;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.stream.Collectors;

import org.masticshelf.control.claim.Claim;
import org.masticshelf.control.claim.ClaimRegistry;
import org.masticshelf.control.claim.ClaimRequest;
import org.masticshelf.control.claim.ClaimResult;
import org.masticshelf.control.claim.RecordedOutcome;
import org.masticshelf.daemon.dispatch.PoolDispatcher;
import org.masticshelf.kernel.port.PlainService;
import org.masticshelf.kernel.refusal.Refusal;
import org.masticshelf.transport.log.EventLog;

/**
 * A request to a plain service, from its arrival to its response.
 * <p>
 * Invariants: the caller receives exactly one end; a request of a route that is not
 * idempotent is dispatched only under a claim, which is settled when the exchange has
 * ended, even if the caller has disconnected meanwhile. Safe for use by several threads.
 */
public final class PlainRequest implements ActiveRequests.Abortable {

	private static final String CONTENT_TYPE = "content-type";

	private static final Set<String> FORWARDED_HEADERS = Set.of(CONTENT_TYPE, "location", "etag", "cache-control",
			"x-execution");

	private final RequestDetails details;

	private final PlainCall call;

	private final CallerResponse response;

	private final RequestServices services;

	private final ClaimRegistry claims;

	private final QueuedPlainCall queuedCall;

	private final long arrivedNanoseconds;

	private final AtomicBoolean ended = new AtomicBoolean();

	/**
	 * Creates a request.
	 * @param details the details of the request
	 * @param call the call
	 * @param response writes the response
	 * @param services the services that requests use
	 * @param claims the claims of non-idempotent requests
	 * @param dispatcher the dispatcher of the pool
	 */
	public PlainRequest(RequestDetails details, PlainCall call, CallerResponse response, RequestServices services,
			ClaimRegistry claims, PoolDispatcher dispatcher) {
		this.details = details;
		this.call = call;
		this.response = response;
		this.services = services;
		this.claims = claims;
		this.queuedCall = new QueuedPlainCall(details, call, services, dispatcher);
		this.arrivedNanoseconds = services.clock().nanoseconds();
	}

	/** Claims the request if it is not idempotent, and queues it. */
	public void submit() {
		this.services.active().add(this.details.identifier(), this);
		this.response.onDisconnect(() -> abort(Refusal.Reason.CALLER_GONE));
		if (this.details.route().idempotent()) {
			this.queuedCall.submit().thenAccept(this::respond);
			return;
		}
		String key = this.call.idempotencyKey();
		if (key == null) {
			refuse(Refusal.notRun(Refusal.Reason.IDEMPOTENCY_KEY_MISSING, 0));
			return;
		}
		ClaimRequest request = new ClaimRequest(this.details.queueOrganisation(), this.details.route().name(), key,
				ClaimRequest.fingerprintOf(this.call.method(), this.details.path(), this.call.body()),
				this.details.deadlineNanoseconds());
		this.claims.claim(request).thenAccept(this::handleClaimResult);
	}

	private void handleClaimResult(ClaimResult result) {
		EventLog.info(result.toEvent().with("request", this.details.identifier()));
		switch (result) {
			case ClaimResult.Granted granted -> dispatch(granted.claim());
			case ClaimResult.Repeated repeated -> replay(repeated.outcome());
			case ClaimResult.Refused refused -> refuse(refused.refusal());
		}
	}

	private void dispatch(Claim claim) {
		if (this.ended.get()) {
			claim.release();
			return;
		}
		this.queuedCall.submit().thenAccept((outcome) -> {
			settleClaim(claim, outcome);
			respond(outcome);
		});
	}

	private static void settleClaim(Claim claim, PlainOutcome outcome) {
		switch (outcome) {
			case PlainOutcome.Answered answered -> claim.complete(toRecordedOutcome(answered.answer()));
			case PlainOutcome.Refused refused -> {
				if (refused.refusal().ran() == Refusal.Execution.NOT_RUN) {
					claim.release();
				}
				else {
					claim.completeUnknown();
				}
			}
		}
	}

	private static RecordedOutcome toRecordedOutcome(PlainService.Answer answer) {
		return new RecordedOutcome(answer.status(), answer.headers().getOrDefault(CONTENT_TYPE, ""), answer.body());
	}

	private void replay(RecordedOutcome outcome) {
		if (this.ended.compareAndSet(false, true)) {
			this.response.respond(outcome.status(), Map.of(CONTENT_TYPE, outcome.contentType(), "x-repeated", "true"),
					outcome.body());
			RequestCompletion.recordServed(this.details, this.services, this.arrivedNanoseconds, 0);
		}
	}

	private void respond(PlainOutcome outcome) {
		switch (outcome) {
			case PlainOutcome.Answered answered -> {
				if (this.ended.compareAndSet(false, true)) {
					PlainService.Answer whole = answered.answer();
					this.response.respond(whole.status(), forwardedHeaders(whole), whole.body());
					RequestCompletion.recordServed(this.details, this.services, this.arrivedNanoseconds, 0);
				}
			}
			case PlainOutcome.Refused refused -> refuse(refused.refusal());
		}
	}

	private static Map<String, String> forwardedHeaders(PlainService.Answer answer) {
		return answer.headers()
			.entrySet()
			.stream()
			.filter((header) -> FORWARDED_HEADERS.contains(header.getKey()))
			.collect(Collectors.toMap(Map.Entry::getKey, Map.Entry::getValue));
	}

	private void refuse(Refusal refusal) {
		if (this.ended.compareAndSet(false, true)) {
			this.response.refuse(refusal, "the call was refused");
			RequestCompletion.recordRefused(this.details, this.services, this.arrivedNanoseconds, refusal);
		}
	}

	@Override
	public RequestDetails details() {
		return this.details;
	}

	@Override
	public void abort(Refusal.Reason reason) {
		boolean wasQueued = this.queuedCall.withdraw();
		if (wasQueued) {
			this.queuedCall.refuse(Refusal.notRun(reason, 0));
			return;
		}
		refuse(Refusal.possiblyRun(reason));
	}

}

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
 * A request to a plain service from its arrival to its answer.
 * <p>
 * Invariants: the caller hears exactly one end; a request of a route that is not
 * idempotent is dispatched only under a claim, which is settled when the exchange has
 * ended, also when the caller has gone meanwhile. Safe for use by several threads.
 */
public final class PlainRequest implements ActiveRequests.Abortable {

	private static final String CONTENT_TYPE = "content-type";

	private static final Set<String> PASSED_HEADERS = Set.of(CONTENT_TYPE, "location", "etag", "cache-control",
			"x-execution");

	private final RequestDetails details;

	private final PlainCall call;

	private final CallerAnswer answer;

	private final RequestServices services;

	private final ClaimRegistry claims;

	private final PlainWork work;

	private final long arrived;

	private final AtomicBoolean ended = new AtomicBoolean();

	/**
	 * Creates a request.
	 * @param details what is known of the request
	 * @param call the call
	 * @param answer the way back to the caller
	 * @param services what requests need from the daemon
	 * @param claims the claims of non-idempotent requests
	 * @param dispatcher the queue before the pool
	 */
	public PlainRequest(RequestDetails details, PlainCall call, CallerAnswer answer, RequestServices services,
			ClaimRegistry claims, PoolDispatcher dispatcher) {
		this.details = details;
		this.call = call;
		this.answer = answer;
		this.services = services;
		this.claims = claims;
		this.work = new PlainWork(details, call, services, dispatcher);
		this.arrived = services.clock().nanoseconds();
	}

	/** Claims the request if it is not idempotent, and queues it. */
	public void submit() {
		this.services.active().add(this.details.identifier(), this);
		this.answer.onGone(() -> abort(Refusal.Reason.CALLER_GONE));
		if (this.details.route().idempotent()) {
			this.work.submit().thenAccept(this::answer);
			return;
		}
		String key = this.call.idempotencyKey();
		if (key == null) {
			refuse(Refusal.notRun(Refusal.Reason.IDEMPOTENCY_KEY_MISSING, 0));
			return;
		}
		ClaimRequest request = new ClaimRequest(this.details.queueOrganisation(), this.details.route().name(), key,
				ClaimRequest.fingerprintOf(this.call.method(), this.details.path(), this.call.body()),
				this.details.deadline());
		this.claims.claim(request).thenAccept(this::claimed);
	}

	private void claimed(ClaimResult result) {
		EventLog.info(result.toEvent().with("request", this.details.identifier()));
		switch (result) {
			case ClaimResult.Granted granted -> dispatch(granted.claim());
			case ClaimResult.Repeated repeated -> repeat(repeated.outcome());
			case ClaimResult.Refused refused -> refuse(refused.refusal());
		}
	}

	private void dispatch(Claim claim) {
		if (this.ended.get()) {
			claim.release();
			return;
		}
		this.work.submit().thenAccept((outcome) -> {
			settle(claim, outcome);
			answer(outcome);
		});
	}

	private static void settle(Claim claim, PlainOutcome outcome) {
		switch (outcome) {
			case PlainOutcome.Answered answered -> claim.complete(toRecord(answered.answer()));
			case PlainOutcome.Refused refused -> {
				if (refused.refusal().ran() == Refusal.Ran.NOT_RUN) {
					claim.release();
				}
				else {
					claim.completeUnknown();
				}
			}
		}
	}

	private static RecordedOutcome toRecord(PlainService.Answer answer) {
		return new RecordedOutcome(answer.status(), answer.headers().getOrDefault(CONTENT_TYPE, ""), answer.body());
	}

	private void repeat(RecordedOutcome outcome) {
		if (this.ended.compareAndSet(false, true)) {
			this.answer.whole(outcome.status(), Map.of(CONTENT_TYPE, outcome.contentType(), "x-repeated", "true"),
					outcome.body());
			RequestEnd.served(this.details, this.services, this.arrived, 0);
		}
	}

	private void answer(PlainOutcome outcome) {
		switch (outcome) {
			case PlainOutcome.Answered answered -> {
				if (this.ended.compareAndSet(false, true)) {
					PlainService.Answer whole = answered.answer();
					this.answer.whole(whole.status(), passedHeaders(whole), whole.body());
					RequestEnd.served(this.details, this.services, this.arrived, 0);
				}
			}
			case PlainOutcome.Refused refused -> refuse(refused.refusal());
		}
	}

	private static Map<String, String> passedHeaders(PlainService.Answer answer) {
		return answer.headers()
			.entrySet()
			.stream()
			.filter((header) -> PASSED_HEADERS.contains(header.getKey()))
			.collect(Collectors.toMap(Map.Entry::getKey, Map.Entry::getValue));
	}

	private void refuse(Refusal refusal) {
		if (this.ended.compareAndSet(false, true)) {
			this.answer.refuse(refusal, "the call was refused");
			RequestEnd.refused(this.details, this.services, this.arrived, refusal);
		}
	}

	@Override
	public RequestDetails details() {
		return this.details;
	}

	@Override
	public void abort(Refusal.Reason reason) {
		boolean waiting = this.work.withdraw();
		if (waiting) {
			this.work.refused(Refusal.notRun(reason, 0));
			return;
		}
		refuse(Refusal.unknown(reason));
	}

}

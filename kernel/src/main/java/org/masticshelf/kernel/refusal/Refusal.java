package org.masticshelf.kernel.refusal;

import java.util.Locale;

import org.masticshelf.kernel.event.Event;

/**
 * Says why a request got no complete answer and whether it may have run.
 * <p>
 * Invariant: {@link Execution#NOT_RUN} is only said when no endpoint can have processed
 * any byte of the request in any attempt. Immutable.
 *
 * @param reason why the request is refused
 * @param ran whether the request may have run
 * @param retryAfterMilliseconds how long the caller should wait before it asks again in
 * milliseconds, 0 if waiting does not help
 */
public record Refusal(Reason reason, Execution ran, long retryAfterMilliseconds) {

	private static final long MILLISECONDS_PER_SECOND = 1_000;

	/**
	 * Creates a refusal.
	 */
	public Refusal {
		if (retryAfterMilliseconds < 0) {
			throw new IllegalArgumentException("a caller cannot wait " + retryAfterMilliseconds + " ms");
		}
	}

	/**
	 * Creates the refusal of a request that was never sent to an endpoint.
	 * @param reason why it is refused
	 * @param retryAfterMilliseconds how long the caller should wait in milliseconds
	 * @return the refusal
	 */
	public static Refusal notRun(Reason reason, long retryAfterMilliseconds) {
		return new Refusal(reason, Execution.NOT_RUN, retryAfterMilliseconds);
	}

	/**
	 * Creates the refusal of a request that may have run.
	 * @param reason why there is no whole answer
	 * @return the refusal
	 */
	public static Refusal possiblyRun(Reason reason) {
		return new Refusal(reason, Execution.UNKNOWN, 0);
	}

	/**
	 * Returns a copy for a request that may repeat an earlier one, such as a
	 * non-idempotent request whose claim was not looked up: this exchange did not run,
	 * but an earlier one with the same idempotency key may have.
	 * @return the refusal that says {@link Execution#UNKNOWN}
	 */
	public Refusal withUnknownExecution() {
		return new Refusal(this.reason, Execution.UNKNOWN, this.retryAfterMilliseconds);
	}

	/**
	 * Returns the HTTP status.
	 * @return the status code
	 */
	public int status() {
		return this.reason.status();
	}

	/**
	 * Returns the value of the {@code Retry-After} header, rounded up.
	 * @return whole seconds, 0 if the header is left out
	 */
	public long toRetryAfterSeconds() {
		return (this.retryAfterMilliseconds + MILLISECONDS_PER_SECOND - 1) / MILLISECONDS_PER_SECOND;
	}

	/**
	 * Renders this refusal as an event.
	 * @return the event
	 */
	public Event toEvent() {
		return Event.named("request.refused")
			.with("reason", this.reason.code())
			.with("status", status())
			.with("ran", this.ran.code())
			.with("retry_after_ms", this.retryAfterMilliseconds);
	}

	/** Whether a refused request may have run. */
	public enum Execution {

		/** No endpoint can have processed any of it. */
		NOT_RUN,

		/** It may have run wholly, in part, or not at all. */
		UNKNOWN;

		/**
		 * Returns the form that callers see.
		 * @return {@code not_run} or {@code unknown}
		 */
		public String code() {
			return name().toLowerCase(Locale.ROOT);
		}

		/**
		 * Combines the execution states of two attempts at one request.
		 * @param other the execution state of the other attempt
		 * @return {@link #NOT_RUN} only if neither attempt ran
		 */
		public Execution combine(Execution other) {
			return (this == NOT_RUN) ? other : this;
		}

	}

	/** Why a request is refused. */
	public enum Reason {

		/** The request is not of the form that the route takes. */
		MALFORMED_REQUEST(400),

		/** The body is larger than the daemon takes. */
		BODY_TOO_LARGE(413),

		/** No route has the name, or none that the caller may know of. */
		ROUTE_UNKNOWN(404),

		/** The route needs a key and none came. */
		KEY_MISSING(401),

		/** The key was never issued, has expired or was withdrawn. */
		KEY_REJECTED(401),

		/** The queue holds as many requests as it may. */
		QUEUE_FULL(503),

		/** A request of an organisation with fewer waiting requests took the place. */
		DISPLACED(503),

		/** The estimate says that the deadline cannot be met. */
		DEADLINE_UNREACHABLE(503),

		/** The deadline passed. */
		DEADLINE_EXCEEDED(504),

		/** The request needs more tokens than the organisation's burst. */
		COST_ABOVE_BURST(413),

		/** The organisation has used up its rate and burst. */
		RATE_EXCEEDED(429),

		/** What is asked for is not loaded and cannot be loaded in time. */
		COLD(503),

		/** No endpoint of the pool is in service. */
		NO_ENDPOINT(503),

		/** Every endpoint that could serve is full. */
		ENDPOINTS_FULL(503),

		/** No connection to an endpoint could be made or used. */
		ENDPOINT_UNREACHABLE(503),

		/** The endpoint refused the request before running it. */
		ENDPOINT_REFUSED(503),

		/** The exchange broke after the request had begun to be sent. */
		EXCHANGE_BROKEN(502),

		/** The answer broke off. */
		ANSWER_INCOMPLETE(502),

		/** The answer was malformed, short or another request's. */
		ANSWER_INVALID(502),

		/** The claim of a non-idempotent request could not be written. */
		CLAIM_UNAVAILABLE(503),

		/** The idempotency key was used with another body. */
		IDEMPOTENCY_KEY_REUSED(422),

		/** The idempotency key is missing. */
		IDEMPOTENCY_KEY_MISSING(400),

		/** An earlier attempt with the idempotency key has no known outcome. */
		OUTCOME_UNKNOWN(409),

		/** The caller closed its connection. */
		CALLER_GONE(499),

		/** The request was answered earlier with more than is kept. */
		OUTCOME_NOT_KEPT(409),

		/** This daemon is about to stop. */
		DRAINING(503),

		/** This daemon cannot confirm that keys are still valid. */
		ISOLATED(503);

		private final int status;

		Reason(int status) {
			this.status = status;
		}

		/**
		 * Returns the HTTP status.
		 * @return the status code
		 */
		public int status() {
			return this.status;
		}

		/**
		 * Returns the form that callers see.
		 * @return the lower-case name, for example {@code queue_full}
		 */
		public String code() {
			return name().toLowerCase(Locale.ROOT);
		}

	}

}

package org.masticshelf.kernel.grant;

import org.masticshelf.kernel.event.Event;

/**
 * Represents the outcome of charging a request's tokens to its organisation's grant.
 */
public sealed interface ChargeOutcome {

	/**
	 * Returns the log event of this outcome.
	 * @return the event
	 */
	Event toEvent();

	/**
	 * Signals that the tokens were charged and have to be settled once.
	 *
	 * @param number the number of the charge, unique within the account
	 * @param tokens the charged tokens
	 * @param validUntilNanoseconds when the request has to be dispatched at the latest;
	 * after that the charge has to be settled with 0 used tokens and the request charged
	 * again
	 */
	record Charged(long number, long tokens, long validUntilNanoseconds) implements ChargeOutcome {

		@Override
		public Event toEvent() {
			return Event.named("grant.charged").with("charge", this.number).with("tokens", this.tokens);
		}

	}

	/**
	 * Signals that not enough tokens are available yet.
	 *
	 * @param tokens the requested tokens
	 * @param retryAfterNanoseconds how long it takes at least until they are available
	 */
	record Insufficient(long tokens, long retryAfterNanoseconds) implements ChargeOutcome {

		@Override
		public Event toEvent() {
			return Event.named("grant.insufficient")
				.with("tokens", this.tokens)
				.with("retry_after_milliseconds", this.retryAfterNanoseconds / 1_000_000L);
		}

	}

	/**
	 * Signals that the request needs more than the burst and can never be charged.
	 *
	 * @param tokens the requested tokens
	 * @param burstTokens the burst of the grant
	 */
	record Excessive(long tokens, long burstTokens) implements ChargeOutcome {

		@Override
		public Event toEvent() {
			return Event.named("grant.excessive").with("tokens", this.tokens).with("burst_tokens", this.burstTokens);
		}

	}

}

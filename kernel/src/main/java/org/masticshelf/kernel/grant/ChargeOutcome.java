package org.masticshelf.kernel.grant;

import org.masticshelf.kernel.event.Event;

/**
 * Whether a request's tokens could be charged to its organisation's grant.
 */
public sealed interface ChargeOutcome {

	/**
	 * Renders the decision for the log.
	 * @return the event
	 */
	Event toEvent();

	/**
	 * The tokens were charged and have to be settled once.
	 *
	 * @param number the number of the charge, unique within the account
	 * @param tokens the tokens that were charged
	 * @param validUntilNanoseconds by when the request has to be dispatched; later it has
	 * to be settled with 0 used tokens and charged anew
	 */
	record Charged(long number, long tokens, long validUntilNanoseconds) implements ChargeOutcome {

		@Override
		public Event toEvent() {
			return Event.named("grant.charged").with("charge", this.number).with("tokens", this.tokens);
		}

	}

	/**
	 * There are not enough tokens yet.
	 *
	 * @param tokens the tokens that were asked for
	 * @param retryAfterNanoseconds how long until they can be there at the earliest
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
	 * The request needs more than the burst, so that it can never be charged.
	 *
	 * @param tokens the tokens that were asked for
	 * @param burstTokens the burst of the grant
	 */
	record Excessive(long tokens, long burstTokens) implements ChargeOutcome {

		@Override
		public Event toEvent() {
			return Event.named("grant.excessive").with("tokens", this.tokens).with("burst_tokens", this.burstTokens);
		}

	}

}

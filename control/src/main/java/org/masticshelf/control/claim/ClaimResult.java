package org.masticshelf.control.claim;

import org.masticshelf.kernel.event.Event;
import org.masticshelf.kernel.refusal.Refusal;

/**
 * The answer to a {@link ClaimRequest}.
 * <p>
 * Immutable as far as the claim is.
 */
public sealed interface ClaimResult {

	/**
	 * Renders this result as an event.
	 * @return the event
	 */
	Event toEvent();

	/**
	 * The request may be dispatched, once.
	 *
	 * @param claim has to be settled after the exchange, by exactly one of its methods
	 */
	record Granted(Claim claim) implements ClaimResult {

		@Override
		public Event toEvent() {
			return Event.named("claim.granted").with("key", this.claim.storeKey());
		}

	}

	/**
	 * The request ran before; the caller gets that answer.
	 *
	 * @param outcome the answer
	 */
	record Repeated(RecordedOutcome outcome) implements ClaimResult {

		@Override
		public Event toEvent() {
			return Event.named("claim.repeated").with("status", this.outcome.status());
		}

	}

	/**
	 * The request is not dispatched.
	 *
	 * @param refusal what the caller is told
	 */
	record Refused(Refusal refusal) implements ClaimResult {

		@Override
		public Event toEvent() {
			return Event.named("claim.refused")
				.with("reason", this.refusal.reason().code())
				.with("ran", this.refusal.ran().code());
		}

	}

}

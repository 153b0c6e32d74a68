package org.masticshelf.control.claim;

import org.masticshelf.kernel.event.Event;
import org.masticshelf.kernel.refusal.Refusal;

/**
 * The result of a {@link ClaimRequest}.
 * <p>
 * Immutable except for the claim.
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
	 * @param claim the claim, which has to be settled after the exchange by exactly one
	 * of its methods
	 */
	record Granted(Claim claim) implements ClaimResult {

		@Override
		public Event toEvent() {
			return Event.named("claim.granted").with("key", this.claim.storeKey());
		}

	}

	/**
	 * The request already ran; the caller gets the recorded answer.
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
	 * @param refusal the refusal for the caller
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

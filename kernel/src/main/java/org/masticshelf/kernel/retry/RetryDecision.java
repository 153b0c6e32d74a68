package org.masticshelf.kernel.retry;

import java.util.Set;

import org.masticshelf.kernel.event.Event;
import org.masticshelf.kernel.refusal.Refusal;

/**
 * The decision on a failed exchange. Immutable.
 */
public sealed interface RetryDecision {

	/**
	 * Returns this decision as a log event.
	 * @return the event
	 */
	Event toEvent();

	/**
	 * Retry the request, preferably on another endpoint.
	 *
	 * @param delayNanoseconds the delay before the retry
	 * @param excluded identifiers of endpoints to avoid if there are others
	 */
	record Retry(long delayNanoseconds, Set<String> excluded) implements RetryDecision {

		@Override
		public Event toEvent() {
			return Event.named("retry.again")
				.with("delay_ms", this.delayNanoseconds / 1_000_000L)
				.with("excluded", String.join(",", this.excluded));
		}

	}

	/**
	 * Refuse the request, or end its stream with an error event if parts of the answer
	 * were already sent.
	 *
	 * @param refusal the refusal
	 */
	record GiveUp(Refusal refusal) implements RetryDecision {

		@Override
		public Event toEvent() {
			return Event.named("retry.given_up")
				.with("reason", this.refusal.reason().code())
				.with("ran", this.refusal.ran().code());
		}

	}

}

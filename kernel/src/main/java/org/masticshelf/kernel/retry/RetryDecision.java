package org.masticshelf.kernel.retry;

import java.util.Set;

import org.masticshelf.kernel.event.Event;
import org.masticshelf.kernel.refusal.Refusal;

/**
 * What to do about a failed exchange.
 * <p>
 * Immutable.
 */
public sealed interface RetryDecision {

	/**
	 * Renders this decision as an event.
	 * @return the event
	 */
	Event toEvent();

	/**
	 * Try again elsewhere.
	 *
	 * @param delayNanoseconds how long to wait before
	 * @param excluded identifiers of the endpoints that are avoided if there are others
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
	 * Refuse the request, or end its stream with an error event once pieces were sent.
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

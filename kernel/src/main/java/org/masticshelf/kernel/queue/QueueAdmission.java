package org.masticshelf.kernel.queue;

import org.jspecify.annotations.Nullable;

import org.masticshelf.kernel.event.Event;
import org.masticshelf.kernel.refusal.Refusal;

/**
 * The decision about a request that was offered to a queue.
 * <p>
 * Immutable.
 *
 * @param <T> the type of the item
 */
public sealed interface QueueAdmission<T> {

	/**
	 * Renders this decision as an event.
	 * @return the event
	 */
	Event toEvent();

	/**
	 * The request waits.
	 *
	 * @param waiting the waiting request
	 * @param displaced a waiting request of the organisation with most waiting requests
	 * that had to leave for it and has to be refused, or {@code null}
	 * @param <T> the type of the item
	 */
	record Queued<T>(WaitingRequest<T> waiting, @Nullable WaitingRequest<T> displaced) implements QueueAdmission<T> {

		@Override
		public Event toEvent() {
			return Event.named("queue.queued")
				.with("organisation", this.waiting.organisation())
				.with("lane", this.waiting.lane())
				.with("cost_tokens", this.waiting.costTokens())
				.with("displaced", (this.displaced != null) ? this.displaced.organisation() : null);
		}

	}

	/**
	 * The request does not wait and has to be refused.
	 *
	 * @param refusal the refusal
	 * @param <T> the type of the item
	 */
	record Refused<T>(Refusal refusal) implements QueueAdmission<T> {

		@Override
		public Event toEvent() {
			return this.refusal.toEvent();
		}

	}

}

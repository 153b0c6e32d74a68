package org.masticshelf.kernel.queue;

import org.jspecify.annotations.Nullable;

import org.masticshelf.kernel.event.Event;
import org.masticshelf.kernel.refusal.Refusal;

/**
 * The decision on a request that was offered to a queue. Immutable.
 *
 * @param <T> the type of the item
 */
public sealed interface QueueAdmission<T> {

	/**
	 * Returns this decision as a log event.
	 * @return the event
	 */
	Event toEvent();

	/**
	 * The request was queued.
	 *
	 * @param waiting the queued request
	 * @param displaced a request of the organisation with the most waiting requests that
	 * was removed to make room and must be refused, or {@code null}
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
	 * The request was not queued and must be refused.
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

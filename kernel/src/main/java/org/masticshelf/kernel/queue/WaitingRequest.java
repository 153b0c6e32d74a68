package org.masticshelf.kernel.queue;

import org.masticshelf.kernel.configuration.QualifiedName;

/**
 * A request that waits in a {@link FairQueue}.
 * <p>
 * Immutable if its item is. Equal only to itself.
 *
 * @param <T> the type of the item
 */
public final class WaitingRequest<T> {

	private final Candidate<T> candidate;

	private final long arrivedAt;

	private final long sequence;

	WaitingRequest(Candidate<T> candidate, long arrivedAt, long sequence) {
		this.candidate = candidate;
		this.arrivedAt = arrivedAt;
		this.sequence = sequence;
	}

	/**
	 * Returns the item.
	 * @return the item that was offered
	 */
	public T item() {
		return this.candidate.item();
	}

	/**
	 * Returns the organisation that the request is queued under.
	 * @return the name of the organisation
	 */
	public QualifiedName organisation() {
		return this.candidate.organisation();
	}

	/**
	 * Returns the lane.
	 * @return the name of the resource that must be available to serve the request
	 */
	public String lane() {
		return this.candidate.lane();
	}

	/**
	 * Returns the weight of the organisation.
	 * @return the weight, 1 or more
	 */
	public int weight() {
		return this.candidate.weight();
	}

	/**
	 * Returns the cost.
	 * @return the cost in tokens, 1 or more
	 */
	public long costTokens() {
		return this.candidate.costTokens();
	}

	/**
	 * Returns the deadline.
	 * @return the monotonic reading in nanoseconds by which the request must be served or
	 * refused
	 */
	public long deadline() {
		return this.candidate.deadline();
	}

	/**
	 * Returns when the request was queued.
	 * @return the monotonic reading in nanoseconds
	 */
	public long arrivedAt() {
		return this.arrivedAt;
	}

	/**
	 * Returns the position of the request in the order of arrival.
	 * @return a number that is higher for later requests of the same queue
	 */
	public long sequence() {
		return this.sequence;
	}

	@Override
	public String toString() {
		return organisation() + " " + lane() + " #" + this.sequence;
	}

	/**
	 * A request that is offered to a queue.
	 *
	 * @param item the item
	 * @param organisation the organisation that the request is queued under
	 * @param weight the share of the organisation relative to others, 1 or more
	 * @param lane the name of the resource that must be available to serve the request,
	 * such as its model or adapter; requests of one organisation and lane are served in
	 * order
	 * @param costTokens the cost in tokens, 1 or more
	 * @param deadline the monotonic reading in nanoseconds by which the request must be
	 * served or refused
	 * @param <T> the type of the item
	 */
	public record Candidate<T>(T item, QualifiedName organisation, int weight, String lane, long costTokens,
			long deadline) {

		/**
		 * Creates a candidate.
		 * @param item the item
		 * @param organisation the organisation
		 * @param weight the share of the organisation, 1 or more
		 * @param lane the name of the resource that must be available
		 * @param costTokens the cost in tokens, 1 or more
		 * @param deadline the monotonic reading in nanoseconds
		 */
		public Candidate {
			if (weight < 1 || costTokens < 1) {
				throw new IllegalArgumentException(
						"weight " + weight + " and cost " + costTokens + " must be positive");
			}
		}

	}

}

package org.masticshelf.serving.request;

import java.util.concurrent.locks.Condition;

import org.jspecify.annotations.Nullable;

import org.masticshelf.kernel.admission.WaitingOrder;
import org.masticshelf.kernel.serving.ServedEndpoint;

/**
 * The turn of one request in a {@link PoolQueue}.
 * <p>
 * Invariant: it is in the queue, or a slot was claimed for it, or its request has taken
 * the slot or left. Not thread-safe; guarded by the lock of {@link OrderedRequests}.
 */
final class QueuedTurn {

	private final PoolQueue queue;

	private final Claim claim;

	private final Needs needs;

	private final WaitingOrder.Waiting waiting;

	private final Condition wakeUp;

	private WaitingOrder.Rank rank;

	private @Nullable ServedEndpoint claimed;

	private boolean queued;

	private boolean woken;

	private boolean waitsForSlot;

	private int ahead;

	private long aheadWork;

	/**
	 * Creates a turn.
	 * @param queue the queue of the pool
	 * @param claim claims a slot for the request
	 * @param needs what the request needs
	 * @param number its position in the order of arrival
	 * @param wakeUp the condition on which the request waits
	 */
	QueuedTurn(PoolQueue queue, Claim claim, Needs needs, long number, Condition wakeUp) {
		this.queue = queue;
		this.claim = claim;
		this.needs = needs;
		this.wakeUp = wakeUp;
		this.waiting = new WaitingOrder.Waiting(needs.priority(), needs.arrivedAt(), needs.objectiveMilliseconds(),
				needs.deadlineAt(), queue.startMilliseconds(needs.untilFirstEvent()), needs.work(), number);
		this.rank = WaitingOrder.rank(this.waiting, needs.arrivedAt(), 0);
	}

	PoolQueue queue() {
		return this.queue;
	}

	Claim claim() {
		return this.claim;
	}

	Needs needs() {
		return this.needs;
	}

	WaitingOrder.Rank rank() {
		return this.rank;
	}

	void rank(long now, double organisationWork) {
		this.rank = WaitingOrder.rank(this.waiting, now, organisationWork);
	}

	void place(int newAhead, long newAheadWork) {
		this.ahead = newAhead;
		this.aheadWork = newAheadWork;
	}

	Place place(long now) {
		return new Place(this.rank, this.ahead, this.aheadWork, slack(now), this.queue.serviceMilliseconds());
	}

	long slack(long now) {
		return this.waiting.slack(now);
	}

	/**
	 * Gives the request the slot that was claimed for it, and wakes it.
	 * @param endpoint the endpoint with the slot
	 */
	void give(ServedEndpoint endpoint) {
		this.claimed = endpoint;
		this.queued = false;
		wake();
	}

	/**
	 * Takes the slot that was claimed.
	 * @return the endpoint, {@code null} if no slot was claimed
	 */
	@Nullable ServedEndpoint take() {
		ServedEndpoint endpoint = this.claimed;
		this.claimed = null;
		return endpoint;
	}

	boolean hasSlot() {
		return this.claimed != null;
	}

	boolean isQueued() {
		return this.queued;
	}

	void setQueued(boolean newQueued) {
		this.queued = newQueued;
	}

	void wake() {
		this.woken = true;
		this.wakeUp.signal();
	}

	void await(long nanoseconds) throws InterruptedException {
		long remainingNanoseconds = nanoseconds;
		while (!this.woken && remainingNanoseconds > 0) {
			remainingNanoseconds = this.wakeUp.awaitNanos(remainingNanoseconds);
		}
		this.woken = false;
	}

	boolean waitsForSlot() {
		return this.waitsForSlot;
	}

	void setWaitsForSlot(boolean newWaitsForSlot) {
		this.waitsForSlot = newWaitsForSlot;
	}

	/** Claims a slot for one request. Called under the lock. */
	interface Claim {

		/**
		 * Chooses an endpoint with a free slot and counts the request as running there.
		 * @return the endpoint, {@code null} if none that the request can use has one
		 */
		@Nullable ServedEndpoint claim();

		/**
		 * Returns whether endpoints have failed or refused this request.
		 * @return whether it can use fewer endpoints than others of its kind
		 */
		boolean avoidsEndpoints();

		/**
		 * Returns whether the caller has disconnected.
		 * @return whether the request ends without a slot
		 */
		boolean isGone();

	}

	/**
	 * What decides on the rank of a request. Immutable.
	 *
	 * @param loadable the model or adapter, empty for none; requests for the same one can
	 * use the same endpoints
	 * @param organisation the organisation, empty for none
	 * @param priority the priority, 0 is the highest
	 * @param arrivedAt when it arrived, in milliseconds
	 * @param objectiveMilliseconds its objective
	 * @param untilFirstEvent whether the objective is for the first event of a stream
	 * @param deadlineAt when its caller gives up, in milliseconds
	 * @param work the tokens of its prompt and output
	 */
	record Needs(String loadable, String organisation, int priority, long arrivedAt, long objectiveMilliseconds,
			boolean untilFirstEvent, long deadlineAt, long work) {

		/**
		 * Returns whether room is kept for requests such as this.
		 * @return whether its objective is short
		 */
		boolean isUrgent() {
			return this.objectiveMilliseconds <= UrgentArrivals.URGENT_OBJECTIVE_MILLISECONDS;
		}

	}

	/**
	 * Where a waiting request stands. Immutable.
	 *
	 * @param rank its rank
	 * @param ahead the requests for the same model or adapter that rank before it
	 * @param aheadWork their work in tokens
	 * @param slackMilliseconds the time that it can wait and meet its objective, negative
	 * if it misses it
	 * @param serviceMilliseconds how long a request of its pool occupies a slot on
	 * average, 0 if unknown
	 */
	record Place(WaitingOrder.Rank rank, int ahead, long aheadWork, long slackMilliseconds,
			double serviceMilliseconds) {
	}

}

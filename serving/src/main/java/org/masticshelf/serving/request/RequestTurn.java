package org.masticshelf.serving.request;

import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import java.util.function.LongSupplier;

import org.jspecify.annotations.Nullable;

import org.masticshelf.kernel.admission.WaitDecision;
import org.masticshelf.kernel.event.Event;
import org.masticshelf.kernel.serving.LoadableName;
import org.masticshelf.kernel.serving.ServedEndpoint;
import org.masticshelf.kernel.serving.ServedOrganisation;
import org.masticshelf.kernel.serving.ServedRequest;
import org.masticshelf.kernel.serving.ServedRoute;
import org.masticshelf.serving.endpoint.EndpointLimits.Availability;
import org.masticshelf.serving.request.QueuedTurn.Needs;

/**
 * Obtains an endpoint for one request, by order of cost or by arrival.
 * <p>
 * Invariant: a slot that was claimed is either kept for the request or released when the
 * turn is closed. Used by the thread of the request; {@link ByCost} is examined by other
 * threads under the lock of {@link OrderedRequests}.
 */
abstract sealed class RequestTurn implements AutoCloseable {

	/**
	 * The time an endpoint needs to begin an answer, reserved when deciding whether to
	 * wait.
	 */
	static final long ANSWER_START_MILLISECONDS = 150;

	/** How often a waiting request checks whether ejected endpoints are back. */
	private static final long RECHECK_MILLISECONDS = 100;

	final Subject subject;

	final EndpointChooser chooser;

	private WaitingRequests.@Nullable Entry entry;

	private long seenChanges;

	private RequestTurn(Subject subject) {
		this.subject = subject;
		this.chooser = new EndpointChooser(subject.context(), subject.request(), subject.admitted());
	}

	/**
	 * Creates the turn of a request.
	 * @param subject the request
	 * @return the turn, by cost if the pool is ordered so
	 */
	static RequestTurn of(Subject subject) {
		return subject.context().waitingRequests().isOrderedByCost(subject.context().tables().get(), subject.pool())
				? new ByCost(subject) : new ByArrival(subject);
	}

	/** Begins a check; changes that are signalled from now on end the next wait. */
	final void beginCheck() {
		this.seenChanges = this.subject.context().waitingRequests().changeCount();
	}

	/**
	 * Chooses an endpoint that has capacity.
	 * @return the endpoint, {@code null} if the request has to wait
	 */
	abstract @Nullable ServedEndpoint choose();

	/**
	 * Decides whether the request goes on waiting.
	 * @param elapsed how long it has waited, in milliseconds
	 * @param limit the time from its arrival by which its answer must begin
	 * @param readyIn the time until what it needs is ready, negative if unknown
	 * @return the decision
	 */
	WaitDecision decide(long elapsed, long limit, long readyIn) {
		return WaitDecision.decide(elapsed, limit, readyIn, ANSWER_START_MILLISECONDS);
	}

	/**
	 * Returns when the request may be sent if endpoints' limits are all that holds it
	 * back.
	 * @return when it may be sent, {@code null} if something else holds it back
	 */
	final @Nullable Availability limitedAvailability() {
		return this.chooser.limitedAvailability(this.subject.context()
			.waitingRequests()
			.countAhead(this.subject.pool(), this.subject.loadable(), this.entry));
	}

	/**
	 * Waits for a change that concerns the request.
	 * @param milliseconds the timeout
	 * @param readyIn the time until what it needs is ready, for the log
	 */
	final void await(long milliseconds, long readyIn) {
		if (this.entry == null) {
			long elapsed = this.subject.elapsed();
			this.entry = this.subject.context()
				.waitingRequests()
				.add(this.subject.pool(), this.subject.loadable(),
						this.subject.route().objectiveMilliseconds() - elapsed);
			this.subject.context()
				.log()
				.accept(describe(this.subject.events()
					.apply("request.waiting")
					.with("loadable", this.subject.loadable())
					.with("ready_in", readyIn)));
		}
		awaitChange(this.seenChanges, milliseconds);
	}

	/**
	 * Returns whether the request has waited in this turn.
	 * @return whether it found no endpoint at its first check
	 */
	final boolean hasWaited() {
		return this.entry != null;
	}

	abstract void awaitChange(long seen, long milliseconds);

	Event describe(Event event) {
		return event;
	}

	/**
	 * Keeps the chosen slot beyond the end of the turn.
	 * @return whether the request is counted as running at the endpoint already
	 */
	boolean keep() {
		return false;
	}

	@Override
	public void close() {
		WaitingRequests.Entry waiting = this.entry;
		if (waiting != null) {
			this.subject.context().waitingRequests().remove(waiting);
		}
	}

	/**
	 * The request. Immutable.
	 *
	 * @param context the dependencies that all requests share
	 * @param request the request
	 * @param admitted its route, organisation and pool
	 * @param avoided endpoints that failed or refused it, not changed during a turn
	 * @param isGone returns whether its caller has disconnected
	 * @param elapsedMilliseconds returns the time since it arrived
	 * @param events creates an event of the request from its name
	 */
	record Subject(RequestContext context, ServedRequest request, Admission.Admitted admitted, Set<String> avoided,
			BooleanSupplier isGone, LongSupplier elapsedMilliseconds, Function<String, Event> events) {

		String pool() {
			return this.admitted.pool().name();
		}

		ServedRoute route() {
			return this.admitted.route();
		}

		@Nullable LoadableName loadable() {
			return (this.admitted.pool().engine() != null) ? this.request.loadable() : null;
		}

		long tokens() {
			return Math.max(0, this.request.totalTokens());
		}

		long elapsed() {
			return this.elapsedMilliseconds.getAsLong();
		}

		int priority() {
			ServedOrganisation payer = this.admitted.organisation();
			Integer stated = (payer != null) ? payer.priority() : null;
			return (stated != null) ? stated : route().priority();
		}

	}

	/** Takes any free slot; all waiting requests check again at each change. */
	private static final class ByArrival extends RequestTurn {

		private ByArrival(Subject subject) {
			super(subject);
		}

		@Override
		@Nullable ServedEndpoint choose() {
			return this.chooser.choose(this.subject.avoided());
		}

		@Override
		void awaitChange(long seen, long milliseconds) {
			this.subject.context().waitingRequests().awaitChange(seen, Math.min(milliseconds, RECHECK_MILLISECONDS));
		}

	}

	/** Takes a free slot when it is this request's turn. */
	private static final class ByCost extends RequestTurn implements QueuedTurn.Claim {

		private final OrderedRequests ordered;

		private final QueuedTurn turn;

		private final long createdAt;

		private @Nullable ServedEndpoint taken;

		private ByCost(Subject subject) {
			super(subject);
			this.createdAt = subject.elapsed();
			this.ordered = subject.context().waitingRequests().ordered();
			ServedOrganisation payer = subject.admitted().organisation();
			LoadableName loadable = subject.loadable();
			ServedRoute route = subject.route();
			long arrivedAt = subject.context().clock().milliseconds() - subject.elapsed();
			long limit = Math.min(subject.request().deadlineMilliseconds(), route.timeoutMilliseconds());
			if (route.objectiveMilliseconds() > UrgentArrivals.URGENT_OBJECTIVE_MILLISECONDS) {
				this.chooser.keepRoomFor(subject.context().waitingRequests().urgentArrivals());
			}
			else if (loadable != null) {
				subject.context().waitingRequests().urgentArrivals().record(subject.pool(), loadable.model());
			}
			this.turn = this.ordered.create(subject.pool(), this,
					new Needs((loadable != null) ? loadable.toString() : "", (payer != null) ? payer.name() : "",
							subject.priority(), arrivedAt, route.objectiveMilliseconds(),
							route.execution().isStreamed(), arrivedAt + limit, subject.tokens()));
		}

		@Override
		@Nullable ServedEndpoint choose() {
			this.taken = this.ordered.take(this.turn);
			return this.taken;
		}

		@Override
		WaitDecision decide(long elapsed, long limit, long readyIn) {
			SlotCapacity capacity = SlotCapacity.of(this.subject);
			this.ordered.recordWaitsForSlot(this.turn, readyIn < 0 && capacity.slots() > 0);
			if (readyIn >= 0 || capacity.slots() == 0) {
				return super.decide(elapsed, limit, readyIn);
			}
			QueuedTurn.Place place = this.ordered.place(this.turn);
			long left = limit - elapsed - ANSWER_START_MILLISECONDS;
			QueueCutoffs.Verdict verdict = this.subject.context()
				.waitingRequests()
				.cutoffs()
				.decide(this.subject.context().peers(), new QueueCutoffs.Inputs(this.subject.pool(), place,
						capacity.slots(), capacity.shareOfPool(), left, hasWaited()));
			if (verdict.expectedMilliseconds() < 0) {
				return super.decide(elapsed, limit, readyIn);
			}
			if (verdict.admitted()) {
				return new WaitDecision.Wait(left);
			}
			this.subject.context().metrics().recordTurnedAway(this.subject.pool(), this.subject.priority());
			this.subject.context()
				.log()
				.accept(this.subject.events()
					.apply("request.turned_away")
					.with("position", place.ahead())
					.with("cutoff", left)
					.with("expected_ms", verdict.expectedMilliseconds())
					.with("service_ms", (long) place.serviceMilliseconds())
					.with("slots", capacity.slots())
					.with("peers_age_ms", verdict.peersAgeMilliseconds()));
			return new WaitDecision.Refuse(
					Math.max(WaitDecision.MINIMUM_RETRY_AFTER_MILLISECONDS, verdict.retryAfterMilliseconds()));
		}

		@Override
		public @Nullable ServedEndpoint claim() {
			ServedEndpoint endpoint = this.chooser.choose(this.subject.avoided());
			if (endpoint != null) {
				this.subject.context().loads().recordStart(endpoint, this.subject.loadable(), this.subject.tokens());
			}
			return endpoint;
		}

		@Override
		public boolean avoidsEndpoints() {
			return !this.subject.avoided().isEmpty();
		}

		@Override
		public boolean isGone() {
			return this.subject.isGone().getAsBoolean();
		}

		@Override
		void awaitChange(long seen, long milliseconds) {
			this.ordered.await(this.turn, milliseconds);
		}

		@Override
		Event describe(Event event) {
			QueuedTurn.Place place = this.ordered.place(this.turn);
			return event.with("position", place.ahead())
				.with("ahead_work", place.aheadWork())
				.with("slack_ms", place.slackMilliseconds());
		}

		@Override
		boolean keep() {
			this.taken = null;
			return true;
		}

		@Override
		public void close() {
			super.close();
			if (hasWaited()) {
				this.subject.context()
					.metrics()
					.recordWait(this.subject.pool(), this.subject.priority(), this.subject.elapsed() - this.createdAt);
			}
			ServedEndpoint claimed = this.ordered.leave(this.turn);
			ServedEndpoint unused = (claimed != null) ? claimed : this.taken;
			if (unused != null) {
				this.subject.context().loads().recordEnd(unused, this.subject.loadable(), this.subject.tokens());
				this.subject.context().waitingRequests().signal();
			}
		}

	}

}

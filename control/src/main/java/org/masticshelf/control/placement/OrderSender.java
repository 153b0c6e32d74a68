package org.masticshelf.control.placement;

import java.util.function.Consumer;

import org.jspecify.annotations.Nullable;

import org.masticshelf.kernel.configuration.Pool;
import org.masticshelf.kernel.event.Event;
import org.masticshelf.kernel.placement.EndpointRecord.Entry;
import org.masticshelf.kernel.port.Engine;

/**
 * Sends the orders that follow from the recorded entries of one endpoint.
 * <p>
 * Invariants: an order is counted as outstanding before the tenure is checked, and at
 * most one order per entry is in flight. Guarded by the lock of the store's controller.
 */
final class OrderSender {

	private static final long RETRY_DELAY_MILLISECONDS = 500;

	private static final long DRAIN_MILLISECONDS = 300;

	private static final long TAKEOVER_DRAIN_MILLISECONDS = 2_000;

	private final PlacementContext context;

	private final EndpointReportPoller reportPoller;

	private final Consumer<Event> log;

	private final long startedAt;

	/**
	 * Creates a sender.
	 * @param context the context of the tenure
	 * @param reportPoller polls the endpoint again after each order
	 * @param log receives an event for each order that has ended
	 */
	OrderSender(PlacementContext context, EndpointReportPoller reportPoller, Consumer<Event> log) {
		this.context = context;
		this.reportPoller = reportPoller;
		this.log = log;
		this.startedAt = context.now();
	}

	/**
	 * Sends the order that follows from an entry if it is due.
	 * @param endpoint the endpoint that executes it
	 * @param entry the recorded entry
	 * @param progress the state of the entry at this holder
	 * @param now the time in milliseconds
	 */
	void sendIfDue(Pool.Endpoint endpoint, Entry entry, EntryProgress progress, long now) {
		if (progress.orderInFlight || progress.accepted || progress.refused || now < progress.nextAttemptAt) {
			return;
		}
		switch (entry.state()) {
			case INTENDED, DOUBTFUL -> send(endpoint, entry, progress, Engine.Action.LOAD);
			case UNLOADING -> {
				if (isDrained(endpoint, entry, progress, now)) {
					send(endpoint, entry, progress, Engine.Action.UNLOAD);
				}
			}
			case LOADED -> {
				// A loaded entry needs no order.
			}
		}
	}

	private boolean isDrained(Pool.Endpoint endpoint, Entry entry, EntryProgress progress, long now) {
		if (progress.drainingSince == Long.MAX_VALUE) {
			progress.drainingSince = now;
		}
		return now >= progress.drainingSince + DRAIN_MILLISECONDS && now >= this.startedAt + TAKEOVER_DRAIN_MILLISECONDS
				&& this.context.demandAggregator().inFlight(endpoint.identifier(), entry.loadable()) == 0;
	}

	private void send(Pool.Endpoint endpoint, Entry entry, EntryProgress progress, Engine.Action action) {
		OutstandingOrders outstandingOrders = this.context.services().outstandingOrders();
		long fencing = this.context.tenure().fencing();
		outstandingOrders.add(fencing);
		if (!this.context.isTenureHeld()) {
			outstandingOrders.remove(fencing);
			return;
		}
		progress.orderInFlight = true;
		Engine.Order order = new Engine.Order(action, entry.loadable().engineName(), entry.memoryBytes(), fencing);
		this.context.services().engine().sendOrder(endpoint, order).whenComplete((answer, failure) -> {
			boolean mayArrive = failure != null && !ExchangeFailures.provesNotRun(failure);
			if (mayArrive) {
				outstandingOrders.removeUnanswered(fencing);
			}
			else {
				outstandingOrders.remove(fencing);
			}
			synchronized (this.context.lock()) {
				orderCompleted(order, progress, answer, mayArrive);
			}
		});
	}

	private void orderCompleted(Engine.Order order, EntryProgress progress, Engine.@Nullable OrderAnswer answer,
			boolean mayArrive) {
		long now = this.context.now();
		progress.orderInFlight = false;
		progress.lastOrderSequence = this.reportPoller.nextSequence();
		this.reportPoller.pollSoon(now);
		if (answer != null) {
			progress.accepted = answer.accepted();
			progress.refused = !answer.accepted();
		}
		else {
			progress.nextAttemptAt = now + RETRY_DELAY_MILLISECONDS;
			progress.mayArriveUntil = mayArrive ? now + OutstandingOrders.SETTLE_MILLISECONDS : progress.mayArriveUntil;
		}
		if (progress.refused && order.action() == Engine.Action.UNLOAD) {
			progress.retryAt(now + RETRY_DELAY_MILLISECONDS);
		}
		this.log.accept(Event.named("placement.order")
			.with("action", order.action())
			.with("name", order.name())
			.with("outcome", outcome(answer)));
	}

	private static @Nullable String outcome(Engine.@Nullable OrderAnswer answer) {
		if (answer == null) {
			return "no answer";
		}
		return answer.accepted() ? "accepted" : answer.reason();
	}

}

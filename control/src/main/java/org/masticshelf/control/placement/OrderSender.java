package org.masticshelf.control.placement;

import java.util.function.Consumer;

import org.jspecify.annotations.Nullable;

import org.masticshelf.kernel.configuration.Pool;
import org.masticshelf.kernel.event.Event;
import org.masticshelf.kernel.placement.EndpointRecord.Entry;
import org.masticshelf.kernel.port.Engine;

/**
 * Sends the orders that the recorded entries of one endpoint ask for.
 * <p>
 * Invariants: an order is entered in the ledger before the tenure is checked, and at most
 * one order for an entry is on its way. Guarded by the lock of the store's keeper.
 */
final class OrderSender {

	private static final long RETRY_MILLISECONDS = 500;

	private static final long DRAIN_MILLISECONDS = 300;

	private static final long TAKEOVER_DRAIN_MILLISECONDS = 2_000;

	private final Tenancy tenancy;

	private final EndpointReports reports;

	private final Consumer<Event> log;

	private final long startedAt;

	/**
	 * Creates a sender.
	 * @param tenancy the tenure
	 * @param reports is asked again after each order
	 * @param log receives an event for each answer
	 */
	OrderSender(Tenancy tenancy, EndpointReports reports, Consumer<Event> log) {
		this.tenancy = tenancy;
		this.reports = reports;
		this.log = log;
		this.startedAt = tenancy.now();
	}

	/**
	 * Sends the order that an entry asks for, if it is time.
	 * @param endpoint the endpoint
	 * @param entry the recorded entry
	 * @param known what is known about the entry
	 * @param now the time in milliseconds
	 */
	void order(Pool.Endpoint endpoint, Entry entry, EntryProgress known, long now) {
		if (known.sending || known.accepted || known.refused || now < known.nextAttemptAt) {
			return;
		}
		switch (entry.state()) {
			case INTENDED, DOUBTFUL -> send(endpoint, entry, known, Engine.Action.LOAD);
			case UNLOADING -> {
				if (isDrained(endpoint, entry, known, now)) {
					send(endpoint, entry, known, Engine.Action.UNLOAD);
				}
			}
			case LOADED -> {
				// Nothing is left to be ordered.
			}
		}
	}

	private boolean isDrained(Pool.Endpoint endpoint, Entry entry, EntryProgress known, long now) {
		if (known.drainingSince == Long.MAX_VALUE) {
			known.drainingSince = now;
		}
		return now >= known.drainingSince + DRAIN_MILLISECONDS && now >= this.startedAt + TAKEOVER_DRAIN_MILLISECONDS
				&& this.tenancy.book().inFlight(endpoint.identifier(), entry.loadable()) == 0;
	}

	private void send(Pool.Endpoint endpoint, Entry entry, EntryProgress known, Engine.Action action) {
		OrderLedger ledger = this.tenancy.services().ledger();
		long fencing = this.tenancy.tenure().fencing();
		ledger.enter(fencing);
		if (!this.tenancy.holds()) {
			ledger.leave(fencing);
			return;
		}
		known.sending = true;
		Engine.Order order = new Engine.Order(action, entry.loadable().engineName(), entry.memoryBytes(), fencing);
		this.tenancy.services().engine().sendOrder(endpoint, order).whenComplete((answer, failure) -> {
			boolean mayArrive = failure != null && !Failures.provesNotRun(failure);
			if (mayArrive) {
				ledger.leaveUnanswered(fencing);
			}
			else {
				ledger.leave(fencing);
			}
			synchronized (this.tenancy.lock()) {
				answered(order, known, answer, mayArrive);
			}
		});
	}

	private void answered(Engine.Order order, EntryProgress known, Engine.@Nullable OrderAnswer answer,
			boolean mayArrive) {
		long now = this.tenancy.now();
		known.sending = false;
		known.changedSequence = this.reports.nextSequence();
		this.reports.hasten(now);
		if (answer != null) {
			known.accepted = answer.accepted();
			known.refused = !answer.accepted();
		}
		else {
			known.nextAttemptAt = now + RETRY_MILLISECONDS;
			known.unsettledUntil = mayArrive ? now + OrderLedger.SETTLE_MILLISECONDS : known.unsettledUntil;
		}
		if (known.refused && order.action() == Engine.Action.UNLOAD) {
			known.retry(now + RETRY_MILLISECONDS);
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

package org.masticshelf.serving.placement;

import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;

import org.jspecify.annotations.Nullable;

import org.masticshelf.control.duty.Duty;
import org.masticshelf.kernel.event.Event;
import org.masticshelf.kernel.residency.ResidencyStep;
import org.masticshelf.kernel.serving.LoadableName;
import org.masticshelf.kernel.time.MonotonicClock;
import org.masticshelf.serving.placement.EngineOrders.EngineOrder;
import org.masticshelf.serving.placement.EngineOrders.EngineReport;
import org.masticshelf.serving.placement.EngineOrders.OrderAnswer;

/**
 * Executes planned steps: sends the orders of each step in sequence and monitors a load
 * until the engine reports it.
 * <p>
 * Invariants: the tenure is checked immediately before each order; each order carries the
 * number of orders that the engine had accepted, so that at most one of an unanswered
 * order and its retry is executed. Engine states are guarded by the lock of the
 * {@link Placement}. Thread-safe; each step runs on its own thread.
 */
final class StepExecution {

	/**
	 * The delay before an order is retried after a conflict with an unload or after no
	 * answer.
	 */
	private static final long RETRY_MILLISECONDS = 25;

	/** Added to the known duration of a load from memory or disk. */
	private static final long LOCAL_SLACK_MILLISECONDS = 25;

	private static final int MAXIMUM_RETRIES = 20;

	private static final long POLL_MILLISECONDS = 60;

	/**
	 * How often the report of an engine is read once its load from the weight store is
	 * due, which takes longer the more engines load.
	 */
	private static final long STORE_POLL_MILLISECONDS = 200;

	/**
	 * The time that an engine takes to unload a model without requests. It refuses every
	 * order until then, and refused orders have a cost, too.
	 */
	private static final long UNLOAD_MILLISECONDS = 55;

	/**
	 * Engines answer within a few milliseconds; a lost answer is detected from the next
	 * report.
	 */
	private static final long CALL_TIMEOUT_MILLISECONDS = 250;

	/** How often the report of an engine is read while it loads. */
	private static final long LOADING_REPORT_INTERVAL_MILLISECONDS = 600;

	/** Consecutive reports that a loading engine may miss before it counts as dead. */
	private static final int MAXIMUM_MISSING_REPORTS = 3;

	/**
	 * A load that takes this many times its planned duration is given up, and the
	 * engine's state read anew.
	 */
	private static final long OVERDUE_FACTOR = 4;

	private static final long OVERDUE_MILLISECONDS = 2_000;

	private final Placement placement;

	private final WeightStoreLoads storeLoads;

	private final EngineOrders orders;

	private final MonotonicClock clock;

	private final String holder;

	private final Consumer<Event> log;

	private final Runnable announceChange;

	StepExecution(Placement placement, WeightStoreLoads storeLoads, EngineOrders orders, MonotonicClock clock,
			String holder, Consumer<Event> log, Runnable announceChange) {
		this.placement = placement;
		this.storeLoads = storeLoads;
		this.orders = orders;
		this.clock = clock;
		this.holder = holder;
		this.log = log;
		this.announceChange = announceChange;
	}

	/**
	 * Executes a step, blocking until it has ended.
	 * @param state the engine on which the step was started
	 * @param step the step
	 * @param tenure the tenure under which it was planned
	 */
	void execute(EngineState state, ResidencyStep step, Duty.Tenure tenure) {
		switch (step) {
			case ResidencyStep.Unload unload -> unloadAdapter(state, unload, tenure);
			case ResidencyStep.Load load when load.loadable().adapter() != null -> loadAdapter(state, load, tenure);
			case ResidencyStep.Load load -> loadModel(state, load, tenure);
		}
	}

	private void unloadAdapter(EngineState state, ResidencyStep.Unload step, Duty.Tenure tenure) {
		OrderAnswer answer = sendOrder(state, false, step.loadable(), tenure);
		synchronized (this.placement) {
			if (answer == OrderAnswer.HOLDS || answer == OrderAnswer.ACCEPTED) {
				state.recordAcceptedOrder(this.clock.milliseconds());
				state.recordUnloaded(step.loadable());
			}
			state.endOrder();
		}
		this.announceChange.run();
	}

	private void loadAdapter(EngineState state, ResidencyStep.Load step, Duty.Tenure tenure) {
		OrderAnswer answer = sendOrder(state, true, step.loadable(), tenure);
		synchronized (this.placement) {
			if (answer == OrderAnswer.ACCEPTED) {
				state.recordAcceptedOrder(this.clock.milliseconds());
				state.recordLoadingAdapter(step.loadable(), this.clock.milliseconds());
			}
			state.endOrder();
		}
		this.announceChange.run();
		if (answer == OrderAnswer.ACCEPTED) {
			pause(step.milliseconds());
		}
		if (answer == OrderAnswer.ACCEPTED || answer == OrderAnswer.HOLDS) {
			synchronized (this.placement) {
				state.recordLoaded(step.loadable(), this.clock.milliseconds());
			}
			this.announceChange.run();
		}
	}

	private void loadModel(EngineState state, ResidencyStep.Load step, Duty.Tenure tenure) {
		OrderAnswer answer = OrderAnswer.HOLDS;
		for (String victim : step.victims()) {
			synchronized (this.placement) {
				state.recordUnloaded(LoadableName.ofModel(victim));
			}
			this.announceChange.run();
			answer = sendOrderWithRetries(state, false, LoadableName.ofModel(victim), tenure);
			if (answer != OrderAnswer.ACCEPTED && answer != OrderAnswer.HOLDS) {
				break;
			}
			synchronized (this.placement) {
				state.recordAcceptedOrder(this.clock.milliseconds());
			}
			pause(UNLOAD_MILLISECONDS);
		}
		if (answer == OrderAnswer.ACCEPTED || answer == OrderAnswer.HOLDS) {
			answer = sendOrderWithRetries(state, true, step.loadable(), tenure);
			if (answer == OrderAnswer.ACCEPTED) {
				synchronized (this.placement) {
					state.recordAcceptedOrder(this.clock.milliseconds());
					state.recordLoadStarted(isFromStore(step) ? this.storeLoads.begin(step) : step.milliseconds(),
							this.clock.milliseconds());
					state.endOrder();
				}
				awaitLoad(state, step);
			}
			else if (answer == OrderAnswer.HOLDS) {
				synchronized (this.placement) {
					state.recordLoaded(step.loadable(), this.clock.milliseconds());
				}
			}
		}
		synchronized (this.placement) {
			if (answer != OrderAnswer.ACCEPTED && answer != OrderAnswer.HOLDS) {
				state.markUnknown();
			}
			state.endModelStep();
			state.endOrder();
		}
		this.announceChange.run();
	}

	// An engine answers with a conflict until a preceding unload has ended, so the
	// order is retried for a while.
	private OrderAnswer sendOrderWithRetries(EngineState state, boolean load, LoadableName loadable,
			Duty.Tenure tenure) {
		OrderAnswer answer = sendOrder(state, load, loadable, tenure);
		for (int attempt = 0; isRetryable(answer) && attempt < MAXIMUM_RETRIES; attempt++) {
			pause(RETRY_MILLISECONDS);
			answer = sendOrder(state, load, loadable, tenure);
		}
		return answer;
	}

	// An unanswered order can be retried since it carries the number of orders before
	// it: if the first one is executed after all, one of the two is refused.
	private boolean isRetryable(OrderAnswer answer) {
		return answer == OrderAnswer.CONFLICT
				|| (answer == OrderAnswer.UNANSWERED && this.placement.settledTenure() != null);
	}

	private OrderAnswer sendOrder(EngineState state, boolean load, LoadableName loadable, Duty.Tenure tenure) {
		EngineOrder order;
		synchronized (this.placement) {
			order = new EngineOrder(load, loadable, state.ordersTaken(), this.holder, tenure.fencing());
		}
		OrderAnswer answer = OrderAnswer.UNANSWERED;
		String cause = "none";
		if (!tenure.equals(this.placement.settledTenure())) {
			cause = "the duty was lost";
		}
		else {
			try {
				answer = this.orders.order(state.endpoint(), order)
					.get(CALL_TIMEOUT_MILLISECONDS, TimeUnit.MILLISECONDS);
			}
			catch (ExecutionException | TimeoutException ex) {
				cause = ex.toString();
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
				cause = "interrupted";
			}
		}
		this.log.accept(Event.named("placement.order")
			.with("endpoint", state.endpoint().identifier())
			.with("load", load)
			.with("loadable", loadable)
			.with("orders_taken", order.ordersTaken())
			.with("fencing", order.fencing())
			.with("answer", answer)
			.with("cause", cause));
		if (answer != OrderAnswer.ACCEPTED && answer != OrderAnswer.HOLDS && answer != OrderAnswer.CONFLICT) {
			synchronized (this.placement) {
				state.markUnknown();
			}
		}
		return answer;
	}

	private static boolean isFromStore(ResidencyStep.Load load) {
		return load.source() == ResidencyStep.Source.STORE;
	}

	private void awaitLoad(EngineState state, ResidencyStep.Load load) {
		long begunAt = this.clock.milliseconds();
		long overdueAt = begunAt + OVERDUE_FACTOR * load.milliseconds() + OVERDUE_MILLISECONDS;
		boolean local = !isFromStore(load);
		long dueAt = begunAt + load.milliseconds() + (local ? LOCAL_SLACK_MILLISECONDS : 0);
		int missing = 0;
		while (!this.placement.isStopped() && this.clock.milliseconds() < overdueAt
				&& missing < MAXIMUM_MISSING_REPORTS) {
			long untilDue = dueAt - this.clock.milliseconds();
			pause((untilDue > 0) ? Math.min(untilDue, LOADING_REPORT_INTERVAL_MILLISECONDS)
					: local ? POLL_MILLISECONDS : STORE_POLL_MILLISECONDS);
			EngineReport report = readReport(state);
			missing = (report != null) ? 0 : missing + 1;
			// The duration of a load that does not share the weight store is known,
			// whereas reports lag behind. Waiting for one would leave the engine idle.
			boolean presumable = local && this.clock.milliseconds() >= dueAt;
			if (report != null && endLoad(state, load, report, presumable)) {
				if (!local) {
					this.storeLoads.complete(load, this.clock.milliseconds() - begunAt);
				}
				return;
			}
		}
		this.log.accept(Event.named("placement.load_given_up")
			.with("endpoint", load.endpoint())
			.with("loadable", load.loadable())
			.with("missing_reports", missing));
		synchronized (this.placement) {
			this.storeLoads.recordLostEngine(load);
			state.markUnknown();
			state.recordUnloaded(load.loadable());
		}
	}

	private boolean endLoad(EngineState state, ResidencyStep.Load load, EngineReport report, boolean presumable) {
		boolean done = isDone(state, load, report);
		if (!done && !presumable) {
			return false;
		}
		synchronized (this.placement) {
			if (done) {
				state.applyReport(report, this.clock.milliseconds());
			}
			else {
				state.recordPresumedLoad(load.loadable(), this.clock.milliseconds());
			}
		}
		this.log.accept(Event.named("placement.load_done")
			.with("endpoint", load.endpoint())
			.with("loadable", load.loadable())
			.with("source", load.source())
			.with("presumed", !done)
			.with("orders_taken", report.ordersTaken()));
		return true;
	}

	private boolean isDone(EngineState state, ResidencyStep.Load load, EngineReport report) {
		synchronized (this.placement) {
			return report.ordersTaken() >= state.ordersTaken() && !report.busy()
					&& report.holdings().serves(load.loadable());
		}
	}

	/**
	 * Reads the report of an engine.
	 * @param state the engine
	 * @return the report, {@code null} if there was no answer in time
	 */
	@Nullable EngineReport readReport(EngineState state) {
		try {
			EngineReport report = this.orders.report(state.endpoint())
				.get(CALL_TIMEOUT_MILLISECONDS, TimeUnit.MILLISECONDS);
			state.recordAnsweredReport();
			return report;
		}
		catch (ExecutionException | TimeoutException ex) {
			if (state.recordMissedReport()) {
				this.log.accept(Event.named("placement.report_missing")
					.with("endpoint", state.endpoint().identifier())
					.with("cause", ex.toString()));
			}
			return null;
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return null;
		}
	}

	private static void pause(long milliseconds) {
		try {
			TimeUnit.MILLISECONDS.sleep(milliseconds);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}

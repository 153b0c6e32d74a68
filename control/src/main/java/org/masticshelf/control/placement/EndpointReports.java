package org.masticshelf.control.placement;

import java.util.function.Function;
import java.util.function.LongSupplier;

import org.jspecify.annotations.Nullable;

import org.masticshelf.kernel.configuration.Pool;
import org.masticshelf.kernel.port.Engine;

/**
 * Asks one endpoint for its report now and then, one question at a time.
 * <p>
 * Invariant: each question and each ended order has its place in one sequence, so that it
 * is known whether a report can tell about an order. Guarded by the lock of the store's
 * keeper.
 */
final class EndpointReports {

	private static final int FAILURES_TO_UNREACHABLE = 3;

	private static final long EXPLORATION_MILLISECONDS = 2_000;

	private final Tenancy tenancy;

	private final Function<Asked, Reconciliation> reader;

	private final Runnable arrived;

	private final LongSupplier interval;

	private final long startedAt;

	private @Nullable Reconciliation newest;

	private boolean asking;

	private int failures;

	private long sequence;

	private long nextAt = Long.MIN_VALUE;

	/**
	 * Creates the reports of an endpoint.
	 * @param tenancy the tenure
	 * @param reader makes a reconciliation of a report
	 * @param arrived called after each answer or failure
	 * @param interval the time between two questions in milliseconds
	 */
	EndpointReports(Tenancy tenancy, Function<Asked, Reconciliation> reader, Runnable arrived, LongSupplier interval) {
		this.tenancy = tenancy;
		this.reader = reader;
		this.arrived = arrived;
		this.interval = interval;
		this.startedAt = tenancy.now();
	}

	/**
	 * Asks if it is time.
	 * @param endpoint the endpoint
	 * @param now the time in milliseconds
	 */
	void ask(Pool.Endpoint endpoint, long now) {
		if (this.asking || now < this.nextAt) {
			return;
		}
		this.asking = true;
		long asked = nextSequence();
		this.tenancy.services().engine().readReport(endpoint).whenComplete((report, failure) -> {
			synchronized (this.tenancy.lock()) {
				answered(asked, report);
			}
		});
	}

	private void answered(long asked, Engine.@Nullable Report report) {
		this.asking = false;
		this.failures = (report != null) ? 0 : this.failures + 1;
		this.newest = (report != null) ? this.reader.apply(new Asked(report, asked)) : this.newest;
		this.nextAt = this.tenancy.now() + this.interval.getAsLong();
		this.arrived.run();
	}

	/**
	 * Returns the next place in the sequence of questions and ended orders.
	 * @return a number higher than all before
	 */
	long nextSequence() {
		return ++this.sequence;
	}

	/**
	 * Asks again as soon as possible.
	 * @param now the time in milliseconds
	 */
	void hasten(long now) {
		this.nextAt = now;
	}

	/**
	 * Returns the newest report, ready to be applied.
	 * @return the report, or {@code null} before the first
	 */
	@Nullable Reconciliation newest() {
		return this.newest;
	}

	/**
	 * Returns whether the endpoint answers.
	 * @return whether there was a report and the last questions did not all fail
	 */
	boolean isReachable() {
		return this.newest != null && this.failures < FAILURES_TO_UNREACHABLE;
	}

	/**
	 * Returns whether the last question was answered.
	 * @return whether it did not fail
	 */
	boolean hasAnswered() {
		return this.failures == 0;
	}

	/**
	 * Returns whether the endpoint has reported, failed to, or had long enough for it.
	 * @return whether what is known about it is all that can be known now
	 */
	boolean isExplored() {
		return this.newest != null || this.failures > 0
				|| this.tenancy.now() - this.startedAt >= EXPLORATION_MILLISECONDS;
	}

	/**
	 * Returns whether the endpoint has stopped answering.
	 * @return whether the last questions all failed
	 */
	boolean isSilent() {
		return this.failures >= FAILURES_TO_UNREACHABLE;
	}

	/**
	 * A report and when it was asked for.
	 *
	 * @param report the report
	 * @param sequence the place of the question in the sequence
	 */
	record Asked(Engine.Report report, long sequence) {
	}

}

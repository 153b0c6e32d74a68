package org.masticshelf.control.placement;

import java.util.function.Function;
import java.util.function.LongSupplier;

import org.jspecify.annotations.Nullable;

import org.masticshelf.kernel.configuration.Pool;
import org.masticshelf.kernel.port.Engine;

/**
 * Polls one endpoint for its report, with one request in flight at a time.
 * <p>
 * Invariant: requests for reports and ended orders are numbered in one sequence, which
 * shows whether a report can reflect an order. Guarded by the lock of the store's
 * controller.
 */
final class EndpointReportPoller {

	private static final int FAILURES_UNTIL_UNREACHABLE = 3;

	private static final long PROBE_TIMEOUT_MILLISECONDS = 2_000;

	private final PlacementContext context;

	private final Function<SequencedReport, Reconciliation> reconciler;

	private final Runnable completionListener;

	private final LongSupplier interval;

	private final long startedAt;

	private @Nullable Reconciliation newest;

	private boolean polling;

	private int failures;

	private long sequence;

	private long nextPollAt = Long.MIN_VALUE;

	/**
	 * Creates a poller for an endpoint.
	 * @param context the context of the tenure
	 * @param reconciler creates a reconciliation from a report
	 * @param completionListener runs after each report or failure
	 * @param interval the time from an answer to the next poll in milliseconds
	 */
	EndpointReportPoller(PlacementContext context, Function<SequencedReport, Reconciliation> reconciler,
			Runnable completionListener, LongSupplier interval) {
		this.context = context;
		this.reconciler = reconciler;
		this.completionListener = completionListener;
		this.interval = interval;
		this.startedAt = context.now();
	}

	/**
	 * Requests a report if one is due and none is in flight.
	 * @param endpoint the endpoint as currently configured
	 * @param now the time in milliseconds
	 */
	void poll(Pool.Endpoint endpoint, long now) {
		if (this.polling || now < this.nextPollAt) {
			return;
		}
		this.polling = true;
		long pollSequence = nextSequence();
		this.context.services().engine().readReport(endpoint).whenComplete((report, failure) -> {
			synchronized (this.context.lock()) {
				pollCompleted(pollSequence, report);
			}
		});
	}

	private void pollCompleted(long pollSequence, Engine.@Nullable Report report) {
		this.polling = false;
		this.failures = (report != null) ? 0 : this.failures + 1;
		this.newest = (report != null) ? this.reconciler.apply(new SequencedReport(report, pollSequence)) : this.newest;
		this.nextPollAt = this.context.now() + this.interval.getAsLong();
		this.completionListener.run();
	}

	/**
	 * Returns the next number in the sequence of polls and ended orders.
	 * @return a number higher than all previous ones
	 */
	long nextSequence() {
		return ++this.sequence;
	}

	/**
	 * Makes the next poll due at once.
	 * @param now the time in milliseconds
	 */
	void pollSoon(long now) {
		this.nextPollAt = now;
	}

	/**
	 * Returns the reconciliation with the newest report.
	 * @return the reconciliation, or {@code null} before the first report
	 */
	@Nullable Reconciliation newest() {
		return this.newest;
	}

	/**
	 * Returns whether the endpoint answers.
	 * @return whether there was a report and the last polls did not all fail
	 */
	boolean isReachable() {
		return this.newest != null && this.failures < FAILURES_UNTIL_UNREACHABLE;
	}

	/**
	 * Returns whether the last poll was answered.
	 * @return whether it did not fail
	 */
	boolean lastPollSucceeded() {
		return this.failures == 0;
	}

	/**
	 * Returns whether the endpoint has reported, has failed to report, or has had enough
	 * time to report.
	 * @return whether waiting longer would tell nothing more about it
	 */
	boolean isProbed() {
		return this.newest != null || this.failures > 0
				|| this.context.now() - this.startedAt >= PROBE_TIMEOUT_MILLISECONDS;
	}

	/**
	 * Returns whether the endpoint has stopped answering.
	 * @return whether the last polls all failed
	 */
	boolean isUnresponsive() {
		return this.failures >= FAILURES_UNTIL_UNREACHABLE;
	}

	/**
	 * A report with the number of the poll that requested it.
	 *
	 * @param report the report
	 * @param sequence the number of the poll in the sequence
	 */
	record SequencedReport(Engine.Report report, long sequence) {
	}

}

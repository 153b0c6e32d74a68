package org.masticshelf.daemon.dispatch;

import org.masticshelf.kernel.configuration.Pool;
import org.masticshelf.kernel.configuration.Route;
import org.masticshelf.kernel.port.Engine;
import org.masticshelf.kernel.routing.EndpointTracker;
import org.masticshelf.kernel.time.MonotonicClock;

/**
 * Polls load reports of the engines that this daemon has used recently, so that the cost
 * grows with its own traffic and not with the size of the fleet. Safe for use by several
 * threads.
 */
public final class LoadReportPoller {

	/** How often {@link #poll()} is to be called, in milliseconds. */
	public static final long POLL_INTERVAL_MILLISECONDS = 250;

	private static final long RECENT_USE_NANOSECONDS = 2_000_000_000L;

	private final PoolDispatchers dispatchers;

	private final Engine engine;

	private final MonotonicClock clock;

	/**
	 * Creates a poller.
	 * @param dispatchers receive the reports
	 * @param engine reads the reports
	 * @param clock the clock
	 */
	public LoadReportPoller(PoolDispatchers dispatchers, Engine engine, MonotonicClock clock) {
		this.dispatchers = dispatchers;
		this.engine = engine;
		this.clock = clock;
	}

	/** Requests the reports of the endpoints that were used recently. */
	public void poll() {
		long now = this.clock.nanoseconds();
		for (PoolDispatcher dispatcher : this.dispatchers.all()) {
			if (dispatcher.pool().kind() == Route.Kind.MODEL) {
				dispatcher.endpointsUsedSince(now - RECENT_USE_NANOSECONDS)
					.forEach((endpoint) -> requestReport(dispatcher, endpoint));
			}
		}
	}

	private void requestReport(PoolDispatcher dispatcher, Pool.Endpoint endpoint) {
		EndpointTracker.ReportMark mark = dispatcher.markReportRequested(endpoint.identifier());
		this.engine.readReport(endpoint)
			.thenAccept((report) -> dispatcher.applyReport(endpoint.identifier(), report, mark));
	}

}

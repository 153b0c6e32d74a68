package org.masticshelf.daemon.dispatch;

import org.masticshelf.kernel.configuration.Pool;
import org.masticshelf.kernel.configuration.Route;
import org.masticshelf.kernel.port.Engine;
import org.masticshelf.kernel.routing.EndpointBoard;
import org.masticshelf.kernel.time.MonotonicClock;

/**
 * Reads load reports of the engines that this daemon has used lately, so that its cost
 * follows its own traffic and not the size of the fleet. Safe for use by several threads.
 */
public final class LoadReports {

	/** How often {@link #refresh()} is to be called, in milliseconds. */
	public static final long REFRESH_MILLISECONDS = 250;

	private static final long RECENT_NANOSECONDS = 2_000_000_000L;

	private final PoolDispatchers dispatchers;

	private final Engine engine;

	private final MonotonicClock clock;

	/**
	 * Creates reports.
	 * @param dispatchers is told the reports
	 * @param engine reads them
	 * @param clock the clock
	 */
	public LoadReports(PoolDispatchers dispatchers, Engine engine, MonotonicClock clock) {
		this.dispatchers = dispatchers;
		this.engine = engine;
		this.clock = clock;
	}

	/** Asks for the reports of the endpoints used lately. */
	public void refresh() {
		long now = this.clock.nanoseconds();
		for (PoolDispatcher dispatcher : this.dispatchers.all()) {
			if (dispatcher.pool().kind() == Route.Kind.MODEL) {
				dispatcher.usedSince(now - RECENT_NANOSECONDS).forEach((endpoint) -> read(dispatcher, endpoint));
			}
		}
	}

	private void read(PoolDispatcher dispatcher, Pool.Endpoint endpoint) {
		EndpointBoard.ReportMark mark = dispatcher.mark(endpoint.identifier());
		this.engine.readReport(endpoint)
			.thenAccept((report) -> dispatcher.reported(endpoint.identifier(), report, mark));
	}

}

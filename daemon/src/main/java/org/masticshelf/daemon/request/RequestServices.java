package org.masticshelf.daemon.request;

import java.util.concurrent.ScheduledExecutorService;

import org.masticshelf.kernel.port.Engine;
import org.masticshelf.kernel.port.PlainService;
import org.masticshelf.kernel.time.MonotonicClock;

/**
 * The services of the daemon that requests use. Immutable.
 *
 * @param engine the adapter of model engines
 * @param plainService the adapter of plain services
 * @param grants the organisations' grants
 * @param locations the endpoints at which models and adapters are loaded
 * @param active the requests that have not ended
 * @param clock the clock
 * @param scheduler runs delayed retries
 * @param metrics the metrics of requests
 */
public record RequestServices(Engine engine, PlainService plainService, Grants grants, LoadableLocations locations,
		ActiveRequests active, MonotonicClock clock, ScheduledExecutorService scheduler, RequestMetrics metrics) {
}

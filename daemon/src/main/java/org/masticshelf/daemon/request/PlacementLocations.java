package org.masticshelf.daemon.request;

import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

import org.masticshelf.control.placement.DemandReporter;
import org.masticshelf.control.placement.PlacementView;
import org.masticshelf.kernel.configuration.Loadable;
import org.masticshelf.kernel.time.MonotonicClock;

/**
 * Where models and adapters are loaded, by the view of placement. An endpoint that said
 * that it does not hold a loadable is left out for a while, until the view has caught up.
 * Safe for use by several threads.
 */
public final class PlacementLocations implements LoadableLocations {

	private static final long DOUBT_NANOSECONDS = 1_000_000_000L;

	private final PlacementView view;

	private final DemandReporter reporter;

	private final MonotonicClock clock;

	private final Map<StaleLocation, Long> doubts = new ConcurrentHashMap<>();

	/**
	 * Creates holders.
	 * @param view the view of placement
	 * @param reporter is told what is used
	 * @param clock the clock
	 */
	public PlacementLocations(PlacementView view, DemandReporter reporter, MonotonicClock clock) {
		this.view = view;
		this.reporter = reporter;
		this.clock = clock;
	}

	@Override
	public Set<String> endpointsFor(Loadable loadable) {
		Set<String> endpoints = new HashSet<>(this.view.endpoints(loadable));
		if (!this.doubts.isEmpty()) {
			long now = this.clock.nanoseconds();
			this.doubts.values().removeIf((since) -> now - since > DOUBT_NANOSECONDS);
			endpoints.removeIf((endpoint) -> this.doubts.containsKey(new StaleLocation(loadable, endpoint)));
		}
		return endpoints;
	}

	@Override
	public long nanosecondsUntilReady(Loadable loadable) {
		long milliseconds = this.view.readyInMilliseconds(loadable);
		return (milliseconds == PlacementView.UNKNOWN_MILLISECONDS) ? 0 : TimeUnit.MILLISECONDS.toNanos(milliseconds);
	}

	@Override
	public void requestStarted(Loadable loadable, String endpoint) {
		this.reporter.began(endpoint, loadable);
	}

	@Override
	public void requestEnded(Loadable loadable, String endpoint) {
		this.reporter.ended(endpoint, loadable);
	}

	@Override
	public void reportNotLoaded(Loadable loadable, String endpoint) {
		this.doubts.put(new StaleLocation(loadable, endpoint), this.clock.nanoseconds());
	}

	/**
	 * An endpoint that does not hold what the view says.
	 *
	 * @param loadable the model or adapter
	 * @param endpoint the identifier of the endpoint
	 */
	private record StaleLocation(Loadable loadable, String endpoint) {
	}

}

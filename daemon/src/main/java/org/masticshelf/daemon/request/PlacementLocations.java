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
 * Takes the locations of models and adapters from the placement view. An endpoint that
 * answered that it does not hold a loadable is left out for a while, until the view has
 * caught up. Safe for use by several threads.
 */
public final class PlacementLocations implements LoadableLocations {

	private static final long EXCLUSION_NANOSECONDS = 1_000_000_000L;

	private final PlacementView view;

	private final DemandReporter reporter;

	private final MonotonicClock clock;

	private final Map<StaleLocation, Long> staleLocations = new ConcurrentHashMap<>();

	/**
	 * Creates locations.
	 * @param view the placement view
	 * @param reporter receives the use of loadables
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
		if (!this.staleLocations.isEmpty()) {
			long now = this.clock.nanoseconds();
			this.staleLocations.values().removeIf((since) -> now - since > EXCLUSION_NANOSECONDS);
			endpoints.removeIf((endpoint) -> this.staleLocations.containsKey(new StaleLocation(loadable, endpoint)));
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
		this.reporter.requestStarted(endpoint, loadable);
	}

	@Override
	public void requestEnded(Loadable loadable, String endpoint) {
		this.reporter.requestEnded(endpoint, loadable);
	}

	@Override
	public void reportNotLoaded(Loadable loadable, String endpoint) {
		this.staleLocations.put(new StaleLocation(loadable, endpoint), this.clock.nanoseconds());
	}

	/**
	 * A loadable that the view lists at an endpoint that does not hold it.
	 *
	 * @param loadable the model or adapter
	 * @param endpoint the identifier of the endpoint
	 */
	private record StaleLocation(Loadable loadable, String endpoint) {
	}

}

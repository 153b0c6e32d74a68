package org.masticshelf.daemon;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import org.masticshelf.control.placement.DemandReporter;
import org.masticshelf.daemon.dispatch.PoolDispatcher;
import org.masticshelf.daemon.dispatch.PoolDispatchers;
import org.masticshelf.daemon.dispatch.QueuedRequest;
import org.masticshelf.daemon.request.ModelRequest;
import org.masticshelf.kernel.configuration.Loadable;
import org.masticshelf.kernel.configuration.QualifiedName;
import org.masticshelf.kernel.queue.WaitingRequest;

/**
 * Reports the waiting requests to placement, grouped by loadable and organisation. Called
 * by one thread at a time.
 */
final class WaitingDemandReporter {

	private final PoolDispatchers dispatchers;

	private final DemandReporter reporter;

	private Set<Group> reported = Set.of();

	WaitingDemandReporter(PoolDispatchers dispatchers, DemandReporter reporter) {
		this.dispatchers = dispatchers;
		this.reporter = reporter;
	}

	/** Reports the requests that wait now and sends what is due. */
	void report() {
		Map<Group, Count> counts = new HashMap<>();
		for (PoolDispatcher dispatcher : this.dispatchers.all()) {
			for (WaitingRequest<QueuedRequest> waiting : dispatcher.waitingRequests()) {
				if (waiting.item() instanceof ModelRequest request) {
					counts.merge(new Group(request.call().loadable(), request.organisation()),
							new Count(1, waiting.arrivedAt()), Count::plus);
				}
			}
		}
		this.reported.stream()
			.filter((group) -> !counts.containsKey(group))
			.forEach((group) -> this.reporter.setWaiting(group.loadable(), group.organisation(), 0, 0));
		counts.forEach((group, count) -> this.reporter.setWaiting(group.loadable(), group.organisation(),
				count.requests(), TimeUnit.NANOSECONDS.toMillis(count.oldest())));
		this.reported = Set.copyOf(counts.keySet());
		this.reporter.flush();
	}

	/**
	 * Waiting requests of one organisation for one loadable.
	 *
	 * @param loadable the model or adapter
	 * @param organisation the organisation
	 */
	private record Group(Loadable loadable, QualifiedName organisation) {
	}

	/**
	 * The number of waiting requests and the arrival of the oldest.
	 *
	 * @param requests the number of requests
	 * @param oldest the arrival of the oldest on the monotonic clock in nanoseconds
	 */
	private record Count(int requests, long oldest) {

		Count plus(Count other) {
			return new Count(this.requests + other.requests, Math.min(this.oldest, other.oldest));
		}

	}

}

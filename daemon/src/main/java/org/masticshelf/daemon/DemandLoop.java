package org.masticshelf.daemon;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import org.masticshelf.control.placement.DemandReporter;
import org.masticshelf.daemon.dispatch.PoolDispatcher;
import org.masticshelf.daemon.dispatch.PoolDispatchers;
import org.masticshelf.daemon.dispatch.Work;
import org.masticshelf.daemon.request.ModelWork;
import org.masticshelf.kernel.configuration.Loadable;
import org.masticshelf.kernel.configuration.QualifiedName;
import org.masticshelf.kernel.queue.WaitingRequest;

/**
 * Tells placement what requests wait for, grouped by loadable and organisation. Called by
 * one thread at a time.
 */
final class DemandLoop {

	private final PoolDispatchers dispatchers;

	private final DemandReporter reporter;

	private Set<Group> reported = Set.of();

	DemandLoop(PoolDispatchers dispatchers, DemandReporter reporter) {
		this.dispatchers = dispatchers;
		this.reporter = reporter;
	}

	/** Reports what waits now and sends what is due. */
	void tick() {
		Map<Group, Count> counts = new HashMap<>();
		for (PoolDispatcher dispatcher : this.dispatchers.all()) {
			for (WaitingRequest<Work> waiting : dispatcher.waiting()) {
				if (waiting.item() instanceof ModelWork work) {
					counts.merge(new Group(work.call().loadable(), work.organisation()),
							new Count(1, waiting.arrivedAt()), Count::plus);
				}
			}
		}
		this.reported.stream()
			.filter((group) -> !counts.containsKey(group))
			.forEach((group) -> this.reporter.setWaiting(group.loadable(), group.organisation(), 0, 0));
		counts.forEach((group, count) -> this.reporter.setWaiting(group.loadable(), group.organisation(), count.requests(),
				TimeUnit.NANOSECONDS.toMillis(count.oldest())));
		this.reported = Set.copyOf(counts.keySet());
		this.reporter.flush();
	}

	/**
	 * Requests that wait for the same.
	 *
	 * @param loadable what they wait for
	 * @param organisation the organisation
	 */
	private record Group(Loadable loadable, QualifiedName organisation) {
	}

	/**
	 * How many wait since when.
	 *
	 * @param requests the number of requests
	 * @param oldest the arrival of the oldest as a monotonic reading in nanoseconds
	 */
	private record Count(int requests, long oldest) {

		Count plus(Count other) {
			return new Count(this.requests + other.requests, Math.min(this.oldest, other.oldest));
		}

	}

}

package org.masticshelf.bench.replay;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.masticshelf.kernel.configuration.Loadable;
import org.masticshelf.kernel.configuration.QualifiedName;
import org.masticshelf.kernel.placement.Demand;
import org.masticshelf.kernel.queue.WaitingRequest;

/**
 * The decisions of masticshelf: fair queues, routing, retries, shared grants and one
 * placing daemon.
 * <p>
 * Used by one thread.
 */
final class MasticshelfSystem implements ServingSystem {

	private final PlacementDriver placement;

	private final List<DaemonModel> daemons = new ArrayList<>();

	MasticshelfSystem(Fleet fleet, Ledger ledger) {
		this.placement = new PlacementDriver(fleet, this::demands, () -> this.daemons.forEach(DaemonModel::pump));
		GrantKeepers grants = new GrantKeepers(fleet.configuration().tables().organisations());
		for (int number = 0; number < Deployment.ROUTERS; number++) {
			this.daemons.add(new DaemonModel(number, fleet, grants, ledger, this.placement));
		}
	}

	@Override
	public String name() {
		return "masticshelf";
	}

	@Override
	public void arrive(Flight flight) {
		this.daemons.get(flight.request.router()).arrive(flight);
	}

	@Override
	public void start(long end) {
		this.placement.start(end);
		this.daemons.forEach((daemon) -> daemon.start(end));
	}

	private List<Demand> demands() {
		Map<Key, Demand> merged = new LinkedHashMap<>();
		this.daemons.forEach((daemon) -> daemon.demands((waiting) -> merge(merged, waiting)));
		return List.copyOf(merged.values());
	}

	private static void merge(Map<Key, Demand> merged, WaitingRequest<Flight> waiting) {
		Loadable loadable = waiting.item().loadable;
		long since = waiting.arrivedAt() / VirtualTime.NANOSECONDS_PER_MILLISECOND;
		Demand single = new Demand(loadable, waiting.organisation(), 1, since);
		merged.merge(new Key(loadable, waiting.organisation()), single,
				(first, second) -> new Demand(loadable, first.organisation(), first.waiting() + 1,
						Math.min(first.sinceMilliseconds(), second.sinceMilliseconds())));
	}

	private record Key(Loadable loadable, QualifiedName organisation) {
	}

}

package org.masticshelf.kernel.placement;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.jspecify.annotations.Nullable;

import org.masticshelf.kernel.configuration.Loadable;
import org.masticshelf.kernel.configuration.QualifiedName;
import org.masticshelf.kernel.placement.PlacementDecision.Reason;

/**
 * Finds what to unload although no other load needs its memory.
 * <p>
 * Invariant: a model stays as long as one of its adapters at the endpoint stays. Confined
 * to one thread.
 */
final class PlacementSweep {

	private final PlacementState state;

	private final PlacementCatalogue catalogue;

	private final PlacementRound round;

	PlacementSweep(PlacementState state, PlacementCatalogue catalogue, PlacementRound round) {
		this.state = state;
		this.catalogue = catalogue;
		this.round = round;
	}

	/**
	 * Decides on everything that is loaded in one pool.
	 * @param pool the pool
	 * @param endpoints its endpoints
	 */
	void sweepPool(QualifiedName pool, List<EndpointState> endpoints) {
		Map<Loadable, Integer> remaining = new HashMap<>();
		for (EndpointState endpoint : endpoints) {
			endpoint.record().entries().forEach((entry) -> countRemaining(entry, remaining));
		}
		for (EndpointState endpoint : endpoints) {
			if (endpoint.presence().isPlannable()) {
				endpoint.record().entries().forEach((entry) -> sweepEntry(endpoint, entry, remaining));
			}
		}
	}

	private static void countRemaining(EndpointRecord.Entry entry, Map<Loadable, Integer> remaining) {
		if (entry.state() != EndpointRecord.State.UNLOADING) {
			remaining.merge(entry.loadable(), 1, Integer::sum);
		}
	}

	private void sweepEntry(EndpointState endpoint, EndpointRecord.Entry entry, Map<Loadable, Integer> remaining) {
		Reason reason = findReason(endpoint, entry, remaining);
		if (reason == null) {
			return;
		}
		List<EndpointRecord.Entry> removed = EvictionPolicy.withAdapters(endpoint, entry);
		boolean areRemovable = removed.stream().allMatch((each) -> isRemovable(endpoint, each, remaining));
		if (areRemovable) {
			removed.forEach((each) -> this.round.unload(endpoint, each, reason));
			removed.forEach((each) -> remaining.merge(each.loadable(), -1, Integer::sum));
		}
	}

	private boolean isRemovable(EndpointState endpoint, EndpointRecord.Entry entry, Map<Loadable, Integer> remaining) {
		EndpointState.Use use = endpoint.uses().get(entry.loadable());
		return EvictionPolicy.isUnloadable(entry) && use != null && use.inFlight() == 0
				&& !this.round.isUnloading(endpoint, entry.loadable())
				&& findReason(endpoint, entry, remaining) != null;
	}

	private @Nullable Reason findReason(EndpointState endpoint, EndpointRecord.Entry entry,
			Map<Loadable, Integer> remaining) {
		PlacementCatalogue.Row row = this.catalogue.row(entry.loadable());
		if (endpoint.presence() == EndpointState.Presence.LEAVING) {
			return Reason.ENDPOINT_LEAVING;
		}
		if (row == null) {
			return Reason.NOT_CONFIGURED;
		}
		int replicas = remaining.getOrDefault(entry.loadable(), 0);
		if (replicas > row.model().maximumReplicas()) {
			return Reason.SURPLUS;
		}
		return isIdle(endpoint, entry, row, replicas) ? Reason.IDLE : null;
	}

	private boolean isIdle(EndpointState endpoint, EndpointRecord.Entry entry, PlacementCatalogue.Row row,
			int replicas) {
		EndpointState.Use use = endpoint.uses().get(entry.loadable());
		boolean isWithinMinimum = !entry.loadable().isAdapter() && replicas <= row.model().minimumReplicas();
		return use != null && !isWithinMinimum && !this.round.demanded().contains(entry.loadable())
				&& use.idleMilliseconds(this.state.nowMilliseconds()) >= row.model().idleMilliseconds();
	}

}

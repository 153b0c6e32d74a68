package org.masticshelf.kernel.placement;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.jspecify.annotations.Nullable;

import org.masticshelf.kernel.configuration.Loadable;
import org.masticshelf.kernel.configuration.QualifiedName;
import org.masticshelf.kernel.placement.PlacementDecision.Reason;

/**
 * Finds what is to be unloaded although no other load needs its memory.
 * <p>
 * Invariant: a model stays as long as one of its adapters at the endpoint stays. Used by
 * one thread.
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
	 * Decides upon everything that is loaded in one pool.
	 * @param pool the pool
	 * @param endpoints its endpoints
	 */
	void sweepPool(QualifiedName pool, List<EndpointState> endpoints) {
		Map<Loadable, Integer> remaining = new HashMap<>();
		for (EndpointState endpoint : endpoints) {
			endpoint.record().entries().forEach((entry) -> countStaying(entry, remaining));
		}
		for (EndpointState endpoint : endpoints) {
			if (endpoint.presence().isPlannable()) {
				endpoint.record().entries().forEach((entry) -> entry(endpoint, entry, remaining));
			}
		}
	}

	private static void countStaying(EndpointRecord.Entry entry, Map<Loadable, Integer> remaining) {
		if (entry.state() != EndpointRecord.State.UNLOADING) {
			remaining.merge(entry.loadable(), 1, Integer::sum);
		}
	}

	private void entry(EndpointState endpoint, EndpointRecord.Entry entry, Map<Loadable, Integer> remaining) {
		Reason reason = reason(endpoint, entry, remaining);
		if (reason == null) {
			return;
		}
		List<EndpointRecord.Entry> leaving = EvictionPolicy.withAdapters(endpoint, entry);
		boolean isFree = leaving.stream().allMatch((each) -> canGo(endpoint, each, remaining));
		if (isFree) {
			leaving.forEach((each) -> this.round.unload(endpoint, each, reason));
			leaving.forEach((each) -> remaining.merge(each.loadable(), -1, Integer::sum));
		}
	}

	private boolean canGo(EndpointState endpoint, EndpointRecord.Entry entry, Map<Loadable, Integer> remaining) {
		EndpointState.Use use = endpoint.uses().get(entry.loadable());
		return EvictionPolicy.isUnloadable(entry) && use != null && use.inFlight() == 0
				&& !this.round.isUnloading(endpoint, entry.loadable()) && reason(endpoint, entry, remaining) != null;
	}

	private @Nullable Reason reason(EndpointState endpoint, EndpointRecord.Entry entry,
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
		boolean isKept = !entry.loadable().isAdapter() && replicas <= row.model().minimumReplicas();
		return use != null && !isKept && !this.round.demanded().contains(entry.loadable())
				&& use.idleMilliseconds(this.state.nowMilliseconds()) >= row.model().idleMilliseconds();
	}

}

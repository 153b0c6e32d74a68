package org.masticshelf.kernel.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

import org.masticshelf.kernel.configuration.Loadable;

/**
 * Chooses what is unloaded to make room: what is idle, least recently used first, then,
 * if that is asked for, what is in use and has been loaded longest, models with several
 * replicas first.
 * <p>
 * Invariant: nothing is chosen that was lately loaded, is at its minimum of replicas, or
 * for which a former holder's order may still arrive. Used by one thread.
 */
final class EvictionChoice {

	private final PlacementState state;

	private final PlacementCatalogue catalogue;

	private final PlacementPolicy policy;

	private final PlacementRound round;

	EvictionChoice(PlacementState state, PlacementCatalogue catalogue, PlacementPolicy policy, PlacementRound round) {
		this.state = state;
		this.catalogue = catalogue;
		this.policy = policy;
		this.round = round;
	}

	/**
	 * Chooses what to unload at an endpoint.
	 * @param endpoint the endpoint
	 * @param wanted what room is made for
	 * @param neededBytes how much memory is missing
	 * @param mode what may be unloaded
	 * @return what to unload, adapters before their model, empty if there is no way
	 */
	List<EndpointRecord.Entry> victims(EndpointState endpoint, Loadable wanted, long neededBytes,
			PlacementRound.Eviction mode) {
		List<EndpointRecord.Entry> candidates = new ArrayList<>();
		for (EndpointRecord.Entry entry : endpoint.record().entries()) {
			if (!entry.loadable().equals(wanted.withoutAdapter()) && isEvictable(endpoint, entry, mode)) {
				candidates.add(entry);
			}
		}
		candidates.sort(order(endpoint));
		List<EndpointRecord.Entry> victims = new ArrayList<>();
		long freed = 0;
		for (EndpointRecord.Entry candidate : candidates) {
			if (freed >= neededBytes) {
				break;
			}
			for (EndpointRecord.Entry leaving : withAdapters(endpoint, candidate)) {
				if (!victims.contains(leaving)) {
					victims.add(leaving);
					freed += leaving.memoryBytes();
				}
			}
		}
		return (freed >= neededBytes) ? victims : List.of();
	}

	private Comparator<EndpointRecord.Entry> order(EndpointState endpoint) {
		Comparator<EndpointRecord.Entry> idleFirst = Comparator.comparing((entry) -> !isIdle(endpoint, entry));
		return idleFirst
			.thenComparing((entry) -> isIdle(endpoint, entry) ? 0 : -this.round.count(entry.loadable()).serving())
			.thenComparing((entry) -> lastUse(endpoint, entry))
			.thenComparing((entry) -> entry.loadable().toString());
	}

	private boolean isEvictable(EndpointState endpoint, EndpointRecord.Entry entry, PlacementRound.Eviction mode) {
		boolean isFree = withAdapters(endpoint, entry).stream()
			.allMatch((each) -> mayLeave(endpoint, each)
					&& (mode == PlacementRound.Eviction.DRAIN || isIdle(endpoint, each)));
		return isFree && !isAtMinimum(entry.loadable());
	}

	private boolean mayLeave(EndpointState endpoint, EndpointRecord.Entry entry) {
		EndpointState.Use use = endpoint.uses().get(entry.loadable());
		if (use == null || !isUnloadable(entry) || this.round.isLeaving(endpoint, entry.loadable())) {
			return false;
		}
		long resident = this.state.nowMilliseconds() - use.loadedMilliseconds();
		return resident >= this.policy.minimumResidenceMilliseconds();
	}

	private boolean isIdle(EndpointState endpoint, EndpointRecord.Entry entry) {
		EndpointState.Use use = endpoint.uses().get(entry.loadable());
		return use != null && !this.round.demanded().contains(entry.loadable())
				&& use.idleMilliseconds(this.state.nowMilliseconds()) >= this.policy.evictionIdleMilliseconds();
	}

	/**
	 * Returns whether an entry can be unloaded without freeing what may yet be loaded.
	 * @param entry the entry
	 * @return whether no order of a former holder may still arrive
	 */
	static boolean isUnloadable(EndpointRecord.Entry entry) {
		return entry.state() == EndpointRecord.State.LOADED && entry.earlier().isEmpty();
	}

	private boolean isAtMinimum(Loadable loadable) {
		PlacementCatalogue.Row row = this.catalogue.row(loadable);
		return row != null && !loadable.isAdapter() && row.model().minimumReplicas() > 0
				&& this.round.count(loadable).serving() <= row.model().minimumReplicas();
	}

	/**
	 * Returns an entry with the adapters that cannot stay without it.
	 * @param endpoint the endpoint
	 * @param entry the entry
	 * @return its adapters and the entry itself last
	 */
	static List<EndpointRecord.Entry> withAdapters(EndpointState endpoint, EndpointRecord.Entry entry) {
		List<EndpointRecord.Entry> entries = new ArrayList<>();
		if (!entry.loadable().isAdapter()) {
			for (EndpointRecord.Entry other : endpoint.record().entries()) {
				if (other.loadable().isAdapter() && other.loadable().withoutAdapter().equals(entry.loadable())) {
					entries.add(other);
				}
			}
		}
		entries.add(entry);
		return entries;
	}

	private static long lastUse(EndpointState endpoint, EndpointRecord.Entry entry) {
		EndpointState.Use use = endpoint.uses().get(entry.loadable());
		if (use == null) {
			return Long.MAX_VALUE;
		}
		return (use.inFlight() > 0) ? use.loadedMilliseconds()
				: Math.max(use.loadedMilliseconds(), use.usedMilliseconds());
	}

}

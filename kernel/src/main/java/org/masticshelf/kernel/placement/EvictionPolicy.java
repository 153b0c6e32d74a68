package org.masticshelf.kernel.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

import org.masticshelf.kernel.configuration.Loadable;

/**
 * Chooses what to unload to make room: first what is idle, in least recently used order;
 * then, if the mode permits, what is in use, models with more replicas first and among
 * equals the longest loaded.
 * <p>
 * Invariant: nothing is chosen that was loaded recently, is at its minimum number of
 * replicas, or for which a former holder's order may still arrive. Confined to one
 * thread.
 */
final class EvictionPolicy {

	private final PlacementState state;

	private final PlacementCatalogue catalogue;

	private final PlacementPolicy policy;

	private final PlacementRound round;

	EvictionPolicy(PlacementState state, PlacementCatalogue catalogue, PlacementPolicy policy, PlacementRound round) {
		this.state = state;
		this.catalogue = catalogue;
		this.policy = policy;
		this.round = round;
	}

	/**
	 * Chooses what to unload at an endpoint.
	 * @param endpoint the endpoint
	 * @param wanted the loadable that needs the room
	 * @param neededBytes the missing memory in bytes
	 * @param mode what may be unloaded
	 * @return what to unload, adapters before their model, empty if not enough can be
	 * freed
	 */
	List<EndpointRecord.Entry> chooseVictims(EndpointState endpoint, Loadable wanted, long neededBytes,
			PlacementRound.Eviction mode) {
		List<EndpointRecord.Entry> candidates = new ArrayList<>();
		for (EndpointRecord.Entry entry : endpoint.record().entries()) {
			if (!entry.loadable().equals(wanted.withoutAdapter()) && isEvictable(endpoint, entry, mode)) {
				candidates.add(entry);
			}
		}
		candidates.sort(evictionOrder(endpoint));
		List<EndpointRecord.Entry> victims = new ArrayList<>();
		long freed = 0;
		for (EndpointRecord.Entry candidate : candidates) {
			if (freed >= neededBytes) {
				break;
			}
			for (EndpointRecord.Entry removed : withAdapters(endpoint, candidate)) {
				if (!victims.contains(removed)) {
					victims.add(removed);
					freed += removed.memoryBytes();
				}
			}
		}
		return (freed >= neededBytes) ? victims : List.of();
	}

	private Comparator<EndpointRecord.Entry> evictionOrder(EndpointState endpoint) {
		Comparator<EndpointRecord.Entry> idleFirst = Comparator.comparing((entry) -> !isIdle(endpoint, entry));
		return idleFirst
			.thenComparing(
					(entry) -> isIdle(endpoint, entry) ? 0 : -this.round.countReplicas(entry.loadable()).serving())
			.thenComparing((entry) -> lastUsedMilliseconds(endpoint, entry))
			.thenComparing((entry) -> entry.loadable().toString());
	}

	private boolean isEvictable(EndpointState endpoint, EndpointRecord.Entry entry, PlacementRound.Eviction mode) {
		boolean isRemovable = withAdapters(endpoint, entry).stream()
			.allMatch((each) -> isRemovable(endpoint, each)
					&& (mode == PlacementRound.Eviction.DRAIN || isIdle(endpoint, each)));
		return isRemovable && !isAtMinimum(entry.loadable());
	}

	private boolean isRemovable(EndpointState endpoint, EndpointRecord.Entry entry) {
		EndpointState.Use use = endpoint.uses().get(entry.loadable());
		if (use == null || !isUnloadable(entry) || this.round.isUnloading(endpoint, entry.loadable())) {
			return false;
		}
		long residenceMilliseconds = this.state.nowMilliseconds() - use.loadedMilliseconds();
		return residenceMilliseconds >= this.policy.minimumResidenceMilliseconds();
	}

	private boolean isIdle(EndpointState endpoint, EndpointRecord.Entry entry) {
		EndpointState.Use use = endpoint.uses().get(entry.loadable());
		return use != null && !this.round.demanded().contains(entry.loadable())
				&& use.idleMilliseconds(this.state.nowMilliseconds()) >= this.policy.evictionIdleMilliseconds();
	}

	/**
	 * Returns whether an entry can be unloaded without freeing memory that a late order
	 * may occupy again.
	 * @param entry the entry
	 * @return whether it is loaded and no order of a former holder may still arrive
	 */
	static boolean isUnloadable(EndpointRecord.Entry entry) {
		return entry.state() == EndpointRecord.State.LOADED && entry.earlier().isEmpty();
	}

	private boolean isAtMinimum(Loadable loadable) {
		PlacementCatalogue.Row row = this.catalogue.row(loadable);
		return row != null && !loadable.isAdapter() && row.model().minimumReplicas() > 0
				&& this.round.countReplicas(loadable).serving() <= row.model().minimumReplicas();
	}

	/**
	 * Returns an entry and the adapters that cannot stay loaded without it.
	 * @param endpoint the endpoint
	 * @param entry the entry
	 * @return the adapters, then the entry itself
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

	private static long lastUsedMilliseconds(EndpointState endpoint, EndpointRecord.Entry entry) {
		EndpointState.Use use = endpoint.uses().get(entry.loadable());
		if (use == null) {
			return Long.MAX_VALUE;
		}
		return (use.inFlight() > 0) ? use.loadedMilliseconds()
				: Math.max(use.loadedMilliseconds(), use.usedMilliseconds());
	}

}

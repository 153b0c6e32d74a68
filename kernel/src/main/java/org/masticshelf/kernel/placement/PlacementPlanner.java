package org.masticshelf.kernel.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.masticshelf.kernel.configuration.Loadable;
import org.masticshelf.kernel.configuration.QualifiedName;

/**
 * Plans what is loaded and unloaded at the endpoints of one weight store.
 * <p>
 * Invariants of each plan, together with what is recorded: no loadable has more replicas
 * than its model's maximum, no endpoint more bytes than its memory, no adapter is loaded
 * without its model, the limits of the store's gate are respected, and nothing in use is
 * unloaded. Equal states lead to equal plans. Immutable and thread-safe.
 */
public final class PlacementPlanner {

	private final PlacementCatalogue catalogue;

	private final PlacementPolicy policy;

	/**
	 * Creates a planner.
	 * @param catalogue what the pools of the store can load
	 * @param policy the thresholds
	 */
	public PlacementPlanner(PlacementCatalogue catalogue, PlacementPolicy policy) {
		this.catalogue = catalogue;
		this.policy = policy;
	}

	/**
	 * Plans for the waiting requests, the longest-waiting first, in turns among
	 * organisations. The cost grows with the number of demands and of endpoints in their
	 * pools.
	 * @param state the state
	 * @return the decisions in order of execution
	 */
	public List<PlacementDecision> planDemands(PlacementState state) {
		PlacementRound round = new PlacementRound(state, this.catalogue, this.policy);
		List<Demand> ordered = sortFairly(state);
		ordered.forEach((demand) -> round.demanded().add(demand.loadable()));
		ordered.forEach((demand) -> round.demanded().add(demand.loadable().withoutAdapter()));
		ordered.forEach(round::placeDemand);
		return round.decisions();
	}

	/**
	 * Plans to unload what is idle, surplus, no longer configured or at a leaving
	 * endpoint, and to load models below their minimum of replicas. The cost grows with
	 * the number of loaded entries.
	 * @param state the state
	 * @return the decisions in order of execution
	 */
	public List<PlacementDecision> planSweep(PlacementState state) {
		PlacementRound round = new PlacementRound(state, this.catalogue, this.policy);
		state.demands().forEach((demand) -> round.demanded().add(demand.loadable()));
		state.demands().forEach((demand) -> round.demanded().add(demand.loadable().withoutAdapter()));
		PlacementSweep sweep = new PlacementSweep(state, this.catalogue, round);
		state.endpoints().forEach(sweep::sweepPool);
		if (state.demands().isEmpty()) {
			this.catalogue.modelsWithMinimumReplicas().forEach(round::ensureMinimumReplicas);
		}
		return round.decisions();
	}

	// Each organisation's longest-waiting loadable comes before any organisation's next
	// one; loads in progress for an organisation count as its turns.
	private static List<Demand> sortFairly(PlacementState state) {
		List<Demand> byAge = new ArrayList<>(state.demands());
		byAge.sort(Comparator.comparingLong(Demand::sinceMilliseconds)
			.thenComparing((demand) -> demand.loadable().toString())
			.thenComparing(Demand::organisation));
		Map<QualifiedName, Integer> turns = new HashMap<>(state.loading());
		List<Ranked> ranked = new ArrayList<>();
		for (Demand demand : byAge) {
			int turn = turns.merge(demand.organisation(), 1, Integer::sum);
			ranked.add(new Ranked(turn, demand));
		}
		ranked.sort(Comparator.comparingInt(Ranked::turn));
		return mergeByLoadable(ranked);
	}

	private static List<Demand> mergeByLoadable(List<Ranked> ranked) {
		Map<Loadable, Demand> merged = new LinkedHashMap<>();
		Set<Loadable> seen = new HashSet<>();
		for (Ranked each : ranked) {
			Demand demand = each.demand();
			if (seen.add(demand.loadable())) {
				merged.put(demand.loadable(), demand);
			}
			else {
				merged.computeIfPresent(demand.loadable(), (loadable, first) -> merge(first, demand));
			}
		}
		return List.copyOf(merged.values());
	}

	private static Demand merge(Demand first, Demand other) {
		return new Demand(first.loadable(), first.organisation(), first.waiting() + other.waiting(),
				Math.min(first.sinceMilliseconds(), other.sinceMilliseconds()));
	}

	private record Ranked(int turn, Demand demand) {
	}

}

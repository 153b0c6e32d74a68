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
 * Decides what is loaded and unloaded at the endpoints of one weight store.
 * <p>
 * Invariants of each plan, together with what is recorded: no loadable gets more replicas
 * than its model's maximum, no endpoint more bytes than its memory, no adapter is loaded
 * where its model is not, the gate of the store is respected, and nothing in use is
 * unloaded. Equal states lead to equal plans. Immutable and safe for use by several
 * threads.
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
	 * Decides upon the requests that wait, the longest-suffering first. Its cost grows
	 * with the demands and the endpoints of their pools.
	 * @param state the state
	 * @return the decisions in the order in which they are to be carried out
	 */
	public List<PlacementDecision> wake(PlacementState state) {
		PlacementRound round = new PlacementRound(state, this.catalogue, this.policy);
		List<Demand> ordered = inOrderOfSuffering(state);
		ordered.forEach((demand) -> round.demanded().add(demand.loadable()));
		ordered.forEach((demand) -> round.demanded().add(demand.loadable().withoutAdapter()));
		ordered.forEach(round::wake);
		return round.decisions();
	}

	/**
	 * Decides what is unloaded because it is idle, surplus, no longer configured or at a
	 * leaving endpoint, and what is loaded to keep the minimum of replicas. Its cost
	 * grows with everything that is loaded.
	 * @param state the state
	 * @return the decisions in the order in which they are to be carried out
	 */
	public List<PlacementDecision> sweep(PlacementState state) {
		PlacementRound round = new PlacementRound(state, this.catalogue, this.policy);
		state.demands().forEach((demand) -> round.demanded().add(demand.loadable()));
		state.demands().forEach((demand) -> round.demanded().add(demand.loadable().withoutAdapter()));
		PlacementSweep sweep = new PlacementSweep(state, this.catalogue, round);
		state.endpoints().forEach(sweep::pool);
		if (state.demands().isEmpty()) {
			this.catalogue.kept().forEach(round::keepMinimum);
		}
		return round.decisions();
	}

	// Each organisation's longest-waiting loadable comes before any organisation's next
	// one; loads under way for an organisation count as its turns.
	private static List<Demand> inOrderOfSuffering(PlacementState state) {
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
		return firstOfEachLoadable(ranked);
	}

	private static List<Demand> firstOfEachLoadable(List<Ranked> ranked) {
		Map<Loadable, Demand> merged = new LinkedHashMap<>();
		Set<Loadable> order = new HashSet<>();
		for (Ranked each : ranked) {
			Demand demand = each.demand();
			if (order.add(demand.loadable())) {
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

package org.masticshelf.kernel.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

import com.google.common.truth.Truth;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

import org.masticshelf.kernel.configuration.Loadable;
import org.masticshelf.kernel.placement.EndpointRecord.State;

class PlacementPlannerPropertyTests {

	private static final List<String> NAMES = List.of("m", "n", "o", "m:a", "m:b", "n:a");

	@Property(tries = 2000, seed = "4")
	void neverExceedsMemoryOrReplicas(@ForAll long seed) {
		Random random = new Random(seed);
		PlannerScenario scenario = randomScenario(random);
		PlacementState state = scenario.state();
		Map<String, Long> bytes = new HashMap<>();
		Map<Loadable, Integer> replicas = new HashMap<>();
		state.endpoints().getOrDefault(PlannerScenario.POOL, List.of()).forEach((endpoint) -> {
			bytes.put(endpoint.endpoint().identifier(), endpoint.record().reservedBytes());
			endpoint.record().entries().forEach((entry) -> replicas.merge(entry.loadable(), 1, Integer::sum));
		});
		int starts = 0;
		for (PlacementDecision decision : scenario.planner().planDemands(state)) {
			if (decision instanceof PlacementDecision.Load load) {
				starts += load.loadable().isAdapter() ? 0 : 1;
				Truth.assertThat(bytes.merge(load.endpoint(), load.memoryBytes(), Long::sum)).isAtMost(100);
				Truth.assertThat(replicas.merge(load.loadable(), 1, Integer::sum)).isAtMost(2);
			}
		}
		Truth.assertThat(starts).isAtMost(StoreGate.MAXIMUM_STARTS_PER_SECOND);
	}

	@Property(tries = 500, seed = "5")
	void admitsThreeModelsInAnySecond(@ForAll long seed) {
		Random random = new Random(seed);
		StoreGate gate = new StoreGate(0, 0, List.of());
		long now = 0;
		List<Long> starts = new ArrayList<>();
		for (int step = 0; step < 50; step++) {
			now += random.nextInt(300);
			if (gate.admitsModel(now)) {
				gate = gate.withStartedModel(now).withInFlight(0, 0);
				starts.add(now);
			}
		}
		for (long start : starts) {
			long within = starts.stream().filter((other) -> other >= start && other < start + 1_000).count();
			Truth.assertThat(within).isAtMost(StoreGate.MAXIMUM_STARTS_PER_SECOND);
		}
	}

	private static PlannerScenario randomScenario(Random random) {
		PlannerScenario scenario = new PlannerScenario().model("m", 40, 2).model("n", 30, 2).model("o", 50, 2);
		for (int index = 0; index < 3; index++) {
			String identifier = "e" + index;
			scenario.endpoint(identifier, 100);
			long used = 0;
			for (String name : NAMES) {
				long size = name.contains(":") ? 5 : 30;
				if (random.nextInt(4) == 0 && used + size <= 100) {
					used += size;
					State state = State.values()[random.nextInt(State.values().length)];
					scenario.holds(identifier, name, state, size, random.nextInt(80_000), random.nextInt(2));
				}
			}
		}
		for (String name : NAMES) {
			if (random.nextBoolean()) {
				scenario.wants("org" + random.nextInt(3), name, random.nextInt(10_000));
			}
		}
		return scenario;
	}

}

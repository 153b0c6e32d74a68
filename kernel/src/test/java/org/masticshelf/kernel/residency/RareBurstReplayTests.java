package org.masticshelf.kernel.residency;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

import com.google.common.truth.Truth;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import org.masticshelf.kernel.serving.LoadableName;
import org.masticshelf.kernel.serving.ModelProfile;

/**
 * Replays a burst of requests for rare models in virtual time: twice as many as the
 * engines can load models for, with calm periods before and after.
 */
class RareBurstReplayTests {

	private static final int ENGINES = 8;

	private static final int MODELS = 60;

	private static final int DISK_COPIES_PER_MODEL = 3;

	private static final long OBJECTIVE_MILLISECONDS = 4_000;

	private static final long DEADLINE_MILLISECONDS = 30_000;

	private static final long RUN_MILLISECONDS = 1_700;

	private static final long LOAD_MILLISECONDS = 1_700;

	private static final long STEP_MILLISECONDS = 50;

	private static final long BURST_FROM_MILLISECONDS = 10_000;

	private static final long BURST_UNTIL_MILLISECONDS = 20_000;

	private static final long END_MILLISECONDS = 40_000;

	private static final double CALM_REQUESTS_PER_STEP = 0.05;

	private static final double BURST_REQUESTS_PER_STEP = 0.8;

	/**
	 * While the queue is longer than the latency objective, loading the oldest first
	 * serves almost no request in time. The planner falls back to that order when all
	 * requests are said to have missed their objective, which gives the baseline; the
	 * bound is a tenth above it.
	 */
	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4, 5 })
	void prefersRequestsThatCanStillMeetTheirObjective(long seed) {
		Replay oldestFirst = new Replay(false);
		oldestFirst.run(new Random(seed));
		Replay replay = new Replay(true);
		replay.run(new Random(seed));
		Truth.assertThat(replay.inTime).isAtLeast((int) (1.1 * oldestFirst.inTime));
		Truth.assertThat(replay.lost).isAtMost(replay.arrived / 10);
	}

	/** One replay. Not thread-safe. */
	private static final class Replay {

		private final boolean objectivesKnown;

		private final Map<String, ModelProfile> models = new HashMap<>();

		private final List<SimulatedEngine> engines = new ArrayList<>();

		private final List<Arrival> waiting = new ArrayList<>();

		private int arrived;

		private int inTime;

		private int lost;

		private Replay(boolean objectivesKnown) {
			this.objectivesKnown = objectivesKnown;
		}

		private void run(Random random) {
			for (int index = 0; index < MODELS; index++) {
				String name = "m%02d".formatted(index);
				this.models.put(name, new ModelProfile(name, 100, 7_000, LOAD_MILLISECONDS, 600, 0, 1));
			}
			for (int index = 0; index < ENGINES; index++) {
				this.engines.add(new SimulatedEngine("e" + index));
			}
			for (String model : this.models.keySet()) {
				for (int copy = 0; copy < DISK_COPIES_PER_MODEL; copy++) {
					this.engines.get(random.nextInt(ENGINES)).onDisk.add(model);
				}
			}
			for (long now = 0; now < END_MILLISECONDS + DEADLINE_MILLISECONDS; now += STEP_MILLISECONDS) {
				boolean burst = now >= BURST_FROM_MILLISECONDS && now < BURST_UNTIL_MILLISECONDS;
				if (now < END_MILLISECONDS
						&& random.nextDouble() < (burst ? BURST_REQUESTS_PER_STEP : CALM_REQUESTS_PER_STEP)) {
					this.arrived++;
					this.waiting.add(new Arrival("m%02d".formatted(random.nextInt(MODELS)), now));
				}
				step(now);
			}
		}

		private void step(long now) {
			this.engines.forEach((engine) -> engine.finishLoad(now));
			this.waiting.removeIf((arrival) -> serve(arrival, now));
			List<WaitingDemand> demands = this.waiting.stream()
				.map((arrival) -> new WaitingDemand(LoadableName.ofModel(arrival.model), 1, now - arrival.at,
						this.objectivesKnown ? arrival.at + OBJECTIVE_MILLISECONDS - now : -1))
				.toList();
			ResidencyPlan plan = ResidencyPlanner
				.plan(new ResidencyInput(this.engines.stream().map((engine) -> engine.snapshot(now)).toList(),
						this.models, demands, Map.of(), Map.of(), Set.of(), true, 0, 4, 0));
			for (ResidencyStep planned : plan.steps()) {
				if (planned instanceof ResidencyStep.Load load) {
					this.engines.stream()
						.filter((engine) -> engine.name.equals(load.endpoint()))
						.forEach((engine) -> engine.load(load, now));
				}
			}
		}

		private boolean serve(Arrival arrival, long now) {
			if (now - arrival.at >= DEADLINE_MILLISECONDS) {
				this.lost++;
				return true;
			}
			for (SimulatedEngine engine : this.engines) {
				if (engine.loaded.contains(arrival.model)) {
					engine.usedUntil.merge(arrival.model, now + RUN_MILLISECONDS, Math::max);
					this.inTime += (now - arrival.at <= OBJECTIVE_MILLISECONDS) ? 1 : 0;
					return true;
				}
			}
			return false;
		}

	}

	/**
	 * A request.
	 *
	 * @param model the model that it needs
	 * @param at the arrival time in milliseconds
	 */
	private record Arrival(String model, long at) {
	}

	/** A simulated engine with room for two models. */
	private static final class SimulatedEngine {

		private final String name;

		private final Set<String> onDisk = new HashSet<>();

		private final Set<String> loaded = new HashSet<>();

		private final Map<String, Long> usedUntil = new HashMap<>();

		private String loading = "";

		private long loadedAt;

		private SimulatedEngine(String name) {
			this.name = name;
		}

		private void load(ResidencyStep.Load load, long now) {
			load.victims().forEach(this.loaded::remove);
			this.loading = load.loadable().model();
			this.loadedAt = now + load.milliseconds();
		}

		private void finishLoad(long now) {
			if (!this.loading.isEmpty() && now >= this.loadedAt) {
				this.loaded.add(this.loading);
				this.onDisk.add(this.loading);
				this.usedUntil.put(this.loading, now);
				this.loading = "";
			}
		}

		private EngineSnapshot snapshot(long now) {
			Map<String, EngineSnapshot.LoadedModel> loadedModels = new HashMap<>();
			for (String model : this.loaded) {
				long until = this.usedUntil.getOrDefault(model, 0L);
				loadedModels.put(model,
						new EngineSnapshot.LoadedModel((now < until) ? 1 : 0, Math.max(0, now - until), Map.of()));
			}
			return new EngineSnapshot(this.name, "domain", 200, 8, loadedModels, Set.of(), this.onDisk,
					this.loading.isEmpty() ? 0 : this.loadedAt - now, this.loading);
		}

	}

}

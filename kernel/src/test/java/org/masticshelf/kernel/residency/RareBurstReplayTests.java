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
 * Replays a burst for rare models in virtual time: twice as many requests as the engines
 * can load models for, after and before a calm stretch.
 */
class RareBurstReplayTests {

	private static final int ENGINES = 8;

	private static final int MODELS = 60;

	private static final int COPIES_ON_DISK = 3;

	private static final long OBJECTIVE = 4_000;

	private static final long DEADLINE = 30_000;

	private static final long RUN = 1_700;

	private static final long LOAD = 1_700;

	private static final long STEP = 50;

	private static final long BURST_FROM = 10_000;

	private static final long BURST_UNTIL = 20_000;

	private static final long END = 40_000;

	private static final double CALM_PER_STEP = 0.05;

	private static final double BURST_PER_STEP = 0.8;

	/**
	 * While the queue is longer than the objective, oldest first serves hardly anybody in
	 * time. The bound is a tenth more than oldest first, which the planner falls back to
	 * when it is told that all have missed their objective.
	 */
	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4, 5 })
	void engineTimeGoesToRequestsThatCanStillBeInTime(long seed) {
		Replay oldestFirst = new Replay(false);
		oldestFirst.play(new Random(seed));
		Replay replay = new Replay(true);
		replay.play(new Random(seed));
		Truth.assertThat(replay.inTime).isAtLeast((int) (1.1 * oldestFirst.inTime));
		Truth.assertThat(replay.lost).isAtMost(replay.asked / 10);
	}

	/** One replay. Used by one thread. */
	private static final class Replay {

		private final boolean objectivesKnown;

		private final Map<String, ModelProfile> models = new HashMap<>();

		private final List<EngineModel> engines = new ArrayList<>();

		private final List<Arrival> waiting = new ArrayList<>();

		private int asked;

		private int inTime;

		private int lost;

		private Replay(boolean objectivesKnown) {
			this.objectivesKnown = objectivesKnown;
		}

		private void play(Random random) {
			for (int index = 0; index < MODELS; index++) {
				String name = "m%02d".formatted(index);
				this.models.put(name, new ModelProfile(name, 100, 7_000, LOAD, 600, 0, 1));
			}
			for (int index = 0; index < ENGINES; index++) {
				this.engines.add(new EngineModel("e" + index));
			}
			for (String model : this.models.keySet()) {
				for (int copy = 0; copy < COPIES_ON_DISK; copy++) {
					this.engines.get(random.nextInt(ENGINES)).onDisk.add(model);
				}
			}
			for (long now = 0; now < END + DEADLINE; now += STEP) {
				boolean burst = now >= BURST_FROM && now < BURST_UNTIL;
				if (now < END && random.nextDouble() < (burst ? BURST_PER_STEP : CALM_PER_STEP)) {
					this.asked++;
					this.waiting.add(new Arrival("m%02d".formatted(random.nextInt(MODELS)), now));
				}
				step(now);
			}
		}

		private void step(long now) {
			this.engines.forEach((engine) -> engine.finish(now));
			this.waiting.removeIf((arrival) -> serve(arrival, now));
			List<WaitingDemand> demands = this.waiting.stream()
				.map((arrival) -> new WaitingDemand(LoadableName.ofModel(arrival.model), 1, now - arrival.at,
						this.objectivesKnown ? arrival.at + OBJECTIVE - now : -1))
				.toList();
			ResidencyPlan plan = ResidencyPlanner
				.plan(new ResidencyInput(this.engines.stream().map((engine) -> engine.facts(now)).toList(), this.models,
						demands, Map.of(), true, 0, 4, 0));
			for (ResidencyStep planned : plan.steps()) {
				if (planned instanceof ResidencyStep.Load load) {
					this.engines.stream()
						.filter((engine) -> engine.name.equals(load.endpoint()))
						.forEach((engine) -> engine.load(load, now));
				}
			}
		}

		private boolean serve(Arrival arrival, long now) {
			if (now - arrival.at >= DEADLINE) {
				this.lost++;
				return true;
			}
			for (EngineModel engine : this.engines) {
				if (engine.loaded.contains(arrival.model)) {
					engine.usedUntil.merge(arrival.model, now + RUN, Math::max);
					this.inTime += (now - arrival.at <= OBJECTIVE) ? 1 : 0;
					return true;
				}
			}
			return false;
		}

	}

	/**
	 * A request.
	 *
	 * @param model what it needs
	 * @param at when it came, milliseconds
	 */
	private record Arrival(String model, long at) {
	}

	/** An engine with room for two models. */
	private static final class EngineModel {

		private final String name;

		private final Set<String> onDisk = new HashSet<>();

		private final Set<String> loaded = new HashSet<>();

		private final Map<String, Long> usedUntil = new HashMap<>();

		private String loading = "";

		private long doneAt;

		private EngineModel(String name) {
			this.name = name;
		}

		private void load(ResidencyStep.Load load, long now) {
			load.victims().forEach(this.loaded::remove);
			this.loading = load.loadable().model();
			this.doneAt = now + load.milliseconds();
		}

		private void finish(long now) {
			if (!this.loading.isEmpty() && now >= this.doneAt) {
				this.loaded.add(this.loading);
				this.onDisk.add(this.loading);
				this.usedUntil.put(this.loading, now);
				this.loading = "";
			}
		}

		private EngineSnapshot facts(long now) {
			Map<String, EngineSnapshot.LoadedModel> residents = new HashMap<>();
			for (String model : this.loaded) {
				long until = this.usedUntil.getOrDefault(model, 0L);
				residents.put(model,
						new EngineSnapshot.LoadedModel((now < until) ? 1 : 0, Math.max(0, now - until), Map.of()));
			}
			return new EngineSnapshot(this.name, "domain", 200, 8, residents, Set.of(), this.onDisk,
					this.loading.isEmpty() ? 0 : this.doneAt - now, this.loading);
		}

	}

}

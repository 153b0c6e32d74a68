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
import org.junit.jupiter.params.provider.CsvSource;

import org.masticshelf.kernel.serving.LoadableName;
import org.masticshelf.kernel.serving.ModelProfile;

/**
 * Replays a busy model next to more rare models that only the weight store has than it
 * can deliver, so that it is in use all the time.
 */
class StoreLoadReplayTests {

	private static final int ENGINES = 12;

	private static final int RARE_MODELS = 60;

	private static final int STORE_LOADS = 2;

	private static final long STORE_MILLISECONDS = 7_800;

	private static final long SHIFT_MILLISECONDS = 30_000;

	private static final long STEP_MILLISECONDS = 50;

	private static final double RARE_REQUESTS_PER_STEP = 0.03;

	/**
	 * Demand has moved to a model that only its own engines have. Its callers are refused
	 * until it gets a further replica, which must not wait until no rare model is asked
	 * for. Rare models still get at least half of the loads that the store delivers.
	 * @param seed the seed of the requests for rare models
	 * @param replicas the replicas before
	 * @param rateBefore the requests per second for the model that they carry
	 * @param rate the requests per second afterwards
	 */
	@ParameterizedTest
	@CsvSource({ "1, 2, 8, 30", "2, 2, 8, 30", "3, 1, 1, 20" })
	void overloadedModelGetsReplicaFromStoreThatRareModelsWaitFor(long seed, int replicas, double rateBefore,
			double rate) {
		Replay replay = new Replay(seed, replicas);
		replay.rate = rateBefore;
		replay.runUntil(SHIFT_MILLISECONDS);
		replay.rate = rate;
		replay.runUntil(SHIFT_MILLISECONDS + 60_000);
		Truth.assertThat(replay.copies("busy")).isGreaterThan(replicas);
		Truth.assertThat(replay.loadedAt.get("busy")).isAtMost(SHIFT_MILLISECONDS + 3 * STORE_MILLISECONDS);
		Truth.assertThat(replay.rareLoads).isAtLeast((int) (60_000 / STORE_MILLISECONDS) * STORE_LOADS / 2 - 1);
	}

	/**
	 * The engine with the only copy of a busy model is lost. Without a second copy, its
	 * callers are refused until the weight store has delivered it again.
	 * @param seed the seed of the requests for rare models
	 * @param rate the requests per second for the model, which one replica carries
	 */
	@ParameterizedTest
	@CsvSource({ "1, 2", "2, 6", "3, 8.5" })
	void busyModelHasSecondCopyInAnotherDomainBeforeTheFirstIsLost(long seed, double rate) {
		Replay replay = new Replay(seed, 1);
		replay.rate = rate;
		replay.runUntil(90_000);
		Truth.assertThat(replay.rareLoads).isAtLeast((int) (90_000 / STORE_MILLISECONDS) * STORE_LOADS / 2 - 1);
		String lostDomain = replay.engines.getFirst().failureDomain;
		replay.engines.removeIf((engine) -> engine.failureDomain.equals(lostDomain));
		replay.runUntil(90_000 + 3_500);
		Truth.assertThat(replay.copies("busy")).isAtLeast(1);
	}

	/** One replay. Not thread-safe. */
	private static final class Replay {

		private final Random random;

		private double rate;

		private final Map<String, ModelProfile> profiles = new HashMap<>();

		private final List<SimulatedEngine> engines = new ArrayList<>();

		private final Map<String, Long> waitingSince = new HashMap<>();

		private final Map<String, Long> loadedAt = new HashMap<>();

		private int rareLoads;

		private long now;

		private Replay(long seed, int replicas) {
			this.random = new Random(seed);
			addModel("busy");
			for (int index = 0; index < RARE_MODELS; index++) {
				addModel("rare" + index);
			}
			for (int index = 0; index < ENGINES; index++) {
				SimulatedEngine engine = new SimulatedEngine("e%02d".formatted(index), "domain" + index % 3);
				this.engines.add(engine);
				if (index < replicas) {
					engine.usedAt.put("busy", 0L);
				}
			}
		}

		private void addModel(String name) {
			this.profiles.put(name, new ModelProfile(name, 60, STORE_MILLISECONDS, 1_500, 1_000, 0, 1));
		}

		private void runUntil(long end) {
			for (; this.now < end; this.now += STEP_MILLISECONDS) {
				step();
			}
		}

		private long copies(String model) {
			return this.engines.stream().filter((engine) -> engine.usedAt.containsKey(model)).count();
		}

		private void step() {
			for (SimulatedEngine engine : this.engines) {
				if (!engine.loading.isEmpty() && this.now >= engine.readyAt) {
					engine.usedAt.put(engine.loading, this.now);
					this.loadedAt.putIfAbsent(engine.loading, this.now);
					this.rareLoads += engine.loading.startsWith("rare") ? 1 : 0;
					engine.loading = "";
				}
				engine.usedAt.computeIfPresent("busy", (model, usedAt) -> this.now);
			}
			if (this.random.nextDouble() < RARE_REQUESTS_PER_STEP) {
				this.waitingSince.putIfAbsent("rare" + this.random.nextInt(RARE_MODELS), this.now);
			}
			this.waitingSince.keySet().removeIf((model) -> copies(model) > 0);
			List<EngineSnapshot> snapshots = this.engines.stream().map((engine) -> engine.snapshot(this.now)).toList();
			List<WaitingDemand> waiting = new ArrayList<>();
			this.waitingSince.forEach((model, since) -> waiting
				.add(new WaitingDemand(LoadableName.ofModel(model), 1, this.now - since, since + 8_000 - this.now)));
			List<EngineSnapshot> loading = snapshots.stream().filter((engine) -> !engine.loading().isEmpty()).toList();
			long next = loading.stream().mapToLong(EngineSnapshot::freeInMilliseconds).min().orElse(0);
			for (ResidencyStep step : ResidencyPlanner
				.plan(new ResidencyInput(snapshots, this.profiles, waiting, Map.of(), Map.of("busy", this.rate),
						Set.of(), true, loading.size(), STORE_LOADS, next))
				.steps()) {
				if (step instanceof ResidencyStep.Load load) {
					this.engines.stream()
						.filter((engine) -> engine.name.equals(load.endpoint()))
						.forEach((engine) -> engine.load(load, this.now));
				}
			}
		}

	}

	/** A simulated engine with room for two models and a disk for what it has loaded. */
	private static final class SimulatedEngine {

		private final String name;

		private final String failureDomain;

		private final Map<String, Long> usedAt = new HashMap<>();

		private final Set<String> onDisk = new HashSet<>();

		private String loading = "";

		private long readyAt;

		private SimulatedEngine(String name, String failureDomain) {
			this.name = name;
			this.failureDomain = failureDomain;
		}

		private void load(ResidencyStep.Load load, long now) {
			load.victims().forEach(this.usedAt::remove);
			this.loading = load.loadable().model();
			this.readyAt = now + load.milliseconds();
		}

		private EngineSnapshot snapshot(long now) {
			this.onDisk.addAll(this.usedAt.keySet());
			Map<String, EngineSnapshot.LoadedModel> held = new HashMap<>();
			this.usedAt
				.forEach((model, usedAt) -> held.put(model, new EngineSnapshot.LoadedModel(0, now - usedAt, Map.of())));
			return new EngineSnapshot(this.name, this.failureDomain, 140, 8, held, Set.of(), this.onDisk,
					this.loading.isEmpty() ? 0 : Math.max(1, this.readyAt - now), this.loading);
		}

	}

}

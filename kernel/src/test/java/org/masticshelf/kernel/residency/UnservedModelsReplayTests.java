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

import org.masticshelf.kernel.admission.WaitDecision;
import org.masticshelf.kernel.serving.LoadableName;
import org.masticshelf.kernel.serving.ModelProfile;

/**
 * Replays requests for more models that only the weight store has than it can deliver,
 * from callers with different patience. Copies get lost again, so that the queue for the
 * weight store never ends.
 */
class UnservedModelsReplayTests {

	private static final int ENGINES = 12;

	private static final int PATIENT_MODELS = 16;

	private static final int IMPATIENT_MODELS = 4;

	private static final long STORE_MILLISECONDS = 7_800;

	private static final int STORE_LOADS = 2;

	private static final long COPY_LOST_AFTER_MILLISECONDS = 15_000;

	private static final long STEP_MILLISECONDS = 50;

	private static final long END_MILLISECONDS = 600_000;

	/**
	 * Callers are refused as soon as a load would come too late for them. No model may
	 * therefore starve for longer than twice the time in which the weight store delivers
	 * all of them.
	 */
	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3 })
	void modelThatCallersAreRefusedForIsServedOnceItsTurnComes(long seed) {
		Replay replay = new Replay(new Random(seed));
		replay.run();
		long all = (PATIENT_MODELS + IMPATIENT_MODELS) * STORE_MILLISECONDS / STORE_LOADS;
		Truth.assertThat(replay.longestStarvation()).isAtMost(2 * all);
	}

	/** One replay. Not thread-safe. */
	private static final class Replay {

		private final Random random;

		private final Map<String, ModelProfile> models = new HashMap<>();

		private final Map<String, Caller> callers = new HashMap<>();

		private final List<SimulatedEngine> engines = new ArrayList<>();

		private final List<Request> waiting = new ArrayList<>();

		private final Map<LoadableName, Unserved> unserved = new HashMap<>();

		private Map<String, Long> readyIn = Map.of();

		private long longest;

		private Replay(Random random) {
			this.random = random;
			for (int index = 0; index < PATIENT_MODELS; index++) {
				add("patient" + index, new Caller(0.1, 12_000));
			}
			for (int index = 0; index < IMPATIENT_MODELS; index++) {
				add("impatient" + index, new Caller(0.2, 2_400));
			}
			for (int index = 0; index < ENGINES; index++) {
				this.engines.add(new SimulatedEngine("e%02d".formatted(index)));
			}
		}

		private void add(String model, Caller caller) {
			this.models.put(model, new ModelProfile(model, 100, STORE_MILLISECONDS, 1_100, 800, 0, 1));
			this.callers.put(model, caller);
		}

		private void run() {
			for (long now = 0; now < END_MILLISECONDS; now += STEP_MILLISECONDS) {
				step(now);
			}
			this.unserved.values().forEach((entry) -> record(entry, END_MILLISECONDS));
		}

		private long longestStarvation() {
			return this.longest;
		}

		private void record(Unserved entry, long until) {
			this.longest = Math.max(this.longest, until - entry.since);
		}

		private void step(long now) {
			this.callers.forEach((model, caller) -> {
				if (this.random.nextDouble() < caller.requestsPerSecond() * STEP_MILLISECONDS / 1_000) {
					this.waiting.add(new Request(model, now));
				}
			});
			long loads = this.engines.stream().filter((engine) -> !engine.loading.isEmpty()).count();
			double progress = STEP_MILLISECONDS * Math.min(1, (double) STORE_LOADS / Math.max(1, loads));
			this.engines.forEach((engine) -> engine.advance(progress, now));
			this.waiting.removeIf((request) -> isEnded(request, now));
			List<EngineSnapshot> snapshots = this.engines.stream().map((engine) -> engine.snapshot(now)).toList();
			List<EngineSnapshot> loading = snapshots.stream().filter((engine) -> !engine.loading().isEmpty()).toList();
			long next = loading.stream().mapToLong(EngineSnapshot::freeInMilliseconds).min().orElse(0);
			List<WaitingDemand> demand = this.waiting.stream()
				.map((request) -> new WaitingDemand(LoadableName.ofModel(request.model()), 1, now - request.at(),
						3_000 - (now - request.at())))
				.toList();
			Map<LoadableName, UnservedDemand.Requests> refused = new HashMap<>();
			this.unserved.forEach((loadable, entry) -> refused.put(loadable,
					new UnservedDemand.Requests(entry.count, now - entry.since, now - entry.newest)));
			ResidencyPlan plan = ResidencyPlanner.plan(new ResidencyInput(snapshots, this.models, demand, refused,
					Map.of(), Set.of(), true, loading.size(), STORE_LOADS, next));
			this.readyIn = plan.readyInMilliseconds();
			for (ResidencyStep planned : plan.steps()) {
				if (planned instanceof ResidencyStep.Load load) {
					this.engines.stream()
						.filter((engine) -> engine.name.equals(load.endpoint()))
						.forEach((engine) -> engine.load(load));
				}
			}
		}

		private boolean isEnded(Request request, long now) {
			LoadableName loadable = LoadableName.ofModel(request.model());
			if (this.engines.stream().anyMatch((engine) -> engine.loaded.equals(request.model()))) {
				Unserved served = this.unserved.remove(loadable);
				if (served != null) {
					record(served, now);
				}
				return true;
			}
			Caller caller = this.callers.get(request.model());
			boolean refused = WaitDecision.decide(now - request.at(), (caller != null) ? caller.patience() : 0,
					this.readyIn.getOrDefault(request.model(), -1L), 150) instanceof WaitDecision.Refuse;
			if (refused) {
				this.unserved.computeIfAbsent(loadable, (key) -> new Unserved(now)).record(now);
			}
			return refused;
		}

	}

	/**
	 * The callers of a model.
	 *
	 * @param requestsPerSecond how often they ask for it
	 * @param patience how long they wait for the first event, in milliseconds
	 */
	private record Caller(double requestsPerSecond, long patience) {
	}

	/**
	 * A request.
	 *
	 * @param model the model that it needs
	 * @param at the arrival time in milliseconds
	 */
	private record Request(String model, long at) {
	}

	/** The requests for a model since one was served. */
	private static final class Unserved {

		private final long since;

		private int count;

		private long newest;

		private Unserved(long since) {
			this.since = since;
		}

		private void record(long now) {
			this.count++;
			this.newest = now;
		}

	}

	/** A simulated engine with room for one model, which it loses after a while. */
	private static final class SimulatedEngine {

		private final String name;

		private String loaded = "";

		private String loading = "";

		private double remaining;

		private long lostAt;

		private SimulatedEngine(String name) {
			this.name = name;
		}

		private void load(ResidencyStep.Load load) {
			this.loaded = "";
			this.loading = load.loadable().model();
			this.remaining = load.milliseconds();
		}

		private void advance(double progress, long now) {
			this.remaining -= progress;
			if (!this.loading.isEmpty() && this.remaining <= 0) {
				this.loaded = this.loading;
				this.loading = "";
				this.lostAt = now + COPY_LOST_AFTER_MILLISECONDS;
			}
			if (now >= this.lostAt) {
				this.loaded = "";
			}
		}

		private EngineSnapshot snapshot(long now) {
			Map<String, EngineSnapshot.LoadedModel> held = new HashMap<>();
			Set<String> onDisk = new HashSet<>();
			if (!this.loaded.isEmpty()) {
				held.put(this.loaded, new EngineSnapshot.LoadedModel(1, 0, Map.of()));
				onDisk.add(this.loaded);
			}
			long freeIn = this.loading.isEmpty() ? 0 : Math.max(1, Math.round(this.remaining));
			return new EngineSnapshot(this.name, "domain", 150, 8, held, Set.of(), onDisk, freeIn, this.loading);
		}

	}

}

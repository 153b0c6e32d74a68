package org.masticshelf.kernel.residency;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;

import com.google.common.truth.Truth;
import org.junit.jupiter.api.Test;

import org.masticshelf.kernel.admission.WaitDecision;
import org.masticshelf.kernel.serving.LoadableName;
import org.masticshelf.kernel.serving.ModelProfile;

/**
 * Replays callers of more models that only the weight store has than it can deliver,
 * while the demand moves on to other models. Refused callers repeat once, as told.
 */
class MovingDemandReplayTests {

	private static final int SEEDS = 20;

	private static final int ENGINES = 16;

	private static final int LASTING_MODELS = 12;

	private static final int MODELS_PER_SHIFT = 7;

	private static final long[] SHIFTS = { 0, 14_000, 24_000, 45_000 };

	private static final double REQUESTS_PER_SECOND = 0.12;

	private static final long OBJECTIVE_MILLISECONDS = 3_000;

	private static final long PATIENCE_MILLISECONDS = 12_000;

	private static final long DEADLINE_MILLISECONDS = 20_000;

	private static final long STORE_MILLISECONDS = 7_800;

	private static final int STORE_LOADS = 2;

	private static final long FIRST_OUTPUT_MILLISECONDS = 150;

	private static final long STEP_MILLISECONDS = 50;

	/**
	 * The reference loads what the longest waiting caller asks for, and knows nothing
	 * else. The planner also knows the refused callers, so it must come close to it: nine
	 * in ten of the callers served, and no more than a tenth more models that are asked
	 * for through the day and never served.
	 */
	@Test
	void weightStoreFetchesModelsThatCallersStillAskFor() {
		int[] planned = new int[2];
		int[] reference = new int[2];
		for (int seed = 1; seed <= SEEDS; seed++) {
			new Replay(seed, true).run(planned);
			new Replay(seed, false).run(reference);
		}
		Truth.assertWithMessage("callers served, reference %s", reference[0])
			.that(planned[0])
			.isAtLeast(reference[0] * 9 / 10);
		Truth.assertWithMessage("models never served, reference %s", reference[1])
			.that(planned[1])
			.isAtMost(reference[1] * 11 / 10);
	}

	/** One replay. Not thread-safe. */
	private static final class Replay {

		private final Random random;

		private final boolean planned;

		private final Map<String, ModelProfile> profiles = new TreeMap<>();

		private final List<Model> models = new ArrayList<>();

		private final List<Engine> engines = new ArrayList<>();

		private final List<Attempt> repeats = new ArrayList<>();

		private final List<Attempt> waiting = new ArrayList<>();

		private Map<String, Long> readyIn = Map.of();

		private int served;

		private Replay(long seed, boolean planned) {
			this.random = new Random(seed);
			this.planned = planned;
			for (int index = 0; index < LASTING_MODELS; index++) {
				this.models.add(new Model("lasting" + index, 0, SHIFTS[SHIFTS.length - 1]));
			}
			for (int index = 0; index < (SHIFTS.length - 1) * MODELS_PER_SHIFT; index++) {
				int shift = index / MODELS_PER_SHIFT;
				this.models.add(new Model("shifted" + index, SHIFTS[shift], SHIFTS[shift + 1]));
			}
			this.models.forEach((model) -> this.profiles.put(model.name,
					new ModelProfile(model.name, 70, STORE_MILLISECONDS, 1_100, 800, 0, 1)));
			for (int index = 0; index < ENGINES; index++) {
				this.engines.add(new Engine("e%02d".formatted(index)));
			}
		}

		private void run(int[] sums) {
			for (long now = 0; now < SHIFTS[SHIFTS.length - 1]; now += STEP_MILLISECONDS) {
				step(now);
			}
			sums[0] += this.served;
			sums[1] += (int) this.models.stream().filter(Model::isNeverServed).count();
		}

		private void step(long now) {
			this.engines.forEach((engine) -> engine.finishLoad(now));
			for (Model model : this.models) {
				boolean asked = this.random.nextDouble() < REQUESTS_PER_SECOND * STEP_MILLISECONDS / 1_000;
				if (asked && now >= model.from && now < model.until) {
					arrive(new Attempt(model, now, now));
				}
			}
			List<Attempt> due = this.repeats.stream().filter((attempt) -> attempt.at() <= now).toList();
			this.repeats.removeAll(due);
			due.forEach(this::arrive);
			this.waiting.removeIf((attempt) -> isEnded(attempt, now));
			List<EngineSnapshot> snapshots = this.engines.stream().map((engine) -> engine.snapshot(now)).toList();
			List<EngineSnapshot> loading = snapshots.stream().filter((engine) -> !engine.loading().isEmpty()).toList();
			long next = loading.stream().mapToLong(EngineSnapshot::freeInMilliseconds).min().orElse(0);
			if (this.planned) {
				plan(snapshots, loading.size(), next, now);
			}
			else {
				loadForLongestWaiting(loading, next, now);
			}
			this.waiting.removeIf((attempt) -> isEnded(attempt, now));
		}

		private void arrive(Attempt attempt) {
			this.waiting.add(attempt);
			attempt.model().record(attempt.at());
		}

		private boolean isEnded(Attempt attempt, long now) {
			Model model = attempt.model();
			for (Engine engine : this.engines) {
				if (engine.usedAt.containsKey(model.name)) {
					engine.usedAt.put(model.name, now);
					this.served++;
					model.served = true;
					model.refused = 0;
					return true;
				}
			}
			long left = attempt.firstAt() + DEADLINE_MILLISECONDS - now;
			long limit = Math.min(PATIENCE_MILLISECONDS, attempt.firstAt() + DEADLINE_MILLISECONDS - attempt.at());
			if (!(WaitDecision.decide(now - attempt.at(), limit, this.readyIn.getOrDefault(model.name, -1L),
					FIRST_OUTPUT_MILLISECONDS) instanceof WaitDecision.Refuse refuse)) {
				return false;
			}
			model.recordRefused(now);
			if (attempt.at() == attempt.firstAt()) {
				this.repeats
					.add(new Attempt(model, now + Math.min(refuse.retryAfterMilliseconds(), left / 3), attempt.at()));
			}
			return true;
		}

		private void plan(List<EngineSnapshot> snapshots, int loads, long next, long now) {
			List<WaitingDemand> demand = this.waiting.stream()
				.map((attempt) -> new WaitingDemand(LoadableName.ofModel(attempt.model().name), 1, now - attempt.at(),
						OBJECTIVE_MILLISECONDS - (now - attempt.at())))
				.toList();
			Map<LoadableName, UnservedDemand.Requests> refused = new HashMap<>();
			this.models.stream()
				.filter((model) -> model.refused > 0)
				.forEach((model) -> refused.put(LoadableName.ofModel(model.name), model.refusedRequests(now)));
			ResidencyPlan plan = ResidencyPlanner.plan(new ResidencyInput(snapshots, this.profiles, demand, refused,
					Map.of(), Set.of(), true, loads, STORE_LOADS, next));
			this.readyIn = plan.readyInMilliseconds();
			for (ResidencyStep step : plan.steps()) {
				if (step instanceof ResidencyStep.Load load) {
					this.engines.stream()
						.filter((engine) -> engine.name.equals(load.endpoint()))
						.forEach((engine) -> engine.load(load.loadable().model(), load.victims(), now));
				}
			}
		}

		private void loadForLongestWaiting(List<EngineSnapshot> loading, long next, long now) {
			Map<String, Long> ready = new HashMap<>();
			loading.forEach((engine) -> ready.put(engine.loading(), engine.freeInMilliseconds()));
			long begin = (loading.size() < STORE_LOADS) ? 0 : next;
			for (Attempt attempt : this.waiting) {
				String model = attempt.model().name;
				if (ready.containsKey(model)) {
					continue;
				}
				ready.put(model, begin + STORE_MILLISECONDS);
				if (begin == 0) {
					this.engines.stream()
						.filter((engine) -> engine.loading.isEmpty())
						.min(Comparator.comparingInt((engine) -> engine.usedAt.size()))
						.ifPresent((engine) -> engine.load(model, List.of(), now));
				}
				begin += STORE_MILLISECONDS / STORE_LOADS;
			}
			this.readyIn = ready;
		}

	}

	/**
	 * An attempt of a request.
	 *
	 * @param model the model that it needs
	 * @param at the arrival time in milliseconds
	 * @param firstAt the arrival time of the first attempt
	 */
	private record Attempt(Model model, long at, long firstAt) {
	}

	/** A model that callers ask for during a part of the day. */
	private static final class Model {

		private final String name;

		private final long from;

		private final long until;

		private int attempts;

		private long firstAt;

		private long lastAt;

		private boolean served;

		private int refused;

		private long refusedSince;

		private long refusedAt;

		private Model(String name, long from, long until) {
			this.name = name;
			this.from = from;
			this.until = until;
		}

		private void record(long now) {
			this.firstAt = (this.attempts++ == 0) ? now : this.firstAt;
			this.lastAt = now;
		}

		private void recordRefused(long now) {
			this.refusedSince = (this.refused++ == 0) ? now : this.refusedSince;
			this.refusedAt = now;
		}

		private UnservedDemand.Requests refusedRequests(long now) {
			return new UnservedDemand.Requests(this.refused, now - this.refusedSince, now - this.refusedAt);
		}

		private boolean isNeverServed() {
			return !this.served && this.attempts >= UnservedDemand.Requests.STARVED_REQUESTS
					&& this.lastAt - this.firstAt >= UnservedDemand.Requests.STARVED_MILLISECONDS;
		}

	}

	/** A simulated engine with room for three models. */
	private static final class Engine {

		private final String name;

		private final Map<String, Long> usedAt = new HashMap<>();

		private String loading = "";

		private long loadedAt;

		private Engine(String name) {
			this.name = name;
		}

		private void load(String model, List<String> victims, long now) {
			victims.forEach(this.usedAt::remove);
			this.loading = model;
			this.loadedAt = now + STORE_MILLISECONDS;
		}

		private void finishLoad(long now) {
			if (!this.loading.isEmpty() && now >= this.loadedAt) {
				this.usedAt.put(this.loading, now);
				this.loading = "";
			}
		}

		private EngineSnapshot snapshot(long now) {
			Map<String, EngineSnapshot.LoadedModel> held = new HashMap<>();
			this.usedAt
				.forEach((model, usedAt) -> held.put(model, new EngineSnapshot.LoadedModel(0, now - usedAt, Map.of())));
			return new EngineSnapshot(this.name, "domain", 220, 8, held, Set.of(), this.usedAt.keySet(),
					this.loading.isEmpty() ? 0 : Math.max(1, this.loadedAt - now), this.loading);
		}

	}

}

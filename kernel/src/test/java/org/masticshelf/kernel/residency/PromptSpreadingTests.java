package org.masticshelf.kernel.residency;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

import com.google.common.truth.Truth;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.masticshelf.kernel.serving.ModelProfile;

/**
 * Tests how many replicas read the prompts of a busy model.
 */
class PromptSpreadingTests {

	private static final int ENGINES = 16;

	private static final long PERIOD_MILLISECONDS = 12_000;

	private static final long DISK_MILLISECONDS = 1_500;

	private static final long STEP_MILLISECONDS = 100;

	private final Map<String, ModelProfile> profiles = new HashMap<>();

	private final Map<String, String> loading = new HashMap<>();

	private final Map<String, Long> readyAt = new HashMap<>();

	private final Map<String, List<String>> held = new TreeMap<>();

	private int loads;

	/**
	 * Fewer replicas make streams pause for longer than allowed, more take memory from
	 * rare models. Without a stated pause, the request rate alone decides.
	 * @param allowedPause the allowed pause in milliseconds
	 * @param tokens the tokens of a prompt of the busy model
	 * @param rate its requests per second
	 * @param idle how long the other models have been idle, in milliseconds
	 * @param expected its replicas
	 */
	@ParameterizedTest
	@CsvSource({ "0, 1300, 12, 60000, 2", "300, 1300, 12, 60000, 4", "400, 1300, 12, 60000, 3",
			"300, 200, 12, 60000, 2", "300, 3000, 12, 60000, 4", "300, 1300, 12, 1000, 2", "300, 1300, 1, 60000, 1" })
	void promptsAreSpreadSoThatStreamsPauseNoLongerThanAllowed(long allowedPause, int tokens, double rate, long idle,
			int expected) {
		hold();
		for (long now = 0; now < 20_000; now += STEP_MILLISECONDS) {
			step(now, allowedPause, tokens, rate, idle);
		}
		Truth.assertThat(replicas()).isEqualTo(expected);
	}

	/**
	 * Replicas that come and go with demand that swings keep engines from loading what
	 * callers wait for. The rates are smoothed as those of the daemons are.
	 */
	@ParameterizedTest
	@CsvSource({ "300, 6", "300, 11", "300, 14", "400, 14" })
	void replicasDoNotSwingWithDemand(long allowedPause, double mean) {
		hold();
		long settled = 2 * PERIOD_MILLISECONDS;
		for (long now = 0; now < settled; now += STEP_MILLISECONDS) {
			step(now, allowedPause, 1_300, swinging(mean, now), 60_000);
		}
		int before = this.loads;
		for (long now = settled; now < settled + 5 * PERIOD_MILLISECONDS; now += STEP_MILLISECONDS) {
			step(now, allowedPause, 1_300, swinging(mean, now), 60_000);
			EngineCapacity capacity = new EngineCapacity(input(now, allowedPause, 1_300, swinging(mean, now), 60_000),
					Map.of("busy", replicas()), Set.of());
			Truth.assertThat(capacity.hasSpareReplica("busy")).isFalse();
		}
		Truth.assertThat(this.loads).isEqualTo(before);
	}

	private static double swinging(double mean, long now) {
		return mean * (1 + 0.24 * Math.sin(2 * Math.PI * now / PERIOD_MILLISECONDS));
	}

	private void hold() {
		addModel("busy");
		for (int index = 0; index < ENGINES; index++) {
			String rare = "rare" + index;
			addModel(rare);
			this.held.put("e%02d".formatted(index),
					new ArrayList<>((index == 0) ? List.of("busy") : List.of(rare, rare + "b")));
			addModel(rare + "b");
		}
	}

	private void addModel(String name) {
		this.profiles.put(name, new ModelProfile(name, 60, 7_800, DISK_MILLISECONDS, 1_000, 0, 1));
	}

	private List<String> heldBy(String engine) {
		return this.held.computeIfAbsent(engine, (key) -> new ArrayList<>());
	}

	private int replicas() {
		return (int) this.held.values().stream().filter((models) -> models.contains("busy")).count();
	}

	private void step(long now, long allowedPause, int tokens, double rate, long idle) {
		this.readyAt.entrySet().removeIf((entry) -> {
			boolean ready = now >= entry.getValue();
			if (ready) {
				heldBy(entry.getKey()).add(this.loading.remove(entry.getKey()));
			}
			return ready;
		});
		for (ResidencyStep step : ResidencyPlanner.plan(input(now, allowedPause, tokens, rate, idle)).steps()) {
			if (step instanceof ResidencyStep.Load load) {
				this.loads++;
				heldBy(load.endpoint()).removeAll(load.victims());
				this.loading.put(load.endpoint(), load.loadable().model());
				this.readyAt.put(load.endpoint(), now + DISK_MILLISECONDS);
			}
		}
	}

	private ResidencyInput input(long now, long allowedPause, int tokens, double rate, long idle) {
		List<EngineSnapshot> engines = new ArrayList<>();
		this.held.forEach((name, models) -> {
			Map<String, EngineSnapshot.LoadedModel> loaded = new HashMap<>();
			models.forEach((model) -> loaded.put(model,
					new EngineSnapshot.LoadedModel(0, model.equals("busy") ? 0 : idle, Map.of())));
			engines.add(new EngineSnapshot(name, "domain" + name.hashCode() % 3, 140, 8, loaded, Set.of(),
					Set.of("busy"), this.readyAt.getOrDefault(name, now) - now, this.loading.getOrDefault(name, "")));
		});
		Map<String, Double> promptTokens = Map.of("busy", rate * tokens, "rare0", 1_300.0);
		return new ResidencyInput(engines, this.profiles, List.of(), Map.of(), Map.of("busy", rate, "rare0", 1.0),
				Set.of(), true, 0, 2, 0, new PromptReading(promptTokens, allowedPause));
	}

}

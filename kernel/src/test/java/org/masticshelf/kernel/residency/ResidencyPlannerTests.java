package org.masticshelf.kernel.residency;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import com.google.common.truth.Truth;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.masticshelf.kernel.serving.LoadableName;
import org.masticshelf.kernel.serving.ModelProfile;

/**
 * Tests {@link ResidencyPlanner}.
 */
class ResidencyPlannerTests {

	private static final double MEGABYTES = 300;

	private static final long OBJECTIVE = 4_000;

	private final Map<String, ModelProfile> models = new HashMap<>();

	private final List<EngineSnapshot> engines = new ArrayList<>();

	private final List<WaitingDemand> waiting = new ArrayList<>();

	private final Map<String, Double> rates = new HashMap<>();

	private final Map<String, String> domains = new HashMap<>();

	private int storeLoads;

	private boolean complete;

	private ResidencyPlan plan() {
		return ResidencyPlanner.plan(new ResidencyInput(this.engines, this.models, this.waiting, this.rates,
				this.complete, this.storeLoads, 4, (this.storeLoads > 0) ? 3_000 : 0));
	}

	private void model(String name, int adapters) {
		this.models.put(name, new ModelProfile(name, 100, 7_000, 1_700, 800, adapters, 1));
	}

	private static EngineSnapshot.LoadedModel idleFor(long milliseconds) {
		return new EngineSnapshot.LoadedModel(0, milliseconds, Map.of());
	}

	private static EngineSnapshot.LoadedModel busy() {
		return new EngineSnapshot.LoadedModel(1, 0, Map.of());
	}

	private void engine(String name, Map<String, EngineSnapshot.LoadedModel> loaded, Set<String> onDisk) {
		engine(name, loaded, onDisk, 0, "");
	}

	private void engine(String name, Map<String, EngineSnapshot.LoadedModel> loaded, Set<String> onDisk, long freeIn,
			String loading) {
		this.engines.add(new EngineSnapshot(name, this.domains.getOrDefault(name, "domain-" + name), MEGABYTES, 8,
				loaded, Set.of(), onDisk, freeIn, loading));
	}

	private void waitsFor(String loadable, long milliseconds) {
		this.waiting.add(new WaitingDemand(LoadableName.parse(loadable), 1, milliseconds, OBJECTIVE - milliseconds));
	}

	private static ResidencyStep.Load load(String endpoint, String model, ResidencyStep.Source source,
			String... victims) {
		long milliseconds = (source == ResidencyStep.Source.STORE) ? 7_000 : 1_700;
		return new ResidencyStep.Load(endpoint, LoadableName.ofModel(model), source, milliseconds, List.of(victims));
	}

	@Test
	void doesNothingWhileNobodyAsks() {
		model("a", 0);
		model("b", 0);
		engine("one", Map.of("a", idleFor(100_000)), Set.of("a", "b"));
		this.complete = true;
		Truth.assertThat(plan().steps()).isEmpty();
	}

	@Test
	void loadsWhereTheModelIsOnDisk() {
		model("a", 0);
		engine("one", Map.of(), Set.of());
		engine("two", Map.of(), Set.of("a"));
		waitsFor("a", 10);
		ResidencyPlan plan = plan();
		Truth.assertThat(plan.steps()).containsExactly(load("two", "a", ResidencyStep.Source.DISK));
		Truth.assertThat(plan.readyInMilliseconds()).containsExactly("a", 1_700L);
	}

	@Test
	void waitsForTheDiskOfBusyEngineRatherThanBlockAnotherWithSlowLoad() {
		model("a", 0);
		engine("one", Map.of(), Set.of());
		engine("two", Map.of(), Set.of("a"), 1_000, "b");
		waitsFor("a", 10);
		ResidencyPlan plan = plan();
		Truth.assertThat(plan.steps()).isEmpty();
		Truth.assertThat(plan.readyInMilliseconds()).containsExactly("a", 2_700L, "b", 1_000L);
	}

	@Test
	void modelThatIsBeingLoadedIsNotLoadedAgain() {
		model("a", 0);
		engine("one", Map.of(), Set.of("a"));
		engine("two", Map.of(), Set.of("a"), 900, "a");
		waitsFor("a", 10);
		ResidencyPlan plan = plan();
		Truth.assertThat(plan.steps()).isEmpty();
		Truth.assertThat(plan.readyInMilliseconds()).containsExactly("a", 900L);
	}

	@Test
	void copyThatIsBeingLoadedDoesNotDelayModelThatIsLoaded() {
		model("a", 2);
		engine("one", Map.of("a", idleFor(0)), Set.of("a"));
		engine("two", Map.of(), Set.of("a"), 6_900, "a");
		waitsFor("a/a1", 10);
		Truth.assertThat(plan().readyInMilliseconds()).containsExactly("a/a1", 50L);
	}

	@Test
	void memoryOfLoadUnderWayIsNotGivenAway() {
		model("a", 0);
		model("b", 0);
		model("c", 0);
		engine("one", Map.of("a", busy(), "b", busy()), Set.of("d"), 500, "c");
		model("d", 0);
		waitsFor("d", 10);
		Truth.assertThat(plan().steps()).isEmpty();
	}

	@ParameterizedTest
	@CsvSource({ "500, 9000, 400, b", "9000, 500, 400, a", "500, 400, 9000, c" })
	void makesRoomByUnloadingWhatIsIdleForLongest(long a, long b, long c, String victim) {
		for (String name : List.of("a", "b", "c", "d")) {
			model(name, 0);
		}
		engine("one", Map.of("a", idleFor(a), "b", idleFor(b), "c", idleFor(c)), Set.of("a", "b", "c", "d"));
		waitsFor("d", 10);
		Truth.assertThat(plan().steps()).containsExactly(load("one", "d", ResidencyStep.Source.DISK, victim));
	}

	@Test
	void neverUnloadsWhatRunsOrIsWaitedFor() {
		for (String name : List.of("a", "b", "c", "d")) {
			model(name, 1);
		}
		engine("one", Map.of("a", busy(), "b", busy(), "c", idleFor(9_000)), Set.of("d"));
		waitsFor("d", 10);
		waitsFor("c/a1", 10);
		Truth.assertThat(plan().steps().stream().filter((step) -> step.loadable().adapter() == null).toList())
			.isEmpty();
	}

	@Test
	void spareCopyGoesBeforeRareModel() {
		for (String name : List.of("hot", "rare", "other", "d")) {
			model(name, 0);
		}
		this.rates.put("hot", 1.0);
		engine("one", Map.of("hot", idleFor(200), "rare", idleFor(20_000), "other", idleFor(20_000)), Set.of("d"));
		engine("two", Map.of("hot", busy()), Set.of());
		waitsFor("d", 10);
		Truth.assertThat(plan().steps()).containsExactly(load("one", "d", ResidencyStep.Source.DISK, "hot"));
	}

	/**
	 * Load pattern: the engine of a busy model was lost. Its callers have two seconds and
	 * are refused at once while no copy is due, so that none of them waits; callers of
	 * rare models wait for long.
	 */
	@Test
	void busyModelWhoseCallersAreRefusedComesBeforeRareModelsThatAreWaitedFor() {
		for (String name : List.of("busy", "rare", "rarer")) {
			model(name, 0);
		}
		engine("one", Map.of(), Set.of("busy", "rare", "rarer"));
		this.rates.put("busy", 8.0);
		this.rates.put("rare", 0.25);
		waitsFor("rare", 9_000);
		waitsFor("rarer", 5_000);
		Truth.assertThat(plan().steps()).containsExactly(load("one", "busy", ResidencyStep.Source.DISK));
	}

	/**
	 * Load pattern: a burst for rare models, more than can be loaded in time.
	 */
	@ParameterizedTest
	@CsvSource({ "9000, 100, young", "3000, 100, young", "2000, 100, old", "9000, 5000, old" })
	void whatCanStillMeetItsObjectiveIsLoadedFirst(long oldWaited, long youngWaited, String first) {
		model("old", 0);
		model("young", 0);
		engine("one", Map.of(), Set.of("old", "young"));
		waitsFor("old", oldWaited);
		waitsFor("young", youngWaited);
		Truth.assertThat(plan().steps()).containsExactly(load("one", first, ResidencyStep.Source.DISK));
	}

	@Test
	void modelThatWasAskedForOnceIsNotLoadedForNobody() {
		model("rare", 0);
		engine("one", Map.of(), Set.of("rare"));
		this.rates.put("rare", 0.25);
		Truth.assertThat(plan().steps()).isEmpty();
	}

	@ParameterizedTest
	@CsvSource({ "8.0, two", "0.25, one" })
	void onlyCopyOfBusyModelMakesNoRoomForRareOne(double rate, String expected) {
		for (String name : List.of("asked", "b", "c", "d", "e", "f", "rare")) {
			model(name, 0);
		}
		this.rates.put("asked", rate);
		engine("one", Map.of("asked", idleFor(50_000), "b", busy(), "c", busy()), Set.of("rare"));
		engine("two", Map.of("d", idleFor(100), "e", busy(), "f", busy()), Set.of("rare"), 1_000, "");
		waitsFor("rare", 10);
		List<ResidencyStep> steps = plan().steps();
		Truth.assertThat(steps.isEmpty() ? "two" : steps.get(0).endpoint()).isEqualTo(expected);
	}

	@Test
	void busyModelGetsCopiesFromDisk() {
		model("hot", 0);
		this.rates.put("hot", 10.0);
		for (String name : List.of("one", "two", "three", "four")) {
			engine(name, name.equals("one") ? Map.of("hot", busy()) : Map.of(), Set.of("hot"));
		}
		Truth.assertThat(plan().steps()).containsExactly(load("two", "hot", ResidencyStep.Source.DISK));
	}

	/** Load pattern: a failure domain is cut off, with all copies of a busy model. */
	@Test
	void furtherCopyGoesToAnotherFailureDomain() {
		model("hot", 0);
		this.rates.put("hot", 10.0);
		this.domains.putAll(Map.of("one", "a", "two", "a", "three", "b"));
		engine("one", Map.of("hot", busy()), Set.of("hot"));
		engine("two", Map.of(), Set.of("hot"));
		engine("three", Map.of(), Set.of("hot"), 0, "");
		Truth.assertThat(plan().steps()).containsExactly(load("three", "hot", ResidencyStep.Source.DISK));
	}

	@Test
	void storeTakesNoMoreLoadsThanItServesAtFullSpeed() {
		for (int index = 0; index < 6; index++) {
			model("m" + index, 0);
			engine("e" + index, Map.of(), Set.of());
			waitsFor("m" + index, 100 - index);
		}
		this.storeLoads = 2;
		ResidencyPlan plan = plan();
		Truth.assertThat(plan.steps()).hasSize(2);
		Truth.assertThat(plan.readyInMilliseconds().get("m5")).isGreaterThan(plan.readyInMilliseconds().get("m2"));
	}

	@Test
	void slowLoadsKeepAwayFromEnginesWhoseAdaptersAreAskedFor() {
		model("hot", 8);
		model("cold", 0);
		this.rates.put("hot", 4.0);
		engine("one", Map.of("hot", idleFor(0)), Set.of());
		engine("two", Map.of(), Set.of(), 2_000, "other");
		waitsFor("cold", 10);
		Truth.assertThat(plan().steps()).isEmpty();
	}

	@Test
	void adapterGoesToTheEngineThatIsFree() {
		model("hot", 8);
		engine("one", Map.of("hot", idleFor(0)), Set.of(), 5_000, "cold");
		engine("two", Map.of("hot", idleFor(0)), Set.of());
		waitsFor("hot/a3", 10);
		Truth.assertThat(plan().steps())
			.containsExactly(new ResidencyStep.Load("two", LoadableName.parse("hot/a3"), ResidencyStep.Source.STORE, 50,
					List.of()));
	}

	@Test
	void fullEngineUnloadsTheAdapterIdleForLongest() {
		model("hot", 20);
		Map<String, Long> adapters = new HashMap<>();
		for (int index = 0; index < 8; index++) {
			adapters.put("a" + index, 1_000L + index);
		}
		engine("one", Map.of("hot", new EngineSnapshot.LoadedModel(0, 0, adapters)), Set.of());
		waitsFor("hot/a9", 10);
		Truth.assertThat(plan().steps()).containsExactly(new ResidencyStep.Unload("one", LoadableName.parse("hot/a7")));
	}

	@Test
	void fetchesModelsThatNoEngineHasOnceAllEnginesAreKnown() {
		model("a", 0);
		model("b", 3);
		engine("one", Map.of(), Set.of());
		Truth.assertThat(plan().steps()).isEmpty();
		this.complete = true;
		Truth.assertThat(plan().steps()).containsExactly(load("one", "b", ResidencyStep.Source.STORE));
	}

	/**
	 * Load pattern: the minutes before the first request, in which the busiest model may
	 * have a single copy.
	 */
	@Test
	void makesNoRoomBeforeAnybodyAsks() {
		for (String name : List.of("a", "b", "c", "absent")) {
			model(name, 0);
		}
		engine("one", Map.of("a", idleFor(90_000), "b", idleFor(90_000), "c", idleFor(90_000)), Set.of("a", "b", "c"));
		this.complete = true;
		Truth.assertThat(plan().steps()).isEmpty();
	}

	@Test
	void fetchesNothingAheadWhileAnybodyAsks() {
		model("a", 0);
		model("b", 0);
		engine("one", Map.of("b", idleFor(0)), Set.of("b"));
		this.complete = true;
		this.rates.put("b", 0.1);
		Truth.assertThat(plan().steps()).isEmpty();
	}

	@Test
	void neverPlansMoreThanFitsOneEngine() {
		for (int index = 0; index < 12; index++) {
			model("m" + index, 0);
			waitsFor("m" + index, index);
		}
		engine("one", Map.of("m20", busy(), "m21", idleFor(1), "m22", idleFor(2)), this.models.keySet());
		model("m20", 0);
		model("m21", 0);
		model("m22", 0);
		Truth.assertThat(plan().steps()).hasSize(1);
	}

}

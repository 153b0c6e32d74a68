package org.masticshelf.kernel.residency;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import com.google.common.truth.Truth;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.masticshelf.kernel.serving.LoadableName;
import org.masticshelf.kernel.serving.ModelProfile;

/**
 * Tests {@link ResidencyPlanner}.
 */
class ResidencyPlannerTests {

	private static final double ENGINE_MEGABYTES = 300;

	private static final long OBJECTIVE_MILLISECONDS = 4_000;

	private final Map<String, ModelProfile> models = new HashMap<>();

	private final List<EngineSnapshot> engines = new ArrayList<>();

	private final List<WaitingDemand> waiting = new ArrayList<>();

	private final Map<LoadableName, UnservedDemand.Requests> unserved = new HashMap<>();

	private final Map<String, Double> rates = new HashMap<>();

	private final Set<String> fetched = new HashSet<>();

	private final Map<String, String> domains = new HashMap<>();

	private int storeLoads;

	private boolean complete;

	private ResidencyPlan plan() {
		return ResidencyPlanner.plan(new ResidencyInput(this.engines, this.models, this.waiting, this.unserved,
				this.rates, this.fetched, this.complete, this.storeLoads, 4, (this.storeLoads > 0) ? 3_000 : 0));
	}

	private void addModel(String name, int adapters) {
		this.models.put(name, new ModelProfile(name, 100, 7_000, 1_700, 800, adapters, 1));
	}

	private static EngineSnapshot.LoadedModel idleFor(long milliseconds) {
		return new EngineSnapshot.LoadedModel(0, milliseconds, Map.of());
	}

	private static EngineSnapshot.LoadedModel inUse() {
		return new EngineSnapshot.LoadedModel(1, 0, Map.of());
	}

	private void addEngine(String name, Map<String, EngineSnapshot.LoadedModel> loaded, Set<String> onDisk) {
		addEngine(name, loaded, onDisk, 0, "");
	}

	private void addEngine(String name, Map<String, EngineSnapshot.LoadedModel> loaded, Set<String> onDisk, long freeIn,
			String loading) {
		this.engines.add(new EngineSnapshot(name, this.domains.getOrDefault(name, "domain-" + name), ENGINE_MEGABYTES,
				8, loaded, Set.of(), onDisk, freeIn, loading));
	}

	private void addWaitingRequest(String loadable, long milliseconds) {
		this.waiting.add(new WaitingDemand(LoadableName.parse(loadable), 1, milliseconds,
				OBJECTIVE_MILLISECONDS - milliseconds));
	}

	private static ResidencyStep.Load loadStep(String endpoint, String model, ResidencyStep.Source source,
			String... victims) {
		long milliseconds = (source == ResidencyStep.Source.STORE) ? 7_000 : 1_700;
		return new ResidencyStep.Load(endpoint, LoadableName.ofModel(model), source, milliseconds, List.of(victims));
	}

	@Test
	void plansNothingWithoutRequests() {
		addModel("a", 0);
		addModel("b", 0);
		addEngine("one", Map.of("a", idleFor(100_000)), Set.of("a", "b"));
		this.complete = true;
		Truth.assertThat(plan().steps()).isEmpty();
	}

	@Test
	void loadsModelOnEngineThatHasItOnDisk() {
		addModel("a", 0);
		addEngine("one", Map.of(), Set.of());
		addEngine("two", Map.of(), Set.of("a"));
		addWaitingRequest("a", 10);
		ResidencyPlan plan = plan();
		Truth.assertThat(plan.steps()).containsExactly(loadStep("two", "a", ResidencyStep.Source.DISK));
		Truth.assertThat(plan.readyInMilliseconds()).containsExactly("a", 1_700L);
	}

	@Test
	void waitsForBusyEngineWithModelOnDiskInsteadOfSlowLoadElsewhere() {
		addModel("a", 0);
		addEngine("one", Map.of(), Set.of());
		addEngine("two", Map.of(), Set.of("a"), 1_000, "b");
		addWaitingRequest("a", 10);
		ResidencyPlan plan = plan();
		Truth.assertThat(plan.steps()).isEmpty();
		Truth.assertThat(plan.readyInMilliseconds()).containsExactly("a", 2_700L, "b", 1_000L);
	}

	@Test
	void doesNotLoadModelThatIsBeingLoaded() {
		addModel("a", 0);
		addEngine("one", Map.of(), Set.of("a"));
		addEngine("two", Map.of(), Set.of("a"), 900, "a");
		addWaitingRequest("a", 10);
		ResidencyPlan plan = plan();
		Truth.assertThat(plan.steps()).isEmpty();
		Truth.assertThat(plan.readyInMilliseconds()).containsExactly("a", 900L);
	}

	@Test
	void replicaThatIsBeingLoadedDoesNotDelayLoadedReplica() {
		addModel("a", 2);
		addEngine("one", Map.of("a", idleFor(0)), Set.of("a"));
		addEngine("two", Map.of(), Set.of("a"), 6_900, "a");
		addWaitingRequest("a/a1", 10);
		Truth.assertThat(plan().readyInMilliseconds()).containsExactly("a/a1", 50L);
	}

	@Test
	void reservesMemoryOfLoadInProgress() {
		addModel("a", 0);
		addModel("b", 0);
		addModel("c", 0);
		addEngine("one", Map.of("a", inUse(), "b", inUse()), Set.of("d"), 500, "c");
		addModel("d", 0);
		addWaitingRequest("d", 10);
		Truth.assertThat(plan().steps()).isEmpty();
	}

	@ParameterizedTest
	@CsvSource({ "500, 9000, 400, b", "9000, 500, 400, a", "500, 400, 9000, c" })
	void evictsModelThatIsIdleLongest(long a, long b, long c, String victim) {
		for (String name : List.of("a", "b", "c", "d")) {
			addModel(name, 0);
		}
		addEngine("one", Map.of("a", idleFor(a), "b", idleFor(b), "c", idleFor(c)), Set.of("a", "b", "c", "d"));
		addWaitingRequest("d", 10);
		Truth.assertThat(plan().steps()).containsExactly(loadStep("one", "d", ResidencyStep.Source.DISK, victim));
	}

	@Test
	void neverEvictsModelWithRunningOrWaitingRequests() {
		for (String name : List.of("a", "b", "c", "d")) {
			addModel(name, 1);
		}
		addEngine("one", Map.of("a", inUse(), "b", inUse(), "c", idleFor(9_000)), Set.of("d"));
		addWaitingRequest("d", 10);
		addWaitingRequest("c/a1", 10);
		Truth.assertThat(plan().steps().stream().filter((step) -> step.loadable().adapter() == null).toList())
			.isEmpty();
	}

	@Test
	void evictsSpareReplicaBeforeRareModel() {
		for (String name : List.of("hot", "rare", "other", "d")) {
			addModel(name, 0);
		}
		this.rates.put("hot", 1.0);
		addEngine("one", Map.of("hot", idleFor(200), "rare", idleFor(20_000), "other", idleFor(20_000)), Set.of("d"));
		addEngine("two", Map.of("hot", inUse()), Set.of());
		addWaitingRequest("d", 10);
		Truth.assertThat(plan().steps()).containsExactly(loadStep("one", "d", ResidencyStep.Source.DISK, "hot"));
	}

	/**
	 * An engine with a busy model was lost. Callers of the busy model have two seconds
	 * and are refused at once while no replica is expected, so none of them waits;
	 * callers of rare models wait for a long time.
	 */
	@Test
	void loadsBusyModelWithoutWaitingRequestsBeforeRareModels() {
		for (String name : List.of("busy", "rare", "rarer")) {
			addModel(name, 0);
		}
		addEngine("one", Map.of(), Set.of("busy", "rare", "rarer"));
		this.rates.put("busy", 8.0);
		this.rates.put("rare", 0.25);
		addWaitingRequest("rare", 9_000);
		addWaitingRequest("rarer", 5_000);
		Truth.assertThat(plan().steps()).containsExactly(loadStep("one", "busy", ResidencyStep.Source.DISK));
	}

	/** More rare models are requested in a burst than can be loaded in time. */
	@ParameterizedTest
	@CsvSource({ "9000, 100, young", "3000, 100, young", "2000, 100, old", "9000, 5000, old" })
	void loadsModelThatCanStillMeetItsObjectiveFirst(long oldWaited, long youngWaited, String first) {
		addModel("old", 0);
		addModel("young", 0);
		addEngine("one", Map.of(), Set.of("old", "young"));
		addWaitingRequest("old", oldWaited);
		addWaitingRequest("young", youngWaited);
		Truth.assertThat(plan().steps()).containsExactly(loadStep("one", first, ResidencyStep.Source.DISK));
	}

	@Test
	void doesNotLoadRareModelWithoutWaitingRequests() {
		addModel("rare", 0);
		addEngine("one", Map.of(), Set.of("rare"));
		this.rates.put("rare", 0.25);
		Truth.assertThat(plan().steps()).isEmpty();
	}

	@ParameterizedTest
	@CsvSource({ "8.0, two", "0.25, one" })
	void neverEvictsOnlyReplicaOfBusyModelForRareModel(double rate, String expected) {
		for (String name : List.of("asked", "b", "c", "d", "e", "f", "rare")) {
			addModel(name, 0);
		}
		this.rates.put("asked", rate);
		addEngine("one", Map.of("asked", idleFor(50_000), "b", inUse(), "c", inUse()), Set.of("rare"));
		addEngine("two", Map.of("d", idleFor(100), "e", inUse(), "f", inUse()), Set.of("rare"), 1_000, "");
		addWaitingRequest("rare", 10);
		List<ResidencyStep> steps = plan().steps();
		Truth.assertThat(steps.isEmpty() ? "two" : steps.get(0).endpoint()).isEqualTo(expected);
	}

	@Test
	void loadsReplicasOfBusyModelFromDisk() {
		addModel("hot", 0);
		this.rates.put("hot", 10.0);
		for (String name : List.of("one", "two", "three", "four")) {
			addEngine(name, name.equals("one") ? Map.of("hot", inUse()) : Map.of(), Set.of("hot"));
		}
		Truth.assertThat(plan().steps()).containsExactly(loadStep("two", "hot", ResidencyStep.Source.DISK));
	}

	/** A failure domain is cut off together with all replicas of a busy model. */
	/**
	 * Replays the move of demand to a model with one replica, while requests for rare
	 * models would take each engine that becomes free.
	 * @param rate the requests per second for the model
	 * @param waiting the requests that wait for it
	 * @param expected the model that is loaded on the free engine
	 */
	@ParameterizedTest
	@CsvSource({ "20, 0, shifted", "8, 0, rare", "4, 3, shifted", "4, 2, rare", "1, 3, rare" })
	void loadsReplicaOfOverloadedModelBeforeRareModels(double rate, int waiting, String expected) {
		addModel("shifted", 0);
		addModel("rare", 0);
		addEngine("one", Map.of("shifted", inUse()), Set.of("shifted"), 1_000, "other");
		addEngine("two", Map.of(), Set.of("shifted", "rare"));
		addEngine("three", Map.of(), Set.of(), 9_000, "other");
		this.rates.put("shifted", rate);
		addWaitingRequest("rare", 10);
		for (int request = 0; request < waiting; request++) {
			addWaitingRequest("shifted", 100);
		}
		Truth.assertThat(plan().steps()).containsExactly(loadStep("two", expected, ResidencyStep.Source.DISK));
	}

	/** An engine that is about to be free and has a copy comes before a slow load. */
	@Test
	void reservesEngineForReplicaOfOverloadedModel() {
		addModel("shifted", 0);
		addModel("rare", 0);
		addEngine("one", Map.of("shifted", inUse()), Set.of("shifted"), 1_000, "other");
		addEngine("two", Map.of(), Set.of("shifted"), 300, "other");
		addEngine("three", Map.of(), Set.of("rare"));
		this.rates.put("shifted", 20.0);
		addWaitingRequest("rare", 10);
		Truth.assertThat(plan().steps()).containsExactly(loadStep("three", "rare", ResidencyStep.Source.DISK));
	}

	@Test
	void placesFurtherReplicaInAnotherFailureDomain() {
		addModel("hot", 0);
		this.rates.put("hot", 10.0);
		this.domains.putAll(Map.of("one", "a", "two", "a", "three", "b"));
		addEngine("one", Map.of("hot", inUse()), Set.of("hot"));
		addEngine("two", Map.of(), Set.of("hot"));
		addEngine("three", Map.of(), Set.of("hot"), 0, "");
		Truth.assertThat(plan().steps()).containsExactly(loadStep("three", "hot", ResidencyStep.Source.DISK));
	}

	@Test
	void limitsConcurrentLoadsFromStore() {
		for (int index = 0; index < 6; index++) {
			addModel("m" + index, 0);
			addEngine("e" + index, Map.of(), Set.of());
			addWaitingRequest("m" + index, 100 - index);
		}
		this.storeLoads = 2;
		ResidencyPlan plan = plan();
		Truth.assertThat(plan.steps()).hasSize(2);
		Truth.assertThat(plan.readyInMilliseconds().get("m5")).isGreaterThan(plan.readyInMilliseconds().get("m2"));
	}

	@Test
	void avoidsSlowLoadsOnEnginesWithRequestedAdapters() {
		addModel("hot", 8);
		addModel("cold", 0);
		this.rates.put("hot", 4.0);
		addEngine("one", Map.of("hot", idleFor(0)), Set.of());
		addEngine("two", Map.of(), Set.of(), 2_000, "other");
		addWaitingRequest("cold", 10);
		Truth.assertThat(plan().steps()).isEmpty();
	}

	@Test
	void loadsAdapterOnFreeEngine() {
		addModel("hot", 8);
		addEngine("one", Map.of("hot", idleFor(0)), Set.of(), 5_000, "cold");
		addEngine("two", Map.of("hot", idleFor(0)), Set.of());
		addWaitingRequest("hot/a3", 10);
		Truth.assertThat(plan().steps())
			.containsExactly(new ResidencyStep.Load("two", LoadableName.parse("hot/a3"), ResidencyStep.Source.STORE, 50,
					List.of()));
	}

	@Test
	void fullEngineUnloadsLeastRecentlyUsedAdapter() {
		addModel("hot", 20);
		Map<String, Long> adapters = new HashMap<>();
		for (int index = 0; index < 8; index++) {
			adapters.put("a" + index, 1_000L + index);
		}
		addEngine("one", Map.of("hot", new EngineSnapshot.LoadedModel(0, 0, adapters)), Set.of());
		addWaitingRequest("hot/a9", 10);
		Truth.assertThat(plan().steps()).containsExactly(new ResidencyStep.Unload("one", LoadableName.parse("hot/a7")));
	}

	@Test
	void prefetchesMissingModelsOnceAllEnginesAreKnown() {
		addModel("a", 0);
		addModel("b", 3);
		addEngine("one", Map.of(), Set.of());
		Truth.assertThat(plan().steps()).isEmpty();
		this.complete = true;
		Truth.assertThat(plan().steps()).containsExactly(loadStep("one", "b", ResidencyStep.Source.STORE));
	}

	/**
	 * Before the first request, the only replica of what will be the busiest model must
	 * not be evicted.
	 */
	@Test
	void evictsNothingForPrefetches() {
		for (String name : List.of("a", "b", "c", "absent")) {
			addModel(name, 0);
		}
		addEngine("one", Map.of("a", idleFor(90_000), "b", idleFor(90_000), "c", idleFor(90_000)),
				Set.of("a", "b", "c"));
		this.complete = true;
		Truth.assertThat(plan().steps()).isEmpty();
	}

	@ParameterizedTest
	@CsvSource({ "1, 100, 0, e1 b", "4, 8000, 0, e1 b", "1, 100, 4, none" })
	void loadsModelThatCallersWereRefusedForAndNobodyWaitsFor(int requests, long since, int loads, String expected) {
		addModel("a", 0);
		addModel("b", 0);
		addEngine("e1", Map.of("a", idleFor(5_000)), Set.of("a"));
		this.rates.put("a", 0.1);
		this.unserved.put(LoadableName.ofModel("b"), new UnservedDemand.Requests(requests, since, 0));
		this.storeLoads = loads;
		String planned = plan().steps()
			.stream()
			.map((step) -> step.endpoint() + " " + step.loadable())
			.findFirst()
			.orElse("none");
		Truth.assertThat(planned).isEqualTo(expected);
	}

	/**
	 * Replicas of busy models must not keep the weight store from models that nothing
	 * else has.
	 * @param refused whether callers were refused for such a model
	 * @param loads the loads from the weight store in progress
	 * @param expected the first load
	 */
	@ParameterizedTest
	@CsvSource({ "false, 1, busy", "true, 0, busy", "true, 1, rare" })
	void replicasTakeOneLoadFromTheStoreAtATimeWhileModelsAreMissing(boolean refused, int loads, String expected) {
		addModel("busy", 0);
		addModel("rare", 0);
		addEngine("one", Map.of("busy", inUse()), Set.of("busy"));
		addEngine("two", Map.of(), Set.of());
		addEngine("three", Map.of(), Set.of());
		this.rates.put("busy", 20.0);
		if (refused) {
			this.unserved.put(LoadableName.ofModel("rare"), new UnservedDemand.Requests(2, 1_000, 0));
		}
		this.storeLoads = loads;
		Truth.assertThat(plan().steps().getFirst().loadable()).isEqualTo(LoadableName.ofModel(expected));
	}

	@Test
	void starvedModelIsFetchedBeforeOneThatARequestBeginsToWaitFor() {
		for (String name : List.of("a", "b", "c")) {
			addModel(name, 0);
		}
		addEngine("e1", Map.of("a", idleFor(5_000)), Set.of("a"));
		addWaitingRequest("b", 10);
		this.unserved.put(LoadableName.parse("c/a1"), new UnservedDemand.Requests(2, 12_000, 0));
		this.unserved.put(LoadableName.ofModel("c"), new UnservedDemand.Requests(2, 9_000, 0));
		this.storeLoads = 3;
		Truth.assertThat(plan().steps().getFirst().loadable()).isEqualTo(LoadableName.ofModel("c"));
	}

	/**
	 * The models of the only engine that has the starved one on its disk are in use all
	 * the time.
	 */
	@Test
	@Tag("known-red")
	void starvedModelIsFetchedElsewhereIfTheEngineWithItsCopyCannotMakeRoom() {
		for (String name : List.of("a", "b", "c", "starved")) {
			addModel(name, 0);
		}
		addEngine("full", Map.of("a", inUse(), "b", inUse(), "c", inUse()), Set.of("a", "b", "c", "starved"));
		addEngine("empty", Map.of(), Set.of());
		addWaitingRequest("starved", 3_000);
		this.unserved.put(LoadableName.ofModel("starved"), new UnservedDemand.Requests(4, 20_000, 1_000));
		Truth.assertThat(plan().steps()).hasSize(1);
	}

	/**
	 * The weight store has time before the first request, but engines are full.
	 * @param copies the engines on which the first model is loaded
	 * @param fetchedBefore whether the absent model was fetched before
	 * @param expected the model that makes room for the absent one
	 */
	@ParameterizedTest
	@CsvSource({ "2, false, b", "1, false, none", "2, true, none" })
	void modelThatNoEngineHasIsFetchedBeforeTheFirstRequest(int copies, boolean fetchedBefore, String expected) {
		for (String name : List.of("a", "b", "c", (copies > 1) ? "a" : "d", "e", "f", "absent")) {
			addModel(name, 0);
		}
		addEngine("one", Map.of("a", idleFor(9_000), "b", idleFor(9_000), "c", idleFor(9_000)), Set.of("a", "b"));
		addEngine("two", Map.of((copies > 1) ? "a" : "d", idleFor(9_000), "e", idleFor(9_000), "f", idleFor(9_000)),
				Set.of());
		this.complete = true;
		if (fetchedBefore) {
			this.fetched.add("absent");
		}
		List<ResidencyStep> steps = plan().steps();
		String victim = steps.isEmpty() ? "none" : String.join(" ", ((ResidencyStep.Load) steps.getFirst()).victims());
		Truth.assertThat(victim).isEqualTo(expected);
	}

	@Test
	void prefetchesNothingWhileThereAreRequests() {
		addModel("a", 0);
		addModel("b", 0);
		addEngine("one", Map.of("b", idleFor(0)), Set.of("b"));
		this.complete = true;
		this.rates.put("b", 0.1);
		Truth.assertThat(plan().steps()).isEmpty();
	}

	@Test
	void plansOneModelOrderPerEngine() {
		for (int index = 0; index < 12; index++) {
			addModel("m" + index, 0);
			addWaitingRequest("m" + index, index);
		}
		addEngine("one", Map.of("m20", inUse(), "m21", idleFor(1), "m22", idleFor(2)), this.models.keySet());
		addModel("m20", 0);
		addModel("m21", 0);
		addModel("m22", 0);
		Truth.assertThat(plan().steps()).hasSize(1);
	}

}

package org.masticshelf.kernel.placement;

import java.util.List;
import java.util.stream.Stream;

import com.google.common.truth.Truth;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

import org.masticshelf.kernel.placement.EndpointRecord.State;
import org.masticshelf.kernel.port.Engine;

class PlacementPlannerTests {

	private static final long LONG_IDLE_MILLISECONDS = 50_000;

	private static final EndpointRecord.Entry WITH_LATE_ORDER = PlannerScenario.entry("n", State.LOADED, 60)
		.withSuccessor(new EndpointRecord.Sender("next", "127.0.0.1:2", 2));

	@ParameterizedTest(name = "{0}")
	@MethodSource
	void plansDemands(String name, PlannerScenario scenario, List<String> decisions) {
		Truth.assertThat(scenario.planDemands()).containsExactlyElementsIn(decisions).inOrder();
	}

	static Stream<Arguments> plansDemands() {
		return Stream.of(
				Arguments.of("cold model at the emptiest endpoint",
						twoEndpoints().holds("e1", "n", State.LOADED, 20, LONG_IDLE_MILLISECONDS, 0).wants("o", "m", 0),
						List.of("load m at e2 WAKE")),
				Arguments.of("one load serves two organisations", twoEndpoints().wants("o", "m", 0).wants("p", "m", 0),
						List.of("load m at e1 WAKE")),
				Arguments.of("a load in progress is waited for",
						twoEndpoints().holds("e1", "m", State.INTENDED, 60, 0, 0).wants("o", "m", 0),
						List.of("wait m LOADING")),
				Arguments.of("a load of unknown outcome is waited for",
						twoEndpoints().holds("e1", "m", State.DOUBTFUL, 60, 0, 0).wants("o", "m", 0),
						List.of("wait m LOADING")),
				Arguments.of("a loaded replica is kept while waits are short",
						twoEndpoints().holds("e1", "m", State.LOADED, 60, LONG_IDLE_MILLISECONDS, 0)
							.wants("o", "m", 999),
						List.of("keep m")),
				Arguments.of("sustained waiting scales up",
						twoEndpoints().holds("e1", "m", State.LOADED, 60, LONG_IDLE_MILLISECONDS, 4)
							.wants("o", "m", 1_000),
						List.of("load m at e2 SCALE_UP")),
				Arguments.of("a replica just loaded is given time to serve",
						twoEndpoints().holds("e1", "m", State.LOADED, 60, 999, 4).wants("o", "m", 20_000),
						List.of("keep m")),
				Arguments.of("replicas at their maximum",
						twoEndpoints().holds("e1", "single", State.LOADED, 60, LONG_IDLE_MILLISECONDS, 4)
							.wants("o", "single", 9_000),
						List.of("wait single MAXIMUM_REPLICAS")),
				Arguments.of("an unloading replica counts",
						twoEndpoints().holds("e1", "single", State.UNLOADING, 60, LONG_IDLE_MILLISECONDS, 0)
							.wants("o", "single", 0),
						List.of("wait single MAXIMUM_REPLICAS")),
				Arguments.of("an unreachable replica counts",
						twoEndpoints().holds("e1", "single", State.LOADED, 60, LONG_IDLE_MILLISECONDS, 0)
							.presence("e1", EndpointState.Presence.UNREACHABLE)
							.wants("o", "single", 0),
						List.of("wait single MAXIMUM_REPLICAS")),
				Arguments.of("adapter beside its model",
						twoEndpoints().holds("e2", "m", State.LOADED, 60, LONG_IDLE_MILLISECONDS, 0)
							.wants("o", "m:a", 0),
						List.of("load m:a at e2 WAKE")),
				Arguments.of("adapter whose model is cold", twoEndpoints().wants("o", "m:a", 0),
						List.of("load m at e1 WAKE", "wait m:a MODEL_LOADING")),
				Arguments.of("cheapest cache first",
						twoEndpoints().caches("e2", "m", Engine.CacheLevel.DISK).wants("o", "m", 0),
						List.of("load m at e2 WAKE")),
				Arguments.of("cached weights bypass the limits of the store",
						twoEndpoints().gate(4, 0, 3).caches("e2", "m", Engine.CacheLevel.MEMORY).wants("o", "m", 0),
						List.of("load m at e2 WAKE")),
				Arguments.of("at most four loads from the store at once",
						twoEndpoints().gate(4, 0, 0).wants("o", "m", 0), List.of("wait m STORE_BUSY")),
				Arguments.of("at most three starts a second", twoEndpoints().gate(0, 0, 3).wants("o", "m", 0),
						List.of("wait m STORE_BUSY")),
				Arguments.of("at most thirty adapters at once",
						twoEndpoints().gate(0, 30, 0)
							.holds("e2", "m", State.LOADED, 60, LONG_IDLE_MILLISECONDS, 0)
							.wants("o", "m:a", 0),
						List.of("wait m:a STORE_BUSY")),
				Arguments.of("leaving endpoint gets nothing",
						twoEndpoints().presence("e1", EndpointState.Presence.LEAVING).wants("o", "m", 0),
						List.of("load m at e2 WAKE")),
				Arguments.of("no endpoint",
						twoEndpoints().presence("e1", EndpointState.Presence.LEAVING)
							.presence("e2", EndpointState.Presence.UNREACHABLE)
							.wants("o", "m", 0),
						List.of("wait m NO_ENDPOINT")),
				Arguments.of("not configured", twoEndpoints().wants("o", "strange", 0),
						List.of("wait strange NOT_CONFIGURED")));
	}

	@ParameterizedTest(name = "{0}")
	@MethodSource
	void makesRoom(String name, PlannerScenario scenario, List<String> decisions) {
		Truth.assertThat(scenario.planDemands()).containsExactlyElementsIn(decisions).inOrder();
	}

	static Stream<Arguments> makesRoom() {
		List<String> evicts = List.of("unload n at e1 EVICTED", "wait m MEMORY_BEING_FREED");
		List<String> waits = List.of("wait m NO_MEMORY");
		return Stream.of(Arguments.of("idle replica is evicted",
				oneEndpoint().holds("e1", "n", State.LOADED, 60, LONG_IDLE_MILLISECONDS, 0).wants("o", "m", 0), evicts),
				Arguments.of("least recently used replica is evicted first",
						oneEndpoint().holds("e1", "x", State.LOADED, 30, 20_000, 0)
							.holds("e1", "n", State.LOADED, 60, LONG_IDLE_MILLISECONDS, 0)
							.wants("o", "m", 0),
						evicts),
				Arguments.of("busy replica stays",
						oneEndpoint().holds("e1", "n", State.LOADED, 60, LONG_IDLE_MILLISECONDS, 1).wants("o", "m", 0),
						waits),
				Arguments.of("wanted replica stays",
						oneEndpoint().holds("e1", "n", State.LOADED, 60, LONG_IDLE_MILLISECONDS, 0)
							.wants("o", "m", 900)
							.wants("p", "n", 0),
						List.of("wait m NO_MEMORY", "keep n")),
				Arguments.of("replica just loaded stays",
						oneEndpoint().holds("e1", "n", State.LOADED, 60, 9_999, 0).wants("o", "m", 0), waits),
				Arguments.of("replica that a late order may load again stays",
						oneEndpoint().holds("e1", WITH_LATE_ORDER, LONG_IDLE_MILLISECONDS, 0).wants("o", "m", 0),
						waits),
				Arguments.of("loading replica stays",
						oneEndpoint().holds("e1", "n", State.INTENDED, 60, LONG_IDLE_MILLISECONDS, 0)
							.wants("o", "m", 0),
						waits),
				Arguments.of("doubtful replica stays",
						oneEndpoint().holds("e1", "n", State.DOUBTFUL, 60, LONG_IDLE_MILLISECONDS, 0)
							.wants("o", "m", 0),
						waits),
				Arguments.of("memory that is being freed is waited for",
						oneEndpoint().holds("e1", "n", State.UNLOADING, 60, LONG_IDLE_MILLISECONDS, 0)
							.wants("o", "m", 0),
						List.of("wait m MEMORY_BEING_FREED")),
				Arguments.of("nothing is evicted twice for two that wait",
						oneEndpoint().holds("e1", "n", State.UNLOADING, 60, LONG_IDLE_MILLISECONDS, 0)
							.holds("e1", "x", State.LOADED, 30, LONG_IDLE_MILLISECONDS, 1)
							.wants("o", "m", 900)
							.wants("p", "y", 0),
						List.of("wait m MEMORY_BEING_FREED", "wait y NO_MEMORY")),
				Arguments.of("a pressing wait drains a busy replica",
						oneEndpoint().holds("e1", "n", State.LOADED, 60, LONG_IDLE_MILLISECONDS, 1)
							.wants("o", "m", 5_000),
						evicts),
				Arguments.of("adapters leave with their model",
						oneEndpoint().holds("e1", "n", State.LOADED, 60, LONG_IDLE_MILLISECONDS, 0)
							.holds("e1", "n:a", State.LOADED, 5, LONG_IDLE_MILLISECONDS, 0)
							.wants("o", "m", 0),
						List.of("unload n:a at e1 EVICTED", "unload n at e1 EVICTED", "wait m MEMORY_BEING_FREED")),
				Arguments.of("model with a busy adapter stays",
						oneEndpoint().holds("e1", "n", State.LOADED, 60, LONG_IDLE_MILLISECONDS, 0)
							.holds("e1", "n:a", State.LOADED, 5, LONG_IDLE_MILLISECONDS, 1)
							.wants("o", "m", 0),
						waits));
	}

	@ParameterizedTest(name = "{0}")
	@MethodSource
	void ordersByWaitAndTurn(String name, PlannerScenario scenario, List<String> first) {
		Truth.assertThat(scenario.planDemands().subList(0, first.size())).containsExactlyElementsIn(first).inOrder();
	}

	static Stream<Arguments> ordersByWaitAndTurn() {
		return Stream.of(
				Arguments.of("longest wait first", twoEndpoints().wants("o", "n", 10).wants("p", "m", 20),
						List.of("load m at e1 WAKE", "load n at e2 WAKE")),
				Arguments.of("each organisation's first before anyone's second",
						twoEndpoints().wants("large", "n", 30).wants("large", "x", 20).wants("small", "m", 10),
						List.of("load n at e1 WAKE", "load m at e2 WAKE")),
				Arguments.of("loads in progress count as turns",
						twoEndpoints().loadingFor("large", 2).wants("large", "n", 30).wants("small", "m", 10),
						List.of("load m at e1 WAKE", "load n at e2 WAKE")));
	}

	@ParameterizedTest(name = "{0}")
	@MethodSource
	void plansSweeps(String name, PlannerScenario scenario, List<String> decisions) {
		Truth.assertThat(scenario.planSweep()).containsExactlyElementsIn(decisions).inOrder();
	}

	static Stream<Arguments> plansSweeps() {
		return Stream.of(
				Arguments.of("idle replica is unloaded", twoEndpoints().holds("e1", "m", State.LOADED, 60, 60_000, 0),
						List.of("unload m at e1 IDLE")),
				Arguments.of("replica that is not idle for long enough stays",
						twoEndpoints().holds("e1", "m", State.LOADED, 60, 59_999, 0), List.of()),
				Arguments.of("wanted replica stays",
						twoEndpoints().holds("e1", "m", State.LOADED, 60, 70_000, 0).wants("o", "m", 0), List.of()),
				Arguments.of("model of a wanted adapter stays",
						twoEndpoints().holds("e1", "m", State.LOADED, 60, 70_000, 0).wants("o", "m:a", 0), List.of()),
				Arguments.of("model of an adapter in use stays",
						twoEndpoints().holds("e1", "m", State.LOADED, 60, 70_000, 0)
							.holds("e1", "m:a", State.LOADED, 5, 0, 1),
						List.of()),
				Arguments.of("leaving endpoint is emptied",
						twoEndpoints().holds("e1", "m", State.LOADED, 60, 10, 0)
							.presence("e1", EndpointState.Presence.LEAVING),
						List.of("unload m at e1 ENDPOINT_LEAVING")),
				Arguments.of("leaving endpoint finishes its requests",
						twoEndpoints().holds("e1", "m", State.LOADED, 60, 10, 1)
							.presence("e1", EndpointState.Presence.LEAVING),
						List.of()),
				Arguments.of("replica that no pool configures is unloaded",
						twoEndpoints().holds("e1", "strange", State.LOADED, 60, 10, 0),
						List.of("unload strange at e1 NOT_CONFIGURED")),
				Arguments.of("surplus replica is unloaded",
						twoEndpoints().holds("e1", "single", State.LOADED, 60, 10, 0)
							.holds("e2", "single", State.LOADED, 60, 10, 0),
						List.of("unload single at e1 SURPLUS")),
				Arguments.of("replica that is being unloaded is not counted as surplus",
						twoEndpoints().holds("e1", "single", State.LOADED, 60, 10, 0)
							.holds("e2", "single", State.UNLOADING, 60, 10, 0),
						List.of()),
				Arguments.of("minimum is loaded", twoEndpoints().modelWithMinimum("k", 60, 1),
						List.of("load k at e1 MINIMUM_REPLICAS")),
				Arguments.of("minimum stays",
						twoEndpoints().modelWithMinimum("k", 60, 1).holds("e1", "k", State.LOADED, 60, 90_000, 0),
						List.of()),
				Arguments.of("nothing speculative while requests wait",
						twoEndpoints().modelWithMinimum("k", 60, 1).wants("o", "m", 0), List.of()),
				Arguments.of("nothing is evicted for a speculative load",
						oneEndpoint().modelWithMinimum("k", 60, 1).holds("e1", "m", State.LOADED, 60, 59_000, 0),
						List.of()));
	}

	private static PlannerScenario twoEndpoints() {
		return oneEndpoint().endpoint("e2", 100);
	}

	private static PlannerScenario oneEndpoint() {
		return new PlannerScenario().model("m", 60, 2)
			.model("n", 60, 2)
			.model("x", 30, 2)
			.model("y", 60, 2)
			.model("single", 60, 1)
			.endpoint("e1", 100);
	}

}

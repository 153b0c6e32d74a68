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

	private static final long OLD = 50_000;

	private static final EndpointRecord.Entry MAYBE_ORDERED_LATE = PlannerScenario.entry("n", State.LOADED, 60)
		.withSuccessor(new EndpointRecord.Sender("next", "127.0.0.1:2", 2));

	@ParameterizedTest(name = "{0}")
	@MethodSource
	void wakes(String name, PlannerScenario shelf, List<String> decisions) {
		Truth.assertThat(shelf.wake()).containsExactlyElementsIn(decisions).inOrder();
	}

	static Stream<Arguments> wakes() {
		return Stream.of(Arguments.of("cold model at the emptiest endpoint",
				two().holds("e1", "n", State.LOADED, 20, OLD, 0).wants("o", "m", 0), List.of("load m at e2 WAKE")),
				Arguments.of("nothing twice for two organisations", two().wants("o", "m", 0).wants("p", "m", 0),
						List.of("load m at e1 WAKE")),
				Arguments.of("a load under way is waited for",
						two().holds("e1", "m", State.INTENDED, 60, 0, 0).wants("o", "m", 0), List.of("wait m LOADING")),
				Arguments.of("a load in doubt is waited for",
						two().holds("e1", "m", State.DOUBTFUL, 60, 0, 0).wants("o", "m", 0), List.of("wait m LOADING")),
				Arguments.of("loaded and lately waited for is kept",
						two().holds("e1", "m", State.LOADED, 60, OLD, 0).wants("o", "m", 999), List.of("keep m")),
				Arguments.of("sustained waiting scales up",
						two().holds("e1", "m", State.LOADED, 60, OLD, 4).wants("o", "m", 1_000),
						List.of("load m at e2 SCALE_UP")),
				Arguments.of("a replica just loaded is given time to serve",
						two().holds("e1", "m", State.LOADED, 60, 999, 4).wants("o", "m", 20_000), List.of("keep m")),
				Arguments.of("replicas at their maximum",
						two().holds("e1", "single", State.LOADED, 60, OLD, 4).wants("o", "single", 9_000),
						List.of("wait single MAXIMUM_REPLICAS")),
				Arguments.of("an unloading replica counts",
						two().holds("e1", "single", State.UNLOADING, 60, OLD, 0).wants("o", "single", 0),
						List.of("wait single MAXIMUM_REPLICAS")),
				Arguments.of("an unreachable replica counts",
						two().holds("e1", "single", State.LOADED, 60, OLD, 0)
							.presence("e1", EndpointState.Presence.UNREACHABLE)
							.wants("o", "single", 0),
						List.of("wait single MAXIMUM_REPLICAS")),
				Arguments.of("adapter beside its model",
						two().holds("e2", "m", State.LOADED, 60, OLD, 0).wants("o", "m:a", 0),
						List.of("load m:a at e2 WAKE")),
				Arguments.of("adapter whose model is cold", two().wants("o", "m:a", 0),
						List.of("load m at e1 WAKE", "wait m:a MODEL_LOADING")),
				Arguments.of("cheapest cache first", two().caches("e2", "m", Engine.CacheLevel.DISK).wants("o", "m", 0),
						List.of("load m at e2 WAKE")),
				Arguments.of("cached weights pass a closed gate",
						two().gate(4, 0, 3).caches("e2", "m", Engine.CacheLevel.MEMORY).wants("o", "m", 0),
						List.of("load m at e2 WAKE")),
				Arguments.of("four from the store at once", two().gate(4, 0, 0).wants("o", "m", 0),
						List.of("wait m STORE_BUSY")),
				Arguments.of("three starts a second", two().gate(0, 0, 3).wants("o", "m", 0),
						List.of("wait m STORE_BUSY")),
				Arguments.of("thirty adapters at once",
						two().gate(0, 30, 0).holds("e2", "m", State.LOADED, 60, OLD, 0).wants("o", "m:a", 0),
						List.of("wait m:a STORE_BUSY")),
				Arguments.of("leaving endpoint gets nothing",
						two().presence("e1", EndpointState.Presence.LEAVING).wants("o", "m", 0),
						List.of("load m at e2 WAKE")),
				Arguments.of("no endpoint",
						two().presence("e1", EndpointState.Presence.LEAVING)
							.presence("e2", EndpointState.Presence.UNREACHABLE)
							.wants("o", "m", 0),
						List.of("wait m NO_ENDPOINT")),
				Arguments.of("not configured", two().wants("o", "strange", 0), List.of("wait strange NOT_CONFIGURED")));
	}

	@ParameterizedTest(name = "{0}")
	@MethodSource
	void makesRoom(String name, PlannerScenario shelf, List<String> decisions) {
		Truth.assertThat(shelf.wake()).containsExactlyElementsIn(decisions).inOrder();
	}

	static Stream<Arguments> makesRoom() {
		List<String> evicts = List.of("unload n at e1 EVICTED", "wait m MEMORY_BEING_FREED");
		List<String> waits = List.of("wait m NO_MEMORY");
		return Stream.of(
				Arguments.of("idle replica is evicted",
						one().holds("e1", "n", State.LOADED, 60, OLD, 0).wants("o", "m", 0), evicts),
				Arguments.of("least recently used goes first",
						one().holds("e1", "x", State.LOADED, 30, 20_000, 0)
							.holds("e1", "n", State.LOADED, 60, OLD, 0)
							.wants("o", "m", 0),
						evicts),
				Arguments.of("busy replica stays", one().holds("e1", "n", State.LOADED, 60, OLD, 1).wants("o", "m", 0),
						waits),
				Arguments.of("wanted replica stays",
						one().holds("e1", "n", State.LOADED, 60, OLD, 0).wants("o", "m", 900).wants("p", "n", 0),
						List.of("wait m NO_MEMORY", "keep n")),
				Arguments.of("replica just loaded stays",
						one().holds("e1", "n", State.LOADED, 60, 9_999, 0).wants("o", "m", 0), waits),
				Arguments.of("replica that a late order may load again stays",
						one().holds("e1", MAYBE_ORDERED_LATE, OLD, 0).wants("o", "m", 0), waits),
				Arguments.of("loading replica stays",
						one().holds("e1", "n", State.INTENDED, 60, OLD, 0).wants("o", "m", 0), waits),
				Arguments.of("doubtful replica stays",
						one().holds("e1", "n", State.DOUBTFUL, 60, OLD, 0).wants("o", "m", 0), waits),
				Arguments.of("memory that is being freed is waited for",
						one().holds("e1", "n", State.UNLOADING, 60, OLD, 0).wants("o", "m", 0),
						List.of("wait m MEMORY_BEING_FREED")),
				Arguments.of("nothing is evicted twice for two that wait",
						one().holds("e1", "n", State.UNLOADING, 60, OLD, 0)
							.holds("e1", "x", State.LOADED, 30, OLD, 1)
							.wants("o", "m", 900)
							.wants("p", "y", 0),
						List.of("wait m MEMORY_BEING_FREED", "wait y NO_MEMORY")),
				Arguments.of("a pressing wait drains a busy replica",
						one().holds("e1", "n", State.LOADED, 60, OLD, 1).wants("o", "m", 5_000), evicts),
				Arguments.of("adapters leave with their model",
						one().holds("e1", "n", State.LOADED, 60, OLD, 0)
							.holds("e1", "n:a", State.LOADED, 5, OLD, 0)
							.wants("o", "m", 0),
						List.of("unload n:a at e1 EVICTED", "unload n at e1 EVICTED", "wait m MEMORY_BEING_FREED")),
				Arguments.of("model with a busy adapter stays",
						one().holds("e1", "n", State.LOADED, 60, OLD, 0)
							.holds("e1", "n:a", State.LOADED, 5, OLD, 1)
							.wants("o", "m", 0),
						waits));
	}

	@ParameterizedTest(name = "{0}")
	@MethodSource
	void ordersBySuffering(String name, PlannerScenario shelf, List<String> first) {
		Truth.assertThat(shelf.wake().subList(0, first.size())).containsExactlyElementsIn(first).inOrder();
	}

	static Stream<Arguments> ordersBySuffering() {
		return Stream.of(
				Arguments.of("longest wait first", two().wants("o", "n", 10).wants("p", "m", 20),
						List.of("load m at e1 WAKE", "load n at e2 WAKE")),
				Arguments.of("each organisation's first before anyone's second",
						two().wants("large", "n", 30).wants("large", "x", 20).wants("small", "m", 10),
						List.of("load n at e1 WAKE", "load m at e2 WAKE")),
				Arguments.of("loads under way count as turns",
						two().loadingFor("large", 2).wants("large", "n", 30).wants("small", "m", 10),
						List.of("load m at e1 WAKE", "load n at e2 WAKE")));
	}

	@ParameterizedTest(name = "{0}")
	@MethodSource
	void sweeps(String name, PlannerScenario shelf, List<String> decisions) {
		Truth.assertThat(shelf.sweep()).containsExactlyElementsIn(decisions).inOrder();
	}

	static Stream<Arguments> sweeps() {
		return Stream.of(
				Arguments.of("idle replica goes", two().holds("e1", "m", State.LOADED, 60, 60_000, 0),
						List.of("unload m at e1 IDLE")),
				Arguments.of("replica that is not idle for long enough stays",
						two().holds("e1", "m", State.LOADED, 60, 59_999, 0), List.of()),
				Arguments.of("wanted replica stays",
						two().holds("e1", "m", State.LOADED, 60, 70_000, 0).wants("o", "m", 0), List.of()),
				Arguments.of("model of a wanted adapter stays",
						two().holds("e1", "m", State.LOADED, 60, 70_000, 0).wants("o", "m:a", 0), List.of()),
				Arguments.of("model of an adapter in use stays",
						two().holds("e1", "m", State.LOADED, 60, 70_000, 0).holds("e1", "m:a", State.LOADED, 5, 0, 1),
						List.of()),
				Arguments.of("leaving endpoint is emptied",
						two().holds("e1", "m", State.LOADED, 60, 10, 0).presence("e1", EndpointState.Presence.LEAVING),
						List.of("unload m at e1 ENDPOINT_LEAVING")),
				Arguments.of("leaving endpoint finishes its requests",
						two().holds("e1", "m", State.LOADED, 60, 10, 1).presence("e1", EndpointState.Presence.LEAVING),
						List.of()),
				Arguments.of("what no pool has goes", two().holds("e1", "strange", State.LOADED, 60, 10, 0),
						List.of("unload strange at e1 NOT_CONFIGURED")),
				Arguments.of("one of two goes when there may be one",
						two().holds("e1", "single", State.LOADED, 60, 10, 0)
							.holds("e2", "single", State.LOADED, 60, 10, 0),
						List.of("unload single at e1 SURPLUS")),
				Arguments.of("one of two that already goes is enough",
						two().holds("e1", "single", State.LOADED, 60, 10, 0)
							.holds("e2", "single", State.UNLOADING, 60, 10, 0),
						List.of()),
				Arguments.of("minimum is loaded", two().kept("k", 60, 1), List.of("load k at e1 MINIMUM_REPLICAS")),
				Arguments.of("minimum stays", two().kept("k", 60, 1).holds("e1", "k", State.LOADED, 60, 90_000, 0),
						List.of()),
				Arguments.of("nothing speculative while requests wait", two().kept("k", 60, 1).wants("o", "m", 0),
						List.of()),
				Arguments.of("nothing is evicted for a speculative load",
						one().kept("k", 60, 1).holds("e1", "m", State.LOADED, 60, 59_000, 0), List.of()));
	}

	private static PlannerScenario two() {
		return one().endpoint("e2", 100);
	}

	private static PlannerScenario one() {
		return new PlannerScenario().model("m", 60, 2)
			.model("n", 60, 2)
			.model("x", 30, 2)
			.model("y", 60, 2)
			.model("single", 60, 1)
			.endpoint("e1", 100);
	}

}

package org.masticshelf.control.placement;

import java.util.List;

import com.google.common.truth.Truth;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import org.masticshelf.kernel.configuration.QualifiedName;
import org.masticshelf.kernel.placement.LoadableCodec;
import org.masticshelf.kernel.port.Engine;
import org.masticshelf.standins.keyvalue.KeyValueCall;

class PlacementKeeperTests {

	private static final long LONG_MILLISECONDS = 40_000;

	@Test
	void burstAtFourDaemonsLoadsOnce() {
		Fleet fleet = new Fleet(4, true, Fleet.model("m", 60, 4));
		Fleet.Daemon holder = fleet.daemon("a");
		fleet.give(holder);
		fleet.run(1_200, holder);
		for (String name : new String[] { "b", "c", "d" }) {
			fleet.daemon(name);
		}
		fleet.daemons.forEach((daemon) -> daemon.wants(holder, "m"));
		fleet.run(900, holder);
		Truth.assertThat(fleet.engines.loads).containsExactly("m", 1);
	}

	@Test
	void wakeTakesTwoWrites() {
		Fleet fleet = new Fleet(4, true, Fleet.model("m", 60, 4));
		Fleet.Daemon holder = fleet.daemon("a");
		wake(fleet, holder, "m");
		Truth.assertThat(holder.keeper.keyValueWrites()).isEqualTo(2);
	}

	@Test
	void slowWriteDoesNotLoadAtSecondEndpoint() {
		Fleet fleet = new Fleet(2, true, Fleet.model("m", 60, 2));
		Fleet.Daemon holder = fleet.daemon("a");
		fleet.give(holder);
		fleet.run(1_200, holder);
		holder.client.faults().holdRequests();
		holder.wants(holder, "m");
		fleet.run(1_000, holder);
		holder.client.faults().release();
		fleet.run(1_000, holder);
		Truth.assertThat(fleet.engines.loads).containsExactly("m", 1);
	}

	@ParameterizedTest
	@CsvSource({ "false,false", "false,true", "true,false", "true,true" })
	void successorCompletesIntentOfDeadHolder(boolean checksFencing, boolean orderSent) {
		Fleet fleet = new Fleet(2, checksFencing, Fleet.model("m", 60, 1));
		Fleet.Daemon first = fleet.daemon("a");
		Fleet.Daemon second = fleet.daemon("b");
		fleet.give(first);
		fleet.run(1_200, first);
		first.port.losesOrders = !orderSent;
		first.wants(first, "m");
		fleet.run(100, first);
		fleet.give(second);
		fleet.run(3_000, second);
		Truth.assertThat(fleet.engines.loads).containsExactly("m", 1);
		Truth.assertThat(fleet.engines.violations).isEmpty();
	}

	@ParameterizedTest
	@CsvSource({ "true,n", "false,m" })
	void lateOrderOfPausedHolderExceedsNothing(boolean checksFencing, String held) {
		Fleet fleet = new Fleet(1, checksFencing, Fleet.model("m", 60, 1), Fleet.model("n", 60, 1));
		Fleet.Daemon paused = fleet.daemon("a");
		Fleet.Daemon second = fleet.daemon("b");
		fleet.give(paused);
		fleet.run(1_200, paused);
		paused.port.holdsOrders = true;
		paused.wants(paused, "m");
		fleet.run(100, paused);
		paused.answers = false;
		fleet.move(second);
		fleet.run(2_000, second);
		runWanting(fleet, second, LONG_MILLISECONDS, "n");
		paused.port.release();
		runWanting(fleet, second, 2_000, "n");
		Truth.assertThat(fleet.engines.violations).isEmpty();
		Truth.assertThat(fleet.engines.held("e1")).containsExactly(held);
	}

	@Test
	void memoryIsFreedOnceThePausedHolderHasConfirmed() {
		Fleet fleet = new Fleet(1, false, Fleet.model("m", 60, 1), Fleet.model("n", 60, 1));
		Fleet.Daemon paused = fleet.daemon("a");
		Fleet.Daemon second = fleet.daemon("b");
		fleet.give(paused);
		fleet.run(1_200, paused);
		paused.port.holdsOrders = true;
		paused.wants(paused, "m");
		fleet.run(100, paused);
		fleet.give(second);
		fleet.run(2_000, second);
		paused.port.release();
		runWanting(fleet, second, LONG_MILLISECONDS, "n");
		Truth.assertThat(fleet.engines.held("e1")).containsExactly("n");
	}

	@Test
	void formerHolderCannotWriteIntents() {
		Fleet fleet = new Fleet(2, false, Fleet.model("m", 60, 1));
		Fleet.Daemon first = fleet.daemon("a");
		Fleet.Daemon second = fleet.daemon("b");
		fleet.give(first);
		fleet.run(1_200, first);
		fleet.move(second);
		first.wants(first, "m");
		fleet.run(1_000, first);
		Truth.assertThat(fleet.engines.loads).isEmpty();
	}

	@Test
	void orderIsNotSentWhenTheTenureEndsJustBefore() {
		Fleet fleet = new Fleet(1, false, Fleet.model("m", 60, 1));
		Fleet.Daemon holder = fleet.daemon("a");
		fleet.give(holder);
		fleet.run(1_200, holder);
		holder.client.faults().holdAnswers();
		holder.wants(holder, "m");
		fleet.run(50, holder);
		holder.client.faults().release();
		holder.duty.checksLeft = 1;
		fleet.run(50, holder);
		Truth.assertThat(holder.port.orders("LOAD", "m")).isEqualTo(0);
	}

	@ParameterizedTest
	@ValueSource(booleans = { true, false })
	void twoHoldersRacingExceedNothing(boolean checksFencing) {
		Fleet fleet = new Fleet(1, checksFencing, Fleet.model("m", 60, 1), Fleet.model("n", 60, 1));
		Fleet.Daemon first = fleet.daemon("a");
		Fleet.Daemon second = fleet.daemon("b");
		fleet.give(first);
		fleet.run(1_200, first);
		fleet.move(second);
		for (int round = 0; round < 100; round++) {
			first.wants(first, "m");
			second.wants(second, "n");
			fleet.run(50, first, second);
		}
		Truth.assertThat(fleet.engines.violations).isEmpty();
		Truth.assertThat(fleet.engines.held("e1")).containsExactly("n");
	}

	@ParameterizedTest
	@ValueSource(ints = { 1, 2, 3 })
	void lostWriteAnswersLoadOnce(int lost) {
		Fleet fleet = new Fleet(2, true, Fleet.model("m", 60, 2));
		Fleet.Daemon holder = fleet.daemon("a");
		fleet.give(holder);
		fleet.run(1_200, holder);
		holder.client.faults().loseNextAnswers(KeyValueCall.TRANSACT, lost);
		holder.wants(holder, "m");
		fleet.run(1_900, holder);
		Truth.assertThat(fleet.engines.loads).containsExactly("m", 1);
	}

	@ParameterizedTest
	@CsvSource({ "1", "2" })
	void writeThatTakesEffectLateChangesNothing(int late) {
		Fleet fleet = new Fleet(2, true, Fleet.model("m", 60, 2));
		Fleet.Daemon holder = fleet.daemon("a");
		fleet.give(holder);
		fleet.run(1_200, holder);
		holder.lateWrites.writesToDelay = late;
		runWanting(fleet, holder, 3_500, "m");
		String before = String.valueOf(fleet.keyValue.get("masticshelf/endpoint/e1").join().value());
		holder.lateWrites.release();
		String after = String.valueOf(fleet.keyValue.get("masticshelf/endpoint/e1").join().value());
		Truth.assertThat(before).contains("LOADED");
		Truth.assertThat(after).isEqualTo(before);
	}

	@Test
	void lostOrderAnswerLoadsOnce() {
		Fleet fleet = new Fleet(2, true, Fleet.model("m", 60, 2));
		Fleet.Daemon holder = fleet.daemon("a");
		fleet.give(holder);
		fleet.run(1_200, holder);
		holder.port.answersToLose = 2;
		holder.wants(holder, "m");
		fleet.run(1_900, holder);
		Truth.assertThat(fleet.engines.loads).containsExactly("m", 1);
	}

	@Test
	void delayedOrderExceedsNothing() {
		Fleet fleet = new Fleet(1, true, Fleet.model("m", 60, 1), Fleet.model("n", 60, 1));
		Fleet.Daemon holder = fleet.daemon("a");
		fleet.give(holder);
		fleet.run(1_200, holder);
		holder.port.ordersToDelay = 1;
		holder.wants(holder, "m");
		fleet.run(3_000, holder);
		runWanting(fleet, holder, LONG_MILLISECONDS, "n");
		Truth.assertThat(fleet.engines.violations).isEmpty();
		Truth.assertThat(fleet.engines.held("e1")).containsExactly("n");
	}

	@Test
	void nothingNewLoadsWhileTheKeyValueServiceIsDown() {
		Fleet fleet = new Fleet(2, true, Fleet.model("m", 60, 1));
		Fleet.Daemon holder = fleet.daemon("a");
		fleet.give(holder);
		fleet.run(1_200, holder);
		fleet.keyValue.faults().setDown(true);
		runWanting(fleet, holder, 5_000, "m");
		Truth.assertThat(fleet.engines.loads).isEmpty();
		fleet.keyValue.faults().setDown(false);
		runWanting(fleet, holder, 2_000, "m");
		Truth.assertThat(fleet.engines.loads).containsExactly("m", 1);
	}

	@Test
	void endpointThatDiesMidLoadIsReplaced() {
		Fleet fleet = new Fleet(2, true, Fleet.model("m", 60, 1));
		Fleet.Daemon holder = fleet.daemon("a");
		fleet.give(holder);
		fleet.run(1_200, holder);
		holder.wants(holder, "m");
		fleet.run(500, holder);
		fleet.engines.down.add("e1");
		fleet.engines.restart("e1");
		runWanting(fleet, holder, 3_000, "m");
		Truth.assertThat(fleet.engines.loads).containsExactly("m", 1);
		fleet.presences.put("e1", EndpointPresence.Presence.GONE);
		runWanting(fleet, holder, 3_000, "m");
		Truth.assertThat(fleet.engines.held("e2")).containsExactly("m");
	}

	@Test
	void unlistedEndpointThatAnswersStillCounts() {
		Fleet fleet = new Fleet(2, true, Fleet.model("m", 60, 1));
		Fleet.Daemon holder = fleet.daemon("a");
		wake(fleet, holder, "m");
		fleet.presences.put("e1", EndpointPresence.Presence.GONE);
		runWanting(fleet, holder, 6_000, "m");
		Truth.assertThat(fleet.engines.violations).isEmpty();
		Truth.assertThat(fleet.engines.held("e2")).containsExactly("m");
	}

	@Test
	void endpointThatRestartedMidLoadLoadsAgain() {
		Fleet fleet = new Fleet(1, true, Fleet.model("m", 60, 1));
		Fleet.Daemon holder = fleet.daemon("a");
		wake(fleet, holder, "m");
		fleet.engines.restart("e1");
		runWanting(fleet, holder, 4_000, "m");
		Truth.assertThat(fleet.engines.loads).containsExactly("m", 2);
	}

	@Test
	void stalledStoreHoldsBackFurtherLoads() {
		Fleet fleet = new Fleet(8, true, Fleet.model("m", 60, 1), Fleet.model("n", 60, 1), Fleet.model("o", 60, 1),
				Fleet.model("p", 60, 1), Fleet.model("q", 60, 1), Fleet.model("r", 60, 1));
		Fleet.Daemon holder = fleet.daemon("a");
		fleet.engines.loadMilliseconds = 1_000_000;
		fleet.give(holder);
		runWanting(fleet, holder, 20_000, "m", "n", "o", "p", "q", "r");
		Truth.assertThat(fleet.engines.loads).hasSize(4);
	}

	@Test
	void unrecordedModelIsRecordedAndLaterUnloaded() {
		Fleet fleet = new Fleet(1, true, Fleet.model("m", 60, 1), Fleet.model("n", 60, 1));
		Fleet.Daemon holder = fleet.daemon("a");
		fleet.give(holder);
		holder.port.sendOrder(holder.current().tables().pools().get(0).endpoints().get(0),
				new Engine.Order(Engine.Action.LOAD, "n", 60, 0));
		runWanting(fleet, holder, 5_000, "m");
		Truth.assertThat(fleet.engines.violations).isEmpty();
		runWanting(fleet, holder, LONG_MILLISECONDS, "m");
		Truth.assertThat(fleet.engines.held("e1")).containsExactly("m");
	}

	@Test
	void leavingEndpointIsEmptiedAndGetsNothing() {
		Fleet fleet = new Fleet(2, true, Fleet.model("m", 60, 1));
		Fleet.Daemon holder = fleet.daemon("a");
		wake(fleet, holder, "m");
		fleet.presences.put("e1", EndpointPresence.Presence.LEAVING);
		runWanting(fleet, holder, 6_000, "m");
		Truth.assertThat(fleet.engines.held("e1")).isEmpty();
		Truth.assertThat(fleet.engines.held("e2")).containsExactly("m");
	}

	@Test
	void busyReplicaIsUnloadedOnlyWhenItsRequestsHaveEnded() {
		Fleet fleet = new Fleet(1, true, Fleet.model("m", 60, 1), Fleet.model("n", 60, 1));
		Fleet.Daemon holder = fleet.daemon("a");
		wake(fleet, holder, "m");
		runPressing(fleet, holder, 15_000, 1);
		Truth.assertThat(holder.port.orders("UNLOAD", "m")).isEqualTo(0);
		runPressing(fleet, holder, 5_000, 0);
		Truth.assertThat(fleet.engines.held("e1")).containsExactly("n");
	}

	@Test
	void idleModelIsUnloadedOnce() {
		Fleet fleet = new Fleet(1, true, Fleet.model("m", 60, 1));
		Fleet.Daemon holder = fleet.daemon("a");
		wake(fleet, holder, "m");
		fleet.run(LONG_MILLISECONDS, holder);
		Truth.assertThat(fleet.engines.held("e1")).isEmpty();
		Truth.assertThat(holder.port.orders("UNLOAD", "m")).isEqualTo(1);
	}

	private static void wake(Fleet fleet, Fleet.Daemon holder, String name) {
		fleet.give(holder);
		fleet.run(1_200, holder);
		holder.wants(holder, name);
		fleet.run(1_900, holder);
	}

	private static void runPressing(Fleet fleet, Fleet.Daemon holder, long milliseconds, int inFlight) {
		DemandReport.Waiting waiting = new DemandReport.Waiting(LoadableCodec.ofEngineName(Fleet.POOL, "n"),
				QualifiedName.of("sofia/small"), 1, 6_000);
		DemandReport.Used used = new DemandReport.Used("e1", LoadableCodec.ofEngineName(Fleet.POOL, "m"), inFlight, 0);
		for (long passed = 0; passed < milliseconds; passed += 500) {
			holder.keeper.demand(new DemandReport("a", "store", List.of(waiting), List.of(used)).toJson());
			fleet.run(500, holder);
		}
	}

	private static void runWanting(Fleet fleet, Fleet.Daemon holder, long milliseconds, String... names) {
		for (long passed = 0; passed < milliseconds; passed += 500) {
			holder.wants(holder, names);
			fleet.run(500, holder);
		}
	}

}

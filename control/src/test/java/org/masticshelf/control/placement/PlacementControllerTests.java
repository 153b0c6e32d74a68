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

class PlacementControllerTests {

	private static final long LONG_RUN_MILLISECONDS = 40_000;

	@Test
	void burstAtFourDaemonsLoadsModelOnce() {
		PlacementFleet fleet = new PlacementFleet(4, true, PlacementFleet.model("m", 60, 4));
		PlacementFleet.Daemon holder = fleet.daemon("a");
		fleet.giveDuty(holder);
		fleet.run(1_200, holder);
		for (String name : new String[] { "b", "c", "d" }) {
			fleet.daemon(name);
		}
		fleet.daemons.forEach((daemon) -> daemon.reportWaiting(holder, "m"));
		fleet.run(900, holder);
		Truth.assertThat(fleet.engines.loadCounts).containsExactly("m", 1);
	}

	@Test
	void loadTakesTwoWrites() {
		PlacementFleet fleet = new PlacementFleet(4, true, PlacementFleet.model("m", 60, 4));
		PlacementFleet.Daemon holder = fleet.daemon("a");
		runUntilLoaded(fleet, holder, "m");
		Truth.assertThat(holder.controller.keyValueWrites()).isEqualTo(2);
	}

	@Test
	void slowWriteDoesNotCauseLoadAtSecondEndpoint() {
		PlacementFleet fleet = new PlacementFleet(2, true, PlacementFleet.model("m", 60, 2));
		PlacementFleet.Daemon holder = fleet.daemon("a");
		fleet.giveDuty(holder);
		fleet.run(1_200, holder);
		holder.client.faults().holdRequests();
		holder.reportWaiting(holder, "m");
		fleet.run(1_000, holder);
		holder.client.faults().release();
		fleet.run(1_000, holder);
		Truth.assertThat(fleet.engines.loadCounts).containsExactly("m", 1);
	}

	@ParameterizedTest
	@CsvSource({ "false,false", "false,true", "true,false", "true,true" })
	void successorCompletesIntentOfDeadHolder(boolean checksFencing, boolean orderSent) {
		PlacementFleet fleet = new PlacementFleet(2, checksFencing, PlacementFleet.model("m", 60, 1));
		PlacementFleet.Daemon first = fleet.daemon("a");
		PlacementFleet.Daemon second = fleet.daemon("b");
		fleet.giveDuty(first);
		fleet.run(1_200, first);
		first.port.losesOrders = !orderSent;
		first.reportWaiting(first, "m");
		fleet.run(100, first);
		fleet.giveDuty(second);
		fleet.run(3_000, second);
		Truth.assertThat(fleet.engines.loadCounts).containsExactly("m", 1);
		Truth.assertThat(fleet.engines.violations).isEmpty();
	}

	@ParameterizedTest
	@CsvSource({ "true,n", "false,m" })
	void lateOrderOfPausedHolderViolatesNoLimit(boolean checksFencing, String expected) {
		PlacementFleet fleet = new PlacementFleet(1, checksFencing, PlacementFleet.model("m", 60, 1),
				PlacementFleet.model("n", 60, 1));
		PlacementFleet.Daemon paused = fleet.daemon("a");
		PlacementFleet.Daemon second = fleet.daemon("b");
		fleet.giveDuty(paused);
		fleet.run(1_200, paused);
		paused.port.holdsOrders = true;
		paused.reportWaiting(paused, "m");
		fleet.run(100, paused);
		paused.answersPeers = false;
		fleet.moveDutyUnnoticed(second);
		fleet.run(2_000, second);
		runWithDemand(fleet, second, LONG_RUN_MILLISECONDS, "n");
		paused.port.release();
		runWithDemand(fleet, second, 2_000, "n");
		Truth.assertThat(fleet.engines.violations).isEmpty();
		Truth.assertThat(fleet.engines.namesAt("e1")).containsExactly(expected);
	}

	@Test
	void memoryIsFreedOnceThePausedHolderHasNoOutstandingOrder() {
		PlacementFleet fleet = new PlacementFleet(1, false, PlacementFleet.model("m", 60, 1),
				PlacementFleet.model("n", 60, 1));
		PlacementFleet.Daemon paused = fleet.daemon("a");
		PlacementFleet.Daemon second = fleet.daemon("b");
		fleet.giveDuty(paused);
		fleet.run(1_200, paused);
		paused.port.holdsOrders = true;
		paused.reportWaiting(paused, "m");
		fleet.run(100, paused);
		fleet.giveDuty(second);
		fleet.run(2_000, second);
		paused.port.release();
		runWithDemand(fleet, second, LONG_RUN_MILLISECONDS, "n");
		Truth.assertThat(fleet.engines.namesAt("e1")).containsExactly("n");
	}

	@Test
	void formerHolderCannotWriteIntents() {
		PlacementFleet fleet = new PlacementFleet(2, false, PlacementFleet.model("m", 60, 1));
		PlacementFleet.Daemon first = fleet.daemon("a");
		PlacementFleet.Daemon second = fleet.daemon("b");
		fleet.giveDuty(first);
		fleet.run(1_200, first);
		fleet.moveDutyUnnoticed(second);
		first.reportWaiting(first, "m");
		fleet.run(1_000, first);
		Truth.assertThat(fleet.engines.loadCounts).isEmpty();
	}

	@Test
	void orderIsNotSentWhenTheTenureEndsJustBefore() {
		PlacementFleet fleet = new PlacementFleet(1, false, PlacementFleet.model("m", 60, 1));
		PlacementFleet.Daemon holder = fleet.daemon("a");
		fleet.giveDuty(holder);
		fleet.run(1_200, holder);
		holder.client.faults().holdAnswers();
		holder.reportWaiting(holder, "m");
		fleet.run(50, holder);
		holder.client.faults().release();
		holder.duty.tenureChecksLeft = 1;
		fleet.run(50, holder);
		Truth.assertThat(holder.port.orderCount("LOAD", "m")).isEqualTo(0);
	}

	@ParameterizedTest
	@ValueSource(booleans = { true, false })
	void twoRacingHoldersViolateNoLimit(boolean checksFencing) {
		PlacementFleet fleet = new PlacementFleet(1, checksFencing, PlacementFleet.model("m", 60, 1),
				PlacementFleet.model("n", 60, 1));
		PlacementFleet.Daemon first = fleet.daemon("a");
		PlacementFleet.Daemon second = fleet.daemon("b");
		fleet.giveDuty(first);
		fleet.run(1_200, first);
		fleet.moveDutyUnnoticed(second);
		for (int round = 0; round < 100; round++) {
			first.reportWaiting(first, "m");
			second.reportWaiting(second, "n");
			fleet.run(50, first, second);
		}
		Truth.assertThat(fleet.engines.violations).isEmpty();
		Truth.assertThat(fleet.engines.namesAt("e1")).containsExactly("n");
	}

	@ParameterizedTest
	@ValueSource(ints = { 1, 2, 3 })
	void modelLoadsOnceWhenWriteAnswersAreLost(int lostAnswers) {
		PlacementFleet fleet = new PlacementFleet(2, true, PlacementFleet.model("m", 60, 2));
		PlacementFleet.Daemon holder = fleet.daemon("a");
		fleet.giveDuty(holder);
		fleet.run(1_200, holder);
		holder.client.faults().loseNextAnswers(KeyValueCall.TRANSACT, lostAnswers);
		holder.reportWaiting(holder, "m");
		fleet.run(1_900, holder);
		Truth.assertThat(fleet.engines.loadCounts).containsExactly("m", 1);
	}

	@ParameterizedTest
	@CsvSource({ "1", "2" })
	void delayedWriteChangesNothing(int delayedCount) {
		PlacementFleet fleet = new PlacementFleet(2, true, PlacementFleet.model("m", 60, 2));
		PlacementFleet.Daemon holder = fleet.daemon("a");
		fleet.giveDuty(holder);
		fleet.run(1_200, holder);
		holder.delayedWrites.writesToDelay = delayedCount;
		runWithDemand(fleet, holder, 3_500, "m");
		String before = String.valueOf(fleet.keyValue.get("masticshelf/endpoint/e1").join().value());
		holder.delayedWrites.release();
		String after = String.valueOf(fleet.keyValue.get("masticshelf/endpoint/e1").join().value());
		Truth.assertThat(before).contains("LOADED");
		Truth.assertThat(after).isEqualTo(before);
	}

	@Test
	void modelLoadsOnceWhenOrderAnswersAreLost() {
		PlacementFleet fleet = new PlacementFleet(2, true, PlacementFleet.model("m", 60, 2));
		PlacementFleet.Daemon holder = fleet.daemon("a");
		fleet.giveDuty(holder);
		fleet.run(1_200, holder);
		holder.port.answersToLose = 2;
		holder.reportWaiting(holder, "m");
		fleet.run(1_900, holder);
		Truth.assertThat(fleet.engines.loadCounts).containsExactly("m", 1);
	}

	@Test
	void delayedOrderViolatesNoLimit() {
		PlacementFleet fleet = new PlacementFleet(1, true, PlacementFleet.model("m", 60, 1),
				PlacementFleet.model("n", 60, 1));
		PlacementFleet.Daemon holder = fleet.daemon("a");
		fleet.giveDuty(holder);
		fleet.run(1_200, holder);
		holder.port.ordersToDelay = 1;
		holder.reportWaiting(holder, "m");
		fleet.run(3_000, holder);
		runWithDemand(fleet, holder, LONG_RUN_MILLISECONDS, "n");
		Truth.assertThat(fleet.engines.violations).isEmpty();
		Truth.assertThat(fleet.engines.namesAt("e1")).containsExactly("n");
	}

	@Test
	void nothingLoadsWhileTheKeyValueServiceIsDown() {
		PlacementFleet fleet = new PlacementFleet(2, true, PlacementFleet.model("m", 60, 1));
		PlacementFleet.Daemon holder = fleet.daemon("a");
		fleet.giveDuty(holder);
		fleet.run(1_200, holder);
		fleet.keyValue.faults().setDown(true);
		runWithDemand(fleet, holder, 5_000, "m");
		Truth.assertThat(fleet.engines.loadCounts).isEmpty();
		fleet.keyValue.faults().setDown(false);
		runWithDemand(fleet, holder, 2_000, "m");
		Truth.assertThat(fleet.engines.loadCounts).containsExactly("m", 1);
	}

	@Test
	void endpointThatDiesMidLoadIsReplaced() {
		PlacementFleet fleet = new PlacementFleet(2, true, PlacementFleet.model("m", 60, 1));
		PlacementFleet.Daemon holder = fleet.daemon("a");
		fleet.giveDuty(holder);
		fleet.run(1_200, holder);
		holder.reportWaiting(holder, "m");
		fleet.run(500, holder);
		fleet.engines.down.add("e1");
		fleet.engines.restart("e1");
		runWithDemand(fleet, holder, 3_000, "m");
		Truth.assertThat(fleet.engines.loadCounts).containsExactly("m", 1);
		fleet.presences.put("e1", EndpointPresence.Presence.GONE);
		runWithDemand(fleet, holder, 3_000, "m");
		Truth.assertThat(fleet.engines.namesAt("e2")).containsExactly("m");
	}

	@Test
	void unlistedEndpointThatAnswersCountsAsReplica() {
		PlacementFleet fleet = new PlacementFleet(2, true, PlacementFleet.model("m", 60, 1));
		PlacementFleet.Daemon holder = fleet.daemon("a");
		runUntilLoaded(fleet, holder, "m");
		fleet.presences.put("e1", EndpointPresence.Presence.GONE);
		runWithDemand(fleet, holder, 6_000, "m");
		Truth.assertThat(fleet.engines.violations).isEmpty();
		Truth.assertThat(fleet.engines.namesAt("e2")).containsExactly("m");
	}

	@Test
	void endpointThatRestartedMidLoadLoadsAgain() {
		PlacementFleet fleet = new PlacementFleet(1, true, PlacementFleet.model("m", 60, 1));
		PlacementFleet.Daemon holder = fleet.daemon("a");
		runUntilLoaded(fleet, holder, "m");
		fleet.engines.restart("e1");
		runWithDemand(fleet, holder, 4_000, "m");
		Truth.assertThat(fleet.engines.loadCounts).containsExactly("m", 2);
	}

	@Test
	void stalledStoreStopsFurtherLoads() {
		PlacementFleet fleet = new PlacementFleet(8, true, PlacementFleet.model("m", 60, 1),
				PlacementFleet.model("n", 60, 1), PlacementFleet.model("o", 60, 1), PlacementFleet.model("p", 60, 1),
				PlacementFleet.model("q", 60, 1), PlacementFleet.model("r", 60, 1));
		PlacementFleet.Daemon holder = fleet.daemon("a");
		fleet.engines.loadMilliseconds = 1_000_000;
		fleet.giveDuty(holder);
		runWithDemand(fleet, holder, 20_000, "m", "n", "o", "p", "q", "r");
		Truth.assertThat(fleet.engines.loadCounts).hasSize(4);
	}

	@Test
	void unrecordedModelIsRecordedAndLaterUnloaded() {
		PlacementFleet fleet = new PlacementFleet(1, true, PlacementFleet.model("m", 60, 1),
				PlacementFleet.model("n", 60, 1));
		PlacementFleet.Daemon holder = fleet.daemon("a");
		fleet.giveDuty(holder);
		holder.port.sendOrder(holder.current().tables().pools().get(0).endpoints().get(0),
				new Engine.Order(Engine.Action.LOAD, "n", 60, 0));
		runWithDemand(fleet, holder, 5_000, "m");
		Truth.assertThat(fleet.engines.violations).isEmpty();
		runWithDemand(fleet, holder, LONG_RUN_MILLISECONDS, "m");
		Truth.assertThat(fleet.engines.namesAt("e1")).containsExactly("m");
	}

	@Test
	void leavingEndpointIsUnloadedAndGetsNoLoads() {
		PlacementFleet fleet = new PlacementFleet(2, true, PlacementFleet.model("m", 60, 1));
		PlacementFleet.Daemon holder = fleet.daemon("a");
		runUntilLoaded(fleet, holder, "m");
		fleet.presences.put("e1", EndpointPresence.Presence.LEAVING);
		runWithDemand(fleet, holder, 6_000, "m");
		Truth.assertThat(fleet.engines.namesAt("e1")).isEmpty();
		Truth.assertThat(fleet.engines.namesAt("e2")).containsExactly("m");
	}

	@Test
	void busyReplicaIsUnloadedOnlyWhenItsRequestsHaveEnded() {
		PlacementFleet fleet = new PlacementFleet(1, true, PlacementFleet.model("m", 60, 1),
				PlacementFleet.model("n", 60, 1));
		PlacementFleet.Daemon holder = fleet.daemon("a");
		runUntilLoaded(fleet, holder, "m");
		runWithWaitingRequests(fleet, holder, 15_000, 1);
		Truth.assertThat(holder.port.orderCount("UNLOAD", "m")).isEqualTo(0);
		runWithWaitingRequests(fleet, holder, 5_000, 0);
		Truth.assertThat(fleet.engines.namesAt("e1")).containsExactly("n");
	}

	@Test
	void idleModelIsUnloadedOnce() {
		PlacementFleet fleet = new PlacementFleet(1, true, PlacementFleet.model("m", 60, 1));
		PlacementFleet.Daemon holder = fleet.daemon("a");
		runUntilLoaded(fleet, holder, "m");
		fleet.run(LONG_RUN_MILLISECONDS, holder);
		Truth.assertThat(fleet.engines.namesAt("e1")).isEmpty();
		Truth.assertThat(holder.port.orderCount("UNLOAD", "m")).isEqualTo(1);
	}

	private static void runUntilLoaded(PlacementFleet fleet, PlacementFleet.Daemon holder, String name) {
		fleet.giveDuty(holder);
		fleet.run(1_200, holder);
		holder.reportWaiting(holder, name);
		fleet.run(1_900, holder);
	}

	private static void runWithWaitingRequests(PlacementFleet fleet, PlacementFleet.Daemon holder, long milliseconds,
			int inFlight) {
		DemandReport.WaitingRequests waiting = new DemandReport.WaitingRequests(
				LoadableCodec.ofEngineName(PlacementFleet.POOL, "n"), QualifiedName.of("sofia/small"), 1, 6_000);
		DemandReport.Usage used = new DemandReport.Usage("e1", LoadableCodec.ofEngineName(PlacementFleet.POOL, "m"),
				inFlight, 0);
		for (long passed = 0; passed < milliseconds; passed += 500) {
			holder.controller.receiveDemand(new DemandReport("a", "store", List.of(waiting), List.of(used)).toJson());
			fleet.run(500, holder);
		}
	}

	private static void runWithDemand(PlacementFleet fleet, PlacementFleet.Daemon holder, long milliseconds,
			String... names) {
		for (long passed = 0; passed < milliseconds; passed += 500) {
			holder.reportWaiting(holder, names);
			fleet.run(500, holder);
		}
	}

}

package org.masticshelf.control.placement;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.google.common.truth.Truth;
import org.junit.jupiter.api.Test;

import org.masticshelf.control.duty.Duties;
import org.masticshelf.control.duty.Duty;
import org.masticshelf.kernel.configuration.Loadable;
import org.masticshelf.kernel.configuration.QualifiedName;
import org.masticshelf.kernel.placement.LoadableCodec;
import org.masticshelf.kernel.port.ExchangeFailure;
import org.masticshelf.kernel.port.PeerChannel;

class PlacementViewTests {

	private static final Loadable MODEL = LoadableCodec.ofEngineName(PlacementFleet.POOL, "m");

	private static final QualifiedName ORGANISATION = QualifiedName.of("sofia/small");

	private final PlacementFleet fleet = new PlacementFleet(2, true, PlacementFleet.model("m", 60, 1));

	private final Map<String, Function<JsonNode, CompletableFuture<JsonNode>>> handlers = new HashMap<>();

	private final TestDaemon holder = new TestDaemon("a");

	private final TestDaemon other = new TestDaemon("b");

	@Test
	void demandOfAnotherDaemonLoadsModelAndUpdatesItsView() {
		giveDuty(this.holder);
		this.other.setWaiting(1);
		run(3_000);
		Truth.assertThat(this.other.view.endpoints(MODEL)).containsExactly("e1");
		Truth.assertThat(this.other.view.readyInMilliseconds(MODEL)).isEqualTo(0);
	}

	@Test
	void viewHasEstimateWhileModelLoads() {
		this.fleet.engines.loadMilliseconds = 60_000;
		giveDuty(this.holder);
		this.other.setWaiting(1);
		run(4_000);
		Truth.assertThat(this.other.view.readyInMilliseconds(MODEL)).isAtMost(15_000);
	}

	@Test
	void lastKnownViewStaysWithoutHolder() {
		giveDuty(this.holder);
		this.other.setWaiting(1);
		run(3_000);
		this.fleet.giveDuty(this.holder.daemon);
		this.holder.daemon.duty.tenure = null;
		run(3_000);
		Truth.assertThat(this.other.view.endpoints(MODEL)).containsExactly("e1");
	}

	@Test
	void newHolderReplacesTheViewOnceItHasProbedTheEndpoints() {
		giveDuty(this.holder);
		this.other.setWaiting(1);
		run(3_000);
		this.fleet.engines.restart("e1");
		this.fleet.engines.loadMilliseconds = 60_000;
		giveDuty(this.other);
		run(3_000);
		Truth.assertThat(this.other.view.endpoints(MODEL)).isEmpty();
	}

	@Test
	void idleModelLeavesTheViewBeforeItIsUnloaded() {
		giveDuty(this.holder);
		this.other.setWaiting(1);
		run(3_000);
		this.other.setWaiting(0);
		for (int round = 0; round < 1_000 && !this.other.view.endpoints(MODEL).isEmpty(); round++) {
			run(50);
		}
		Truth.assertThat(this.fleet.engines.namesAt("e1")).containsExactly("m");
		run(3_000);
		Truth.assertThat(this.fleet.engines.namesAt("e1")).isEmpty();
	}

	@Test
	void modelInUseIsNotUnloaded() {
		giveDuty(this.holder);
		this.other.setWaiting(1);
		run(3_000);
		this.other.setWaiting(0);
		this.other.reporter.requestStarted("e1", MODEL);
		run(40_000);
		Truth.assertThat(this.fleet.engines.namesAt("e1")).containsExactly("m");
	}

	@Test
	void formerHolderIsSettledOnlyAfterItsOrdersHaveEnded() {
		giveDuty(this.holder);
		this.holder.daemon.port.holdsOrders = true;
		this.holder.setWaiting(1);
		run(2_000);
		long fencing = tenureOf(this.holder).fencing();
		giveDuty(this.other);
		Truth.assertThat(isSettled(fencing)).isFalse();
		this.holder.daemon.port.release();
		Truth.assertThat(isSettled(fencing)).isTrue();
	}

	private boolean isSettled(long fencing) {
		JsonNode question = JsonNodeFactory.instance.objectNode().put("incarnation", "a").put("fencing", fencing);
		return this.other.call("a:1", SenderStatus.OfPeers.OPERATION, question, Duration.ofSeconds(1))
			.join()
			.path("settled")
			.asBoolean();
	}

	private static Duty.Tenure tenureOf(TestDaemon side) {
		Duty.Tenure tenure = side.daemon.duty.tenure;
		if (tenure == null) {
			throw new IllegalStateException("no tenure");
		}
		return tenure;
	}

	private void giveDuty(TestDaemon side) {
		this.fleet.giveDuty(side.daemon);
		Duty.Holder newHolder = new Duty.Holder(side.daemon.incarnation, side.daemon.self().address());
		this.holder.daemon.duty.holder = newHolder;
		this.other.daemon.duty.holder = newHolder;
	}

	private void run(long milliseconds) {
		for (long passed = 0; passed < milliseconds; passed += PlacementController.TICK_MILLISECONDS) {
			this.fleet.run(PlacementController.TICK_MILLISECONDS);
			this.holder.tick();
			this.other.tick();
		}
	}

	/** A daemon with its view, reached by other daemons through method calls. */
	private final class TestDaemon implements PeerChannel, Duties {

		private final PlacementFleet.Daemon daemon;

		private final PlacementControllers controllers;

		private final DemandReporter reporter;

		private final PlacementView view;

		private TestDaemon(String incarnation) {
			this.daemon = PlacementViewTests.this.fleet.daemon(incarnation);
			this.controllers = new PlacementControllers(this.daemon.services, this, this.daemon, this.daemon, this);
			this.controllers.answerOperations();
			this.reporter = new DemandReporter(this.controllers, this.daemon, PlacementViewTests.this.fleet.clock,
					incarnation);
			this.view = new PlacementView(this.controllers, this.reporter, PlacementViewTests.this.fleet.clock);
		}

		private void setWaiting(int count) {
			this.reporter.setWaiting(MODEL, ORGANISATION, count, PlacementViewTests.this.fleet.clock.milliseconds());
			this.view.endpoints(MODEL);
		}

		private void tick() {
			this.controllers.tick();
			this.reporter.flush();
			this.view.refresh();
		}

		@Override
		public CompletableFuture<JsonNode> call(String address, String operation, JsonNode body, Duration timeout) {
			Function<JsonNode, CompletableFuture<JsonNode>> handler = PlacementViewTests.this.handlers
				.get(address + operation);
			return (handler != null) ? handler.apply(body) : CompletableFuture
				.failedFuture(new ExchangeFailure(ExchangeFailure.Point.BEFORE_CONNECT, "unknown " + operation));
		}

		@Override
		public void registerHandler(String operation, Function<JsonNode, CompletableFuture<JsonNode>> handler) {
			PlacementViewTests.this.handlers.put(this.daemon.self().address() + operation, handler);
		}

		@Override
		public Duty compete(String name) {
			return this.daemon.duty;
		}

		@Override
		public Duty follow(String name) {
			return this.daemon.duty;
		}

	}

}

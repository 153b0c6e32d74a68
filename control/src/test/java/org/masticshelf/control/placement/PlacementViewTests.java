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

	private static final Loadable MODEL = LoadableCodec.ofEngineName(Fleet.POOL, "m");

	private static final QualifiedName ORGANISATION = QualifiedName.of("sofia/small");

	private final Fleet fleet = new Fleet(2, true, Fleet.model("m", 60, 1));

	private final Map<String, Function<JsonNode, CompletableFuture<JsonNode>>> handlers = new HashMap<>();

	private final Side holder = new Side("a");

	private final Side other = new Side("b");

	@Test
	void demandOfAnotherDaemonLoadsAndIsTold() {
		give(this.holder);
		this.other.wait(1);
		run(3_000);
		Truth.assertThat(this.other.view.endpoints(MODEL)).containsExactly("e1");
		Truth.assertThat(this.other.view.readyInMilliseconds(MODEL)).isEqualTo(0);
	}

	@Test
	void estimateIsToldWhileItLoads() {
		this.fleet.engines.loadMilliseconds = 60_000;
		give(this.holder);
		this.other.wait(1);
		run(4_000);
		Truth.assertThat(this.other.view.readyInMilliseconds(MODEL)).isAtMost(15_000);
	}

	@Test
	void lastKnownViewStaysWithoutHolder() {
		give(this.holder);
		this.other.wait(1);
		run(3_000);
		this.fleet.give(this.holder.daemon);
		this.holder.daemon.duty.tenure = null;
		run(3_000);
		Truth.assertThat(this.other.view.endpoints(MODEL)).containsExactly("e1");
	}

	@Test
	void newHolderReplacesTheViewOnlyWhenItHasExplored() {
		give(this.holder);
		this.other.wait(1);
		run(3_000);
		this.fleet.engines.restart("e1");
		this.fleet.engines.loadMilliseconds = 60_000;
		give(this.other);
		run(3_000);
		Truth.assertThat(this.other.view.endpoints(MODEL)).isEmpty();
	}

	@Test
	void idleModelIsTakenOutOfTheViewBeforeItIsUnloaded() {
		give(this.holder);
		this.other.wait(1);
		run(3_000);
		this.other.wait(0);
		for (int step = 0; step < 1_000 && !this.other.view.endpoints(MODEL).isEmpty(); step++) {
			run(50);
		}
		Truth.assertThat(this.fleet.engines.held("e1")).containsExactly("m");
		run(3_000);
		Truth.assertThat(this.fleet.engines.held("e1")).isEmpty();
	}

	@Test
	void modelInUseStays() {
		give(this.holder);
		this.other.wait(1);
		run(3_000);
		this.other.wait(0);
		this.other.reporter.began("e1", MODEL);
		run(40_000);
		Truth.assertThat(this.fleet.engines.held("e1")).containsExactly("m");
	}

	@Test
	void formerHolderIsSettledOnlyAfterItsOrdersEnded() {
		give(this.holder);
		this.holder.daemon.port.holdsOrders = true;
		this.holder.wait(1);
		run(2_000);
		long fencing = tenureOf(this.holder).fencing();
		give(this.other);
		Truth.assertThat(settled(fencing)).isFalse();
		this.holder.daemon.port.release();
		Truth.assertThat(settled(fencing)).isTrue();
	}

	private boolean settled(long fencing) {
		JsonNode question = JsonNodeFactory.instance.objectNode().put("incarnation", "a").put("fencing", fencing);
		return this.other.call("a:1", SenderStatus.OfPeers.OPERATION, question, Duration.ofSeconds(1))
			.join()
			.path("settled")
			.asBoolean();
	}

	private static Duty.Tenure tenureOf(Side side) {
		Duty.Tenure tenure = side.daemon.duty.tenure;
		if (tenure == null) {
			throw new IllegalStateException("no tenure");
		}
		return tenure;
	}

	private void give(Side side) {
		this.fleet.give(side.daemon);
		Duty.Holder seen = new Duty.Holder(side.daemon.incarnation, side.daemon.self().address());
		this.holder.daemon.duty.holder = seen;
		this.other.daemon.duty.holder = seen;
	}

	private void run(long milliseconds) {
		for (long passed = 0; passed < milliseconds; passed += PlacementKeeper.TICK_MILLISECONDS) {
			this.fleet.run(PlacementKeeper.TICK_MILLISECONDS);
			this.holder.step();
			this.other.step();
		}
	}

	/** A daemon whose operations are reached in process. */
	private final class Side implements PeerChannel, Duties {

		private final Fleet.Daemon daemon;

		private final PlacementKeepers keepers;

		private final DemandReporter reporter;

		private final PlacementView view;

		private Side(String incarnation) {
			this.daemon = PlacementViewTests.this.fleet.daemon(incarnation);
			this.keepers = new PlacementKeepers(this.daemon.services, this, this.daemon, this.daemon, this);
			this.keepers.answerOperations();
			this.reporter = new DemandReporter(this.keepers, this.daemon, PlacementViewTests.this.fleet.clock,
					incarnation);
			this.view = new PlacementView(this.keepers, this.reporter, PlacementViewTests.this.fleet.clock);
		}

		private void wait(int count) {
			this.reporter.waiting(MODEL, ORGANISATION, count, PlacementViewTests.this.fleet.clock.milliseconds());
			this.view.endpoints(MODEL);
		}

		private void step() {
			this.keepers.tick();
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

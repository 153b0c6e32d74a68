package org.masticshelf.serving.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

import com.google.common.truth.Truth;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import org.masticshelf.control.duty.Duty;
import org.masticshelf.kernel.event.Event;
import org.masticshelf.kernel.serving.EngineProfile;
import org.masticshelf.kernel.serving.ModelProfile;
import org.masticshelf.kernel.serving.ServedEndpoint;
import org.masticshelf.kernel.serving.ServedPool;
import org.masticshelf.kernel.serving.ServedTables;
import org.masticshelf.kernel.time.MonotonicClock;
import org.masticshelf.serving.endpoint.EndpointDirectory;
import org.masticshelf.serving.peer.PeerMessage;

/**
 * Tests {@link Placement} with in-memory engines.
 */
class PlacementTests {

	private static final long TIMEOUT_SECONDS = 60;

	private static final int MODELS = 12;

	private static final double MODEL_MEGABYTES = 100;

	private static final double ENGINE_MEGABYTES = 250;

	private final MonotonicClock clock = MonotonicClock.SystemClock.INSTANCE;

	private final EndpointDirectory directory = new EndpointDirectory(this.clock, (event) -> {
	});

	private final List<Event> events = new ArrayList<>();

	private final FakeDuty duty = new FakeDuty();

	private volatile Placement.Demand demand = new Placement.Demand(List.of(), List.of(), Map.of(), Map.of());

	private volatile String cutOff = "none";

	private @Nullable Placement placement;

	private FakeEngineOrders startPlacement(long seed, double unansweredShare) {
		Map<String, ModelProfile> models = new HashMap<>();
		Map<String, Double> sizes = new HashMap<>();
		for (int index = 0; index < MODELS; index++) {
			models.put("m" + index, new ModelProfile("m" + index, MODEL_MEGABYTES, 20, 10, 5, 0, 1));
			sizes.put("m" + index, MODEL_MEGABYTES);
		}
		FakeEngineOrders engines = new FakeEngineOrders(sizes, ENGINE_MEGABYTES, seed);
		engines.setUnansweredShare(unansweredShare);
		EngineProfile profile = new EngineProfile(ENGINE_MEGABYTES, 0, 8, 1_000, 1, models);
		ServedTables tables = new ServedTables(1, List.of(), Map.of("pool", new ServedPool("pool", 10, profile)),
				Map.of(), false, new ServedTables.Limits(1, 1));
		List<ServedEndpoint> endpoints = new ArrayList<>();
		for (int index = 0; index < 3; index++) {
			endpoints.add(new ServedEndpoint("e" + index, 1, "pool", "127.0.0.1", 1, "domain", 8, false,
					ServedEndpoint.Holdings.NONE));
		}
		this.directory.replace(endpoints);
		this.placement = new Placement(this.duty,
				new Placement.Access(engines, this.directory, (endpoint) -> endpoint.identifier().equals(this.cutOff)),
				() -> tables, () -> this.demand, this.clock, new Placement.Settings("self", 0, 2), this::log, () -> {
				});
		this.placement.start();
		return engines;
	}

	private synchronized void log(Event event) {
		this.events.add(event);
	}

	@AfterEach
	void stop() {
		if (this.placement != null) {
			this.placement.stop();
		}
	}

	private void requestModel(String model) {
		this.demand = new Placement.Demand(List.of(new PeerMessage.Waiting("pool", model, 1, 10, 3_990)), List.of(),
				Map.of(), Map.of());
	}

	private static void awaitTrue(BooleanSupplier condition) throws InterruptedException {
		long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
		while (!condition.getAsBoolean()) {
			if (System.nanoTime() - until > 0) {
				throw new AssertionError("what was waited for did not come");
			}
			TimeUnit.MILLISECONDS.sleep(1);
		}
	}

	@Test
	void loadsAndAnnouncesRequestedModel() throws Exception {
		FakeEngineOrders engines = startPlacement(1, 0);
		this.duty.gain(5);
		requestModel("m3");
		awaitTrue(() -> engines.holds("m3"));
		awaitTrue(() -> isAnnounced("m3"));
		Truth.assertThat(engines.acceptedOrders()).hasSize(1);
		Truth.assertThat(engines.acceptedOrders().getFirst().fencing()).isEqualTo(5);
	}

	/**
	 * Guards against relying on a replica in a failure domain that is partitioned off.
	 */
	@Test
	void modelOfPartitionedEngineIsLoadedOnReachableEngine() throws Exception {
		FakeEngineOrders engines = startPlacement(1, 0);
		this.duty.gain(5);
		requestModel("m3");
		awaitTrue(() -> isAnnounced("m3"));
		String partitioned = engineHolding("m3");
		engines.cutOff(partitioned);
		this.cutOff = partitioned;
		awaitTrue(() -> !engineHolding("m3").equals(partitioned));
		Truth.assertThat(engines.acceptedOrders()).hasSize(2);
	}

	/**
	 * Guards against discarding running engines when the only daemon of their failure
	 * domain stops.
	 */
	@Test
	void engineThatReportsIsUsedInSilentFailureDomain() throws Exception {
		FakeEngineOrders engines = startPlacement(1, 0);
		this.duty.gain(5);
		requestModel("m3");
		awaitTrue(() -> isAnnounced("m3"));
		this.cutOff = engineHolding("m3");
		int reportCount = engines.reportCount();
		awaitTrue(() -> engines.reportCount() > reportCount + 10);
		Truth.assertThat(engines.acceptedOrders()).hasSize(1);
	}

	private String engineHolding(String model) {
		Placement currentPlacement = this.placement;
		PeerMessage.Placement announced = (currentPlacement != null) ? currentPlacement.announcement(true) : null;
		if (announced == null) {
			return this.cutOff;
		}
		return announced.engines()
			.stream()
			.filter((engine) -> engine.loaded().containsKey(model) && !engine.endpoint().equals(this.cutOff))
			.map(PeerMessage.Engine::endpoint)
			.findFirst()
			.orElse(this.cutOff);
	}

	private boolean isAnnounced(String model) {
		Placement currentPlacement = this.placement;
		PeerMessage.Placement announced = (currentPlacement != null) ? currentPlacement.announcement(true) : null;
		return announced != null
				&& announced.engines().stream().anyMatch((engine) -> engine.loaded().containsKey(model));
	}

	/**
	 * Replays requests for more rare models than fit, so that each load needs an unload,
	 * during which an engine refuses orders.
	 */
	@Test
	void ordersLoadOnceTheUnloadHasEnded() throws Exception {
		FakeEngineOrders engines = startPlacement(1, 0);
		engines.setUnloadMilliseconds(40);
		this.duty.gain(5);
		for (int index = 0; index < MODELS; index++) {
			String model = "m" + index;
			requestModel(model);
			awaitTrue(() -> engines.holds(model));
		}
		Truth.assertThat(engines.conflictCount()).isEqualTo(0);
	}

	@Test
	void sendsNoOrderWithoutTheDuty() throws Exception {
		FakeEngineOrders engines = startPlacement(1, 0);
		requestModel("m1");
		this.duty.gain(5);
		awaitTrue(() -> engines.holds("m1"));
		this.duty.lose();
		int before = engines.acceptedOrders().size();
		requestModel("m2");
		Placement currentPlacement = this.placement;
		for (int round = 0; round < 3 && currentPlacement != null; round++) {
			currentPlacement.wake();
			Truth.assertThat(currentPlacement.announcement(true)).isNull();
		}
		this.duty.gain(9);
		awaitTrue(() -> engines.holds("m2"));
		Truth.assertThat(engines.acceptedOrders().subList(before, engines.acceptedOrders().size()).getFirst().fencing())
			.isEqualTo(9);
	}

	@Test
	void modelIsLoadedElsewhereIfItsEngineCrashesWhileLoading() throws Exception {
		FakeEngineOrders engines = startPlacement(1, 0);
		for (String endpoint : List.of("e0", "e1")) {
			engines.crashAfterLoad(endpoint);
		}
		this.duty.gain(5);
		requestModel("m1");
		awaitTrue(() -> engines.holds("m1"));
		awaitTrue(() -> isAnnounced("m1"));
	}

	/**
	 * Leaves a third of the orders unanswered, half of which are executed later, while
	 * the demand moves from model to model. Each model must be loaded in the end, and no
	 * engine may be ordered to hold more than its memory.
	 * @param seed the seed of the injected faults
	 */
	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4, 5, 6 })
	void unansweredAndLateOrdersNeverOvercommitAnEngine(long seed) throws Exception {
		FakeEngineOrders engines = startPlacement(seed, 0.33);
		this.duty.gain(5);
		for (int index = 0; index < MODELS; index++) {
			String model = "m" + index;
			requestModel(model);
			awaitTrue(() -> engines.holds(model));
		}
		Truth.assertThat(engines.violations()).isEqualTo(Set.of());
	}

	/** A duty that a test grants and revokes. */
	private static final class FakeDuty implements Duty {

		private volatile @Nullable Tenure tenure;

		private void gain(long fencing) {
			this.tenure = new Tenure("duty", fencing);
		}

		private void lose() {
			this.tenure = null;
		}

		@Override
		public String name() {
			return "place";
		}

		@Override
		public @Nullable Tenure tenure() {
			return this.tenure;
		}

		@Override
		public @Nullable Holder holder() {
			return null;
		}

		@Override
		public void addListener(Listener listener) {
			// Tests poll the tenure.
		}

	}

}

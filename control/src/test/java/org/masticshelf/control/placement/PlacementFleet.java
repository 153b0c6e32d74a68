package org.masticshelf.control.placement;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;

import org.jspecify.annotations.Nullable;

import org.masticshelf.control.configuration.ConfigurationSource;
import org.masticshelf.control.duty.Duty;
import org.masticshelf.control.membership.Members;
import org.masticshelf.kernel.configuration.Configuration;
import org.masticshelf.kernel.configuration.Pool;
import org.masticshelf.kernel.configuration.QualifiedName;
import org.masticshelf.kernel.configuration.Route;
import org.masticshelf.kernel.configuration.Tables;
import org.masticshelf.kernel.placement.LoadableCodec;
import org.masticshelf.kernel.placement.PlacementPolicy;
import org.masticshelf.kernel.port.KeyValueStore;
import org.masticshelf.kernel.time.MonotonicClock;
import org.masticshelf.standins.keyvalue.InMemoryKeyValue;

/**
 * Runs the placement of several daemons with engines and a key-value service in one
 * process. Not thread-safe.
 */
final class PlacementFleet {

	static final QualifiedName POOL = QualifiedName.of("sofia/pool");

	private static final String DUTY_KEY = "masticshelf/duty/place/store";

	final MonotonicClock.Manual clock = new MonotonicClock.Manual();

	final InMemoryKeyValue keyValue = new InMemoryKeyValue(this.clock);

	final FakeEngines engines;

	final List<Daemon> daemons = new ArrayList<>();

	final Map<String, EndpointPresence.Presence> presences = new HashMap<>();

	private final Configuration configuration;

	PlacementFleet(int endpoints, boolean checksFencing, Pool.Model... models) {
		Map<String, Integer> maximumReplicas = new HashMap<>();
		for (Pool.Model model : models) {
			maximumReplicas.put(model.name(), model.maximumReplicas());
		}
		this.engines = new FakeEngines(this.clock, maximumReplicas);
		List<Pool.Endpoint> rows = new ArrayList<>();
		for (int index = 1; index <= endpoints; index++) {
			rows.add(new Pool.Endpoint("e" + index, "127.0.0.1:" + index, "domain", 100, 4, checksFencing));
		}
		Pool pool = new Pool(POOL, Route.Kind.MODEL, "store", rows, List.of(models));
		this.configuration = new Configuration(1, new Tables(List.of(), List.of(pool), List.of(), List.of()));
		this.clock.advance(Duration.ofSeconds(100));
	}

	static Pool.Model model(String name, long bytes, int maximumReplicas) {
		return new Pool.Model(name, bytes, maximumReplicas, 0, 20_000, List.of(new Pool.Adapter("a", 5)));
	}

	Daemon daemon(String incarnation) {
		Daemon daemon = new Daemon(incarnation);
		this.daemons.add(daemon);
		return daemon;
	}

	/** Gives the duty to a daemon; the former holder notices at once. */
	void giveDuty(Daemon holder) {
		this.daemons.forEach((daemon) -> daemon.duty.tenure = null);
		moveDutyUnnoticed(holder);
	}

	/**
	 * Gives the duty to a daemon while the former holder is paused and does not notice.
	 */
	void moveDutyUnnoticed(Daemon holder) {
		List<KeyValueStore.Operation> operations = List.of(new KeyValueStore.Operation.Delete(DUTY_KEY));
		this.keyValue.transact(new KeyValueStore.Transaction(List.of(), operations)).join();
		List<KeyValueStore.Operation> put = List.of(new KeyValueStore.Operation.Put(DUTY_KEY, holder.incarnation, 0));
		KeyValueStore.Outcome outcome = this.keyValue.transact(new KeyValueStore.Transaction(List.of(), put)).join();
		holder.duty.tenure = new Duty.Tenure(DUTY_KEY, outcome.revision());
	}

	/** Advances the clock in ticks and runs the given daemons at each. */
	void run(long milliseconds, Daemon... running) {
		for (long passed = 0; passed < milliseconds; passed += PlacementController.TICK_MILLISECONDS) {
			this.clock.advance(Duration.ofMillis(PlacementController.TICK_MILLISECONDS));
			this.engines.deliverDue();
			for (Daemon daemon : running) {
				daemon.controller.tick();
			}
		}
	}

	private CompletableFuture<Boolean> isSettled(String incarnation, long fencing) {
		for (Daemon daemon : this.daemons) {
			if (daemon.incarnation.equals(incarnation) && daemon.answersPeers) {
				return CompletableFuture.completedFuture(daemon.outstandingOrders.isSettled(fencing));
			}
		}
		return CompletableFuture.failedFuture(new IllegalStateException("no answer from " + incarnation));
	}

	/** A daemon with its placement controller. */
	final class Daemon implements Members, ConfigurationSource {

		final String incarnation;

		final FakeDuty duty = new FakeDuty();

		final FakeEngines.Port port = PlacementFleet.this.engines.port();

		final InMemoryKeyValue.Client client = PlacementFleet.this.keyValue.client();

		final DelayedWriteStore delayedWrites = new DelayedWriteStore(this.client);

		final OutstandingOrders outstandingOrders = new OutstandingOrders(PlacementFleet.this.clock);

		final List<String> log = new ArrayList<>();

		final PlacementServices services;

		final PlacementController controller;

		boolean answersPeers = true;

		Daemon(String incarnation) {
			this.incarnation = incarnation;
			this.services = new PlacementServices(this.delayedWrites, this.port, PlacementFleet.this.clock,
					(endpoint) -> PlacementFleet.this.presences.getOrDefault(endpoint.identifier(),
							EndpointPresence.Presence.LIVE),
					(sender) -> PlacementFleet.this.isSettled(sender.incarnation(), sender.fencing()),
					this.outstandingOrders, PlacementPolicy.DEFAULT, (event) -> this.log.add(event.toLine()));
			this.controller = new PlacementController("store", this.duty, this.services, this, this);
		}

		/**
		 * Reports to a holder that one request waits for each of the names and that none
		 * runs.
		 */
		void reportWaiting(Daemon holder, String... names) {
			List<DemandReport.WaitingRequests> waiting = new ArrayList<>();
			for (String name : names) {
				waiting.add(new DemandReport.WaitingRequests(LoadableCodec.ofEngineName(POOL, name),
						QualifiedName.of("sofia/" + this.incarnation), 1, 0));
			}
			holder.controller.receiveDemand(new DemandReport(this.incarnation, "store", waiting, List.of()).toJson());
		}

		@Override
		public Member self() {
			return new Member(this.incarnation, this.incarnation, this.incarnation + ":1", "domain");
		}

		@Override
		public List<Member> members() {
			return List.of(self());
		}

		@Override
		public Configuration current() {
			return PlacementFleet.this.configuration;
		}

		@Override
		public Freshness freshness() {
			return Freshness.FRESH;
		}

		@Override
		public void addListener(Consumer<Configuration> listener) {
		}

	}

	/** A duty whose tenure and holder the tests set. */
	static final class FakeDuty implements Duty {

		@Nullable Tenure tenure;

		@Nullable Holder holder;

		int tenureChecksLeft = Integer.MAX_VALUE;

		@Override
		public String name() {
			return "place/store";
		}

		@Override
		public @Nullable Tenure tenure() {
			this.tenureChecksLeft--;
			return (this.tenureChecksLeft >= 0) ? this.tenure : null;
		}

		@Override
		public @Nullable Holder holder() {
			return this.holder;
		}

		@Override
		public void addListener(Listener listener) {
		}

	}

}

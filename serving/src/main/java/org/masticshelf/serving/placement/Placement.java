package org.masticshelf.serving.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.function.Supplier;

import org.jspecify.annotations.Nullable;

import org.masticshelf.control.duty.Duty;
import org.masticshelf.kernel.event.Event;
import org.masticshelf.kernel.residency.EngineSnapshot;
import org.masticshelf.kernel.residency.PromptReading;
import org.masticshelf.kernel.residency.ResidencyInput;
import org.masticshelf.kernel.residency.ResidencyPlan;
import org.masticshelf.kernel.residency.ResidencyPlanner;
import org.masticshelf.kernel.residency.ResidencyStep;
import org.masticshelf.kernel.residency.UnservedDemand;
import org.masticshelf.kernel.residency.WaitingDemand;
import org.masticshelf.kernel.serving.EngineProfile;
import org.masticshelf.kernel.serving.LoadableName;
import org.masticshelf.kernel.serving.ServedEndpoint;
import org.masticshelf.kernel.serving.ServedPool;
import org.masticshelf.kernel.serving.ServedTables;
import org.masticshelf.kernel.time.MonotonicClock;
import org.masticshelf.serving.endpoint.EndpointDirectory;
import org.masticshelf.serving.peer.PeerMessage;
import org.masticshelf.serving.peer.PeerRegistry;
import org.masticshelf.serving.peer.RateKeys;
import org.masticshelf.serving.placement.EngineOrders.EngineReport;

/**
 * Plans which engine holds which models and sends the orders, while this daemon holds the
 * placement duty.
 * <p>
 * Holdings are read from the engines' own reports, so that one holder of the duty needs
 * no state from the previous one. Invariants: an order is sent only under a settled
 * tenure, and carries the number of orders that the engine had accepted when the plan was
 * made, so that a late or duplicate order is refused; each engine has at most one pending
 * order for a model. Thread-safe.
 */
public final class Placement {

	/**
	 * The minimum time between two planning rounds. Requests that begin to wait at many
	 * daemons at once are planned for together, as the cost of a round grows with engines
	 * and models.
	 */
	private static final long MINIMUM_ROUND_MILLISECONDS = 20;

	/** The interval of planning rounds while nothing changes. */
	private static final long ROUND_MILLISECONDS = 100;

	/**
	 * The time without a new engine after which the list of engines counts as complete.
	 */
	private static final long LIST_COMPLETE_MILLISECONDS = 1_500;

	private static final long REPORT_INTERVAL_MILLISECONDS = 3_000;

	private static final long UNKNOWN_REPORT_INTERVAL_MILLISECONDS = 100;

	/** Longer than the lag of reports, so that the next one shows the presumed load. */
	private static final long PRESUMED_REPORT_INTERVAL_MILLISECONDS = 600;

	/**
	 * Short enough to find out within a second which engines are still reachable during a
	 * network partition.
	 */
	private static final long PARTITIONED_REPORT_INTERVAL_MILLISECONDS = 300;

	private final Duty duty;

	private final Access access;

	private final Supplier<@Nullable ServedTables> tables;

	private final Supplier<Demand> demand;

	private final MonotonicClock clock;

	private final Settings settings;

	private final Consumer<Event> log;

	private final Runnable onChange;

	private final Map<String, EngineState> engines = new HashMap<>();

	private final Map<String, Long> readyIn = new HashMap<>();

	private final StarvationMonitor starvation;

	private final Map<String, UnservedDemand> unserved = new HashMap<>();

	private final Set<String> fetched = new HashSet<>();

	private final WeightStoreLoads storeLoads;

	private final StepExecution execution;

	private final Semaphore wakeUpPermits = new Semaphore(0);

	private long settledAt = Long.MAX_VALUE;

	private long newEngineAt;

	private @Nullable Long settlingFencing;

	private volatile boolean stopped;

	/**
	 * Creates a placement that is idle until {@link #start()}.
	 * @param duty the placement duty
	 * @param access access to the engines
	 * @param tables returns the current tables
	 * @param demand returns the current demand
	 * @param clock the clock
	 * @param settings the settings
	 * @param log receives the events
	 * @param onChange called when the engines' holdings or the readiness estimates have
	 * changed
	 */
	public Placement(Duty duty, Access access, Supplier<@Nullable ServedTables> tables, Supplier<Demand> demand,
			MonotonicClock clock, Settings settings, Consumer<Event> log, Runnable onChange) {
		this.duty = duty;
		this.access = access;
		this.tables = tables;
		this.demand = demand;
		this.clock = clock;
		this.settings = settings;
		this.log = log;
		this.onChange = onChange;
		this.starvation = new StarvationMonitor(log);
		this.storeLoads = new WeightStoreLoads(settings.storeLoadsAtOnce(), clock, log);
		this.execution = new StepExecution(this, this.storeLoads, access.orders(), clock, settings.holder(), log,
				this::announceChange);
	}

	/**
	 * Returns what is known about models and adapters that are requested and not served.
	 * @return the monitor, which knows nothing unless this daemon places
	 */
	public StarvationMonitor starvation() {
		return this.starvation;
	}

	/** Starts the planning thread. */
	public void start() {
		Thread.ofVirtual().name("placement").start(this::runRounds);
	}

	/** Stops planning permanently. */
	public void stop() {
		this.stopped = true;
		wake();
	}

	/** Triggers a planning round. */
	public void wake() {
		if (this.wakeUpPermits.availablePermits() == 0) {
			this.wakeUpPermits.release();
		}
	}

	private void runRounds() {
		while (!this.stopped) {
			try {
				if (this.wakeUpPermits.tryAcquire(ROUND_MILLISECONDS, TimeUnit.MILLISECONDS)) {
					this.wakeUpPermits.drainPermits();
				}
				planRound();
				TimeUnit.MILLISECONDS.sleep(MINIMUM_ROUND_MILLISECONDS);
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
				return;
			}
			catch (RuntimeException | Error ex) {
				this.log.accept(Event.named("placement.round_failed").with("cause", ex.toString()));
			}
		}
	}

	/**
	 * Returns the engines' holdings for this daemon and its peers.
	 * @param full whether to include all engines rather than only those that have changed
	 * since the last call
	 * @return the placement, {@code null} unless this daemon holds the duty
	 */
	public PeerMessage.@Nullable Placement announcement(boolean full) {
		Duty.Tenure tenure = this.duty.tenure();
		if (tenure == null) {
			return null;
		}
		synchronized (this) {
			List<PeerMessage.Engine> announced = new ArrayList<>();
			for (EngineState state : this.engines.values()) {
				boolean changed = state.getAndClearChanged();
				if (state.isKnown() && (full || changed)) {
					Map<String, List<String>> loaded = new HashMap<>();
					state.holdings().loaded().forEach((model, adapters) -> loaded.put(model, List.copyOf(adapters)));
					announced.add(new PeerMessage.Engine(state.endpoint().identifier(), state.endpoint().startedAt(),
							state.ordersTaken(), loaded));
				}
			}
			return new PeerMessage.Placement(tenure.fencing(), announced, this.readyIn);
		}
	}

	private void planRound() {
		Duty.Tenure tenure = settledTenure();
		ServedTables currentTables = this.tables.get();
		if (tenure == null || currentTables == null) {
			return;
		}
		List<Runnable> actions = new ArrayList<>();
		boolean changed;
		synchronized (this) {
			long now = this.clock.milliseconds();
			refreshEngines(currentTables, now, actions);
			this.storeLoads.learnOverdue(now);
			Map<String, Long> previous = Map.copyOf(this.readyIn);
			this.readyIn.clear();
			Demand demand = this.demand.get();
			for (ServedPool pool : currentTables.pools().values()) {
				if (pool.engine() != null) {
					planPool(pool.name(), pool.engine(), demand, tenure, now, actions,
							currentTables.allowedPauseMilliseconds(pool.name()));
				}
			}
			changed = !previous.keySet().equals(this.readyIn.keySet());
		}
		actions.forEach((action) -> Thread.startVirtualThread(action));
		if (changed) {
			this.onChange.run();
		}
	}

	private void announceChange() {
		this.onChange.run();
		wake();
	}

	/**
	 * Returns whether planning was stopped permanently.
	 * @return whether {@link #stop()} was called
	 */
	boolean isStopped() {
		return this.stopped;
	}

	/**
	 * Returns the tenure under which orders may be sent now.
	 * @return the tenure, {@code null} if there is none or its settling time has not
	 * passed
	 */
	Duty.@Nullable Tenure settledTenure() {
		Duty.Tenure tenure = this.duty.tenure();
		long now = this.clock.milliseconds();
		synchronized (this) {
			if (tenure == null) {
				this.settlingFencing = null;
				this.engines.clear();
				this.storeLoads.clear();
				this.readyIn.clear();
				this.unserved.clear();
				this.fetched.clear();
				this.starvation.clear();
				return null;
			}
			if (this.settlingFencing == null || this.settlingFencing != tenure.fencing()) {
				this.settlingFencing = tenure.fencing();
				this.settledAt = now + this.settings.settleMilliseconds();
				this.engines.clear();
			}
			return (now >= this.settledAt) ? tenure : null;
		}
	}

	private void refreshEngines(ServedTables currentTables, long now, List<Runnable> actions) {
		Set<String> present = new HashSet<>();
		for (ServedPool pool : currentTables.pools().values()) {
			if (pool.engine() == null) {
				continue;
			}
			for (ServedEndpoint endpoint : this.access.directory().inPool(pool.name())) {
				present.add(endpoint.identifier());
				EngineState state = this.engines.get(endpoint.identifier());
				if (state == null || !state.endpoint().isSameIncarnation(endpoint)) {
					state = new EngineState(endpoint);
					this.engines.put(endpoint.identifier(), state);
					this.newEngineAt = now;
				}
				boolean idle = state.modelStep() == null && !state.isOrderPending();
				if (idle && state.isReportDue(now, reportInterval(state, endpoint))) {
					EngineState reporting = state;
					actions.add(() -> readReport(reporting));
				}
			}
		}
		this.engines.keySet().retainAll(present);
	}

	private long reportInterval(EngineState state, ServedEndpoint endpoint) {
		if (!state.isKnown()) {
			return UNKNOWN_REPORT_INTERVAL_MILLISECONDS;
		}
		if (this.access.cutOff().test(endpoint)) {
			return PARTITIONED_REPORT_INTERVAL_MILLISECONDS;
		}
		return state.isPresumed() ? PRESUMED_REPORT_INTERVAL_MILLISECONDS : REPORT_INTERVAL_MILLISECONDS;
	}

	private void planPool(String pool, EngineProfile profile, Demand demand, Duty.Tenure tenure, long now,
			List<Runnable> actions, long allowedPause) {
		List<EngineSnapshot> usable = new ArrayList<>();
		List<EngineSnapshot> snapshots = new ArrayList<>();
		boolean complete = now - this.newEngineAt > LIST_COMPLETE_MILLISECONDS;
		int storeLoads = this.storeLoads.countLost(now);
		long nextStoreLoad = Long.MAX_VALUE;
		for (EngineState state : this.engines.values()) {
			if (!state.endpoint().pool().equals(pool)) {
				continue;
			}
			state.setRunning(demand.running().getOrDefault(state.endpoint().identifier(), Map.of()), now);
			EngineSnapshot engine = state.toEngine(profile, now);
			snapshots.add(engine);
			ResidencyStep.Load load = state.modelStep();
			if (load != null && load.source() == ResidencyStep.Source.STORE) {
				storeLoads++;
				nextStoreLoad = Math.min(nextStoreLoad, engine.freeInMilliseconds());
			}
			if (state.isKnown() && !isCutOff(state)) {
				usable.add(engine);
			}
			complete &= state.isKnown();
		}
		usable.sort(Comparator.comparing(EngineSnapshot::identifier));
		Map<LoadableName, UnservedDemand.Requests> unserved = updateUnserved(pool, demand, snapshots, now);
		this.starvation
			.observe(new StarvationMonitor.Observation(pool, snapshots, profile.models().keySet(), unserved, complete));
		ResidencyPlan plan = ResidencyPlanner.plan(new ResidencyInput(usable, profile.models(), demand.waiting(pool),
				unserved, demand.rates(pool), this.fetched, complete, storeLoads, this.storeLoads.loadsAtFullSpeed(),
				(storeLoads > 0) ? nextStoreLoad : 0,
				new PromptReading(RateKeys.selectPromptTokens(demand.rates(), pool), allowedPause)));
		plan.readyInMilliseconds()
			.forEach((model, readyInMilliseconds) -> this.readyIn.put(PeerRegistry.estimateKey(pool, model),
					readyInMilliseconds));
		for (ResidencyStep step : plan.steps()) {
			EngineState state = this.engines.get(step.endpoint());
			if (state != null) {
				beginStep(state, step, tenure, now, actions);
			}
		}
	}

	private Map<LoadableName, UnservedDemand.Requests> updateUnserved(String pool, Demand demand,
			List<EngineSnapshot> engines, long now) {
		Set<LoadableName> running = new HashSet<>();
		for (EngineSnapshot engine : engines) {
			demand.running()
				.getOrDefault(engine.identifier(), Map.of())
				.keySet()
				.forEach((loadable) -> running.add(LoadableName.parse(loadable)));
		}
		UnservedDemand ledger = this.unserved.computeIfAbsent(pool, (key) -> new UnservedDemand());
		ledger.update(demand.unserved(pool), running, now);
		return ledger.requests();
	}

	// Callers on this side of a partition cannot use the engines on the other side.
	// A silent domain whose engines still report is not partitioned off: only its
	// daemons have stopped.
	private boolean isCutOff(EngineState state) {
		return this.access.cutOff().test(state.endpoint()) && state.isReportMissed();
	}

	private void beginStep(EngineState state, ResidencyStep step, Duty.Tenure tenure, long now,
			List<Runnable> actions) {
		if (state.modelStep() != null || state.isOrderPending()) {
			return;
		}
		state.beginStep(step, now);
		if (step instanceof ResidencyStep.Load load && load.source() == ResidencyStep.Source.STORE) {
			this.fetched.add(load.loadable().model());
		}
		actions.add(() -> this.execution.execute(state, step, tenure));
	}

	private void readReport(EngineState state) {
		EngineReport report = this.execution.readReport(state);
		if (report == null) {
			return;
		}
		boolean holdingsChanged;
		synchronized (this) {
			Map<String, Set<String>> previous = state.holdings().loaded();
			boolean wasKnown = state.isKnown();
			boolean idle = state.modelStep() == null && !state.isOrderPending();
			holdingsChanged = idle && !report.busy() && state.applyReport(report, this.clock.milliseconds())
					&& (!wasKnown || !previous.equals(state.holdings().loaded()));
		}
		if (holdingsChanged) {
			this.log.accept(Event.named("placement.engine_read")
				.with("endpoint", state.endpoint().identifier())
				.with("orders_taken", report.ordersTaken())
				.with("loaded", report.holdings().loaded().keySet())
				.with("in_memory", report.holdings().inMemory().size())
				.with("on_disk", report.holdings().onDisk().size()));
			this.onChange.run();
			wake();
		}
	}

	/**
	 * Access to the engines.
	 *
	 * @param orders sends orders to engines
	 * @param directory the endpoints
	 * @param cutOff tells whether an endpoint may be partitioned off with its failure
	 * domain
	 */
	public record Access(EngineOrders orders, EndpointDirectory directory, Predicate<ServedEndpoint> cutOff) {
	}

	/**
	 * Settings of the placement.
	 *
	 * @param holder the name of this daemon in orders
	 * @param settleMilliseconds how long a new tenure waits before its first order, so
	 * that orders of the previous tenure have arrived
	 * @param storeLoadsAtOnce the first estimate of the number of concurrent loads that
	 * the weight store serves at full speed
	 */
	public record Settings(String holder, long settleMilliseconds, int storeLoadsAtOnce) {
	}

	/**
	 * The demand at all daemons. Immutable.
	 *
	 * @param waiting the models and adapters that requests wait for
	 * @param unserved the models and adapters that could not be served
	 * @param rates requests and prompt tokens per second by key
	 * @param running the number of running requests by endpoint and model or adapter
	 */
	public record Demand(List<PeerMessage.Waiting> waiting, List<PeerMessage.Unserved> unserved,
			Map<String, Double> rates, Map<String, Map<String, Integer>> running) {

		private List<WaitingDemand> waiting(String pool) {
			Map<String, WaitingDemand> sums = new HashMap<>();
			for (PeerMessage.Waiting entry : this.waiting) {
				if (entry.pool().equals(pool)) {
					WaitingDemand added = new WaitingDemand(LoadableName.parse(entry.loadable()), entry.count(),
							entry.oldest(), entry.objective());
					sums.merge(entry.loadable(), added, (left, right) -> left.mergeWith(right, left.loadable()));
				}
			}
			return new ArrayList<>(sums.values());
		}

		private List<UnservedDemand.Counted> unserved(String pool) {
			List<UnservedDemand.Counted> ofPool = new ArrayList<>();
			for (PeerMessage.Unserved entry : this.unserved) {
				if (entry.pool().equals(pool)) {
					ofPool.add(new UnservedDemand.Counted(LoadableName.parse(entry.loadable()), entry.count(),
							entry.oldest(), entry.newest()));
				}
			}
			return ofPool;
		}

		private Map<String, Double> rates(String pool) {
			return RateKeys.selectRequests(this.rates, pool);
		}

	}

}

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
import org.masticshelf.kernel.residency.Engine;
import org.masticshelf.kernel.residency.ResidencyFacts;
import org.masticshelf.kernel.residency.ResidencyPlan;
import org.masticshelf.kernel.residency.ResidencyPlanner;
import org.masticshelf.kernel.residency.Step;
import org.masticshelf.kernel.residency.WaitingDemand;
import org.masticshelf.kernel.serving.EngineProfile;
import org.masticshelf.kernel.serving.Loadable;
import org.masticshelf.kernel.serving.ServedEndpoint;
import org.masticshelf.kernel.serving.ServedPool;
import org.masticshelf.kernel.serving.ServedTables;
import org.masticshelf.kernel.time.MonotonicClock;
import org.masticshelf.serving.endpoint.EndpointDirectory;
import org.masticshelf.serving.peer.PeerMessage;
import org.masticshelf.serving.peer.PeerRegistry;
import org.masticshelf.serving.placement.EngineOrders.EngineReport;

/**
 * Gives engines their orders while this daemon holds the duty to place.
 * <p>
 * What engines hold is read from their own reports, so that nothing has to be handed over
 * from one holder to the next. Invariants: an order is sent only under a tenure that has
 * settled, and names the number of orders that the engine had taken when the plan was
 * made, so that a late or doubled order is refused; each engine has at most one order for
 * a model open. Safe for use by several threads.
 */
public final class Placement {

	/** How long a plan may rest while nothing changes. */
	private static final long ROUND_MILLISECONDS = 100;

	/** Without a new engine for this long, all that there are have been listed. */
	private static final long COMPLETE_MILLISECONDS = 1_500;

	private static final long REPORT_MILLISECONDS = 3_000;

	private static final long REPORT_IN_DOUBT_MILLISECONDS = 100;

	/** Soon enough to find out within a second which engines a cut has left in reach. */
	private static final long REPORT_ACROSS_CUT_MILLISECONDS = 300;

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

	private final StepExecution execution;

	private final Semaphore wakeUps = new Semaphore(0);

	private long settledAt = Long.MAX_VALUE;

	private long newEngineAt;

	private @Nullable Long settling;

	private volatile boolean stopped;

	/**
	 * Creates a placement that does nothing until {@link #start()}.
	 * @param duty the duty to place
	 * @param access the way to the engines
	 * @param tables returns the tables in force
	 * @param demand returns what is asked for
	 * @param clock the clock
	 * @param settings bounds
	 * @param log receives the events
	 * @param onChange run when what engines hold or when models are ready has changed
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
		this.execution = new StepExecution(this, access.orders(), clock, settings.holder(), log, this::announceChange);
	}

	/** Begins to plan, on a thread of its own. */
	public void start() {
		Thread.ofVirtual().name("placement").start(this::loop);
	}

	/** Ends planning for good. */
	public void stop() {
		this.stopped = true;
		wake();
	}

	/** Has a plan made soon. */
	public void wake() {
		if (this.wakeUps.availablePermits() == 0) {
			this.wakeUps.release();
		}
	}

	private void loop() {
		while (!this.stopped) {
			try {
				if (this.wakeUps.tryAcquire(ROUND_MILLISECONDS, TimeUnit.MILLISECONDS)) {
					this.wakeUps.drainPermits();
				}
				round();
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
				return;
			}
			catch (RuntimeException ex) {
				this.log.accept(Event.named("placement.round_failed").with("cause", ex.toString()));
			}
		}
	}

	/**
	 * Returns what engines hold, for this daemon and its peers.
	 * @param whole whether to name all engines, else those that have changed since the
	 * last call
	 * @return the placement, {@code null} unless this daemon holds the duty
	 */
	public PeerMessage.@Nullable Placement announcement(boolean whole) {
		Duty.Tenure tenure = this.duty.tenure();
		if (tenure == null) {
			return null;
		}
		synchronized (this) {
			List<PeerMessage.Engine> announced = new ArrayList<>();
			for (EngineState state : this.engines.values()) {
				boolean changed = state.getAndClearChanged();
				if (state.isKnown() && (whole || changed)) {
					Map<String, List<String>> loaded = new HashMap<>();
					state.holdings().loaded().forEach((model, adapters) -> loaded.put(model, List.copyOf(adapters)));
					announced.add(new PeerMessage.Engine(state.endpoint().identifier(), state.endpoint().startedAt(),
							state.ordersTaken(), loaded));
				}
			}
			return new PeerMessage.Placement(tenure.fencing(), announced, this.readyIn);
		}
	}

	private void round() {
		Duty.Tenure tenure = settledTenure();
		ServedTables current = this.tables.get();
		if (tenure == null || current == null) {
			return;
		}
		List<Runnable> actions = new ArrayList<>();
		boolean changed;
		synchronized (this) {
			long now = this.clock.milliseconds();
			refreshEngines(current, now, actions);
			Map<String, Long> before = Map.copyOf(this.readyIn);
			this.readyIn.clear();
			Demand asked = this.demand.get();
			for (ServedPool pool : current.pools().values()) {
				if (pool.engine() != null) {
					planPool(pool.name(), pool.engine(), asked, tenure, now, actions);
				}
			}
			changed = !before.keySet().equals(this.readyIn.keySet());
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
	 * Returns whether planning has ended for good.
	 * @return whether it was stopped
	 */
	boolean isStopped() {
		return this.stopped;
	}

	/**
	 * Returns the tenure under which orders may be given now.
	 * @return the tenure, {@code null} if there is none or it has not settled
	 */
	Duty.@Nullable Tenure settledTenure() {
		Duty.Tenure tenure = this.duty.tenure();
		long now = this.clock.milliseconds();
		synchronized (this) {
			if (tenure == null) {
				this.settling = null;
				this.engines.clear();
				this.readyIn.clear();
				return null;
			}
			if (this.settling == null || this.settling != tenure.fencing()) {
				this.settling = tenure.fencing();
				this.settledAt = now + this.settings.settleMilliseconds();
				this.engines.clear();
			}
			return (now >= this.settledAt) ? tenure : null;
		}
	}

	private void refreshEngines(ServedTables current, long now, List<Runnable> actions) {
		Set<String> present = new HashSet<>();
		for (ServedPool pool : current.pools().values()) {
			if (pool.engine() == null) {
				continue;
			}
			for (ServedEndpoint endpoint : this.access.directory().inPool(pool.name())) {
				present.add(endpoint.identifier());
				EngineState state = this.engines.get(endpoint.identifier());
				if (state == null || !state.endpoint().isSameRun(endpoint)) {
					state = new EngineState(endpoint);
					this.engines.put(endpoint.identifier(), state);
					this.newEngineAt = now;
				}
				boolean idle = state.modelStep() == null && !state.isOrderOpen();
				long interval = !state.isKnown() ? REPORT_IN_DOUBT_MILLISECONDS
						: this.access.cutOff().test(endpoint) ? REPORT_ACROSS_CUT_MILLISECONDS : REPORT_MILLISECONDS;
				if (idle && state.isReportDue(now, interval)) {
					EngineState reporting = state;
					actions.add(() -> readReport(reporting));
				}
			}
		}
		this.engines.keySet().retainAll(present);
	}

	private void planPool(String pool, EngineProfile profile, Demand asked, Duty.Tenure tenure, long now,
			List<Runnable> actions) {
		List<Engine> usable = new ArrayList<>();
		boolean complete = now - this.newEngineAt > COMPLETE_MILLISECONDS;
		int storeLoads = 0;
		long nextStoreLoad = Long.MAX_VALUE;
		for (EngineState state : this.engines.values()) {
			if (!state.endpoint().pool().equals(pool)) {
				continue;
			}
			state.setRunning(asked.running().getOrDefault(state.endpoint().identifier(), Map.of()), now);
			Engine engine = state.toEngine(profile, now);
			Step.Load load = state.modelStep();
			if (load != null && load.source() == Step.Source.STORE) {
				storeLoads++;
				nextStoreLoad = Math.min(nextStoreLoad, engine.freeInMilliseconds());
			}
			if (state.isKnown() && !isCutOff(state)) {
				usable.add(engine);
			}
			complete &= state.isKnown();
		}
		usable.sort(Comparator.comparing(Engine::identifier));
		ResidencyPlan plan = ResidencyPlanner
			.plan(new ResidencyFacts(usable, profile.models(), asked.waiting(pool), asked.rates(pool), complete,
					storeLoads, this.settings.storeLoadsAtOnce(), (storeLoads > 0) ? nextStoreLoad : 0));
		plan.readyInMilliseconds()
			.forEach((model, ready) -> this.readyIn.put(PeerRegistry.estimateKey(pool, model), ready));
		for (Step step : plan.steps()) {
			EngineState state = this.engines.get(step.endpoint());
			if (state != null) {
				beginStep(state, step, tenure, now, actions);
			}
		}
	}

	// What engines behind a cut hold is of no use to the callers on this side. The
	// daemons
	// of a failure domain may also have stopped while its engines go on.
	private boolean isCutOff(EngineState state) {
		return this.access.cutOff().test(state.endpoint()) && state.isReportMissed();
	}

	private void beginStep(EngineState state, Step step, Duty.Tenure tenure, long now, List<Runnable> actions) {
		if (state.modelStep() != null || state.isOrderOpen()) {
			return;
		}
		state.beginStep(step, now);
		actions.add(() -> this.execution.execute(state, step, tenure));
	}

	private void readReport(EngineState state) {
		EngineReport report = this.execution.readReport(state);
		if (report == null) {
			return;
		}
		boolean news;
		synchronized (this) {
			Map<String, Set<String>> before = state.holdings().loaded();
			boolean wasKnown = state.isKnown();
			boolean undisturbed = state.modelStep() == null && !state.isOrderOpen();
			news = undisturbed && !report.busy() && state.applyReport(report, this.clock.milliseconds())
					&& (!wasKnown || !before.equals(state.holdings().loaded()));
		}
		if (news) {
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
	 * The way to the engines.
	 *
	 * @param orders gives orders to engines
	 * @param directory the endpoints
	 * @param cutOff whether an endpoint may be cut off with its failure domain
	 */
	public record Access(EngineOrders orders, EndpointDirectory directory, Predicate<ServedEndpoint> cutOff) {
	}

	/**
	 * Bounds of placing.
	 *
	 * @param holder names this daemon in orders
	 * @param settleMilliseconds how long a new tenure waits before its first order, so
	 * that orders of the one before have arrived
	 * @param storeLoadsAtOnce loads that the weight store serves at full speed
	 */
	public record Settings(String holder, long settleMilliseconds, int storeLoadsAtOnce) {
	}

	/**
	 * What is asked for at all daemons. Immutable.
	 *
	 * @param waiting what requests wait for
	 * @param rates requests a second by pool and model
	 * @param running requests by endpoint and model or adapter
	 */
	public record Demand(List<PeerMessage.Waiting> waiting, Map<String, Double> rates,
			Map<String, Map<String, Integer>> running) {

		private List<WaitingDemand> waiting(String pool) {
			Map<String, WaitingDemand> sums = new HashMap<>();
			for (PeerMessage.Waiting one : this.waiting) {
				if (one.pool().equals(pool)) {
					WaitingDemand fresh = new WaitingDemand(Loadable.parse(one.loadable()), one.count(), one.oldest(),
							one.objective());
					sums.merge(one.loadable(), fresh, (left, right) -> left.with(right, left.loadable()));
				}
			}
			return new ArrayList<>(sums.values());
		}

		private Map<String, Double> rates(String pool) {
			Map<String, Double> ofPool = new HashMap<>();
			String prefix = pool + "/";
			this.rates.forEach((key, rate) -> {
				if (key.startsWith(prefix)) {
					ofPool.put(key.substring(prefix.length()), rate);
				}
			});
			return ofPool;
		}

	}

}

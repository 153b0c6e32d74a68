package org.masticshelf.daemon;

import java.net.URI;
import java.util.Random;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.model.registry.PrometheusRegistry;

import org.masticshelf.control.claim.ClaimRegistry;
import org.masticshelf.control.claim.DelayedExecutor;
import org.masticshelf.control.grant.GrantClient;
import org.masticshelf.control.grant.GrantKeeper;
import org.masticshelf.control.membership.Members;
import org.masticshelf.control.placement.DemandReporter;
import org.masticshelf.control.placement.EndpointPresence;
import org.masticshelf.control.placement.OrderLedger;
import org.masticshelf.control.placement.PlacementKeepers;
import org.masticshelf.control.placement.PlacementServices;
import org.masticshelf.control.placement.PlacementView;
import org.masticshelf.control.placement.SenderStatus;
import org.masticshelf.daemon.caller.CallerListener;
import org.masticshelf.daemon.dispatch.LoadReports;
import org.masticshelf.daemon.dispatch.PoolDispatcher;
import org.masticshelf.daemon.dispatch.PoolDispatchers;
import org.masticshelf.daemon.operator.OperatorListener;
import org.masticshelf.daemon.operator.OperatorOperations;
import org.masticshelf.daemon.request.ActiveRequests;
import org.masticshelf.daemon.request.ClientGrants;
import org.masticshelf.daemon.request.RequestEntry;
import org.masticshelf.daemon.request.RequestMetrics;
import org.masticshelf.daemon.request.RequestServices;
import org.masticshelf.daemon.request.ViewHolders;
import org.masticshelf.daemon.settings.DaemonSettings;
import org.masticshelf.kernel.access.AccessPolicy;
import org.masticshelf.kernel.configuration.Configuration;
import org.masticshelf.kernel.configuration.Pool;
import org.masticshelf.kernel.event.Event;
import org.masticshelf.kernel.placement.PlacementPolicy;
import org.masticshelf.kernel.port.Engine;
import org.masticshelf.kernel.port.InstanceList;
import org.masticshelf.kernel.port.KeyValueStore;
import org.masticshelf.kernel.port.PlainService;
import org.masticshelf.kernel.port.PortProvider;
import org.masticshelf.kernel.queue.QueueBounds;
import org.masticshelf.kernel.time.MonotonicClock;
import org.masticshelf.transport.http.HttpClient;
import org.masticshelf.transport.http.HttpPeerChannel;
import org.masticshelf.transport.http.JsonServer;
import org.masticshelf.transport.log.EventLog;

/**
 * A running daemon: its parts put together, started and drained.
 * <p>
 * Invariant: a drained daemon has ended every request that it took, unless the bound on
 * draining has passed. Safe for use by several threads.
 */
public final class Daemon {

	private static final long PUMP_MILLISECONDS = 5;

	private static final long MILLISECONDS_PER_SECOND = 1_000;

	private static final int SCHEDULER_THREADS = 2;

	private static final int CONTROL_THREADS = 2;

	private static final long LEAVE_SECONDS = 2;

	private final DaemonSettings settings;

	private final MonotonicClock clock = MonotonicClock.ForSystem.INSTANCE;

	private final ScheduledExecutorService scheduler = Executors.newScheduledThreadPool(SCHEDULER_THREADS,
			Thread.ofPlatform().daemon(true).name("scheduler-", 0).factory());

	private final PrometheusRegistry metrics = new PrometheusRegistry();

	private final ActiveRequests active = new ActiveRequests();

	private final HttpClient peerClient = HttpClient.withThreads(CONTROL_THREADS);

	private final JsonServer control;

	private final ControlPlane plane;

	private final GrantClient grants;

	private final RequestEntry entry;

	private final CallerListener callers;

	private final Readiness readiness;

	private final AtomicBoolean pumpAsked = new AtomicBoolean();

	private volatile boolean draining;

	private Daemon(DaemonSettings settings) {
		this.settings = settings;
		String incarnation = settings.instance() + "-" + UUID.randomUUID().toString().substring(0, 8);
		Members.Member self = new Members.Member(incarnation, settings.instance(), settings.controlListener(),
				settings.failureDomain());
		int colon = settings.controlListener().lastIndexOf(':');
		this.control = JsonServer.start(settings.controlListener().substring(0, colon),
				Integer.parseInt(settings.controlListener().substring(colon + 1)), CONTROL_THREADS);
		HttpPeerChannel channel = new HttpPeerChannel(this.peerClient, this.control);
		KeyValueStore store = PortProvider.open(KeyValueStore.class, settings.keyValueService());
		InstanceList instances = PortProvider.open(InstanceList.class, settings.instanceList());
		Engine engine = PortProvider.open(Engine.class, URI.create("openai://endpoints"));
		PlainService plainService = PortProvider.open(PlainService.class, URI.create("http://endpoints"));
		this.plane = new ControlPlane(settings, self, store, instances, channel, this.clock, this.scheduler);
		this.readiness = new Readiness(this.plane.configuration(), this.clock);
		GrantKeeper keeper = GrantKeeper.builder()
			.withClock(this.clock)
			.withDuties(this.plane.duties())
			.withKeyValueStore(store)
			.withConfiguration(this.plane.configuration())
			.withMembers(this.plane.members())
			.build()
			.answerOn(channel);
		this.grants = GrantClient.builder()
			.withClock(this.clock)
			.withDuties(this.plane.duties())
			.withChannel(channel)
			.withConfiguration(this.plane.configuration())
			.withMembers(this.plane.members())
			.withKeeper(keeper)
			.build();
		PlacementServices placement = new PlacementServices(store, engine, this.clock, this::presence,
				new SenderStatus.OfPeers(channel), new OrderLedger(this.clock), PlacementPolicy.DEFAULT,
				EventLog::info);
		PlacementKeepers keepers = new PlacementKeepers(placement, this.plane.duties(), this.plane.members(),
				this.plane.configuration(), channel);
		DemandReporter reporter = new DemandReporter(keepers, this.plane.configuration(), this.clock, incarnation);
		PlacementView view = new PlacementView(keepers, reporter, this.clock);
		ViewHolders holders = new ViewHolders(view, reporter, this.clock);
		RequestServices services = new RequestServices(engine, plainService, new ClientGrants(this.grants, this.clock),
				holders, this.active, this.clock, this.scheduler, new RequestMetrics(this.metrics));
		PoolDispatchers dispatchers = new PoolDispatchers(this::newDispatcher);
		ClaimRegistry claims = new ClaimRegistry(store, this.clock, new DelayedExecutor.ForScheduler(this.scheduler),
				incarnation, this::isRunning);
		this.entry = new RequestEntry(this.plane.configuration(), services, dispatchers, claims, incarnation);
		this.plane.configuration().addListener((configuration) -> adopted(configuration, dispatchers));
		new OperatorOperations(settings, this.plane.members(), this.plane.configuration(), dispatchers, holders,
				this.grants, () -> this.draining)
			.answerOn(channel);
		this.plane.start();
		keepers.start(this.scheduler);
		this.grants.runOn(this.scheduler);
		this.grants.addListener((organisation) -> pumpSoon(dispatchers));
		view.addListener((changed) -> pumpSoon(dispatchers));
		LoadReports reports = new LoadReports(dispatchers, engine, this.clock);
		DemandLoop demand = new DemandLoop(dispatchers, reporter);
		every(PUMP_MILLISECONDS, dispatchers::pump);
		every(DemandReporter.FLUSH_MILLISECONDS, demand::tick);
		every(PlacementView.REFRESH_MILLISECONDS, view::refresh);
		every(LoadReports.REFRESH_MILLISECONDS, reports::refresh);
		every(LoadReports.REFRESH_MILLISECONDS, () -> dispatchers.leaving(this.plane.endpoints().leaving()));
		registerGauges(dispatchers);
		this.callers = CallerListener.start(settings.callerListener(), settings.limits(), this.entry);
		OperatorListener.start(settings.operatorListener(), this.metrics, this::isReady);
	}

	/**
	 * Starts a daemon.
	 * @param settings the checked settings
	 * @return the running daemon, not necessarily ready yet
	 */
	public static Daemon start(DaemonSettings settings) {
		Daemon daemon = new Daemon(settings);
		EventLog.info(Event.named("daemon.started")
			.with("instance", settings.instance())
			.with("domain", settings.failureDomain())
			.with("callers", daemon.callers.address()));
		daemon.awaitReadiness();
		return daemon;
	}

	private void awaitReadiness() {
		if (isReady()) {
			EventLog
				.info(Event.named("daemon.ready").with("revision", this.plane.configuration().current().revision()));
			return;
		}
		this.scheduler.schedule(this::awaitReadiness, PUMP_MILLISECONDS, TimeUnit.MILLISECONDS);
	}

	private boolean isReady() {
		return !this.draining && this.readiness.isReached();
	}

	private PoolDispatcher newDispatcher(Pool pool) {
		return new PoolDispatcher(pool, this.settings.failureDomain(),
				new QueueBounds(this.settings.limits().maximumWaiting(), QueueBounds.DEFAULT.quantumTokens()),
				this.clock, new Random());
	}

	private EndpointPresence.Presence presence(Pool.Endpoint endpoint) {
		if (this.plane.endpoints().unlisted().contains(endpoint.identifier())) {
			return EndpointPresence.Presence.GONE;
		}
		return this.plane.endpoints().leaving().contains(endpoint.identifier()) ? EndpointPresence.Presence.LEAVING
				: EndpointPresence.Presence.LIVE;
	}

	private boolean isRunning(String incarnation) {
		return this.plane.members().members().stream().anyMatch((member) -> member.incarnation().equals(incarnation));
	}

	private void adopted(Configuration configuration, PoolDispatchers dispatchers) {
		dispatchers.update(configuration);
		long now = System.currentTimeMillis() / MILLISECONDS_PER_SECOND;
		this.active.abortWithout((digest) -> AccessPolicy.INSTANCE.organisationOf(configuration, digest, now) != null);
	}

	private void registerGauges(PoolDispatchers dispatchers) {
		GaugeWithCallback.builder()
			.name("masticshelf_requests_active")
			.help("Requests that have been taken and not yet ended.")
			.callback((callback) -> callback.call(this.active.size()))
			.register(this.metrics);
		GaugeWithCallback.builder()
			.name("masticshelf_requests_waiting")
			.help("Requests that wait before a pool.")
			.labelNames("pool")
			.callback((callback) -> dispatchers.all()
				.forEach((dispatcher) -> callback.call(dispatcher.waiting().size(),
						dispatcher.pool().name().toString())))
			.register(this.metrics);
		GaugeWithCallback.builder()
			.name("masticshelf_configuration_revision")
			.help("The revision of the configuration in force at this daemon.")
			.callback((callback) -> callback.call(this.plane.configuration().current().revision()))
			.register(this.metrics);
		GaugeWithCallback.builder()
			.name("masticshelf_keys_trusted")
			.help("1 while requests with keys may run, 0 while this daemon is isolated.")
			.callback((callback) -> callback.call(this.plane.configuration().freshness().permitsKeys() ? 1 : 0))
			.register(this.metrics);
	}

	// Never on the calling thread, which may be inside the dispatch of a pool whose lock
	// it
	// holds.
	private void pumpSoon(PoolDispatchers dispatchers) {
		if (this.pumpAsked.compareAndSet(false, true)) {
			this.scheduler.execute(() -> {
				this.pumpAsked.set(false);
				runSafely(dispatchers::pump);
			});
		}
	}

	private void every(long milliseconds, Runnable task) {
		this.scheduler.scheduleWithFixedDelay(() -> runSafely(task), 0, milliseconds, TimeUnit.MILLISECONDS);
	}

	private static void runSafely(Runnable task) {
		try {
			task.run();
		}
		catch (RuntimeException ex) {
			EventLog.severe(Event.named("task.failed").with("cause", ex.getMessage()), ex);
		}
	}

	/**
	 * Stops as planned: turns readiness, goes on for the time of notice, refuses new
	 * requests, waits for the others to end, gives up duties and membership.
	 */
	public void drain() {
		this.draining = true;
		EventLog.info(Event.named("daemon.draining").with("active", this.active.size()));
		pause(this.settings.drain().noticeMilliseconds());
		this.entry.drain();
		CountDownLatch empty = new CountDownLatch(1);
		this.active.awaitEmpty(empty::countDown);
		boolean ended = await(empty, this.settings.drain().milliseconds());
		CompletableFuture.allOf(this.grants.leave(), this.plane.leave())
			.completeOnTimeout(null, LEAVE_SECONDS, TimeUnit.SECONDS)
			.handle((left, failure) -> left)
			.join();
		EventLog.info(Event.named("daemon.stopped").with("cut_requests", ended ? 0 : this.active.size()));
		this.callers.close();
		this.control.close();
	}

	private static void pause(long milliseconds) {
		await(new CountDownLatch(1), milliseconds);
	}

	private static boolean await(CountDownLatch latch, long milliseconds) {
		try {
			return latch.await(milliseconds, TimeUnit.MILLISECONDS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return false;
		}
	}

}

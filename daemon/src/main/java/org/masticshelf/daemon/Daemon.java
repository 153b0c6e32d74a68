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
import org.masticshelf.control.placement.OutstandingOrders;
import org.masticshelf.control.placement.PlacementControllers;
import org.masticshelf.control.placement.PlacementServices;
import org.masticshelf.control.placement.PlacementView;
import org.masticshelf.control.placement.SenderStatus;
import org.masticshelf.daemon.caller.CallerListener;
import org.masticshelf.daemon.dispatch.LoadReportPoller;
import org.masticshelf.daemon.dispatch.PoolDispatcher;
import org.masticshelf.daemon.dispatch.PoolDispatchers;
import org.masticshelf.daemon.operator.OperatorListener;
import org.masticshelf.daemon.operator.OperatorQueries;
import org.masticshelf.daemon.request.ActiveRequests;
import org.masticshelf.daemon.request.ClientGrants;
import org.masticshelf.daemon.request.PlacementLocations;
import org.masticshelf.daemon.request.RequestHandler;
import org.masticshelf.daemon.request.RequestMetrics;
import org.masticshelf.daemon.request.RequestServices;
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
 * A running daemon, which creates, starts and drains its parts.
 * <p>
 * Invariant: a drained daemon has ended every request that it accepted, unless the drain
 * timeout has passed. Safe for use by several threads.
 */
public final class Daemon {

	private static final long DISPATCH_INTERVAL_MILLISECONDS = 5;

	private static final long MILLISECONDS_PER_SECOND = 1_000;

	private static final int SCHEDULER_THREADS = 2;

	private static final int CONTROL_THREADS = 2;

	private static final long LEAVE_TIMEOUT_SECONDS = 2;

	private final DaemonSettings settings;

	private final MonotonicClock clock = MonotonicClock.SystemClock.INSTANCE;

	private final ScheduledExecutorService scheduler = Executors.newScheduledThreadPool(SCHEDULER_THREADS,
			Thread.ofPlatform().daemon(true).name("scheduler-", 0).factory());

	private final PrometheusRegistry metrics = new PrometheusRegistry();

	private final ActiveRequests activeRequests = new ActiveRequests();

	private final HttpClient peerClient = HttpClient.withThreads(CONTROL_THREADS);

	private final JsonServer controlServer;

	private final ControlPlane controlPlane;

	private final GrantClient grants;

	private final RequestHandler requestHandler;

	private final CallerListener callerListener;

	private final StartupReadiness readiness;

	private final AtomicBoolean dispatchScheduled = new AtomicBoolean();

	private volatile boolean draining;

	private Daemon(DaemonSettings settings) {
		this.settings = settings;
		String incarnation = settings.instance() + "-" + UUID.randomUUID().toString().substring(0, 8);
		Members.Member self = new Members.Member(incarnation, settings.instance(), settings.controlListener(),
				settings.failureDomain());
		int colon = settings.controlListener().lastIndexOf(':');
		this.controlServer = JsonServer.start(settings.controlListener().substring(0, colon),
				Integer.parseInt(settings.controlListener().substring(colon + 1)), CONTROL_THREADS);
		HttpPeerChannel channel = new HttpPeerChannel(this.peerClient, this.controlServer);
		KeyValueStore store = PortProvider.open(KeyValueStore.class, settings.keyValueService());
		InstanceList instances = PortProvider.open(InstanceList.class, settings.instanceList());
		Engine engine = PortProvider.open(Engine.class, URI.create("openai://endpoints"));
		PlainService plainService = PortProvider.open(PlainService.class, URI.create("http://endpoints"));
		this.controlPlane = new ControlPlane(settings, self, store, instances, channel, this.clock, this.scheduler);
		this.readiness = new StartupReadiness(this.controlPlane.configuration(), this.clock);
		GrantKeeper keeper = GrantKeeper.builder()
			.withClock(this.clock)
			.withDuties(this.controlPlane.duties())
			.withKeyValueStore(store)
			.withConfiguration(this.controlPlane.configuration())
			.withMembers(this.controlPlane.members())
			.build()
			.answerOn(channel);
		this.grants = GrantClient.builder()
			.withClock(this.clock)
			.withDuties(this.controlPlane.duties())
			.withChannel(channel)
			.withConfiguration(this.controlPlane.configuration())
			.withMembers(this.controlPlane.members())
			.withKeeper(keeper)
			.build();
		PlacementServices placement = new PlacementServices(store, engine, this.clock, this::presenceOf,
				new SenderStatus.OfPeers(channel), new OutstandingOrders(this.clock), PlacementPolicy.DEFAULT,
				EventLog::info);
		PlacementControllers keepers = new PlacementControllers(placement, this.controlPlane.duties(),
				this.controlPlane.members(), this.controlPlane.configuration(), channel);
		DemandReporter reporter = new DemandReporter(keepers, this.controlPlane.configuration(), this.clock,
				incarnation);
		PlacementView view = new PlacementView(keepers, reporter, this.clock);
		PlacementLocations locations = new PlacementLocations(view, reporter, this.clock);
		RequestServices services = new RequestServices(engine, plainService, new ClientGrants(this.grants, this.clock),
				locations, this.activeRequests, this.clock, this.scheduler, new RequestMetrics(this.metrics));
		PoolDispatchers dispatchers = new PoolDispatchers(this::newDispatcher);
		ClaimRegistry claims = new ClaimRegistry(store, this.clock, new DelayedExecutor.ForScheduler(this.scheduler),
				incarnation, this::isRunning);
		this.requestHandler = new RequestHandler(this.controlPlane.configuration(), services, dispatchers, claims,
				incarnation);
		this.controlPlane.configuration()
			.addListener((configuration) -> applyConfiguration(configuration, dispatchers));
		new OperatorQueries(settings, this.controlPlane.members(), this.controlPlane.configuration(), dispatchers,
				locations, this.grants, () -> this.draining)
			.registerOn(channel);
		this.controlPlane.start();
		keepers.start(this.scheduler);
		this.grants.runOn(this.scheduler);
		this.grants.addListener((organisation) -> scheduleDispatch(dispatchers));
		view.addListener((changed) -> scheduleDispatch(dispatchers));
		LoadReportPoller loadReports = new LoadReportPoller(dispatchers, engine, this.clock);
		WaitingDemandReporter demandReporter = new WaitingDemandReporter(dispatchers, reporter);
		scheduleEvery(DISPATCH_INTERVAL_MILLISECONDS, dispatchers::dispatchWaiting);
		scheduleEvery(DemandReporter.FLUSH_MILLISECONDS, demandReporter::report);
		scheduleEvery(PlacementView.REFRESH_MILLISECONDS, view::refresh);
		scheduleEvery(LoadReportPoller.POLL_INTERVAL_MILLISECONDS, loadReports::poll);
		scheduleEvery(LoadReportPoller.POLL_INTERVAL_MILLISECONDS,
				() -> dispatchers.markLeaving(this.controlPlane.endpoints().leaving()));
		registerGauges(dispatchers);
		this.callerListener = CallerListener.start(settings.callerListener(), settings.limits(), this.requestHandler);
		OperatorListener.start(settings.operatorListener(), this.metrics, this::isReady);
	}

	/**
	 * Starts a daemon.
	 * @param settings the validated settings
	 * @return the running daemon, not necessarily ready yet
	 */
	public static Daemon start(DaemonSettings settings) {
		Daemon daemon = new Daemon(settings);
		EventLog.info(Event.named("daemon.started")
			.with("instance", settings.instance())
			.with("domain", settings.failureDomain())
			.with("callers", daemon.callerListener.address()));
		daemon.awaitReadiness();
		return daemon;
	}

	private void awaitReadiness() {
		if (isReady()) {
			EventLog.info(Event.named("daemon.ready")
				.with("revision", this.controlPlane.configuration().current().revision()));
			return;
		}
		this.scheduler.schedule(this::awaitReadiness, DISPATCH_INTERVAL_MILLISECONDS, TimeUnit.MILLISECONDS);
	}

	private boolean isReady() {
		return !this.draining && this.readiness.isReady();
	}

	private PoolDispatcher newDispatcher(Pool pool) {
		return new PoolDispatcher(pool, this.settings.failureDomain(),
				new QueueBounds(this.settings.limits().maximumWaiting(), QueueBounds.DEFAULT.quantumTokens()),
				this.clock, new Random());
	}

	private EndpointPresence.Presence presenceOf(Pool.Endpoint endpoint) {
		if (this.controlPlane.endpoints().unlisted().contains(endpoint.identifier())) {
			return EndpointPresence.Presence.GONE;
		}
		return this.controlPlane.endpoints().leaving().contains(endpoint.identifier())
				? EndpointPresence.Presence.LEAVING : EndpointPresence.Presence.LIVE;
	}

	private boolean isRunning(String incarnation) {
		return this.controlPlane.members()
			.members()
			.stream()
			.anyMatch((member) -> member.incarnation().equals(incarnation));
	}

	private void applyConfiguration(Configuration configuration, PoolDispatchers dispatchers) {
		dispatchers.update(configuration);
		long epochSeconds = System.currentTimeMillis() / MILLISECONDS_PER_SECOND;
		this.activeRequests.abortUnlessPermitted(
				(digest) -> AccessPolicy.INSTANCE.organisationOf(configuration, digest, epochSeconds) != null);
	}

	private void registerGauges(PoolDispatchers dispatchers) {
		GaugeWithCallback.builder()
			.name("masticshelf_requests_active")
			.help("Requests that have been taken and not yet ended.")
			.callback((callback) -> callback.call(this.activeRequests.size()))
			.register(this.metrics);
		GaugeWithCallback.builder()
			.name("masticshelf_requests_waiting")
			.help("Requests that wait before a pool.")
			.labelNames("pool")
			.callback((callback) -> dispatchers.all()
				.forEach((dispatcher) -> callback.call(dispatcher.waitingRequests().size(),
						dispatcher.pool().name().toString())))
			.register(this.metrics);
		GaugeWithCallback.builder()
			.name("masticshelf_configuration_revision")
			.help("The revision of the configuration in force at this daemon.")
			.callback((callback) -> callback.call(this.controlPlane.configuration().current().revision()))
			.register(this.metrics);
		GaugeWithCallback.builder()
			.name("masticshelf_keys_trusted")
			.help("1 while requests with keys may run, 0 while this daemon is isolated.")
			.callback((callback) -> callback.call(this.controlPlane.configuration().freshness().permitsKeys() ? 1 : 0))
			.register(this.metrics);
	}

	// Runs on the scheduler, because the calling thread may hold the lock of a pool.
	private void scheduleDispatch(PoolDispatchers dispatchers) {
		if (this.dispatchScheduled.compareAndSet(false, true)) {
			this.scheduler.execute(() -> {
				this.dispatchScheduled.set(false);
				runSafely(dispatchers::dispatchWaiting);
			});
		}
	}

	private void scheduleEvery(long milliseconds, Runnable task) {
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
	 * Performs a planned stop: reports not ready, accepts requests for the notice period,
	 * refuses new requests, waits for the others to end, and gives up duties and
	 * membership.
	 */
	public void drain() {
		this.draining = true;
		EventLog.info(Event.named("daemon.draining").with("active", this.activeRequests.size()));
		pause(this.settings.drain().noticeMilliseconds());
		this.requestHandler.drain();
		CountDownLatch empty = new CountDownLatch(1);
		this.activeRequests.runWhenEmpty(empty::countDown);
		boolean ended = await(empty, this.settings.drain().milliseconds());
		CompletableFuture.allOf(this.grants.leave(), this.controlPlane.leave())
			.completeOnTimeout(null, LEAVE_TIMEOUT_SECONDS, TimeUnit.SECONDS)
			.handle((left, failure) -> left)
			.join();
		EventLog.info(Event.named("daemon.stopped").with("cut_requests", ended ? 0 : this.activeRequests.size()));
		this.callerListener.close();
		this.controlServer.close();
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

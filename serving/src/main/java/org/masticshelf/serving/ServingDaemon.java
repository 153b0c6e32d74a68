package org.masticshelf.serving;

import java.time.Duration;
import java.util.Collection;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.UUID;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.jspecify.annotations.Nullable;

import org.masticshelf.control.duty.DaemonLease;
import org.masticshelf.control.duty.Duty;
import org.masticshelf.control.duty.LeasedDuties;
import org.masticshelf.control.membership.LeasedMembers;
import org.masticshelf.control.membership.Members;
import org.masticshelf.control.view.PrefixView;
import org.masticshelf.kernel.event.Event;
import org.masticshelf.kernel.port.PeerChannel;
import org.masticshelf.kernel.serving.ServedEndpoint;
import org.masticshelf.kernel.serving.ServedTables;
import org.masticshelf.kernel.time.MonotonicClock;
import org.masticshelf.serving.caller.ServingListener;
import org.masticshelf.serving.endpoint.EndpointDirectory;
import org.masticshelf.serving.endpoint.EndpointLoads;
import org.masticshelf.serving.grant.SharedGrants;
import org.masticshelf.serving.peer.PeerBoard;
import org.masticshelf.serving.placement.Placement;
import org.masticshelf.serving.request.ModelRates;
import org.masticshelf.serving.request.RequestContext;
import org.masticshelf.serving.request.RequestForwarder;
import org.masticshelf.serving.request.RetryBudgets;
import org.masticshelf.serving.request.ServingMetrics;
import org.masticshelf.serving.request.StopPhase;
import org.masticshelf.serving.request.WaitingRoom;
import org.masticshelf.serving.upstream.EndpointConnections;
import org.masticshelf.transport.log.EventLog;

/**
 * A running serving daemon: its parts put together, started and drained.
 * <p>
 * Invariants: a drained daemon has ended every request that it took, unless the bound on
 * stopping has passed; tables are never replaced by an earlier version. Safe for use by
 * several threads.
 */
public final class ServingDaemon {

	private static final String DUTY_TO_PLACE = "serving/place";

	/** How long the lease of a daemon lives without renewal. */
	private static final long LEASE_MILLISECONDS = 3_000;

	/** How often keys are listed although watches lose nothing. */
	private static final Duration LISTING = Duration.ofSeconds(30);

	private static final long CONTROL_ROUND_MILLISECONDS = 150;

	private static final long PEER_ROUND_MILLISECONDS = 50;

	private static final long DEFAULT_BODY_BYTES = 4L * 1024 * 1024;

	/** The platform sees two failed probes, one a second, before callers stay away. */
	private static final long NOTICE_MILLISECONDS = 2_700;

	/** What a stopping daemon keeps for giving its lease back, milliseconds. */
	private static final long LEAVE_MILLISECONDS = 700;

	/** How long before its end a stop refuses what still waits, milliseconds. */
	private static final long ENDING_MILLISECONDS = 1_500;

	private static final long POLL_MILLISECONDS = 50;

	private final ServingSettings settings;

	private final ServingPorts ports;

	private final MonotonicClock clock = MonotonicClock.ForSystem.INSTANCE;

	private final ScheduledExecutorService scheduler = Executors
		.newSingleThreadScheduledExecutor(Thread.ofPlatform().daemon(true).name("rounds").factory());

	private final PrometheusRegistry metrics = new PrometheusRegistry();

	private final EndpointDirectory directory = new EndpointDirectory(this.clock, EventLog::info);

	private final EndpointLoads loads = new EndpointLoads(this.clock);

	private final EndpointConnections connections = new EndpointConnections(this.clock);

	private final SharedGrants grants = new SharedGrants(this.clock);

	private final PeerBoard board = new PeerBoard(this.clock);

	private final ModelRates rates = new ModelRates(this.clock);

	private final WaitingRoom waitingRoom = new WaitingRoom(this.clock, this::demandChanged);

	private final DaemonLease lease;

	private final LeasedMembers members;

	private final LeasedDuties duties;

	private final PrefixView memberView;

	private final PrefixView dutyView;

	private final Placement placement;

	private final RequestForwarder forwarder;

	private final PeerTalk peers;

	private volatile @Nullable ServedTables tables;

	private volatile StopPhase stopPhase = StopPhase.RUNNING;

	private ServingDaemon(ServingSettings settings, ServingPorts ports) {
		this.settings = settings;
		this.ports = ports;
		String incarnation = settings.instance() + "-" + UUID.randomUUID().toString().substring(0, 8);
		Members.Member self = new Members.Member(incarnation, settings.instance(),
				settings.peers().host() + ":" + settings.peers().port(), settings.failureDomain());
		MonotonicClock leaseClock = SuspensionAwareClock.ofSystem();
		this.lease = DaemonLease.resuming(ports.store(), leaseClock, Duration.ofMillis(LEASE_MILLISECONDS),
				EventLog::info);
		PeerChannel channel = PeerChannel.Disabled.INSTANCE;
		this.members = new LeasedMembers(ports.store(), channel, this.clock, this.lease, self, List.of(), Set::of);
		this.memberView = PrefixView.watching(ports.store(), this.clock, LeasedMembers.PREFIX, LISTING);
		this.members.withView(this.memberView);
		this.dutyView = PrefixView.watching(ports.store(), this.clock, LeasedDuties.PREFIX, LISTING);
		this.duties = new LeasedDuties(ports.store(), leaseClock, this.lease, this.dutyView, this.members,
				new Random(incarnation.hashCode()), EventLog::info);
		Duty duty = this.duties.compete(DUTY_TO_PLACE);
		this.placement = new Placement(duty, new Placement.Access(ports.orders(), this.directory, this.loads::isSilent),
				this::tables, this::demand, this.clock,
				new Placement.Settings(settings.instance(), settings.settleMilliseconds(), settings.storeLoadsAtOnce()),
				EventLog::info, this::placementChanged);
		this.peers = new PeerTalk(new PeerTalk.Parts(this.members, duty, this.board, this.grants, this.loads,
				this.directory, this.waitingRoom, this.rates, this.placement), this.clock, this.scheduler);
		this.forwarder = new RequestForwarder(new RequestContext(this::tables, this.directory, this.loads,
				this.connections, ports.endpoints(), this.grants, this.waitingRoom, this.rates, new RetryBudgets(),
				this.board, settings.failureDomain(), () -> this.stopPhase, this.clock,
				new ServingMetrics(this.metrics), EventLog::info));
		this.directory.addListener(this.waitingRoom::signal);
		this.directory.addListener(this.placement::wake);
		this.directory.addGoneListener((endpoint) -> {
			this.connections.forget(endpoint);
			this.loads.forget(endpoint);
		});
	}

	/**
	 * Starts a daemon.
	 * @param settings the checked settings
	 * @param ports what it needs from the platform
	 * @return the running daemon, not necessarily ready yet
	 */
	public static ServingDaemon start(ServingSettings settings, ServingPorts ports) {
		ServingDaemon daemon = new ServingDaemon(settings, ports);
		daemon.begin();
		return daemon;
	}

	private void begin() {
		ServingListener.start(new ServingListener.Settings(this.settings.callers(), this.settings.probes(),
				this::isReady, this.metrics, this::bodyLimit), this.ports.requests(), this.forwarder);
		this.peers.open(this.settings.peers().host(), this.settings.peers().port());
		this.ports.desiredState().follow(this.scheduler, this::adopt, this::listed);
		every(CONTROL_ROUND_MILLISECONDS, this.lease::round);
		every(CONTROL_ROUND_MILLISECONDS, this.memberView::round);
		every(CONTROL_ROUND_MILLISECONDS, this.dutyView::round);
		every(CONTROL_ROUND_MILLISECONDS, this.members::round);
		every(CONTROL_ROUND_MILLISECONDS, this.duties::round);
		every(PEER_ROUND_MILLISECONDS, () -> this.peers.round(this.lease.heldIdentifier() != 0));
		this.placement.start();
		EventLog.info(Event.named("daemon.started")
			.with("incarnation", this.members.self().incarnation())
			.with("domain", this.settings.failureDomain()));
	}

	private void every(long milliseconds, Runnable round) {
		this.scheduler.scheduleWithFixedDelay(() -> runSafely(round), 0, milliseconds, TimeUnit.MILLISECONDS);
	}

	private static void runSafely(Runnable task) {
		try {
			task.run();
		}
		catch (RuntimeException ex) {
			EventLog.severe(Event.named("task.failed").with("cause", ex.toString()), ex);
		}
	}

	private @Nullable ServedTables tables() {
		return this.tables;
	}

	private boolean isReady() {
		return this.stopPhase == StopPhase.RUNNING && this.tables != null && !this.directory.isEmpty();
	}

	private long bodyLimit() {
		ServedTables current = this.tables;
		return (current != null) ? current.limits().bodyBytes() : DEFAULT_BODY_BYTES;
	}

	private synchronized void adopt(ServedTables fresh) {
		ServedTables current = this.tables;
		if (current != null && current.version() >= fresh.version()) {
			return;
		}
		this.grants.organisations(fresh.organisations());
		this.tables = fresh;
		EventLog.info(Event.named("tables.adopted")
			.with("version", fresh.version())
			.with("before", (current != null) ? current.version() : "none")
			.with("routes", fresh.routeCount())
			.with("pools", fresh.pools().size()));
		this.waitingRoom.signal();
		this.placement.wake();
	}

	private void listed(Collection<ServedEndpoint> endpoints) {
		this.directory.replace(endpoints);
	}

	private Placement.Demand demand() {
		return this.peers.demand();
	}

	private void placementChanged() {
		this.peers.speakSoon();
	}

	private void demandChanged() {
		this.placement.wake();
		this.peers.speakSoon();
	}

	/**
	 * Notes that the settings have changed. Addresses and names stay those of the start.
	 * @param changed the settings as they are now
	 */
	public void settingsChanged(ServingSettings changed) {
		EventLog.info(Event.named("settings.reloaded")
			.with("restart_needed", !changed.equals(this.settings))
			.with("instance", changed.instance()));
	}

	/**
	 * Stops as planned: turns readiness, gives up duties, waits until callers stay away
	 * and requests have ended, and gives the lease back.
	 */
	public void drain() {
		long begunAt = this.clock.milliseconds();
		enter(StopPhase.LEAVING);
		this.placement.stop();
		// Orders that are still open have ended before the next holder's settling time
		// has.
		this.duties.handOver();
		awaitUntil(begunAt + NOTICE_MILLISECONDS, false);
		enter(StopPhase.REFUSING);
		long until = begunAt + this.settings.stopMilliseconds() - LEAVE_MILLISECONDS;
		awaitUntil(until - ENDING_MILLISECONDS, true);
		enter(StopPhase.ENDING);
		awaitUntil(until, true);
		this.lease.release().completeOnTimeout(null, LEAVE_MILLISECONDS / 2, TimeUnit.MILLISECONDS).join();
		EventLog.info(Event.named("daemon.stopped")
			.with("cut_requests", this.forwarder.active())
			.with("took_ms", this.clock.milliseconds() - begunAt));
	}

	private void enter(StopPhase phase) {
		this.stopPhase = phase;
		EventLog.info(Event.named("daemon.stopping").with("phase", phase).with("active", this.forwarder.active()));
		this.waitingRoom.signal();
	}

	private void awaitUntil(long time, boolean orIdle) {
		while (this.clock.milliseconds() < time && !(orIdle && this.forwarder.active() == 0)) {
			pause();
		}
	}

	private static void pause() {
		try {
			TimeUnit.MILLISECONDS.sleep(POLL_MILLISECONDS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}

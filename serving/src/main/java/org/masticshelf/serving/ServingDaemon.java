package org.masticshelf.serving;

import java.time.Duration;
import java.time.InstantSource;
import java.util.Collection;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
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
import org.masticshelf.serving.endpoint.ColdEndpoints;
import org.masticshelf.serving.endpoint.EndpointDirectory;
import org.masticshelf.serving.endpoint.EndpointLimits;
import org.masticshelf.serving.endpoint.EndpointLoads;
import org.masticshelf.serving.endpoint.Evacuations;
import org.masticshelf.serving.grant.SharedGrants;
import org.masticshelf.serving.peer.PeerRegistry;
import org.masticshelf.serving.placement.EvacuationAwareOrders;
import org.masticshelf.serving.placement.Placement;
import org.masticshelf.serving.quarantine.QuarantineRecord;
import org.masticshelf.serving.quarantine.RequestQuarantine;
import org.masticshelf.serving.request.AnswerMemory;
import org.masticshelf.serving.request.EndpointBodies;
import org.masticshelf.serving.request.HeldBytesLedger;
import org.masticshelf.serving.request.ModelRates;
import org.masticshelf.serving.request.PlannedStop;
import org.masticshelf.serving.request.RequestContext;
import org.masticshelf.serving.request.RequestForwarder;
import org.masticshelf.serving.request.RetryBudgets;
import org.masticshelf.serving.request.ServiceTimes;
import org.masticshelf.serving.request.ServingMetrics;
import org.masticshelf.serving.request.StopPhase;
import org.masticshelf.serving.request.UnservedRequests;
import org.masticshelf.serving.request.WaitingRequests;
import org.masticshelf.serving.upstream.EndpointConnections;
import org.masticshelf.transport.log.EventLog;

/**
 * A serving daemon: creates its components, starts them and drains them.
 * <p>
 * Invariants: a drained daemon has ended every request that it accepted, unless the time
 * limit for stopping has passed; tables are never replaced by an earlier version.
 * Thread-safe.
 */
public final class ServingDaemon {

	private static final String PLACEMENT_DUTY = "serving/place";

	/** The time after which the daemon's lease expires without renewal. */
	private static final long LEASE_MILLISECONDS = 3_000;

	/** The interval of full key listings, although watches do not lose events. */
	private static final Duration LISTING_INTERVAL = Duration.ofSeconds(30);

	private static final long CONTROL_INTERVAL_MILLISECONDS = 150;

	private static final long PEER_INTERVAL_MILLISECONDS = 50;

	private static final long DEFAULT_BODY_BYTES = 4L * 1024 * 1024;

	/** The time limit for releasing the lease at the end of a stop. */
	private static final long LEASE_RELEASE_MILLISECONDS = 150;

	private static final long POLL_MILLISECONDS = 50;

	private final ServingSettings settings;

	private final ServingPorts ports;

	private final MonotonicClock clock = MonotonicClock.SystemClock.INSTANCE;

	private final ScheduledExecutorService scheduler = Executors
		.newSingleThreadScheduledExecutor(Thread.ofPlatform().daemon(true).name("rounds").factory());

	private final PrometheusRegistry metrics = new PrometheusRegistry();

	private final EndpointDirectory directory = new EndpointDirectory(this.clock, EventLog::info);

	private final EndpointLoads loads = new EndpointLoads(this.clock);

	private final Evacuations evacuations = new Evacuations(this.directory, this.loads::requestsIn, this.clock,
			EventLog::info);

	private final EndpointConnections connections = new EndpointConnections(this.clock);

	private final SharedGrants grants = new SharedGrants(this.clock);

	private final PeerRegistry peerRegistry = new PeerRegistry(this.clock);

	private final ModelRates rates = new ModelRates(this.clock);

	private final WaitingRequests waitingRequests = new WaitingRequests(this.clock, this::demandChanged);

	private final UnservedRequests unserved = new UnservedRequests(this.clock);

	private final RequestQuarantine quarantine = new RequestQuarantine(this.clock, EventLog::info, this::notifyPeers);

	private final PlannedStop plannedStop;

	private final ColdEndpoints coldEndpoints;

	private final EndpointLimits endpointLimits;

	private final DaemonLease lease;

	private final LeasedMembers members;

	private final LeasedDuties duties;

	private final PrefixView memberView;

	private final PrefixView dutyView;

	private final Duty placementDuty;

	private final QuarantineRecord quarantineRecord;

	private final Placement placement;

	/** Bounds the bytes held for slow readers, {@code null} for no bound. */
	private final @Nullable HeldBytesLedger heldBytes;

	private final RequestForwarder forwarder;

	private final PeerExchange peerExchange;

	private volatile @Nullable ServingListener listener;

	private volatile @Nullable ServedTables tables;

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
		this.memberView = PrefixView.watching(ports.store(), this.clock, LeasedMembers.PREFIX, LISTING_INTERVAL);
		this.members.withView(this.memberView);
		this.dutyView = PrefixView.watching(ports.store(), this.clock, LeasedDuties.PREFIX, LISTING_INTERVAL);
		this.duties = new LeasedDuties(ports.store(), leaseClock, this.lease, this.dutyView, this.members,
				new Random(incarnation.hashCode()), EventLog::info);
		this.plannedStop = new PlannedStop(this.clock, settings.stopMilliseconds());
		this.coldEndpoints = new ColdEndpoints(new ColdEndpoints.Settings(incarnation, settings.coldBound()),
				this::tables, this.clock, InstantSource.system(), EventLog::info, this::notifyPeers);
		this.endpointLimits = new EndpointLimits(incarnation, this.clock, EventLog::info, this::notifyPeers,
				this.coldEndpoints);
		this.directory.setRegions(settings.regions());
		this.evacuations.addTakeBackListener(this.coldEndpoints::presumeCold);
		this.placementDuty = this.duties.compete(PLACEMENT_DUTY);
		this.quarantineRecord = new QuarantineRecord(ports.store(), this.quarantine, this.clock, InstantSource.system(),
				EventLog::info);
		this.placement = new Placement(this.placementDuty,
				new Placement.Access(new EvacuationAwareOrders(ports.orders(), this.evacuations::isEvacuated),
						this.directory, this.loads::isInSilentDomain),
				this::tables, this::demand, this.clock,
				new Placement.Settings(settings.instance(), settings.settleMilliseconds(), settings.storeLoadsAtOnce()),
				EventLog::info, this::notifyPeers);
		this.peerExchange = new PeerExchange(new PeerExchange.Components(this.members, this.placementDuty,
				this.peerRegistry, this.grants, this.loads, this.directory, this.waitingRequests, this.unserved,
				this.rates, this.placement, this.endpointLimits, this.quarantine), this.clock, this.scheduler);
		EndpointBodies endpointBodies = EndpointBodies.unbounded();
		this.heldBytes = HeldBytesLedger.create(settings.memoryMegabytes(), this.clock, EventLog::info);
		if (this.heldBytes != null) {
			endpointBodies = new EndpointBodies(EndpointBodies.BOUND_BYTES, EventLog::info);
			ServingMetrics.registerHeldBytes(this.metrics, this.heldBytes, endpointBodies);
		}
		this.forwarder = new RequestForwarder(new RequestContext(this::tables, this.directory, this.loads,
				this.connections, ports.endpoints(), this.grants, this.waitingRequests, this.unserved, this.rates,
				new RetryBudgets(), this.peerRegistry, this.endpointLimits, this.quarantine, settings.failureDomain(),
				this.plannedStop, new ServiceTimes(), this.clock, new ServingMetrics(this.metrics), EventLog::info,
				endpointBodies, AnswerMemory.ofHeap()));
		this.waitingRequests.setCostAllowed(settings.orderedByCost());
		ServingMetrics.registerQueues(this.metrics, this.waitingRequests);
		ServingMetrics.registerQuarantine(this.metrics, this.quarantine);
		ServingMetrics.registerRestrictions(this.metrics, this.endpointLimits, this.coldEndpoints, this.evacuations);
		ServingMetrics.registerPaces(this.metrics, this.loads);
		ServingMetrics.registerStarvation(this.metrics, this.placement.starvation());
		ServingMetrics.registerRestorations(this.metrics, ports.store());
		this.directory.addListener(this.waitingRequests::signal);
		this.directory.addListener(this.placement::wake);
		this.directory.addRemovalListener((endpoint) -> {
			this.connections.closeIdle(endpoint);
			this.loads.forget(endpoint);
			this.endpointLimits.forget(endpoint);
		});
	}

	/**
	 * Starts a daemon.
	 * @param settings the checked settings
	 * @param ports the connections to the platform
	 * @return the running daemon, which may not be ready yet
	 */
	public static ServingDaemon start(ServingSettings settings, ServingPorts ports) {
		ServingDaemon daemon = new ServingDaemon(settings, ports);
		daemon.startComponents();
		return daemon;
	}

	private void startComponents() {
		this.listener = ServingListener.start(new ServingListener.Settings(this.settings.callers(),
				this.settings.probes(), this::isReady, this.metrics, this::bodyLimit), this.ports.requests(),
				this.forwarder, this.heldBytes);
		if (this.heldBytes != null) {
			scheduleEvery(CONTROL_INTERVAL_MILLISECONDS, this.heldBytes::relieve);
		}
		this.peerExchange.open(this.settings.peers().host(), this.settings.peers().port());
		this.ports.desiredState().followEvacuations(this.evacuations::apply);
		this.ports.desiredState().follow(this.scheduler, this::adopt, this::replaceEndpoints);
		scheduleEvery(CONTROL_INTERVAL_MILLISECONDS, this::controlRound);
		scheduleEvery(PEER_INTERVAL_MILLISECONDS, this::peerRound);
		this.placement.start();
		EventLog.info(Event.named("daemon.started")
			.with("incarnation", this.members.self().incarnation())
			.with("domain", this.settings.failureDomain()));
	}

	private void scheduleEvery(long milliseconds, Runnable round) {
		this.scheduler.scheduleWithFixedDelay(() -> runSafely(round), 0, milliseconds, TimeUnit.MILLISECONDS);
	}

	private void peerRound() {
		runSafely(() -> this.coldEndpoints.round(this.ports.desiredState()::readEndpoints));
		this.peerExchange.round(this.lease.heldIdentifier() != 0);
	}

	// One task instead of several wakes the process up less often.
	private void controlRound() {
		runSafely(this.lease::round);
		runSafely(this.memberView::round);
		runSafely(this.dutyView::round);
		runSafely(this.members::round);
		runSafely(this.duties::round);
		runSafely(this.evacuations::round);
		runSafely(() -> this.quarantineRecord.round(isRecordingQuarantine()));
	}

	// The holder of the duty, which all daemons tell of crashes. While there is none, as
	// after a kill of all daemons, those whose own requests broke stand in for it.
	private boolean isRecordingQuarantine() {
		return this.placementDuty.tenure() != null
				|| (this.peerRegistry.placingPeer() == null && this.quarantine.brokenRequests() > 0);
	}

	private static void runSafely(Runnable task) {
		try {
			task.run();
		}
		catch (RuntimeException | Error ex) {
			EventLog.severe(Event.named("task.failed").with("cause", ex.toString()), ex);
		}
	}

	private @Nullable ServedTables tables() {
		return this.tables;
	}

	private boolean isReady() {
		return this.plannedStop.phase() == StopPhase.RUNNING && this.tables != null && !this.directory.isEmpty();
	}

	private long bodyLimit() {
		ServedTables current = this.tables;
		return (current != null) ? current.limits().bodyBytes() : DEFAULT_BODY_BYTES;
	}

	private synchronized void adopt(ServedTables received) {
		ServedTables current = this.tables;
		if (current != null && current.version() >= received.version()) {
			return;
		}
		this.grants.setOrganisations(received.organisations());
		this.tables = received;
		EventLog.info(Event.named("tables.adopted")
			.with("version", received.version())
			.with("before", (current != null) ? current.version() : "none")
			.with("routes", received.routeCount())
			.with("pools", received.pools().size()));
		this.waitingRequests.signal();
		this.placement.wake();
	}

	private void replaceEndpoints(Collection<ServedEndpoint> endpoints) {
		// A limit is in force before the endpoint can be chosen.
		this.coldEndpoints.observe(endpoints);
		this.directory.replace(endpoints);
	}

	private Placement.Demand demand() {
		return this.peerExchange.demand();
	}

	private void notifyPeers() {
		this.peerExchange.scheduleUpdates();
	}

	private void demandChanged() {
		this.placement.wake();
		notifyPeers();
	}

	/**
	 * Logs that the settings have changed. Addresses and names take effect only after a
	 * restart.
	 * @param changed the new settings
	 */
	public void settingsChanged(ServingSettings changed) {
		EventLog.info(Event.named("settings.reloaded")
			.with("restart_needed", !changed.equals(this.settings))
			.with("instance", changed.instance()));
	}

	/**
	 * Stops gracefully: reports unready, hands over duties, waits until callers stop
	 * sending requests and running ones have ended, and releases the lease.
	 * @return whether this call has stopped the daemon, false if another one does
	 */
	public boolean drain() {
		if (!this.plannedStop.begin()) {
			EventLog.info(Event.named("daemon.stop_repeated").with("phase", this.plannedStop.phase()));
			return false;
		}
		enterPhase(StopPhase.LEAVING);
		this.placement.stop();
		// Pending orders end before the settling time of the next holder has passed.
		this.duties.handOver();
		awaitEndOf(StopPhase.LEAVING, false);
		enterPhase(StopPhase.REFUSING);
		awaitEndOf(StopPhase.REFUSING, true);
		enterPhase(StopPhase.ENDING);
		// No request is admitted or waits any more, so that peers may take over the
		// grants.
		CompletableFuture<Void> released = this.lease.release();
		awaitEndOf(StopPhase.ENDING, true);
		int givenUp = this.forwarder.activeRequests();
		enterPhase(StopPhase.GIVING_UP);
		awaitEndOf(StopPhase.GIVING_UP, true);
		released.completeOnTimeout(null, LEASE_RELEASE_MILLISECONDS, TimeUnit.MILLISECONDS).join();
		// Requests that were read in the meantime are refused and answered, too.
		awaitEndOf(StopPhase.GIVING_UP, true);
		EventLog.info(Event.named("daemon.stopped")
			.with("cut_requests", this.forwarder.activeRequests())
			.with("given_up_requests", givenUp)
			.with("took_ms", this.plannedStop.elapsedMilliseconds()));
		return true;
	}

	private void enterPhase(StopPhase phase) {
		this.plannedStop.enter(phase);
		EventLog
			.info(Event.named("daemon.stopping").with("phase", phase).with("active", this.forwarder.activeRequests()));
		this.waitingRequests.wakeAll();
	}

	private void awaitEndOf(StopPhase phase, boolean untilIdle) {
		while (!this.plannedStop.isOver(phase) && !(untilIdle && isIdle())) {
			pause();
		}
	}

	private boolean isIdle() {
		ServingListener current = this.listener;
		return this.forwarder.activeRequests() == 0 && (current == null || current.unansweredRequests() == 0);
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

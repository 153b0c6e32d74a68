package org.masticshelf.serving;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;

import org.jspecify.annotations.Nullable;

import org.masticshelf.control.duty.Duty;
import org.masticshelf.control.membership.Members;
import org.masticshelf.kernel.event.Event;
import org.masticshelf.kernel.routing.PromptWork;
import org.masticshelf.kernel.serving.ServedEndpoint.Holdings;
import org.masticshelf.kernel.time.MonotonicClock;
import org.masticshelf.serving.endpoint.EndpointDirectory;
import org.masticshelf.serving.endpoint.EndpointLimits;
import org.masticshelf.serving.endpoint.EndpointLoads;
import org.masticshelf.serving.grant.SharedGrants;
import org.masticshelf.serving.peer.PeerBroadcast;
import org.masticshelf.serving.peer.PeerLink;
import org.masticshelf.serving.peer.PeerMessage;
import org.masticshelf.serving.peer.PeerRegistry;
import org.masticshelf.serving.peer.PeerSelection;
import org.masticshelf.serving.placement.Placement;
import org.masticshelf.serving.quarantine.RequestQuarantine;
import org.masticshelf.serving.request.ModelRates;
import org.masticshelf.serving.request.UnservedRequests;
import org.masticshelf.serving.request.WaitingRequests;
import org.masticshelf.transport.log.EventLog;

/**
 * Exchanges state with the peers: grant spending, running and waiting requests, and the
 * engines' holdings.
 * <p>
 * Invariant: a peer that has sent a message recently gets messages even if it has no key
 * in the key-value service. Messages are sent by the scheduler's thread and received by
 * one other thread. Thread-safe.
 */
final class PeerExchange {

	/** The interval of regular messages to all peers. */
	private static final long MESSAGE_INTERVAL_MILLISECONDS = 150;

	/**
	 * The message interval grows by one unit per this many daemons, so that messages do
	 * not saturate network links.
	 */
	private static final int DAEMONS_PER_MESSAGE_INTERVAL = 12;

	/** The consecutive missed messages after which a failure domain counts as silent. */
	private static final int SILENT_INTERVALS = 3;

	/**
	 * How often the placing daemon sends the holdings of all engines, to make up for lost
	 * messages.
	 */
	private static final long FULL_PLACEMENT_INTERVAL_MILLISECONDS = 900;

	/** The number of peers that learn at once of new evidence on crashes. */
	private static final int CHANGED_EVIDENCE_PEERS = 4;

	/** The time within which changes are combined into one message. */
	private static final long MESSAGE_DELAY_MILLISECONDS = 5;

	/**
	 * How long a daemon still counts for its failure domain after its lease has ended.
	 */
	private static final long REMOTE_DAEMON_RETENTION_MILLISECONDS = 10_000;

	private final Components components;

	private final Map<String, RemoteDaemon> remoteDaemons = new HashMap<>();

	private final MonotonicClock clock;

	private final ScheduledExecutorService scheduler;

	private final AtomicLong lastMessageNumber = new AtomicLong();

	private final AtomicBoolean updateScheduled = new AtomicBoolean();

	private volatile @Nullable PeerLink link;

	private volatile boolean leased;

	private final Random random = new Random();

	private long updatesSentAt;

	private long evidenceSentAt;

	private long fullPlacementSentAt;

	PeerExchange(Components components, MonotonicClock clock, ScheduledExecutorService scheduler) {
		this.components = components;
		this.clock = clock;
		this.scheduler = scheduler;
	}

	/**
	 * Starts to listen for peers.
	 * @param host the IP address
	 * @param port the port
	 */
	void open(String host, int port) {
		this.link = PeerLink.open(host, port, this::receive, EventLog::info);
	}

	/**
	 * Sums the demand at all daemons.
	 * @return the demand
	 */
	Placement.Demand demand() {
		Map<String, Double> allRates = new HashMap<>(this.components.rates().requestsAndTokensPerSecond());
		List<PeerMessage.Waiting> waiting = new ArrayList<>(this.components.waitingRequests().summary());
		List<PeerMessage.Unserved> unserved = new ArrayList<>(this.components.unserved().summary());
		Map<String, Map<String, Integer>> running = this.components.peers().runningRequests();
		this.components.loads().runningRequests().forEach((endpoint, counts) -> {
			Map<String, Integer> sum = running.computeIfAbsent(endpoint, (key) -> new HashMap<>());
			counts.forEach((loadable, count) -> sum.merge(loadable, count, Integer::sum));
		});
		for (PeerMessage message : this.components.peers().recentMessages().values()) {
			message.rates().forEach((model, rate) -> allRates.merge(model, rate, Double::sum));
			waiting.addAll(message.waiting());
			unserved.addAll(message.unserved());
		}
		return new Placement.Demand(waiting, unserved, allRates, running);
	}

	/** Schedules messages to the peers that are affected by a change. */
	void scheduleUpdates() {
		if (this.updateScheduled.compareAndSet(false, true)) {
			this.scheduler.schedule(this::sendUpdatesSafely, MESSAGE_DELAY_MILLISECONDS, TimeUnit.MILLISECONDS);
		}
	}

	/**
	 * Sends the regular messages to all peers if they are due.
	 * @param leased whether this daemon holds its lease
	 */
	void round(boolean leased) {
		this.leased = leased;
		long now = this.clock.milliseconds();
		long interval = MESSAGE_INTERVAL_MILLISECONDS
				* Math.max(1, this.components.members().members().size() / DAEMONS_PER_MESSAGE_INTERVAL);
		updateSilentDomains(SILENT_INTERVALS * interval);
		if (now - this.updatesSentAt >= interval) {
			this.updatesSentAt = now;
			sendUpdates(true);
		}
		else if (now - this.evidenceSentAt >= MESSAGE_INTERVAL_MILLISECONDS && hasSharedFindings()) {
			sendUpdates(false);
		}
	}

	private void updateSilentDomains(long within) {
		long now = this.clock.milliseconds();
		for (Members.Member member : this.components.members().members()) {
			if (!member.failureDomain().equals(this.components.members().self().failureDomain())) {
				this.remoteDaemons.put(member.incarnation(), new RemoteDaemon(member.failureDomain(), now));
			}
		}
		// The leases of daemons that are partitioned off expire during the partition.
		this.remoteDaemons.values().removeIf((daemon) -> now - daemon.seenAt() > REMOTE_DAEMON_RETENTION_MILLISECONDS);
		Map<String, String> domains = new HashMap<>();
		this.remoteDaemons.forEach((incarnation, daemon) -> domains.put(incarnation, daemon.failureDomain()));
		Set<String> silent = this.components.peers().findSilentDomains(domains, within);
		if (this.components.loads().setSilentDomains(silent)) {
			EventLog.info(Event.named("domains.silent").with("domains", silent).with("within_ms", within));
			this.components.waitingRequests().signal();
		}
	}

	/**
	 * Sends messages to the peers.
	 * @param all whether to send to all peers, rather than only to those affected by the
	 * last change
	 */
	private void sendUpdates(boolean all) {
		this.updateScheduled.set(false);
		Map<String, PeerMessage> recentMessages = this.components.peers().recentMessages();
		Map<String, String> addresses = PeerSelection.select(this.components.members().self(),
				this.components.members().members(), recentMessages.keySet());
		// A peer that the key-value service rejects has no key there, but may still send.
		recentMessages.forEach((incarnation, message) -> addresses.put(incarnation, message.address()));
		boolean isolated = !this.leased && recentMessages.isEmpty();
		this.components.grants().setPeers(addresses.keySet(), isolated);
		if (!isolated) {
			this.components.limits().setPeers(addresses.keySet());
		}
		this.components.loads().setPeerRequests(this.components.peers().runningRequests());
		this.components.loads()
			.setPeerBacklog(this.components.peers().backlog(PromptWork.TYPICAL_TOKENS_PER_MILLISECOND));
		boolean full = all
				&& this.clock.milliseconds() - this.fullPlacementSentAt >= FULL_PLACEMENT_INTERVAL_MILLISECONDS;
		this.fullPlacementSentAt = full ? this.clock.milliseconds() : this.fullPlacementSentAt;
		PeerMessage.Placement decided = this.components.placement().announcement(full);
		if (decided != null) {
			// The placing daemon's own requests wait for models, too.
			applyPlacement(decided);
			this.components.peers().updatePlacement(decided);
			this.components.waitingRequests().signal();
		}
		PeerLink openLink = this.link;
		if (openLink != null) {
			PeerBroadcast broadcast = broadcast(decided, recentMessages, selectEvidencePeers(addresses.keySet()));
			addresses.forEach((incarnation, address) -> {
				byte[] message = broadcast.messageTo(incarnation, all);
				if (message != null) {
					openLink.send(address, message);
				}
			});
		}
	}

	private PeerBroadcast broadcast(PeerMessage.@Nullable Placement decided, Map<String, PeerMessage> recentMessages,
			Set<String> evidencePeers) {
		PeerMessage common = new PeerMessage(this.components.members().self().incarnation(),
				this.components.members().self().address(), this.lastMessageNumber.incrementAndGet(),
				this.components.grants().spent(), this.components.loads().runningRequests(), List.of(), Map.of(),
				List.of(), null, this.components.limits().reports(), null,
				this.components.waitingRequests().queuedWork(), this.components.loads().backlog(),
				this.components.loads().paces().reports());
		return new PeerBroadcast(common,
				new PeerBroadcast.Details(placingPeer(), this.components.waitingRequests().summary(),
						this.components.rates().requestsAndTokensPerSecond(), this.components.unserved().summary(),
						decided, recentMessages, this.components.quarantine().evidence(), evidencePeers));
	}

	private boolean hasSharedFindings() {
		return this.components.quarantine().hasReports() || !this.components.limits().reports().isEmpty();
	}

	/**
	 * Selects the peers that get a message out of turn, with the evidence on crashes and
	 * the limits of endpoints: several when these have changed, otherwise one at a time.
	 * They pass it on, so that all daemons have it after a number of rounds that grows
	 * with the logarithm of theirs.
	 * @param peers the incarnations of all peers
	 * @return the incarnations of the selected peers
	 */
	private Set<String> selectEvidencePeers(Set<String> peers) {
		long now = this.clock.milliseconds();
		boolean changed = this.components.quarantine().takeChanged() | this.components.limits().takeChanged();
		boolean due = now - this.evidenceSentAt >= MESSAGE_INTERVAL_MILLISECONDS;
		if (!(changed || due) || !hasSharedFindings()) {
			return Set.of();
		}
		this.evidenceSentAt = now;
		List<String> selected = new ArrayList<>(peers);
		Collections.shuffle(selected, this.random);
		return Set.copyOf(selected.subList(0, Math.min(changed ? CHANGED_EVIDENCE_PEERS : 1, selected.size())));
	}

	private @Nullable String placingPeer() {
		String placingPeer = this.components.peers().placingPeer();
		if (placingPeer != null) {
			return placingPeer;
		}
		Duty.Holder holder = this.components.duty().holder();
		return (holder != null) ? holder.incarnation() : null;
	}

	private void receive(PeerMessage message) {
		if (message.incarnation().equals(this.components.members().self().incarnation())) {
			return;
		}
		PeerMessage.Placement decided = message.placement();
		// A model that is loaded has no estimate any more. Holdings are applied first, so
		// that a request that waits for it never finds neither.
		if (decided != null && this.components.peers().supersedes(decided)) {
			applyPlacement(decided);
		}
		boolean isNewestPlacement = this.components.peers().receive(message);
		this.components.grants().recordPeerSpending(message.incarnation(), message.spent());
		this.components.limits().merge(message.incarnation(), message.limits());
		this.components.loads()
			.paces()
			.merge(message.incarnation(), message.paces(), this.components.directory()::find, EventLog::info);
		PeerMessage.CrashEvidence evidence = message.crashEvidence();
		if (evidence != null) {
			this.components.quarantine().merge(message.incarnation(), evidence);
		}
		if (isNewestPlacement) {
			this.components.waitingRequests().signal();
		}
		if (!message.waiting().isEmpty()) {
			this.components.placement().wake();
		}
	}

	private void applyPlacement(PeerMessage.Placement decided) {
		List<EndpointDirectory.AnnouncedHoldings> announced = new ArrayList<>();
		for (PeerMessage.Engine engine : decided.engines()) {
			Map<String, Set<String>> loaded = new HashMap<>();
			engine.loaded().forEach((model, adapters) -> loaded.put(model, Set.copyOf(adapters)));
			announced.add(new EndpointDirectory.AnnouncedHoldings(engine.endpoint(), engine.startedAt(),
					new Holdings(loaded, Set.of(), Set.of())));
		}
		this.components.directory().applyAnnouncements(announced);
	}

	private void sendUpdatesSafely() {
		try {
			sendUpdates(false);
		}
		catch (RuntimeException | Error ex) {
			EventLog.severe(Event.named("peer.speaking_failed").with("cause", ex.toString()), ex);
		}
	}

	/**
	 * A daemon in another failure domain.
	 *
	 * @param failureDomain its failure domain
	 * @param seenAt when it was last known to hold a lease, monotonic milliseconds
	 */
	private record RemoteDaemon(String failureDomain, long seenAt) {
	}

	/**
	 * The components whose state is sent to or updated from peers.
	 *
	 * @param members the daemons that hold a lease
	 * @param duty the placement duty
	 * @param peers the latest messages of peers
	 * @param grants the organisations' grants
	 * @param loads the loads of the endpoints
	 * @param directory the endpoints
	 * @param waitingRequests the requests that wait for an endpoint
	 * @param unserved the models and adapters that could not be served
	 * @param rates the request rates of models
	 * @param placement the placement, active while this daemon holds the duty
	 * @param limits the limits that endpoints state
	 * @param quarantine what is known of requests that crash endpoints
	 */
	record Components(Members members, Duty duty, PeerRegistry peers, SharedGrants grants, EndpointLoads loads,
			EndpointDirectory directory, WaitingRequests waitingRequests, UnservedRequests unserved, ModelRates rates,
			Placement placement, EndpointLimits limits, RequestQuarantine quarantine) {
	}

}

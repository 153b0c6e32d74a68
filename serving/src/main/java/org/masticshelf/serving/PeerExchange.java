package org.masticshelf.serving;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;

import org.jspecify.annotations.Nullable;

import org.masticshelf.control.duty.Duty;
import org.masticshelf.control.membership.Members;
import org.masticshelf.kernel.event.Event;
import org.masticshelf.kernel.serving.ServedEndpoint.Holdings;
import org.masticshelf.kernel.time.MonotonicClock;
import org.masticshelf.serving.endpoint.EndpointDirectory;
import org.masticshelf.serving.endpoint.EndpointLoads;
import org.masticshelf.serving.grant.SharedGrants;
import org.masticshelf.serving.peer.PeerLink;
import org.masticshelf.serving.peer.PeerMessage;
import org.masticshelf.serving.peer.PeerRegistry;
import org.masticshelf.serving.peer.PeerSelection;
import org.masticshelf.serving.placement.Placement;
import org.masticshelf.serving.request.ModelRates;
import org.masticshelf.serving.request.WaitingRequests;
import org.masticshelf.transport.log.EventLog;

/**
 * What a daemon tells its peers and takes from them: what it has spent and runs, what
 * waits at it, and what engines hold.
 * <p>
 * Invariant: a peer that was heard lately is spoken to, also when it has no key in the
 * key-value service. Messages are sent by the scheduler's thread and received by one
 * other; safe for use by several threads.
 */
final class PeerExchange {

	/** How often a daemon speaks to its peers when nothing presses. */
	private static final long PEER_MILLISECONDS = 150;

	/** Daemons above which each speaks less often, so that messages do not fill links. */
	private static final int DAEMONS_AT_FULL_PACE = 12;

	/** Messages in a row that a failure domain misses before it counts as silent. */
	private static final int SILENT_INTERVALS = 3;

	/**
	 * How often the placing daemon tells what all engines hold, against lost messages.
	 */
	private static final long WHOLE_PLACEMENT_MILLISECONDS = 900;

	/** Changes within this time go into one message to peers. */
	private static final long PEER_DELAY_MILLISECONDS = 5;

	/** How long a daemon that holds no lease any more counts for its failure domain. */
	private static final long REMEMBERED_MILLISECONDS = 10_000;

	private final Parts parts;

	private final Map<String, Neighbour> neighbours = new HashMap<>();

	private final MonotonicClock clock;

	private final ScheduledExecutorService scheduler;

	private final AtomicLong messages = new AtomicLong();

	private final AtomicBoolean messageDue = new AtomicBoolean();

	private volatile @Nullable PeerLink link;

	private volatile boolean leased;

	private long spokenAt;

	private long wholeAt;

	PeerExchange(Parts parts, MonotonicClock clock, ScheduledExecutorService scheduler) {
		this.parts = parts;
		this.clock = clock;
		this.scheduler = scheduler;
	}

	/**
	 * Begins to listen.
	 * @param host the IP number
	 * @param port the port
	 */
	void open(String host, int port) {
		this.link = PeerLink.open(host, port, this::receive, EventLog::info);
	}

	/**
	 * Sums up what is asked for at all daemons.
	 * @return the demand
	 */
	Placement.Demand demand() {
		Map<String, Double> allRates = new HashMap<>(this.parts.rates().requestsPerSecond());
		List<PeerMessage.Waiting> waiting = new ArrayList<>(this.parts.waitingRoom().summary());
		Map<String, Map<String, Integer>> running = this.parts.board().runningRequests();
		this.parts.loads().runningRequests().forEach((endpoint, counts) -> {
			Map<String, Integer> sum = running.computeIfAbsent(endpoint, (key) -> new HashMap<>());
			counts.forEach((loadable, count) -> sum.merge(loadable, count, Integer::sum));
		});
		for (PeerMessage message : this.parts.board().recentMessages().values()) {
			message.rates().forEach((model, rate) -> allRates.merge(model, rate, Double::sum));
			waiting.addAll(message.waiting());
		}
		return new Placement.Demand(waiting, allRates, running);
	}

	/** Speaks soon to those whom a change concerns. */
	void scheduleUpdates() {
		if (this.messageDue.compareAndSet(false, true)) {
			this.scheduler.schedule(this::sendUpdatesSafely, PEER_DELAY_MILLISECONDS, TimeUnit.MILLISECONDS);
		}
	}

	/**
	 * Speaks to all peers if it is time.
	 * @param leased whether this daemon holds its lease
	 */
	void round(boolean leased) {
		this.leased = leased;
		long now = this.clock.milliseconds();
		long interval = PEER_MILLISECONDS * Math.max(1, this.parts.members().members().size() / DAEMONS_AT_FULL_PACE);
		updateSilentDomains(SILENT_INTERVALS * interval);
		if (now - this.spokenAt >= interval) {
			this.spokenAt = now;
			sendUpdates(true);
		}
	}

	private void updateSilentDomains(long within) {
		long now = this.clock.milliseconds();
		for (Members.Member member : this.parts.members().members()) {
			if (!member.failureDomain().equals(this.parts.members().self().failureDomain())) {
				this.neighbours.put(member.incarnation(), new Neighbour(member.failureDomain(), now));
			}
		}
		// The keys of daemons that are cut off lapse while the cut goes on.
		this.neighbours.values().removeIf((neighbour) -> now - neighbour.seenAt() > REMEMBERED_MILLISECONDS);
		Map<String, String> domains = new HashMap<>();
		this.neighbours.forEach((incarnation, neighbour) -> domains.put(incarnation, neighbour.failureDomain()));
		Set<String> silent = this.parts.board().findSilentDomains(domains, within);
		if (this.parts.loads().setSilentDomains(silent)) {
			EventLog.info(Event.named("domains.silent").with("domains", silent).with("within_ms", within));
			this.parts.waitingRoom().signal();
		}
	}

	/**
	 * Speaks to the peers.
	 * @param all whether to tell all of them how things stand, else only those whom the
	 * last change concerns
	 */
	private void sendUpdates(boolean all) {
		this.messageDue.set(false);
		Map<String, PeerMessage> alive = this.parts.board().recentMessages();
		Map<String, String> addresses = PeerSelection.select(this.parts.members().self(),
				this.parts.members().members(), alive.keySet());
		// A peer that the store turns away has no key there, but may still be heard.
		alive.forEach((incarnation, message) -> addresses.put(incarnation, message.address()));
		this.parts.grants().setPeers(addresses.keySet(), !this.leased && alive.isEmpty());
		this.parts.loads().setPeerRequests(this.parts.board().runningRequests());
		boolean whole = all && this.clock.milliseconds() - this.wholeAt >= WHOLE_PLACEMENT_MILLISECONDS;
		this.wholeAt = whole ? this.clock.milliseconds() : this.wholeAt;
		PeerMessage.Placement decided = this.parts.placement().announcement(whole);
		if (decided != null) {
			// The placing daemon's own requests wait for the same.
			this.parts.board().updatePlacement(decided);
			applyPlacement(decided);
			this.parts.waitingRoom().signal();
		}
		PeerLink open = this.link;
		if (open != null) {
			addresses.forEach((incarnation, address) -> sendUpdate(open, incarnation, address, decided, all));
		}
	}

	private void sendUpdate(PeerLink open, String incarnation, String address, PeerMessage.@Nullable Placement decided,
			boolean all) {
		boolean toPlacing = incarnation.equals(placingPeer());
		if (!all && decided == null && !toPlacing) {
			return;
		}
		PeerMessage message = new PeerMessage(this.parts.members().self().incarnation(),
				this.parts.members().self().address(), this.messages.incrementAndGet(), this.parts.grants().spent(),
				this.parts.loads().runningRequests(), toPlacing ? this.parts.waitingRoom().summary() : List.of(),
				toPlacing ? this.parts.rates().requestsPerSecond() : Map.of(), decided);
		open.send(address, (decided != null) ? message.withEstimates(estimatesFor(incarnation, decided)) : message);
	}

	private @Nullable String placingPeer() {
		String heard = this.parts.board().placingPeer();
		if (heard != null) {
			return heard;
		}
		Duty.Holder holder = this.parts.duty().holder();
		return (holder != null) ? holder.incarnation() : null;
	}

	private Map<String, Long> estimatesFor(String incarnation, PeerMessage.Placement decided) {
		Map<String, Long> estimates = new HashMap<>();
		PeerMessage last = this.parts.board().recentMessages().get(incarnation);
		if (last != null) {
			for (PeerMessage.Waiting one : last.waiting()) {
				String key = PeerRegistry.estimateKey(one.pool(), one.loadable());
				Long ready = decided.readyIn().get(key);
				if (ready != null) {
					estimates.put(key, ready);
				}
			}
		}
		return estimates;
	}

	private void receive(PeerMessage message) {
		if (message.incarnation().equals(this.parts.members().self().incarnation())) {
			return;
		}
		boolean placing = this.parts.board().receive(message);
		this.parts.grants().recordPeerSpending(message.incarnation(), message.spent());
		if (placing && message.placement() != null) {
			applyPlacement(message.placement());
			this.parts.waitingRoom().signal();
		}
		if (!message.waiting().isEmpty()) {
			this.parts.placement().wake();
		}
	}

	private void applyPlacement(PeerMessage.Placement decided) {
		for (PeerMessage.Engine engine : decided.engines()) {
			Map<String, Set<String>> loaded = new HashMap<>();
			engine.loaded().forEach((model, adapters) -> loaded.put(model, Set.copyOf(adapters)));
			this.parts.directory()
				.applyAnnouncement(engine.endpoint(), engine.startedAt(), engine.orders(),
						new Holdings(loaded, Set.of(), Set.of()));
		}
	}

	private void sendUpdatesSafely() {
		try {
			sendUpdates(false);
		}
		catch (RuntimeException ex) {
			EventLog.severe(Event.named("peer.speaking_failed").with("cause", ex.toString()), ex);
		}
	}

	/**
	 * A daemon of another failure domain.
	 *
	 * @param failureDomain its failure domain
	 * @param seenAt when it was last known to hold a lease, monotonic milliseconds
	 */
	private record Neighbour(String failureDomain, long seenAt) {
	}

	/**
	 * The parts that messages are made from and go to.
	 *
	 * @param members the daemons that hold a lease
	 * @param duty the duty to place
	 * @param board what peers said
	 * @param grants the organisations' grants
	 * @param loads how loaded endpoints are
	 * @param directory the endpoints
	 * @param waitingRoom where requests wait
	 * @param rates how often models are asked for
	 * @param placement gives orders while this daemon holds the duty
	 */
	record Parts(Members members, Duty duty, PeerRegistry board, SharedGrants grants, EndpointLoads loads,
			EndpointDirectory directory, WaitingRequests waitingRoom, ModelRates rates, Placement placement) {
	}

}

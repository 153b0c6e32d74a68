package org.masticshelf.daemon;

import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;

import org.masticshelf.control.configuration.ConfigurationRepository;
import org.masticshelf.control.duty.DaemonLease;
import org.masticshelf.control.duty.Duty;
import org.masticshelf.control.duty.LeasedDuties;
import org.masticshelf.control.membership.InstanceListPoller;
import org.masticshelf.control.membership.LeasedMembers;
import org.masticshelf.control.membership.Members;
import org.masticshelf.control.view.PrefixView;
import org.masticshelf.daemon.settings.DaemonSettings;
import org.masticshelf.kernel.event.Event;
import org.masticshelf.kernel.port.InstanceList;
import org.masticshelf.kernel.port.KeyValueStore;
import org.masticshelf.kernel.port.PeerChannel;
import org.masticshelf.kernel.time.MonotonicClock;
import org.masticshelf.transport.log.EventLog;

/**
 * The state that a daemon shares with the others: its lease, members, duties,
 * configuration and the endpoints that leave.
 * <p>
 * Invariant: at most {@value #RELAYS_PER_DOMAIN} daemons of a failure domain watch the
 * key-value service while they can reach it; the others ask peers. Safe for use by
 * several threads.
 */
final class ControlPlane {

	private static final int RELAYS_PER_DOMAIN = 2;

	private static final long ROUND_INTERVAL_MILLISECONDS = 250;

	private final ScheduledExecutorService scheduler;

	private final DaemonLease lease;

	private final LeasedMembers members;

	private final LeasedDuties duties;

	private final List<Duty> relayDuties;

	private final PrefixView memberView;

	private final PrefixView dutyView;

	private final ConfigurationRepository configuration;

	private final InstanceListPoller endpoints;

	ControlPlane(DaemonSettings settings, Members.Member self, KeyValueStore store, InstanceList instances,
			PeerChannel channel, MonotonicClock clock, ScheduledExecutorService scheduler) {
		this.scheduler = scheduler;
		this.lease = new DaemonLease(store, clock, EventLog::info);
		this.members = new LeasedMembers(store, channel, clock, this.lease, self, settings.seedPeers(),
				this::relayIncarnations);
		this.memberView = new PrefixView(store, channel, clock, LeasedMembers.PREFIX, this::isRelay,
				this.members::targets);
		this.members.withView(this.memberView);
		this.dutyView = new PrefixView(store, channel, clock, LeasedDuties.PREFIX, this::isRelay,
				this.members::targets);
		this.duties = new LeasedDuties(store, clock, this.lease, this.dutyView, this.members,
				new Random(self.incarnation().hashCode()), EventLog::info);
		this.relayDuties = IntStream.range(0, RELAYS_PER_DOMAIN)
			.mapToObj((index) -> this.duties.compete("relay/" + self.failureDomain() + "/" + index))
			.toList();
		this.configuration = ConfigurationRepository.builder()
			.clock(clock)
			.log(EventLog::info)
			.store(store)
			.channel(channel)
			.members(this.members)
			.failureDomains(Set.copyOf(settings.failureDomains()))
			.relaying(this::isRelay)
			.relays(this::relayIncarnations)
			.build();
		this.endpoints = new InstanceListPoller(instances, EventLog::info);
	}

	private boolean isRelay() {
		return this.relayDuties != null && this.relayDuties.stream().anyMatch((duty) -> duty.tenure() != null);
	}

	private Set<String> relayIncarnations() {
		Set<String> holders = new HashSet<>();
		for (Duty duty : this.relayDuties) {
			Duty.Holder holder = duty.holder();
			if (holder != null) {
				holders.add(holder.incarnation());
			}
		}
		return holders;
	}

	/** Starts the periodic rounds. */
	void start() {
		scheduleRounds(this.lease::round);
		scheduleRounds(this.memberView::round);
		scheduleRounds(this.dutyView::round);
		scheduleRounds(this.members::round);
		scheduleRounds(this.duties::round);
		this.configuration.start(this.scheduler);
		this.endpoints.start(this.scheduler);
	}

	private void scheduleRounds(Round round) {
		this.scheduler.scheduleWithFixedDelay(() -> runSafely(round), 0, ROUND_INTERVAL_MILLISECONDS,
				TimeUnit.MILLISECONDS);
	}

	private static void runSafely(Round round) {
		try {
			round.run();
		}
		catch (RuntimeException ex) {
			EventLog.severe(Event.named("control.round_failed").with("cause", ex.getMessage()), ex);
		}
	}

	/**
	 * Gives up duties and membership before a planned stop.
	 * @return completed when the key-value service has answered or failed
	 */
	CompletableFuture<Void> leave() {
		return CompletableFuture.allOf(this.duties.handOver(), this.lease.release());
	}

	LeasedMembers members() {
		return this.members;
	}

	LeasedDuties duties() {
		return this.duties;
	}

	ConfigurationRepository configuration() {
		return this.configuration;
	}

	InstanceListPoller endpoints() {
		return this.endpoints;
	}

	/** A periodic round of one part. */
	@FunctionalInterface
	private interface Round {

		/**
		 * Runs the round.
		 * @return completed when it has ended
		 */
		CompletableFuture<Void> run();

	}

}

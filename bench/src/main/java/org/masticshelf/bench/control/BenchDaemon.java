package org.masticshelf.bench.control;

import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;

import org.masticshelf.control.configuration.ConfigurationRepository;
import org.masticshelf.control.duty.DaemonLease;
import org.masticshelf.control.duty.Duty;
import org.masticshelf.control.duty.LeasedDuties;
import org.masticshelf.control.membership.LeasedMembers;
import org.masticshelf.control.membership.Members;
import org.masticshelf.control.view.PrefixView;
import org.masticshelf.kernel.time.MonotonicClock;
import org.masticshelf.standins.keyvalue.InMemoryKeyValue;
import org.masticshelf.standins.peer.InMemoryPeers;

/**
 * The control part of one daemon, as the daemon puts it together.
 * <p>
 * Used by one thread.
 */
final class BenchDaemon {

	private static final int RELAYS = 2;

	private final CountingStore store;

	private final InMemoryPeers.Peer channel;

	private final DaemonLease lease;

	private final LeasedMembers members;

	private final PrefixView memberView;

	private final PrefixView dutyView;

	private final LeasedDuties duties;

	private final ConfigurationRepository repository;

	private final String domain;

	/**
	 * Creates a daemon.
	 * @param number the number of the daemon
	 * @param domains all failure domains
	 * @param clock the clock
	 * @param service the key-value service
	 * @param network the network
	 */
	BenchDaemon(int number, List<String> domains, MonotonicClock clock, InMemoryKeyValue service,
			InMemoryPeers network) {
		this.domain = domains.get(number % domains.size());
		Members.Member self = new Members.Member("incarnation-%05d".formatted(number), "entry-" + number,
				"10.200." + number / 250 + "." + number % 250 + ":9000", this.domain);
		this.store = new CountingStore(service.client());
		this.channel = network.join(self.address());
		this.lease = new DaemonLease(this.store, clock, (event) -> {
		});
		this.members = new LeasedMembers(this.store, this.channel, clock, this.lease, self,
				List.of("10.200.0.0:9000", "10.200.0.1:9000"), this::relays);
		this.memberView = new PrefixView(this.store, this.channel, clock, LeasedMembers.PREFIX, this::isRelay,
				this.members::targets);
		this.dutyView = new PrefixView(this.store, this.channel, clock, LeasedDuties.PREFIX, this::isRelay,
				this.members::targets);
		this.members.withView(this.memberView);
		this.duties = new LeasedDuties(this.store, clock, this.lease, this.dutyView, this.members, new Random(number),
				(event) -> {
				});
		for (int relay = 0; relay < RELAYS; relay++) {
			this.duties.compete(relayName(relay));
		}
		this.repository = ConfigurationRepository.builder()
			.clock(clock)
			.store(this.store)
			.channel(this.channel)
			.members(this.members)
			.failureDomains(Set.copyOf(domains))
			.relaying(this::isRelay)
			.relays(this::relays)
			.build();
	}

	private String relayName(int relay) {
		return "relay/" + this.domain + "/" + relay;
	}

	private boolean isRelay() {
		for (int relay = 0; relay < RELAYS; relay++) {
			if (this.duties.compete(relayName(relay)).tenure() != null) {
				return true;
			}
		}
		return false;
	}

	private Set<String> relays() {
		Set<String> incarnations = new TreeSet<>();
		for (int relay = 0; relay < RELAYS; relay++) {
			Duty.Holder holder = this.duties.compete(relayName(relay)).holder();
			if (holder != null) {
				incarnations.add(holder.incarnation());
			}
		}
		return incarnations;
	}

	/**
	 * Runs one round of all parts.
	 */
	void round() {
		this.lease.round();
		this.memberView.round();
		this.members.round();
		this.dutyView.round();
		this.duties.round();
		this.repository.round();
	}

	/**
	 * Returns the revision in force.
	 * @return the revision
	 */
	long revision() {
		return this.repository.current().revision();
	}

	/**
	 * Returns how many bytes this daemon exchanged with peers and the service.
	 * @return the number of bytes
	 */
	long bytes() {
		return this.channel.bytes() + this.store.bytes();
	}

	/**
	 * Returns how many messages this daemon exchanged with peers.
	 * @return the number of messages
	 */
	long messages() {
		return this.channel.messages();
	}

}

package org.masticshelf.control.configuration;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

import org.masticshelf.control.membership.Members;
import org.masticshelf.kernel.event.Event;
import org.masticshelf.kernel.time.MonotonicClock;
import org.masticshelf.standins.keyvalue.InMemoryKeyValue;
import org.masticshelf.standins.peer.InMemoryPeers;

/**
 * Daemons in one process that share a configuration and a manual clock, for tests.
 */
final class ConfigurationFleet {

	final MonotonicClock.Manual clock = new MonotonicClock.Manual();

	final InMemoryKeyValue store = new InMemoryKeyValue(this.clock);

	final InMemoryPeers peers = new InMemoryPeers();

	final ConfigurationWriter writer = ConfigurationWriter.of(this.store, "operator").withRetryExecutor(Runnable::run);

	final List<Daemon> daemons = new ArrayList<>();

	private final List<Members.Member> members = new ArrayList<>();

	private final int domains;

	private final int relays;

	ConfigurationFleet(int daemons, int domains, int relays) {
		this.domains = domains;
		this.relays = relays;
		for (int number = 0; number < daemons; number++) {
			this.members.add(new Members.Member("incarnation-%03d".formatted(number), "instance-" + number,
					"127.0.0.1:" + (10_000 + number), "domain-" + number % domains));
		}
		for (int number = 0; number < daemons; number++) {
			this.daemons.add(new Daemon(number));
		}
	}

	/**
	 * Runs one round of each daemon and advances the clock by the time between rounds.
	 */
	void runRound() {
		this.daemons.forEach((daemon) -> daemon.repository.round());
		this.clock.advance(Duration.ofMillis(ConfigurationRepository.ROUND_MILLISECONDS));
	}

	void runRounds(int count) {
		for (int number = 0; number < count; number++) {
			runRound();
		}
	}

	/** Returns the number of rounds until all daemons have a revision in force. */
	int roundsUntil(long revision, int limit) {
		for (int rounds = 0; rounds < limit; rounds++) {
			if (this.daemons.stream().allMatch((daemon) -> daemon.repository.current().revision() >= revision)) {
				return rounds;
			}
			runRound();
		}
		return limit;
	}

	List<Long> revisions() {
		return this.daemons.stream().map((daemon) -> daemon.repository.current().revision()).toList();
	}

	/** Cuts failure domains off from each other. */
	void cutDomains(String... cut) {
		Set<String> set = Set.of(cut);
		this.peers.setCut((from, to) -> set.contains(domainOf(from)) != set.contains(domainOf(to)));
	}

	/** Cuts each daemon off from all others. */
	void cutAllPeers() {
		this.peers.setCut((from, to) -> true);
	}

	/** Cuts failure domains off from the key-value service. */
	void cutFromService(String... cut) {
		Set<String> set = Set.of(cut);
		this.daemons.forEach((daemon) -> daemon.client.faults().setDown(set.contains(daemon.member.failureDomain())));
	}

	void heal() {
		this.peers.setCut((from, to) -> false);
		cutFromService();
	}

	/** Restarts a daemon, which then has no configuration. */
	Daemon restart(int number) {
		this.daemons.get(number).repository.close();
		Daemon daemon = new Daemon(number);
		this.daemons.set(number, daemon);
		return daemon;
	}

	private String domainOf(String address) {
		return this.members.stream()
			.filter((member) -> member.address().equals(address))
			.findFirst()
			.orElseThrow()
			.failureDomain();
	}

	private Set<String> domainNames() {
		Set<String> names = new TreeSet<>();
		for (int number = 0; number < this.domains; number++) {
			names.add("domain-" + number);
		}
		return names;
	}

	/** One daemon of the fleet. */
	final class Daemon {

		final Members.Member member;

		final InMemoryKeyValue.Client client = ConfigurationFleet.this.store.client();

		final List<Event> events = new ArrayList<>();

		final ConfigurationRepository repository;

		private Daemon(int number) {
			this.member = ConfigurationFleet.this.members.get(number);
			boolean relay = number / ConfigurationFleet.this.domains < ConfigurationFleet.this.relays;
			Set<String> incarnations = new TreeSet<>();
			ConfigurationFleet.this.members.stream()
				.limit((long) ConfigurationFleet.this.relays * ConfigurationFleet.this.domains)
				.forEach((other) -> incarnations.add(other.incarnation()));
			this.repository = ConfigurationRepository.builder()
				.clock(ConfigurationFleet.this.clock)
				.store(this.client)
				.channel(ConfigurationFleet.this.peers.join(this.member.address()))
				.members(new FixedMembers(this.member, ConfigurationFleet.this.members))
				.failureDomains(domainNames())
				.relaying(() -> relay)
				.relays(() -> incarnations)
				.log(this.events::add)
				.build();
		}

		boolean logged(String name) {
			return this.events.stream().anyMatch((event) -> event.name().equals(name));
		}

		/** Returns whether a request with the sample key would run now. */
		boolean servesKey() {
			boolean valid = this.repository.current().tables().keys().stream().anyMatch((key) -> !key.withdrawn());
			return valid && this.repository.freshness().permitsKeys();
		}

	}

	private record FixedMembers(Member self, List<Member> members) implements Members {
	}

}

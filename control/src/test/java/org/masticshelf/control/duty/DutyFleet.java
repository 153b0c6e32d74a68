package org.masticshelf.control.duty;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;

import org.masticshelf.control.membership.LeasedMembers;
import org.masticshelf.control.membership.Members;
import org.masticshelf.control.view.PrefixView;
import org.masticshelf.kernel.time.MonotonicClock;
import org.masticshelf.standins.keyvalue.InMemoryKeyValue;
import org.masticshelf.standins.peer.InMemoryPeers;

/**
 * Daemons in one process that share duties and a manual clock, for tests.
 */
public final class DutyFleet {

	/** The time between rounds. */
	public static final Duration ROUND = Duration.ofMillis(500);

	/** The clock of all daemons. */
	public final MonotonicClock.Manual clock = new MonotonicClock.Manual();

	/** The service. */
	public final InMemoryKeyValue store = new InMemoryKeyValue(this.clock);

	/** The network. */
	public final InMemoryPeers peers = new InMemoryPeers();

	/** The daemons. */
	public final List<Daemon> daemons = new ArrayList<>();

	private final Set<Daemon> frozen = new HashSet<>();

	private final int watching;

	private int incarnations;

	/**
	 * Creates a fleet.
	 * @param daemons how many daemons
	 * @param watching how many of them watch the service; the others learn from peers
	 */
	public DutyFleet(int daemons, int watching) {
		this.watching = watching;
		for (int number = 0; number < daemons; number++) {
			add();
		}
	}

	/**
	 * Starts one more daemon.
	 * @return the daemon
	 */
	public Daemon add() {
		int number = this.incarnations++;
		Daemon daemon = new Daemon(number, number);
		this.daemons.add(daemon);
		return daemon;
	}

	/**
	 * Runs rounds.
	 * @param rounds how many
	 */
	public void runRounds(int rounds) {
		for (int number = 0; number < rounds; number++) {
			for (Daemon daemon : List.copyOf(this.daemons)) {
				if (!this.frozen.contains(daemon)) {
					daemon.round();
				}
			}
			this.clock.advance(ROUND);
			this.store.expireLeases();
		}
	}

	/**
	 * Freezes a daemon: it runs no rounds and receives no watch events.
	 * @param daemon the daemon
	 */
	public void freeze(Daemon daemon) {
		this.frozen.add(daemon);
		daemon.client.faults().holdWatchBatches();
	}

	/**
	 * Resumes a frozen daemon.
	 * @param daemon the daemon
	 */
	public void resume(Daemon daemon) {
		this.frozen.remove(daemon);
		daemon.client.faults().releaseWatchBatches();
	}

	/**
	 * Kills a daemon.
	 * @param daemon the daemon
	 */
	public void kill(Daemon daemon) {
		this.daemons.remove(daemon);
		this.peers.leave(daemon.members.self().address());
	}

	/**
	 * Kills a daemon and starts its instance again at the same address.
	 * @param daemon the daemon
	 * @return the new daemon
	 */
	public Daemon restart(Daemon daemon) {
		kill(daemon);
		Daemon restarted = new Daemon(this.incarnations++, daemon.number);
		this.daemons.add(restarted);
		return restarted;
	}

	/**
	 * Returns the daemons that hold a duty now.
	 * @param duty the name of the duty
	 * @return the holders, frozen ones included
	 */
	public List<Daemon> holders(String duty) {
		return this.daemons.stream().filter((daemon) -> daemon.duties.compete(duty).tenure() != null).toList();
	}

	/** One daemon. */
	public final class Daemon {

		/** Its client of the service. */
		public final InMemoryKeyValue.Client client = DutyFleet.this.store.client();

		/** Its lease. */
		public final DaemonLease lease;

		/** Its members. */
		public final LeasedMembers members;

		/** Its duties. */
		public final LeasedDuties duties;

		private final PrefixView memberView;

		private final PrefixView dutyView;

		private final int number;

		private Daemon(int incarnation, int number) {
			this.number = number;
			Members.Member self = new Members.Member("incarnation-%03d".formatted(incarnation), "instance-" + number,
					"127.0.0.1:" + (10_000 + number), "domain-" + number % 3);
			MonotonicClock clock = DutyFleet.this.clock;
			InMemoryPeers.Peer channel = DutyFleet.this.peers.join(self.address());
			boolean watches = number < DutyFleet.this.watching;
			this.lease = new DaemonLease(this.client, clock, (event) -> {
			});
			this.members = new LeasedMembers(this.client, channel, clock, this.lease, self,
					List.of("127.0.0.1:10000", "127.0.0.1:10001"), Set::of);
			this.memberView = new PrefixView(this.client, channel, clock, LeasedMembers.PREFIX, () -> watches,
					this.members::targets);
			this.dutyView = new PrefixView(this.client, channel, clock, LeasedDuties.PREFIX, () -> watches,
					this.members::targets);
			this.members.withView(this.memberView);
			this.duties = new LeasedDuties(this.client, clock, this.lease, this.dutyView, this.members,
					new Random(number), (event) -> {
					});
		}

		/** Runs one round. */
		public void round() {
			this.lease.round();
			this.memberView.round();
			this.members.round();
			this.dutyView.round();
			this.duties.round();
		}

		/** Stops the daemon gracefully. */
		public void stop() {
			this.duties.handOver();
			this.lease.release();
			DutyFleet.this.daemons.remove(this);
		}

	}

}

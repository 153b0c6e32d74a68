package org.masticshelf.systemtests;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

import com.google.common.truth.Truth;
import org.junit.jupiter.api.Test;

import org.masticshelf.kernel.configuration.OrganisationKey;
import org.masticshelf.standins.keyvalue.KeyValueState;

/** The key-value service away, and put back to an older state. */
class KeyValueOutageTests {

	private static final long DEADLINE_MILLISECONDS = 30_000;

	private final Caller caller = new Caller(FleetTables.KEY, DEADLINE_MILLISECONDS);

	@Test
	void warmRequestsAndRestartsGoOnWhileTheServiceIsAway() {
		try (FleetFixture fleet = FleetFixture.builder("away").start()) {
			warm(fleet.daemons);
			long before = fleet.revision(fleet.daemons.getFirst());
			fleet.store.faults().setDown(true);
			fleet.daemons.forEach((daemon) -> daemon.awaitLine("event=freshness.presumed_outage"));
			warm(fleet.daemons);
			DaemonProcess restarted = fleet.daemons.get(1);
			restarted.kill();
			restarted.start();
			restarted.awaitReady();
			Truth.assertThat(fleet.revision(restarted)).isEqualTo(before);
			warm(fleet.daemons.stream().filter((daemon) -> daemon != restarted).toList());
			fleet.store.faults().setDown(false);
			long revision = fleet.withdraw(OrganisationKey.digestOf(FleetTables.SMALL_KEY));
			fleet.daemons
				.forEach((daemon) -> FleetFixture.await("the new revision", () -> fleet.revision(daemon) == revision));
		}
	}

	@Test
	void warmRequestsGoOnAfterTheServiceHasReturned() {
		try (FleetFixture fleet = FleetFixture.builder("returned").start()) {
			warm(fleet.daemons);
			fleet.store.faults().setDown(true);
			fleet.daemons.forEach((daemon) -> daemon.awaitLine("event=freshness.presumed_outage"));
			DaemonProcess restarted = fleet.daemons.get(1);
			restarted.kill();
			restarted.start();
			restarted.awaitReady();
			fleet.store.faults().setDown(false);
			fleet.daemons.forEach((daemon) -> daemon.awaitLine("event=freshness.fresh"));
			warm(fleet.daemons);
		}
	}

	@Test
	void restoredServiceDoesNotTakeTheRevisionBack() {
		try (FleetFixture fleet = FleetFixture.builder("restored").start()) {
			KeyValueState earlier = fleet.store.snapshotState();
			long revision = fleet.withdraw(OrganisationKey.digestOf(FleetTables.SMALL_KEY));
			fleet.daemons
				.forEach((daemon) -> FleetFixture.await("the new revision", () -> fleet.revision(daemon) == revision));
			fleet.store.restore(earlier);
			FleetFixture.await("a daemon to write the newer one back", () -> fleet.daemons.stream()
				.anyMatch((daemon) -> daemon.hasLine("event=configuration.written_back")));
			Caller withdrawn = new Caller(FleetTables.SMALL_KEY);
			for (DaemonProcess daemon : fleet.daemons) {
				Truth.assertThat(fleet.revision(daemon)).isAtLeast(revision);
				Truth.assertThat(FleetFixture.join(withdrawn.chat(daemon, "crest", 2)).status()).isEqualTo(401);
			}
		}
	}

	private void warm(List<DaemonProcess> daemons) {
		List<CompletableFuture<Caller.Answer>> answers = new ArrayList<>();
		daemons.forEach((daemon) -> answers.add(this.caller.chat(daemon, "crest", 2)));
		Truth.assertThat(FleetFixture.statuses(answers)).isEqualTo(Map.of(200, (long) daemons.size()));
	}

}

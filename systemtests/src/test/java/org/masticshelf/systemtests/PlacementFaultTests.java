package org.masticshelf.systemtests;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

import com.google.common.truth.Truth;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

/** Cold models while daemons and endpoints fail. */
class PlacementFaultTests {

	private final Caller caller = new Caller(FleetTables.KEY);

	@Test
	void burstAtFourDaemonsLoadsAColdModelOnce() {
		try (FleetFixture fleet = FleetFixture.builder("burst").start()) {
			List<CompletableFuture<Caller.Answer>> answers = new ArrayList<>();
			for (int index = 0; index < 40; index++) {
				answers.add(this.caller.chat(fleet.daemons.get(index % 4), "crest", 8));
			}
			Truth.assertThat(FleetFixture.statuses(answers)).isEqualTo(Map.of(200, 40L));
			Truth.assertThat(fleet.loads("crest")).isEqualTo(1);
			Truth.assertThat(fleet.overcommits()).isEqualTo(0);
		}
	}

	@Test
	void dutiesOfAKilledDaemonMove() {
		try (FleetFixture fleet = FleetFixture.builder("killed-holder").start()) {
			DaemonProcess holder = fleet.holderOf("place/");
			holder.kill();
			List<CompletableFuture<Caller.Answer>> answers = burst(othersThan(holder, fleet), "hem");
			Truth.assertThat(FleetFixture.statuses(answers)).isEqualTo(Map.of(200, 12L));
			Truth.assertThat(fleet.loads("hem")).isEqualTo(1);
			FleetFixture.await("all duties to move", () -> fleet.dutiesOf(holder) == 0 && fleet.isHeld("place/"));
		}
	}

	@Test
	@Tag("known-red")
	void daemonFrozenPastItsLeaseCausesNoSecondLoad() {
		try (FleetFixture fleet = FleetFixture.builder("frozen-holder").withLoadTime(2_000).start()) {
			DaemonProcess holder = fleet.holderOf("place/");
			List<DaemonProcess> others = othersThan(holder, fleet);
			List<CompletableFuture<Caller.Answer>> answers = burst(others, "crest");
			FleetFixture.await("the load to begin", () -> fleet.loads("crest") == 1);
			holder.freeze();
			FleetFixture.await("the duties to move", () -> fleet.dutiesOf(holder) == 0 && fleet.isHeld("place/"));
			answers.addAll(burst(others, "hem"));
			Truth.assertThat(FleetFixture.statuses(answers)).isEqualTo(Map.of(200, 24L));
			holder.goOn();
			FleetFixture.await("the daemon to trust keys again",
					() -> FleetFixture.join(this.caller.chat(holder, "hem", 8)).status() == 200);
			Truth.assertThat(FleetFixture.statuses(burst(List.of(holder), "hem"))).isEqualTo(Map.of(200, 12L));
			Truth.assertThat(List.of(fleet.loads("crest"), fleet.loads("hem"))).isEqualTo(List.of(1, 1));
			Truth.assertThat(fleet.overcommits()).isEqualTo(0);
		}
	}

	@Test
	void leavingEndpointGetsNoNewWork() {
		try (FleetFixture fleet = FleetFixture.builder("leaving").start()) {
			fleet.listAsLeaving(0);
			fleet.daemons.forEach((daemon) -> daemon.awaitLine("event=instances.leaving"));
			List<CompletableFuture<Caller.Answer>> answers = burst(fleet.daemons, "hem");
			answers.addAll(burst(fleet.daemons, "cuff"));
			Truth.assertThat(FleetFixture.statuses(answers)).isEqualTo(Map.of(200, 24L));
			Truth.assertThat(fleet.tallies().get(0).path("requests")).isEmpty();
			Truth.assertThat(fleet.tallies().get(1).path("requests")).hasSize(24);
		}
	}

	@Test
	void endpointGoneInTheMiddleOfALoadIsReplaced() {
		try (FleetFixture fleet = FleetFixture.builder("endpoint-gone").withLoadTime(2_000).start()) {
			List<CompletableFuture<Caller.Answer>> answers = burst(fleet.daemons, "crest");
			FleetFixture.await("the load to begin", () -> fleet.loads("crest") == 1);
			int loading = fleet.tallies().get(0).path("loads").isEmpty() ? 1 : 0;
			fleet.removeEngine(loading);
			Truth.assertThat(FleetFixture.statuses(answers)).isEqualTo(Map.of(200, 12L));
			Truth.assertThat(fleet.tallies().get(1 - loading).path("requests")).hasSize(12);
		}
	}

	private List<CompletableFuture<Caller.Answer>> burst(List<DaemonProcess> daemons, String model) {
		List<CompletableFuture<Caller.Answer>> answers = new ArrayList<>();
		for (int index = 0; index < 12; index++) {
			answers.add(this.caller.chat(daemons.get(index % daemons.size()), model, 8));
		}
		return answers;
	}

	private static List<DaemonProcess> othersThan(DaemonProcess daemon, FleetFixture fleet) {
		return fleet.daemons.stream().filter((each) -> each != daemon).toList();
	}

}

package org.masticshelf.systemtests;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

import com.google.common.truth.Truth;
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

}

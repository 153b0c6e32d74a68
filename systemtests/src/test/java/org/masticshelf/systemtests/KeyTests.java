package org.masticshelf.systemtests;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Stream;

import com.google.common.truth.Truth;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

import org.masticshelf.kernel.configuration.OrganisationKey;

/** Withdrawn keys. */
class KeyTests {

	private static final int LONG_TOKENS = 3_000;

	private final Caller caller = new Caller(FleetTables.KEY);

	@Test
	@Tag("known-red")
	void withdrawnKeyStopsKeptConnectionsAndOpenStreamsAtEveryDaemon() {
		try (FleetFixture fleet = FleetFixture.builder("withdrawn").withEngines(2, 16, 10).start()) {
			for (DaemonProcess daemon : fleet.daemons) {
				Truth.assertThat(FleetFixture.join(this.caller.chat(daemon, "crest", 2)).status()).isEqualTo(200);
			}
			List<CompletableFuture<List<String>>> streams = fleet.daemons.stream()
				.map((daemon) -> this.caller.stream(daemon, "crest", LONG_TOKENS))
				.map((answer) -> FleetFixture.join(answer).body())
				.map((lines) -> CompletableFuture.supplyAsync(() -> collect(lines)))
				.toList();
			long revision = fleet.withdraw(OrganisationKey.digestOf(FleetTables.KEY));
			for (DaemonProcess daemon : fleet.daemons) {
				FleetFixture.await("the revision", () -> fleet.revision(daemon) >= revision);
				Truth.assertThat(FleetFixture.join(this.caller.chat(daemon, "crest", 2)).status()).isEqualTo(401);
			}
			for (CompletableFuture<List<String>> stream : streams) {
				List<String> lines = FleetFixture.join(stream);
				Truth.assertThat(lines).doesNotContain("data: [DONE]");
				Truth.assertThat(lines.stream().filter((line) -> !line.isEmpty()).toList().getLast()).contains("error");
			}
		}
	}

	private static List<String> collect(Stream<String> lines) {
		return lines.toList();
	}

}

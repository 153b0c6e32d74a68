package org.masticshelf.control.configuration;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.stream.Stream;

import com.google.common.truth.Truth;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;

import org.masticshelf.control.configuration.ConfigurationWriter.Result;
import org.masticshelf.kernel.port.KeyValueStore;
import org.masticshelf.standins.keyvalue.KeyValueCall;
import org.masticshelf.standins.keyvalue.KeyValueState;

class ConfigurationRepositoryTests {

	private final ConfigurationFleet fleet = new ConfigurationFleet(4, 3, 2);

	private static ConfigurationFleet withRevision(ConfigurationFleet fleet, int revision) {
		for (int number = 0; number < revision; number++) {
			fleet.writer.apply(SampleTables.withModels(number + 1), number, "").join();
			fleet.runRounds(2);
		}
		return fleet;
	}

	private static void put(ConfigurationFleet fleet, String key, String value) {
		fleet.store
			.transact(new KeyValueStore.Transaction(List.of(), List.of(new KeyValueStore.Operation.Put(key, value, 0))))
			.join();
	}

	static Stream<Arguments> faults() {
		return Stream.of(Arguments.of("none", fault((fleet) -> {
		}), 0), Arguments.of("watch events dropped", fault((fleet) -> fleet.store.faults().dropNextWatchBatches(9)), 3),
				Arguments.of("watch events doubled", fault((fleet) -> fleet.store.faults().duplicateWatchBatches(true)),
						0),
				Arguments.of("watch events held", fault((fleet) -> fleet.store.faults().holdWatchBatches()), 3),
				Arguments.of("watches broken", fault((fleet) -> fleet.store.breakWatches("test")), 3),
				Arguments.of("answers to reads lost",
						fault((fleet) -> fleet.daemons
							.forEach((daemon) -> daemon.client.faults().loseNextAnswers(KeyValueCall.GET, 3))),
						6),
				Arguments.of("one domain cut from the service", fault((fleet) -> fleet.cutFromService("domain-0")), 3),
				Arguments.of("two domains cut from the service",
						fault((fleet) -> fleet.cutFromService("domain-0", "domain-1")), 3),
				Arguments.of("domains cut from each other", fault(ConfigurationFleet::cutAllPeers), 0));
	}

	private static Consumer<ConfigurationFleet> fault(Consumer<ConfigurationFleet> fault) {
		return fault;
	}

	@ParameterizedTest(name = "{0}")
	@MethodSource("faults")
	void putsChangeInForceEverywhereDespiteFault(String name, Consumer<ConfigurationFleet> fault, int rounds) {
		withRevision(this.fleet, 1);
		fault.accept(this.fleet);
		this.fleet.writer.apply(SampleTables.withModels(2), 1, "").join();
		Truth.assertThat(this.fleet.roundsUntil(2, 40)).isAtMost(rounds);
	}

	@ParameterizedTest
	@CsvSource({ "4, 3, 6", "16, 3, 8", "64, 4, 12" })
	void propagatesChangeWhileWatchesAreSilent(int daemons, int domains, int rounds) {
		ConfigurationFleet large = withRevision(new ConfigurationFleet(daemons, domains, 2), 1);
		large.runRounds(10);
		large.store.faults().holdWatchBatches();
		large.writer.apply(SampleTables.withModels(2), 1, "").join();
		Truth.assertThat(large.roundsUntil(2, 40)).isAtMost(rounds);
	}

	@Test
	void onlyRelaysReadTheHeadWithoutFaults() {
		ConfigurationFleet large = withRevision(new ConfigurationFleet(16, 3, 1), 1);
		large.runRounds(10);
		long before = large.store.count(KeyValueCall.GET);
		large.runRounds(20);
		Truth.assertThat(large.store.count(KeyValueCall.GET) - before).isEqualTo(3 * 10);
	}

	@Test
	void learnsFromPeerWhileServiceIsDown() {
		withRevision(this.fleet, 3);
		this.fleet.store.faults().setDown(true);
		ConfigurationFleet.Daemon started = this.fleet.restart(1);
		Truth.assertThat(started.repository.isReady()).isFalse();
		started.repository.round();
		Truth.assertThat(started.repository.current().revision()).isEqualTo(3);
		Truth.assertThat(started.repository.isReady()).isTrue();
	}

	@Test
	void startsWithNewestRevisionOfAnyPeer() {
		withRevision(this.fleet, 1);
		this.fleet.cutFromService("domain-0", "domain-2");
		this.fleet.cutAllPeers();
		this.fleet.writer.apply(SampleTables.withModels(2), 1, "").join();
		this.fleet.store.faults().setDown(true);
		this.fleet.peers.setCut((from, to) -> false);
		Truth.assertThat(this.fleet.revisions()).containsExactly(1L, 2L, 1L, 1L).inOrder();
		ConfigurationFleet.Daemon started = this.fleet.restart(2);
		started.repository.round();
		Truth.assertThat(started.repository.isReady() && started.repository.current().revision() < 2).isFalse();
		this.fleet.runRounds(4);
		Truth.assertThat(this.fleet.revisions()).containsExactly(2L, 2L, 2L, 2L);
	}

	@Test
	void keepsRevisionWhenServiceIsRestoredToOlderState() {
		withRevision(this.fleet, 2);
		KeyValueState older = this.fleet.store.snapshotState();
		this.fleet.writer.apply(SampleTables.withModels(9), 2, "").join();
		this.fleet.runRounds(2);
		this.fleet.store.restore(older);
		for (int number = 0; number < 10; number++) {
			this.fleet.runRound();
			Truth.assertThat(this.fleet.revisions()).containsExactly(3L, 3L, 3L, 3L);
		}
		StoredConfiguration stored = this.fleet.writer.read().join();
		Truth.assertThat(stored.head()).isEqualTo(this.fleet.daemons.get(0).repository.head());
		Truth.assertThat(stored.pages().toTables()).isEqualTo(SampleTables.withModels(9));
	}

	@Test
	void writesBackOnce() {
		withRevision(this.fleet, 1);
		KeyValueState older = this.fleet.store.snapshotState();
		this.fleet.writer.apply(SampleTables.withModels(9), 1, "").join();
		this.fleet.runRounds(2);
		this.fleet.store.restore(older);
		this.fleet.runRounds(10);
		long applied = this.fleet.daemons.stream()
			.flatMap((daemon) -> daemon.events.stream())
			.filter((event) -> "true".equals(event.field("applied")))
			.count();
		Truth.assertThat(applied).isEqualTo(1);
	}

	@Test
	void mergesForkAndKeepsWithdrawals() {
		withRevision(this.fleet, 1);
		KeyValueState older = this.fleet.store.snapshotState();
		this.fleet.writer.changeKeys(SampleTables::withdrawAll, 1, "leaked").join();
		this.fleet.runRounds(2);
		this.fleet.store.restore(older);
		this.fleet.writer.apply(SampleTables.withModels(7), 1, "made on the restored state").join();
		this.fleet.runRounds(10);
		Truth.assertThat(this.fleet.revisions()).containsExactly(3L, 3L, 3L, 3L);
		Truth.assertThat(this.fleet.daemons.get(0).repository.current().tables().routes()).hasSize(7);
		Truth.assertThat(this.fleet.daemons.stream().anyMatch(ConfigurationFleet.Daemon::servesKey)).isFalse();
		Truth.assertThat(this.fleet.daemons.stream().anyMatch((daemon) -> daemon.logged("configuration.fork")))
			.isTrue();
	}

	@ParameterizedTest
	@CsvSource(delimiter = '|', textBlock = """
			masticshelf/configuration/head     | {}
			masticshelf/configuration/head     | no JSON
			masticshelf/configuration/head     | {"revision":9,"change":"c","author":"a","note":"","manifest":"00"}
			masticshelf/configuration/manifest | {"pages":{"routes/sofia/":"00"}}
			masticshelf/configuration/manifest | {}
			""")
	void neverAdoptsInconsistentOrInvalidSnapshot(String key, String value) {
		withRevision(this.fleet, 2);
		put(this.fleet, key, value);
		ConfigurationFleet.Daemon started = this.fleet.restart(1);
		this.fleet.cutAllPeers();
		this.fleet.runRounds(5);
		Truth.assertThat(this.fleet.daemons.get(0).repository.current().revision()).isEqualTo(2);
		Truth.assertThat(started.repository.current().revision()).isEqualTo(0);
	}

	@Test
	void recoversAfterInvalidSnapshotIsReplaced() {
		withRevision(this.fleet, 1);
		String head = this.fleet.store.get(ConfigurationKeys.HEAD).join().value();
		put(this.fleet, ConfigurationKeys.HEAD, "no JSON");
		this.fleet.runRounds(3);
		put(this.fleet, ConfigurationKeys.HEAD, String.valueOf(head));
		Truth.assertThat(this.fleet.writer.apply(SampleTables.withModels(2), 1, "").join())
			.isEqualTo(new Result.Accepted(2));
		Truth.assertThat(this.fleet.roundsUntil(2, 40)).isAtMost(3);
	}

	@Test
	void notifiesListenersOfRevisionsInOrder() {
		List<Long> revisions = new ArrayList<>();
		this.fleet.daemons.get(3).repository.addListener((configuration) -> revisions.add(configuration.revision()));
		withRevision(this.fleet, 4);
		Truth.assertThat(revisions).containsExactly(1L, 2L, 3L, 4L).inOrder();
	}

}

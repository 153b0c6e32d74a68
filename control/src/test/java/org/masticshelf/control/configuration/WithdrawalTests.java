package org.masticshelf.control.configuration;

import java.util.List;
import java.util.stream.IntStream;

import com.google.common.truth.Truth;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.masticshelf.control.configuration.ConfigurationWriter.Result;

/**
 * Tests that every daemon stops accepting a withdrawn key. A withdrawal counts as in
 * force once it is accepted and all daemons of a majority of failure domains have it.
 */
class WithdrawalTests {

	private static final int DAEMONS = 6;

	private static final int DOMAINS = 3;

	/** Five seconds, in rounds. */
	private static final int MAXIMUM_ROUNDS = 10;

	private static ConfigurationFleet started() {
		ConfigurationFleet fleet = new ConfigurationFleet(DAEMONS, DOMAINS, 1);
		fleet.writer.apply(SampleTables.withModels(1), 0, "").join();
		fleet.runRounds(4);
		return fleet;
	}

	private static boolean isInForce(ConfigurationFleet fleet, long revision) {
		long domains = IntStream.range(0, DOMAINS)
			.filter((domain) -> IntStream.range(0, DAEMONS)
				.filter((number) -> number % DOMAINS == domain)
				.allMatch((number) -> fleet.revisions().get(number) >= revision))
			.count();
		return 2 * domains > DOMAINS;
	}

	@ParameterizedTest(name = "cut from service: {0}, cut from other domains: {1}")
	@CsvSource(delimiter = '|', textBlock = """
			-                          | -        | FRESH            | FRESH
			domain-0                   | -        | FRESH            | FRESH
			-                          | domain-0 | FRESH            | FRESH
			domain-0                   | domain-0 | ISOLATED         | FRESH
			domain-0,domain-1          | -        | FRESH            | FRESH
			domain-0,domain-1          | domain-0 | ISOLATED         | FRESH
			domain-1,domain-2          | domain-0 | FRESH            | PRESUMED_OUTAGE
			domain-0,domain-1,domain-2 | -        | PRESUMED_OUTAGE  | PRESUMED_OUTAGE
			domain-0,domain-1,domain-2 | domain-0 | ISOLATED         | PRESUMED_OUTAGE
			""")
	void reportsFreshness(String fromService, String fromDomains, String first, String second) {
		ConfigurationFleet fleet = started();
		fleet.cutFromService(fromService.split(","));
		fleet.cutDomains(fromDomains.split(","));
		fleet.runRounds(MAXIMUM_ROUNDS);
		Truth.assertThat(fleet.daemons.get(0).repository.freshness().name()).isEqualTo(first);
		Truth.assertThat(fleet.daemons.get(1).repository.freshness().name()).isEqualTo(second);
		fleet.heal();
		fleet.runRounds(MAXIMUM_ROUNDS);
		fleet.daemons.forEach((daemon) -> Truth.assertThat(daemon.repository.freshness().name()).isEqualTo("FRESH"));
	}

	@Property(tries = 400, seed = "11")
	void rejectsWithdrawnKeyEverywhere(@ForAll("histories") List<Step> history) {
		ConfigurationFleet fleet = started();
		boolean withdrawn = false;
		int sinceInForce = 0;
		for (Step step : history) {
			apply(step, fleet);
			if (step.action == Action.WITHDRAW) {
				withdrawn |= fleet.writer.changeKeys(SampleTables::withdrawAll, 1, "leaked")
					.join() instanceof Result.Accepted;
			}
			for (int round = 0; round < step.rounds; round++) {
				fleet.runRound();
				boolean counts = sinceInForce > 0 || (withdrawn && isInForce(fleet, 2));
				sinceInForce += counts ? 1 : 0;
				if (sinceInForce > MAXIMUM_ROUNDS) {
					fleet.daemons.forEach((daemon) -> Truth.assertWithMessage(daemon.member.toString())
						.that(daemon.servesKey())
						.isFalse());
				}
			}
		}
	}

	private static void apply(Step step, ConfigurationFleet fleet) {
		String domain = "domain-" + step.daemon % DOMAINS;
		switch (step.action) {
			case CUT_FROM_SERVICE -> fleet.cutFromService(domain);
			case CUT_ALL_FROM_SERVICE -> fleet.cutFromService("domain-0", "domain-1", "domain-2");
			case CUT_FROM_DOMAINS -> fleet.cutDomains(domain);
			case CUT_ALL_PEERS -> fleet.cutAllPeers();
			case CONNECT_PEERS -> fleet.peers.setCut((from, to) -> false);
			case RESTART -> fleet.restart(step.daemon);
			case HEAL -> fleet.heal();
			case WITHDRAW -> {
			}
		}
	}

	@Provide
	Arbitrary<List<Step>> histories() {
		Arbitrary<Action> actions = Arbitraries.of(Action.class);
		Arbitrary<Integer> daemons = Arbitraries.integers().between(0, DAEMONS - 1);
		Arbitrary<Integer> rounds = Arbitraries.integers().between(1, 12);
		return Combinators.combine(actions, daemons, rounds).as(Step::new).list().ofMinSize(4).ofMaxSize(12);
	}

	private enum Action {

		CUT_FROM_SERVICE, CUT_ALL_FROM_SERVICE, CUT_FROM_DOMAINS, CUT_ALL_PEERS, CONNECT_PEERS, RESTART, HEAL, WITHDRAW

	}

	private record Step(Action action, int daemon, int rounds) {
	}

}

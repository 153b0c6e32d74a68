package org.masticshelf.systemtests;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import com.google.common.truth.Truth;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Calls that may be run once at most. */
class PlainCallTests {

	private final Caller caller = new Caller(FleetTables.KEY);

	@ParameterizedTest
	@CsvSource({ "NONE, 1", "RUN_AND_LOSE_ANSWER, 1", "RUN_AND_FAIL, 1", "RUBBISH, 1", "OTHER_REQUEST, 1" })
	void callSentToTwoDaemonsAndRepeatedRunsOnce(String fault, int executions) {
		try (FleetFixture fleet = FleetFixture.builder("claims-" + fault).withWorkTime(300).start()) {
			if (!fault.equals("NONE")) {
				fleet.strike(fleet.plain.address(), fault, 1);
			}
			List<CompletableFuture<Caller.Answer>> answers = new ArrayList<>();
			answers.add(this.caller.order(fleet.daemons.get(0), "call"));
			answers.add(this.caller.order(fleet.daemons.get(1), "call"));
			FleetFixture.statuses(answers);
			answers.add(this.caller.order(fleet.daemons.get(2), "call"));
			answers.add(this.caller.order(fleet.daemons.get(3), "call"));
			FleetFixture.statuses(answers);
			Truth.assertThat(fleet.executions("call")).isEqualTo(executions);
			answers.forEach((answer) -> Truth.assertThat(FleetFixture.join(answer).body()).doesNotContain("not_run"));
		}
	}

	@Test
	void callOfAKilledDaemonIsNotRunAgain() {
		try (FleetFixture fleet = FleetFixture.builder("claims-killed").withWorkTime(3_000).start()) {
			CompletableFuture<Caller.Answer> first = this.caller.order(fleet.daemons.get(0), "call");
			FleetFixture.await("the call to run", () -> fleet.executions("call") == 1);
			fleet.daemons.get(0).kill();
			Truth.assertThat(FleetFixture.join(first).status()).isEqualTo(Caller.Answer.BROKEN);
			for (int index = 1; index < fleet.daemons.size(); index++) {
				Caller.Answer answer = FleetFixture.join(this.caller.order(fleet.daemons.get(index), "call"));
				Truth.assertThat(answer.body()).doesNotContain("not_run");
			}
			Truth.assertThat(fleet.executions("call")).isEqualTo(1);
		}
	}

}

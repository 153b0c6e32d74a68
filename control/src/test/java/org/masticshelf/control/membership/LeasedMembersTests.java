package org.masticshelf.control.membership;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Stream;

import com.google.common.truth.Truth;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.masticshelf.control.duty.DutyFleet;
import org.masticshelf.control.membership.Members.Member;
import org.masticshelf.kernel.port.InstanceList;
import org.masticshelf.kernel.port.InstanceList.Instance;
import org.masticshelf.kernel.port.InstanceList.State;

class LeasedMembersTests {

	private static void assertAllKnow(DutyFleet fleet, int count) {
		fleet.daemons.forEach((daemon) -> Truth.assertThat(daemon.members.members()).hasSize(count));
	}

	@ParameterizedTest
	@CsvSource({ "1, 1", "4, 4", "16, 4", "64, 6" })
	void knowsAllMembers(int daemons, int direct) {
		DutyFleet fleet = new DutyFleet(daemons, direct);
		fleet.runRounds(20);
		assertAllKnow(fleet, daemons);
	}

	@ParameterizedTest
	@CsvSource({ "4, 4", "64, 6" })
	void forgetsDeadMember(int daemons, int direct) {
		DutyFleet fleet = new DutyFleet(daemons, direct);
		fleet.runRounds(20);
		fleet.kill(fleet.daemons.get(daemons - 1));
		fleet.runRounds(20);
		assertAllKnow(fleet, daemons - 1);
	}

	@Test
	void keepsMembersWhileServiceIsDown() {
		DutyFleet fleet = new DutyFleet(4, 4);
		fleet.runRounds(10);
		fleet.store.faults().setDown(true);
		fleet.runRounds(60);
		assertAllKnow(fleet, 4);
	}

	@Test
	void findsMembersThroughSeedsWhileServiceIsDown() {
		DutyFleet fleet = new DutyFleet(3, 3);
		fleet.runRounds(10);
		fleet.store.faults().setDown(true);
		DutyFleet.Daemon started = fleet.add();
		fleet.runRounds(10);
		Truth.assertThat(started.members.members().size()).isAtLeast(3);
		Truth.assertThat(fleet.daemons.get(0).members.members()).contains(started.members.self());
	}

	@Test
	void asksFewPeersAndIsAskedByFew() {
		List<Member> members = new ArrayList<>();
		for (int number = 0; number < 1600; number++) {
			members
				.add(new Member("incarnation-%04d".formatted(number), "i", "127.0.0.1:" + number, "d" + number % 17));
		}
		Map<Member, Integer> asked = new HashMap<>();
		for (Member member : members) {
			List<Member> targets = PullTargets.choose(member, members, Set.of("incarnation-0000", "incarnation-0017"),
					2, 3);
			Truth.assertThat(targets.size()).isAtMost(4);
			targets.forEach((target) -> asked.merge(target, 1, Integer::sum));
		}
		Truth.assertThat(Collections.max(asked.values())).isAtMost(2 * PullTargets.CHILDREN_PER_PARENT + 16);
	}

	@ParameterizedTest
	@CsvSource(delimiter = '|', textBlock = """
			e1:LIVE                         | -
			e1:LEAVING                      | e1
			e1:LEAVING;e2:LIVE              | e1
			e1:LEAVING;fails                | e1
			e1:LEAVING;e2:LIVE;e1:LIVE      | -
			fails;e1:LEAVING                | e1
			""")
	void knowsLeavingEndpoints(String readings, String leaving) {
		List<String> left = new ArrayList<>(List.of(readings.split(";")));
		InstanceListPoller poller = new InstanceListPoller(new ScriptedInstanceList(left), (event) -> {
		});
		while (!left.isEmpty()) {
			poller.round();
		}
		Set<String> expected = leaving.equals("-") ? Set.of() : Set.of(leaving.split(","));
		Truth.assertThat(poller.leaving()).isEqualTo(expected);
	}

	private record ScriptedInstanceList(List<String> readings) implements InstanceList {

		@Override
		public CompletableFuture<List<Instance>> read() {
			String reading = this.readings.remove(0);
			if (reading.equals("fails")) {
				return CompletableFuture.failedFuture(new IllegalStateException("cannot be read"));
			}
			return CompletableFuture.completedFuture(Stream.of(reading.split(",")).map((text) -> {
				String[] part = text.split(":");
				return new Instance(part[0], "127.0.0.1:1", "a", State.valueOf(part[1]));
			}).toList());
		}

		@Override
		public void close() {
			// holds nothing open
		}

	}

}

package org.masticshelf.control.grant;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.stream.Stream;

import com.google.common.truth.Truth;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

import org.masticshelf.kernel.grant.ChargeOutcome;
import org.masticshelf.standins.keyvalue.KeyValueCall;

/** Keepers and clients together, under faults and full demand. */
class GrantFailureTests {

	private static final Duration SECOND = Duration.ofSeconds(1);

	private static final Duration MINUTE = Duration.ofMinutes(1);

	private final GrantCluster world = new GrantCluster();

	static Stream<Arguments> faults() {
		return Stream.of(fault("nothing", (world) -> {
		}), fault("keeper killed", (world) -> {
			world.daemons.get(0).restart();
			world.run(SECOND.multipliedBy(6));
			world.elect(world.daemons.get(1));
		}), fault("keeper frozen past its tenure and resumed", (world) -> {
			world.daemons.get(0).frozen = true;
			world.run(SECOND.multipliedBy(6));
			world.elect(world.daemons.get(1));
			world.run(SECOND);
			world.daemons.get(0).thaw();
		}), fault("keeper frozen for a moment", (world) -> {
			world.daemons.get(0).frozen = true;
			world.run(SECOND);
			world.daemons.get(0).thaw();
		}), fault("keeper moved at once", (world) -> world.elect(world.daemons.get(2))),
				fault("daemon frozen and resumed", (world) -> {
					world.daemons.get(3).frozen = true;
					world.run(SECOND.multipliedBy(9));
					world.daemons.get(3).thaw();
				}), fault("daemon cut", (world) -> {
					world.daemons.get(3).cut = true;
					world.run(SECOND.multipliedBy(20));
					world.daemons.get(3).cut = false;
				}), fault("all restarted", (world) -> {
					List.copyOf(world.daemons).forEach(GrantCluster.Daemon::restart);
					world.run(SECOND.multipliedBy(6));
					world.elect(world.daemons.get(1));
				}), fault("key-value service down for minutes", (world) -> {
					world.keyValue.faults().setDown(true);
					world.run(MINUTE.multipliedBy(3));
					world.keyValue.faults().setDown(false);
					world.elect(world.daemons.get(1));
				}), fault("written but the answer lost", (world) -> {
					world.keyValue.faults().loseNextAnswers(KeyValueCall.TRANSACT, 3);
					world.daemons.get(2).restart();
				}));
	}

	private static Arguments fault(String name, Consumer<GrantCluster> strike) {
		return Arguments.of(name, strike);
	}

	@ParameterizedTest(name = "{0}")
	@MethodSource("faults")
	void neverExceedsTheGrantAndRecovers(String name, Consumer<GrantCluster> strike) {
		this.world.run(SECOND.multipliedBy(10));
		this.world.demand(true);
		this.world.run(SECOND.multipliedBy(3));
		strike.accept(this.world);
		this.world.run(SECOND.multipliedBy(10));
		this.world.demand(false);
		this.world.run(SECOND.multipliedBy(8));
		long recovered = this.world.clock.nanoseconds();
		this.world.demand(true);
		this.world.run(SECOND.multipliedBy(10));
		Truth.assertThat(this.world.greatestBurst(GrantCluster.RATE)).isAtMost(GrantCluster.BURST);
		Truth.assertThat(this.world.usedSince(recovered)).isAtLeast(GrantCluster.RATE * 9);
	}

	@Test
	void cutDaemonSpendsItsAllotmentAndNoMore() {
		this.world.demand(true);
		this.world.run(SECOND.multipliedBy(10));
		GrantCluster.Daemon cut = this.world.daemons.get(3);
		cut.cut = true;
		this.world.run(SECOND.multipliedBy(5));
		long since = this.world.clock.nanoseconds();
		this.world.run(MINUTE);
		long share = GrantCluster.RATE / 10;
		Truth.assertThat(this.world.usedSince(since, cut)).isAtMost(share * 60 + GrantCluster.BURST / 10);
		Truth.assertThat(this.world.usedSince(since, cut)).isAtLeast(share * 50);
	}

	@Test
	void serviceOutageLeavesTheAllotments() {
		this.world.demand(true);
		this.world.run(SECOND.multipliedBy(10));
		this.world.keyValue.faults().setDown(true);
		this.world.run(SECOND.multipliedBy(20));
		long since = this.world.clock.nanoseconds();
		this.world.run(MINUTE.multipliedBy(5));
		Truth.assertThat(this.world.isTenureOver()).isTrue();
		Truth.assertThat(this.world.usedSince(since)).isAtMost(GrantCluster.RATE * 4 / 10 * 300 + GrantCluster.BURST);
		Truth.assertThat(this.world.usedSince(since)).isAtLeast(GrantCluster.RATE * 3 / 10 * 300);
	}

	@Test
	void restartsDoNotRefillTheBurst() {
		this.world.run(SECOND.multipliedBy(10));
		this.world.demand(true);
		this.world.run(SECOND.multipliedBy(5));
		long since = this.world.clock.nanoseconds();
		for (int round = 0; round < 5; round++) {
			List.copyOf(this.world.daemons).forEach(GrantCluster.Daemon::restart);
			this.world.elect(this.world.daemons.get(round % 4));
			this.world.run(SECOND);
		}
		Truth.assertThat(this.world.usedSince(since)).isAtMost(GrantCluster.RATE * 5);
		Truth.assertThat(this.world.greatestBurst(GrantCluster.RATE)).isAtMost(GrantCluster.BURST);
	}

	@Test
	void keeperThatReturnsForgetsItsEarlierTenure() {
		this.world.run(SECOND.multipliedBy(10));
		this.world.elect(this.world.daemons.get(1));
		this.world.run(SECOND.multipliedBy(20));
		this.world.demand(true);
		this.world.run(SECOND.multipliedBy(2));
		this.world.elect(this.world.daemons.get(0));
		this.world.run(SECOND.multipliedBy(3));
		Truth.assertThat(this.world.greatestBurst(GrantCluster.RATE)).isAtMost(GrantCluster.BURST);
	}

	@Test
	void changedLimitsDoNotRefill() {
		this.world.run(SECOND.multipliedBy(10));
		this.world.demand(true);
		this.world.run(SECOND.multipliedBy(5));
		long since = this.world.clock.nanoseconds();
		this.world.configure(500, 50_000);
		this.world.run(SECOND.multipliedBy(10));
		Truth.assertThat(this.world.usedSince(since)).isAtMost(500 * 10 + GrantCluster.BURST / 4);
	}

	@Test
	void waitingRequestIsChargedWhenItsTokensCome() {
		GrantClient client = this.world.daemons.get(2).client;
		this.world.run(SECOND.multipliedBy(10));
		CompletableFuture<ChargeOutcome> whole = client.chargeBy(GrantCluster.ORGANISATION, GrantCluster.BURST,
				deadline(5));
		CompletableFuture<ChargeOutcome> next = client.chargeBy(GrantCluster.ORGANISATION, 900, deadline(5));
		this.world.run(SECOND.multipliedBy(2));
		Truth.assertThat(whole.getNow(null)).isInstanceOf(ChargeOutcome.Charged.class);
		Truth.assertThat(next.getNow(null)).isInstanceOf(ChargeOutcome.Charged.class);
	}

	@Test
	void impossibleDeadlineIsRefusedEarlyWithAnHonestWait() {
		GrantClient client = this.world.daemons.get(2).client;
		this.world.run(SECOND.multipliedBy(10));
		client.chargeBy(GrantCluster.ORGANISATION, GrantCluster.BURST, deadline(5));
		this.world.run(SECOND.dividedBy(5));
		CompletableFuture<ChargeOutcome> refused = client.chargeBy(GrantCluster.ORGANISATION, 1_900, deadline(1));
		Truth.assertThat(refused.isDone()).isTrue();
		long wait = ((ChargeOutcome.Insufficient) refused.getNow(null)).retryAfterNanoseconds();
		Truth.assertThat(wait).isAtLeast(GrantCluster.milliseconds(1_500));
		Truth.assertThat(wait).isAtMost(GrantCluster.milliseconds(1_900));
	}

	@Test
	void leavingDaemonGivesItsAllotmentBack() {
		this.world.run(SECOND.multipliedBy(10));
		GrantCluster.Daemon leaving = this.world.daemons.get(3);
		leaving.client.leave().join();
		this.world.run(SECOND);
		String written = this.world.keyValue.get(GrantMessages.allotmentsKeyOf(GrantCluster.ORGANISATION))
			.join()
			.value();
		Truth.assertThat(written).doesNotContain(leaving.member.incarnation());
		Truth.assertThat(leaving.client.heldTokens(GrantCluster.ORGANISATION)).isEqualTo(0);
	}

	private long deadline(long seconds) {
		return this.world.clock.nanoseconds() + SECOND.multipliedBy(seconds).toNanos();
	}

}

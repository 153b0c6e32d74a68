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

/** Tests keepers and clients together, under faults and full demand. */
class GrantFailureTests {

	private static final Duration SECOND = Duration.ofSeconds(1);

	private static final Duration MINUTE = Duration.ofMinutes(1);

	private final GrantCluster cluster = new GrantCluster();

	static Stream<Arguments> faults() {
		return Stream.of(fault("nothing", (cluster) -> {
		}), fault("keeper killed", (cluster) -> {
			cluster.daemons.get(0).restart();
			cluster.run(SECOND.multipliedBy(6));
			cluster.elect(cluster.daemons.get(1));
		}), fault("keeper frozen past its tenure and resumed", (cluster) -> {
			cluster.daemons.get(0).frozen = true;
			cluster.run(SECOND.multipliedBy(6));
			cluster.elect(cluster.daemons.get(1));
			cluster.run(SECOND);
			cluster.daemons.get(0).resume();
		}), fault("keeper frozen for a moment", (cluster) -> {
			cluster.daemons.get(0).frozen = true;
			cluster.run(SECOND);
			cluster.daemons.get(0).resume();
		}), fault("keeper moved at once", (cluster) -> cluster.elect(cluster.daemons.get(2))),
				fault("daemon frozen and resumed", (cluster) -> {
					cluster.daemons.get(3).frozen = true;
					cluster.run(SECOND.multipliedBy(9));
					cluster.daemons.get(3).resume();
				}), fault("daemon disconnected", (cluster) -> {
					cluster.daemons.get(3).disconnected = true;
					cluster.run(SECOND.multipliedBy(20));
					cluster.daemons.get(3).disconnected = false;
				}), fault("all restarted", (cluster) -> {
					List.copyOf(cluster.daemons).forEach(GrantCluster.Daemon::restart);
					cluster.run(SECOND.multipliedBy(6));
					cluster.elect(cluster.daemons.get(1));
				}), fault("key-value service down for minutes", (cluster) -> {
					cluster.keyValue.faults().setDown(true);
					cluster.run(MINUTE.multipliedBy(3));
					cluster.keyValue.faults().setDown(false);
					cluster.elect(cluster.daemons.get(1));
				}), fault("write applied but its answer lost", (cluster) -> {
					cluster.keyValue.faults().loseNextAnswers(KeyValueCall.TRANSACT, 3);
					cluster.daemons.get(2).restart();
				}));
	}

	private static Arguments fault(String name, Consumer<GrantCluster> inject) {
		return Arguments.of(name, inject);
	}

	@ParameterizedTest(name = "{0}")
	@MethodSource("faults")
	void neverExceedsTheGrantAndRecovers(String name, Consumer<GrantCluster> inject) {
		this.cluster.run(SECOND.multipliedBy(10));
		this.cluster.setDemanding(true);
		this.cluster.run(SECOND.multipliedBy(3));
		inject.accept(this.cluster);
		this.cluster.run(SECOND.multipliedBy(10));
		this.cluster.setDemanding(false);
		this.cluster.run(SECOND.multipliedBy(8));
		long recovered = this.cluster.clock.nanoseconds();
		this.cluster.setDemanding(true);
		this.cluster.run(SECOND.multipliedBy(10));
		Truth.assertThat(this.cluster.greatestBurst(GrantCluster.RATE)).isAtMost(GrantCluster.BURST);
		Truth.assertThat(this.cluster.usedSince(recovered)).isAtLeast(GrantCluster.RATE * 9);
	}

	@Test
	void disconnectedDaemonSpendsItsAllotmentAndNoMore() {
		this.cluster.setDemanding(true);
		this.cluster.run(SECOND.multipliedBy(10));
		GrantCluster.Daemon disconnectedDaemon = this.cluster.daemons.get(3);
		disconnectedDaemon.disconnected = true;
		this.cluster.run(SECOND.multipliedBy(5));
		long since = this.cluster.clock.nanoseconds();
		this.cluster.run(MINUTE);
		long share = GrantCluster.RATE / 10;
		Truth.assertThat(this.cluster.usedSince(since, disconnectedDaemon))
			.isAtMost(share * 60 + GrantCluster.BURST / 10);
		Truth.assertThat(this.cluster.usedSince(since, disconnectedDaemon)).isAtLeast(share * 50);
	}

	@Test
	void serviceOutageLeavesTheAllotments() {
		this.cluster.setDemanding(true);
		this.cluster.run(SECOND.multipliedBy(10));
		this.cluster.keyValue.faults().setDown(true);
		this.cluster.run(SECOND.multipliedBy(20));
		long since = this.cluster.clock.nanoseconds();
		this.cluster.run(MINUTE.multipliedBy(5));
		Truth.assertThat(this.cluster.isTenureOver()).isTrue();
		Truth.assertThat(this.cluster.usedSince(since)).isAtMost(GrantCluster.RATE * 4 / 10 * 300 + GrantCluster.BURST);
		Truth.assertThat(this.cluster.usedSince(since)).isAtLeast(GrantCluster.RATE * 3 / 10 * 300);
	}

	@Test
	void restartsDoNotRefillTheBurst() {
		this.cluster.run(SECOND.multipliedBy(10));
		this.cluster.setDemanding(true);
		this.cluster.run(SECOND.multipliedBy(5));
		long since = this.cluster.clock.nanoseconds();
		for (int round = 0; round < 5; round++) {
			List.copyOf(this.cluster.daemons).forEach(GrantCluster.Daemon::restart);
			this.cluster.elect(this.cluster.daemons.get(round % 4));
			this.cluster.run(SECOND);
		}
		Truth.assertThat(this.cluster.usedSince(since)).isAtMost(GrantCluster.RATE * 5);
		Truth.assertThat(this.cluster.greatestBurst(GrantCluster.RATE)).isAtMost(GrantCluster.BURST);
	}

	@Test
	void keeperThatReturnsForgetsItsEarlierTenure() {
		this.cluster.run(SECOND.multipliedBy(10));
		this.cluster.elect(this.cluster.daemons.get(1));
		this.cluster.run(SECOND.multipliedBy(20));
		this.cluster.setDemanding(true);
		this.cluster.run(SECOND.multipliedBy(2));
		this.cluster.elect(this.cluster.daemons.get(0));
		this.cluster.run(SECOND.multipliedBy(3));
		Truth.assertThat(this.cluster.greatestBurst(GrantCluster.RATE)).isAtMost(GrantCluster.BURST);
	}

	@Test
	void changedLimitsDoNotRefill() {
		this.cluster.run(SECOND.multipliedBy(10));
		this.cluster.setDemanding(true);
		this.cluster.run(SECOND.multipliedBy(5));
		long since = this.cluster.clock.nanoseconds();
		this.cluster.configure(500, 50_000);
		this.cluster.run(SECOND.multipliedBy(10));
		Truth.assertThat(this.cluster.usedSince(since)).isAtMost(500 * 10 + GrantCluster.BURST / 4);
	}

	@Test
	void waitingRequestIsChargedWhenItsTokensArrive() {
		GrantClient client = this.cluster.daemons.get(2).client;
		this.cluster.run(SECOND.multipliedBy(10));
		CompletableFuture<ChargeOutcome> first = client.chargeBy(GrantCluster.ORGANISATION, GrantCluster.BURST,
				deadline(5));
		CompletableFuture<ChargeOutcome> next = client.chargeBy(GrantCluster.ORGANISATION, 900, deadline(5));
		this.cluster.run(SECOND.multipliedBy(2));
		Truth.assertThat(first.getNow(null)).isInstanceOf(ChargeOutcome.Charged.class);
		Truth.assertThat(next.getNow(null)).isInstanceOf(ChargeOutcome.Charged.class);
	}

	@Test
	void unreachableDeadlineIsRefusedEarlyWithRealisticWait() {
		GrantClient client = this.cluster.daemons.get(2).client;
		this.cluster.run(SECOND.multipliedBy(10));
		client.chargeBy(GrantCluster.ORGANISATION, GrantCluster.BURST, deadline(5));
		this.cluster.run(SECOND.dividedBy(5));
		CompletableFuture<ChargeOutcome> refused = client.chargeBy(GrantCluster.ORGANISATION, 1_900, deadline(1));
		Truth.assertThat(refused.isDone()).isTrue();
		long wait = ((ChargeOutcome.Insufficient) refused.getNow(null)).retryAfterNanoseconds();
		Truth.assertThat(wait).isAtLeast(GrantCluster.milliseconds(1_500));
		Truth.assertThat(wait).isAtMost(GrantCluster.milliseconds(1_900));
	}

	@Test
	void leavingDaemonReturnsItsAllotment() {
		this.cluster.run(SECOND.multipliedBy(10));
		GrantCluster.Daemon leaving = this.cluster.daemons.get(3);
		leaving.client.leave().join();
		this.cluster.run(SECOND);
		String written = this.cluster.keyValue.get(GrantMessages.allotmentsKeyOf(GrantCluster.ORGANISATION))
			.join()
			.value();
		Truth.assertThat(written).doesNotContain(leaving.member.incarnation());
		Truth.assertThat(leaving.client.heldTokens(GrantCluster.ORGANISATION)).isEqualTo(0);
	}

	private long deadline(long seconds) {
		return this.cluster.clock.nanoseconds() + SECOND.multipliedBy(seconds).toNanos();
	}

}

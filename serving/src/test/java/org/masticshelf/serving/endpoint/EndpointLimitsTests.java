package org.masticshelf.serving.endpoint;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import com.google.common.truth.Truth;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.masticshelf.kernel.serving.ServedEndpoint;
import org.masticshelf.kernel.time.MonotonicClock;
import org.masticshelf.serving.endpoint.EndpointLimits.Availability;
import org.masticshelf.serving.peer.PeerMessage;

/**
 * Tests {@link EndpointLimits}.
 */
class EndpointLimitsTests {

	private final MonotonicClock.Manual clock = new MonotonicClock.Manual();

	private final ServedEndpoint endpoint = endpoint(1);

	private final EndpointLimits limits = limits("self");

	EndpointLimitsTests() {
		this.clock.advance(Duration.ofHours(1));
	}

	private EndpointLimits limits(String self) {
		return new EndpointLimits(self, this.clock, (event) -> {
		}, () -> {
		});
	}

	private static ServedEndpoint endpoint(long startedAt) {
		return new ServedEndpoint("e", startedAt, "pool", "10.0.0.1", 80, "domain", 8, false,
				ServedEndpoint.Holdings.NONE);
	}

	private int sendAll(long milliseconds) {
		int sent = 0;
		for (long passed = 0; passed < milliseconds; passed += 10) {
			this.clock.advance(Duration.ofMillis(10));
			sent += this.limits.tryTake(this.endpoint) ? 1 : 0;
		}
		return sent;
	}

	@Test
	void endpointWithoutLimitIsAvailable() {
		Truth.assertThat(this.limits.availability(this.endpoint, 3)).isEqualTo(Availability.NOW);
		Truth.assertThat(sendAll(100)).isEqualTo(10);
	}

	@ParameterizedTest
	@CsvSource({ "0.25, 10", "1, 40", "5, 200" })
	void lonelyDaemonUsesTheWholeLimit(double limit, int sent) {
		this.limits.learn(this.endpoint, limit);
		Truth.assertThat(sendAll(40_000)).isAnyOf(sent - 1, sent);
	}

	@Test
	void changedLimitHoldsAtOnce() {
		this.limits.learn(this.endpoint, 10.0);
		sendAll(4_000);
		this.limits.learn(this.endpoint, 1.0);
		Truth.assertThat(sendAll(4_000)).isAtMost(5);
	}

	@Test
	void endedLimitHoldsNoMore() {
		this.limits.learn(this.endpoint, 1.0);
		this.limits.learn(this.endpoint, null);
		Truth.assertThat(sendAll(1_000)).isEqualTo(100);
		Truth.assertThat(this.limits.size()).isEqualTo(0);
	}

	@Test
	void limitOfEarlierRunDoesNotHold() {
		this.limits.learn(endpoint(0), 1.0);
		Truth.assertThat(sendAll(1_000)).isEqualTo(100);
	}

	@Test
	void unconfirmedLimitIsForgotten() {
		this.limits.learn(this.endpoint, 1.0);
		this.clock.advance(Duration.ofMillis(EndpointLimits.RETENTION_MILLISECONDS));
		Truth.assertThat(this.limits.reports()).isEmpty();
		Truth.assertThat(this.limits.tryTake(this.endpoint)).isTrue();
	}

	@Test
	void availabilityCountsRequestsThatWaitAhead() {
		this.limits.learn(this.endpoint, 2.0);
		Truth.assertThat(this.limits.availability(this.endpoint, 0)).isEqualTo(new Availability(true, 500));
		Truth.assertThat(this.limits.availability(this.endpoint, 3)).isEqualTo(new Availability(true, 2_000));
	}

	@Test
	void daemonWithoutShareTellsWhenTheFleetTakesTheNextRequest() {
		List<EndpointLimits> daemons = fleet(39);
		daemons.forEach((daemon) -> daemon.learn(this.endpoint, 0.5));
		List<Availability> availabilities = daemons.stream()
			.map((daemon) -> daemon.availability(this.endpoint, 0))
			.toList();
		Truth.assertThat(availabilities.stream().filter(Availability::here).count()).isEqualTo(3);
		Truth.assertThat(availabilities).contains(new Availability(false, 2_000));
	}

	@Test
	void endOfLimitReachesDaemonsThatMaySendNothing() {
		EndpointLimits peer = limits("peer");
		peer.learn(this.endpoint, 1.0);
		this.limits.merge("peer", peer.reports());
		Truth.assertThat(this.limits.size()).isEqualTo(1);
		this.clock.advance(Duration.ofSeconds(1));
		peer.learn(this.endpoint, null);
		this.limits.merge("peer", peer.reports());
		Truth.assertThat(this.limits.size()).isEqualTo(0);
		Truth.assertThat(this.limits.tryTake(this.endpoint)).isTrue();
	}

	@Test
	void statementDoesNotBecomeNewerWhileItIsPassedOn() {
		EndpointLimits peer = limits("peer");
		peer.learn(this.endpoint, 1.0);
		for (int round = 0; round < 100; round++) {
			Map<String, PeerMessage.StatedLimit> there = peer.reports();
			this.clock.advance(Duration.ofMillis(40));
			this.limits.merge("peer", there);
			Map<String, PeerMessage.StatedLimit> here = this.limits.reports();
			this.clock.advance(Duration.ofMillis(40));
			peer.merge("self", here);
		}
		Truth.assertThat(peer.reports().get("e/1")).isEqualTo(new PeerMessage.StatedLimit(1.0, 8_000));
	}

	private List<EndpointLimits> fleet(int size) {
		Set<String> all = IntStream.range(0, size).mapToObj((daemon) -> "daemon-" + daemon).collect(Collectors.toSet());
		List<EndpointLimits> daemons = new ArrayList<>();
		for (int daemon = 0; daemon < size; daemon++) {
			EndpointLimits created = limits("daemon-" + daemon);
			Set<String> others = new HashSet<>(all);
			others.remove("daemon-" + daemon);
			created.setPeers(others);
			daemons.add(created);
		}
		return daemons;
	}

	/**
	 * From three seconds after an endpoint first named its limit, it gets at most one and
	 * a half times that and five requests in four seconds from all daemons together,
	 * while these learn of it from their own answers and from each other, and one of them
	 * is restarted each five seconds.
	 * @param daemons the number of daemons
	 * @param limit the limit
	 */
	@ParameterizedTest
	@CsvSource({ "4, 0.25", "4, 1", "4, 1.5", "4, 8", "39, 0.25", "39, 1", "39, 8", "39, 60" })
	void daemonsTogetherKeepToTheLimit(int daemons, double limit) {
		for (int seed = 0; seed < 20; seed++) {
			Random random = new Random(seed);
			List<EndpointLimits> fleet = fleet(daemons);
			List<Long> arrivals = new ArrayList<>();
			long begunAt = this.clock.milliseconds();
			for (int step = 0; step < 3_000; step++) {
				this.clock.advance(Duration.ofMillis(10));
				if (step % 500 == 499) {
					restart(fleet, random.nextInt(daemons));
				}
				EndpointLimits daemon = fleet.get(random.nextInt(daemons));
				if (daemon.tryTake(this.endpoint)) {
					daemon.learn(this.endpoint, limit);
					arrivals.add(this.clock.milliseconds() - begunAt);
				}
				if (step % 15 == 0) {
					fleet.forEach((peer) -> fleet.get(random.nextInt(daemons)).merge("peer", peer.reports()));
				}
			}
			Truth.assertWithMessage("requests in 4 s, seed %s", seed)
				.that(mostInWindow(arrivals))
				.isAtMost((int) (1.5 * limit * 4 + 5));
		}
	}

	private void restart(List<EndpointLimits> fleet, int index) {
		EndpointLimits started = limits("daemon-" + index + "-again-" + this.clock.milliseconds());
		started.setPeers(IntStream.range(0, fleet.size())
			.filter((daemon) -> daemon != index)
			.mapToObj((daemon) -> "daemon-" + daemon)
			.collect(Collectors.toSet()));
		started.merge("peer", fleet.get((index + 1) % fleet.size()).reports());
		fleet.set(index, started);
	}

	private static int mostInWindow(List<Long> arrivals) {
		int most = 0;
		for (int first = 0; first < arrivals.size(); first++) {
			long from = arrivals.get(first);
			if (from >= 3_000) {
				most = Math.max(most,
						(int) arrivals.stream().filter((arrival) -> arrival >= from && arrival < from + 4_000).count());
			}
		}
		return most;
	}

	@Test
	void nothingIsKnownOfUnknownEndpoint() {
		@Nullable Double none = null;
		this.limits.learn(this.endpoint, none);
		Truth.assertThat(this.limits.reports()).isEmpty();
	}

}

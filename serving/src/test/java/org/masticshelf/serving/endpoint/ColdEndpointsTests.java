package org.masticshelf.serving.endpoint;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

import com.google.common.truth.Truth;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.masticshelf.kernel.event.Event;
import org.masticshelf.kernel.serving.ColdStart;
import org.masticshelf.kernel.serving.ServedEndpoint;
import org.masticshelf.kernel.serving.ServedPool;
import org.masticshelf.kernel.serving.ServedTables;
import org.masticshelf.kernel.share.ColdBound;
import org.masticshelf.kernel.time.MonotonicClock;
import org.masticshelf.serving.peer.PeerMessage.StatedLimit;

/**
 * Tests {@link ColdEndpoints}.
 */
class ColdEndpointsTests {

	private static final long BORN = 86_400_000;

	private static final long COLD_MILLISECONDS = 8_000;

	private final MonotonicClock.Manual clock = new MonotonicClock.Manual();

	private final List<Event> events = new ArrayList<>();

	private @Nullable ColdStart coldStart = new ColdStart(COLD_MILLISECONDS, 2);

	private long wallMilliseconds = BORN;

	private final ColdEndpoints cold = new ColdEndpoints(new ColdEndpoints.Settings("self", ColdBound.DEFAULT),
			this::tables, this.clock, (InstantSource) () -> Instant.ofEpochMilli(this.wallMilliseconds),
			this.events::add, () -> {
			});

	private final List<CompletableFuture<Collection<ServedEndpoint>>> reads = new ArrayList<>();

	private ServedTables tables() {
		return new ServedTables(1, List.of(), Map.of("pool", new ServedPool("pool", 10, null, this.coldStart)),
				Map.of(), false, new ServedTables.Limits(1, 1));
	}

	private static ServedEndpoint endpoint(String identifier, long startedAt, long remaining) {
		return new ServedEndpoint(identifier, startedAt, "pool", "10.0.0.1", 80, "domain", 8, false,
				ServedEndpoint.Holdings.NONE, remaining);
	}

	private void list(ServedEndpoint... endpoints) {
		this.cold.observe(List.of(endpoints));
	}

	private boolean isCold() {
		return this.cold.isCold(endpoint("e", BORN, 0));
	}

	/** Lets rounds pass in which nothing happens. */
	private void pass(long milliseconds) {
		for (long passed = 0; passed < milliseconds; passed += 50) {
			this.clock.advance(Duration.ofMillis(Math.min(50, milliseconds - passed)));
			this.cold.round(this::read);
		}
	}

	private CompletableFuture<Collection<ServedEndpoint>> read() {
		CompletableFuture<Collection<ServedEndpoint>> read = new CompletableFuture<>();
		this.reads.add(read);
		return read;
	}

	@ParameterizedTest
	@CsvSource({ "-1, false", "0, false", "1, true", "5000, true" })
	void endpointOfFirstListIsAsItsEntrySays(long remaining, boolean expected) {
		list(endpoint("e", BORN, remaining));
		Truth.assertThat(isCold()).isEqualTo(expected);
	}

	/**
	 * Guards against unlimited requests to an endpoint that has just started, whose first
	 * entry may say nothing yet.
	 * @param age how long ago the endpoint has started by the wall clock, in milliseconds
	 * @param remaining what its entry says
	 * @param expected for how long it is cold
	 */
	@ParameterizedTest
	@CsvSource({ "0, -1, 8000", "0, 0, 8000", "3000, -1, 5000", "3000, 6000, 6000", "9000, -1, 0", "9000, 100, 100",
			"-5000, -1, 8000" })
	void newRunIsColdFromItsStart(long age, long remaining, long expected) {
		list(endpoint("other", 1, 0));
		this.wallMilliseconds = BORN + age;
		list(endpoint("other", 1, 0), endpoint("e", BORN, remaining));
		Truth.assertThat(isCold()).isEqualTo(expected > 0);
		pass(Math.max(0, expected - 1));
		Truth.assertThat(isCold()).isEqualTo(expected > 0);
		pass(1);
		Truth.assertThat(isCold()).isFalse();
	}

	@Test
	void poolWithoutColdLimitHasNoColdEndpoints() {
		this.coldStart = null;
		list(endpoint("other", 1, 0));
		list(endpoint("other", 1, 0), endpoint("e", BORN, 5_000));
		this.clock.advance(Duration.ofMinutes(1));
		Truth.assertThat(isCold()).isFalse();
		pass(100);
		Truth.assertThat(this.reads).isEmpty();
	}

	/**
	 * Guards against an entry that lags behind an answer: an endpoint may turn cold
	 * without a change of its entry.
	 */
	@Test
	void answerCountsAgainstEntry() {
		list(endpoint("e", BORN, 0));
		this.cold.learn(endpoint("e", BORN, 0), 3_000);
		Truth.assertThat(isCold()).isTrue();
		list(endpoint("e", BORN, 100));
		list(endpoint("e", BORN, 0));
		Truth.assertThat(this.events.stream().map(Event::name).toList()).containsExactly("endpoint.cold");
		this.cold.learn(endpoint("e", BORN, 0), 3_000);
		list(endpoint("e", BORN, 0));
		Truth.assertThat(isCold()).isTrue();
		this.cold.learn(endpoint("e", BORN, 0), 0);
		Truth.assertThat(isCold()).isFalse();
		pass(50);
		Truth.assertThat(this.events.stream().map(Event::name).toList())
			.containsExactly("endpoint.cold", "endpoint.warm")
			.inOrder();
	}

	@Test
	void peersPassOnWhatAnAnswerSaidButNotWhatEntriesSay() {
		Map<String, StatedLimit> reports = new HashMap<>();
		list(endpoint("e", BORN, 5_000));
		this.cold.addReports(reports, 10);
		Truth.assertThat(reports).isEmpty();
		this.cold.learn(endpoint("e", BORN, 0), 3_000);
		pass(500);
		this.cold.addReports(reports, 10);
		Truth.assertThat(reports).containsExactly("e/" + BORN, new StatedLimit(null, 60_000, 2_500L, 500L));
	}

	@ParameterizedTest
	@CsvSource({ "-5, 0", "100, -1" })
	void peersReportThatCannotBeRightIsIgnored(long remaining, long age) {
		this.cold.merge(Map.of("e/" + BORN, new StatedLimit(null, 60_000, remaining, age)));
		Truth.assertThat(isCold()).isFalse();
	}

	@Test
	void statementDoesNotLastLongerWhileItIsPassedOn() {
		EndpointLimits here = new EndpointLimits("self", this.clock, (event) -> {
		}, () -> {
		}, this.cold);
		ColdEndpoints other = new ColdEndpoints(new ColdEndpoints.Settings("peer", ColdBound.DEFAULT), this::tables,
				this.clock, () -> Instant.ofEpochMilli(BORN), (event) -> {
				}, () -> {
				});
		EndpointLimits there = new EndpointLimits("peer", this.clock, (event) -> {
		}, () -> {
		}, other);
		other.learn(endpoint("e", BORN, 0), 3_000);
		for (int exchange = 0; exchange < 38; exchange++) {
			Map<String, StatedLimit> told = there.reports();
			pass(40);
			here.merge("peer", told);
			told = here.reports();
			pass(40);
			there.merge("self", told);
		}
		Truth.assertThat(isCold()).isFalse();
		Truth.assertThat(other.isCold(endpoint("e", BORN, 0))).isFalse();
	}

	/**
	 * Guards against requests that a frozen daemon sends from its queue by what it knew
	 * before: everything is limited until entries were read again and peers were heard.
	 * @param gap the time between two rounds
	 * @param limited whether the endpoint is limited afterwards
	 */
	@ParameterizedTest
	@CsvSource({ "1000, false", "1001, true", "60000, true" })
	void endpointIsLimitedAfterGapUntilItsEntryIsReadAgain(long gap, boolean limited) {
		list(endpoint("e", BORN, 0));
		this.clock.advance(Duration.ofMillis(gap));
		Truth.assertThat(isCold()).isEqualTo(limited);
		this.cold.round(this::read);
		pass(100);
		Truth.assertThat(isCold()).isEqualTo(limited);
		Truth.assertThat(this.reads).hasSize(limited ? 1 : 0);
		this.reads.forEach((read) -> read.complete(List.of(endpoint("e", BORN, 0))));
		pass(500);
		Truth.assertThat(isCold()).isFalse();
	}

	@Test
	void failedReadIsRepeatedOnceASecondWhileEndpointsArePresumedCold() {
		list(endpoint("e", BORN, 0));
		this.clock.advance(Duration.ofSeconds(2));
		for (int round = 0; round < 600; round++) {
			pass(50);
			this.reads.getLast().completeExceptionally(new IllegalStateException("no store"));
		}
		Truth.assertThat(this.reads.size()).isIn(Set.of(7, 8, 9));
		Truth.assertThat(isCold()).isFalse();
	}

	/**
	 * Guards against requests to endpoints of a failure domain whose evacuation is taken
	 * back: their entries may lag.
	 * @param answered what an answer says afterwards, -1 if there is none
	 * @param expected how long the endpoint is cold
	 */
	@ParameterizedTest
	@CsvSource({ "-1, 8000", "0, 0", "2000, 2000" })
	void endpointIsColdAfterEvacuationUnlessItSaysOtherwise(long answered, long expected) {
		list(endpoint("e", BORN, 0));
		pass(20_000);
		this.cold.presumeCold("other");
		Truth.assertThat(isCold()).isFalse();
		this.cold.presumeCold("domain");
		Truth.assertThat(isCold()).isTrue();
		list(endpoint("e", BORN, 0));
		if (answered >= 0) {
			this.cold.learn(endpoint("e", BORN, 0), answered);
		}
		Truth.assertThat(isCold()).isEqualTo(expected > 0);
		pass(expected);
		Truth.assertThat(isCold()).isFalse();
	}

	@Test
	void daemonThatHasJustStartedHasNoShare() {
		list(endpoint("e", BORN, 5_000));
		Truth.assertThat(isCold()).isTrue();
		pass(950);
		Truth.assertThat(this.cold.tryTake(endpoint("e", BORN, 0))).isFalse();
		Truth.assertThat(this.cold.availability(endpoint("e", BORN, 0), 0).milliseconds()).isEqualTo(50);
		pass(50);
		Truth.assertThat(this.cold.tryTake(endpoint("e", BORN, 0))).isTrue();
		Truth.assertThat(this.cold.tryTake(endpoint("e", BORN, 0))).isFalse();
	}

}

package org.masticshelf.serving.quarantine;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;

import com.google.common.truth.Truth;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.masticshelf.kernel.event.Event;
import org.masticshelf.kernel.quarantine.RequestFingerprint;
import org.masticshelf.kernel.serving.ServedEndpoint;
import org.masticshelf.kernel.serving.ServedRequest;
import org.masticshelf.kernel.time.MonotonicClock;
import org.masticshelf.serving.peer.PeerMessage;
import org.masticshelf.serving.quarantine.RequestQuarantine.Finding;
import org.masticshelf.transport.json.Json;

/**
 * Tests {@link RequestQuarantine}.
 */
class RequestQuarantineTests {

	/** The largest datagram that peers send each other. */
	private static final int MAXIMUM_DATAGRAM_BYTES = 60_000;

	private final MonotonicClock.Manual clock = new MonotonicClock.Manual();

	private final List<Event> events = new ArrayList<>();

	private final RequestQuarantine here = quarantine();

	private final RequestQuarantine there = quarantine();

	private final RequestQuarantine elsewhere = quarantine();

	RequestQuarantineTests() {
		this.clock.advance(Duration.ofHours(1));
	}

	private RequestQuarantine quarantine() {
		return new RequestQuarantine(this.clock, this.events::add, () -> {
		});
	}

	private static ServedEndpoint endpoint(int number) {
		return new ServedEndpoint("e" + number, 1, "pool", "10.0.0." + number, 80, "domain", 8, false,
				ServedEndpoint.Holdings.NONE);
	}

	private void pass(RequestQuarantine from, RequestQuarantine to, long milliseconds) {
		byte[] message = Json.toBytes(from.evidence());
		this.clock.advance(Duration.ofMillis(milliseconds));
		to.merge("peer", Json.toValue(message, PeerMessage.CrashEvidence.class));
	}

	private void crash(RequestQuarantine quarantine, int endpoint, String... segments) {
		this.clock.advance(Duration.ofSeconds(1));
		quarantine.recordCrash(endpoint(endpoint), List.of(segments));
	}

	private void awaitConfirmation() {
		this.clock.advance(Duration.ofMillis(100));
	}

	private static String request(int number) {
		return RequestFingerprint.of(new ServedRequest("r", "POST", "/a", "host", null, 2_000, null, -1, -1, "",
				List.of(), null, List.of(), ByteBuffer.allocate(4).putInt(number).array()));
	}

	private boolean isQuarantined(RequestQuarantine quarantine, String... segments) {
		return quarantine.examine(List.of(segments)) instanceof Finding.Quarantined;
	}

	@Test
	void crashesSeenByDifferentDaemonsAddUp() {
		crash(this.here, 1, "system", "deadly");
		crash(this.there, 2, "system", "deadly");
		crash(this.elsewhere, 3, "deadly");
		pass(this.here, this.there, 5);
		pass(this.there, this.elsewhere, 5);
		awaitConfirmation();
		Truth.assertThat(isQuarantined(this.elsewhere, "subject", "deadly")).isTrue();
		Truth.assertThat(isQuarantined(this.elsewhere, "system", "subject")).isFalse();
		Truth.assertThat(this.elsewhere.size()).isEqualTo(1);
		Event event = this.events.stream()
			.filter((candidate) -> candidate.name().equals("quarantine.implicated"))
			.findFirst()
			.orElseThrow();
		Truth.assertThat(event.field("evidence")).contains("e1/1 2100 ms ago");
	}

	@Test
	void observationsOfOneCrashCountOnce() {
		for (RequestQuarantine daemon : List.of(this.here, this.there, this.elsewhere)) {
			daemon.recordCrash(endpoint(1), List.of("sound"));
		}
		pass(this.here, this.elsewhere, 5);
		pass(this.there, this.elsewhere, 5);
		Truth.assertThat(this.elsewhere.examine(List.of("sound"))).isInstanceOf(Finding.Clear.class);
	}

	@Test
	void startedDaemonLearnsFromOnePeer() {
		IntStream.rangeClosed(1, 3).forEach((endpoint) -> crash(this.here, endpoint, "deadly"));
		pass(this.here, this.there, 5);
		pass(this.there, this.elsewhere, 5);
		awaitConfirmation();
		Truth.assertThat(isQuarantined(this.elsewhere, "deadly")).isTrue();
	}

	@Test
	void answerAtOneDaemonClearsSegmentAtAll() {
		IntStream.rangeClosed(1, 3).forEach((endpoint) -> crash(this.here, endpoint, "sound"));
		this.clock.advance(Duration.ofMillis(10));
		this.there.recordAnswer(List.of("sound"), this.clock.milliseconds());
		pass(this.here, this.there, 5);
		pass(this.there, this.here, 5);
		awaitConfirmation();
		Truth.assertThat(isQuarantined(this.there, "sound")).isFalse();
		Truth.assertThat(isQuarantined(this.here, "sound")).isFalse();
	}

	@Test
	void daemonThatReturnsFromCutDoesNotRevivePastSuspicion() {
		IntStream.rangeClosed(1, 3).forEach((endpoint) -> crash(this.elsewhere, endpoint, "sound"));
		this.here.recordAnswer(List.of("sound"), this.clock.milliseconds());
		this.clock.advance(Duration.ofMinutes(1));
		pass(this.elsewhere, this.there, 5);
		pass(this.there, this.here, 5);
		pass(this.here, this.there, 5);
		pass(this.here, this.elsewhere, 5);
		awaitConfirmation();
		for (RequestQuarantine daemon : List.of(this.here, this.there, this.elsewhere)) {
			Truth.assertThat(isQuarantined(daemon, "sound")).isFalse();
		}
	}

	@Test
	void streamThatBeganBeforeTheCrashClearsNothing() {
		long begunAt = this.clock.milliseconds();
		IntStream.rangeClosed(1, 4).forEach((endpoint) -> crash(this.here, endpoint, "deadly"));
		this.here.recordAnswer(List.of("deadly"), begunAt);
		awaitConfirmation();
		Truth.assertThat(isQuarantined(this.here, "deadly")).isTrue();
	}

	@Test
	void suspectedSegmentIsToldApart() {
		IntStream.rangeClosed(1, 2).forEach((endpoint) -> crash(this.here, endpoint, "deadly"));
		Truth.assertThat(this.here.examine(List.of("system", "deadly"))).isEqualTo(new Finding.Suspected("deadly", 2));
	}

	@Test
	void quarantineEndsWithItsEvidence() {
		IntStream.rangeClosed(1, 3).forEach((endpoint) -> crash(this.here, endpoint, "deadly"));
		awaitConfirmation();
		Truth.assertThat(this.here.examine(List.of("deadly")))
			.isEqualTo(new Finding.Quarantined("deadly", 3, RequestQuarantine.RETENTION_MILLISECONDS - 2_100));
		this.clock.advance(Duration.ofMillis(RequestQuarantine.RETENTION_MILLISECONDS - 2_100));
		Truth.assertThat(isQuarantined(this.here, "deadly")).isFalse();
		this.here.recordCrash(endpoint(4), List.of("deadly"));
		awaitConfirmation();
		Truth.assertThat(isQuarantined(this.here, "deadly")).isTrue();
		this.clock.advance(Duration.ofMillis(RequestQuarantine.RETENTION_MILLISECONDS));
		Truth.assertThat(this.here.examine(List.of("deadly"))).isInstanceOf(Finding.Clear.class);
		Truth.assertThat(this.here.hasEvidence()).isFalse();
	}

	@Test
	void crashesAreNotHeldAgainstRequestsBeforePeersCanReport() {
		IntStream.rangeClosed(1, 3).forEach((endpoint) -> crash(this.here, endpoint, "sound"));
		Truth.assertThat(this.here.examine(List.of("sound"))).isInstanceOf(Finding.Suspected.class);
		awaitConfirmation();
		Truth.assertThat(isQuarantined(this.here, "sound")).isTrue();
	}

	@Test
	void ageOfCrashDoesNotDriftWhileItIsPassedOn() {
		this.here.recordAnswer(List.of("deadly"), this.clock.milliseconds());
		crash(this.here, 1, "deadly");
		for (int round = 0; round < 50; round++) {
			pass(this.here, this.there, 40);
			pass(this.there, this.here, 40);
		}
		Truth.assertThat(this.here.evidence().crashes().getFirst().age()).isEqualTo(4_000);
		Truth.assertThat(this.there.evidence().crashes().getFirst().age()).isAtMost(4_000);
		Truth.assertThat(this.here.evidence().answered()).containsExactly("deadly", 5_000L);
		Truth.assertThat(this.there.evidence().answered().get("deadly")).isAtLeast(4_000L);
	}

	@Test
	void evidenceIsBounded() {
		for (int endpoint = 0; endpoint < 500; endpoint++) {
			int number = endpoint;
			crash(this.here, endpoint, IntStream.range(0, 300)
				.mapToObj((segment) -> (segment % 2 == 0) ? "%064d-%d".formatted(segment, number).substring(0, 64)
						: request(300 * number + segment))
				.toArray(String[]::new));
			this.here.recordAnswer(List.of("%064d".formatted(endpoint % 300)), this.clock.milliseconds() + 1);
		}
		Truth.assertThat(Json.toBytes(this.here.evidence()).length).isLessThan(MAXIMUM_DATAGRAM_BYTES);
	}

	/** Requests that are new with each crash must not keep each other from being told. */
	@Test
	void allRequestsOfCrashesAreToldByTurns() {
		for (int endpoint = 0; endpoint < 6; endpoint++) {
			int number = endpoint;
			this.here.recordCrash(endpoint(endpoint),
					IntStream.range(0, 100).mapToObj((request) -> request(100 * number + request)).toList());
		}
		Set<String> told = new HashSet<>();
		for (int message = 0; message < 30; message++) {
			this.here.evidence().crashes().forEach((crash) -> told.addAll(crash.fingerprints().keySet()));
		}
		Truth.assertThat(told).hasSize(600);
	}

	/** Segments and requests each have a share of what is told of a crash. */
	@Test
	void manyRequestsOfOneCrashDoNotDisplaceItsSegments() {
		List<String> fingerprints = new ArrayList<>(
				IntStream.range(0, 500).mapToObj((number) -> request(number)).toList());
		fingerprints.add("deadly");
		this.here.recordAnswer(List.of("deadly"), this.clock.milliseconds());
		crash(this.here, 1, fingerprints.toArray(String[]::new));
		Truth.assertThat(this.here.evidence().crashes().getFirst().fingerprints()).containsKey("deadly");
	}

	@Test
	void crashOfOneRequestIsNotToldForever() {
		crash(this.here, 1, request(1));
		Truth.assertThat(this.here.hasReports()).isTrue();
		this.clock.advance(Duration.ofSeconds(5));
		Truth.assertThat(this.here.hasReports()).isFalse();
		Truth.assertThat(this.here.hasEvidence()).isTrue();
	}

	/**
	 * Checks a fleet in which each daemon sees a few of the crashes only, by the rules
	 * that the users state: from three seconds after the fifth crash by a deadly segment,
	 * or the third by a deadly request, at most three of them are sent, and from six
	 * seconds after the fifth at least half of the sound requests are served.
	 * @param daemons the number of daemons
	 * @param deadlyShare the share of deadly requests
	 * @param deadlySegments the number of deadly segments, negative for deadly requests
	 * that hold sound segments
	 * @param counted the crashes by one segment or request after which those count that
	 * are late
	 * @param seeds the number of seeds
	 */
	@ParameterizedTest
	@CsvSource({ "4, 0.05, 1, 5, 50", "4, 0.3, 1, 5, 50", "4, 0.1, 3, 5, 50", "39, 0.05, 1, 5, 10", "39, 0.2, 3, 5, 10",
			"4, 0.05, -1, 3, 50", "4, 0.3, -1, 3, 50", "4, 0.1, -3, 3, 50", "39, 0.05, -1, 3, 10",
			"39, 0.2, -3, 3, 10" })
	void deadlySegmentsReachFewEndpointsAndSoundOnesAreServed(int daemons, double deadlyShare, int deadlySegments,
			int counted, int seeds) {
		for (int seed = 0; seed < seeds; seed++) {
			Fleet fleet = new Fleet(daemons, Math.abs(deadlySegments), deadlySegments < 0, new Random(seed));
			for (int request = 0; request < 2_000; request++) {
				fleet.request(deadlyShare);
			}
			for (List<Long> crashes : fleet.crashes) {
				Truth.assertWithMessage("late crashes by one segment or request, seed %s", seed)
					.that(crashes.stream().skip(counted).filter((at) -> at > crashes.get(counted - 1) + 3_000).count())
					.isAtMost(3);
			}
			Truth.assertWithMessage("of %s sound requests refused, seed %s", fleet.lateSound, seed)
				.that(fleet.lateSoundRefused)
				.isAtMost(fleet.lateSound / 2);
		}
	}

	@Test
	void requestWithoutSegmentsIsClear() {
		this.here.recordCrash(endpoint(1), List.of());
		Truth.assertThat(this.here.hasEvidence()).isFalse();
		Truth.assertThat(this.here.examine(List.of())).isInstanceOf(Finding.Clear.class);
		Truth.assertThat(this.here.evidence()).isEqualTo(new PeerMessage.CrashEvidence(List.of(), Map.of()));
	}

	/**
	 * Daemons that send requests to engines, some of which crash, and tell one random
	 * peer after each request. Not thread-safe.
	 */
	private final class Fleet {

		private static final int SOUND_REQUESTS_PER_CRASH = 6;

		private final List<RequestQuarantine> daemons = new ArrayList<>();

		private final Random random;

		private final List<List<Long>> crashes = new ArrayList<>();

		private int lateSound;

		private int lateSoundRefused;

		private int runs;

		private final boolean wholeRequests;

		private int requests;

		private Fleet(int daemons, int deadlySegments, boolean wholeRequests, Random random) {
			this.random = random;
			this.wholeRequests = wholeRequests;
			IntStream.range(0, deadlySegments).forEach((segment) -> this.crashes.add(new ArrayList<>()));
			for (int daemon = 0; daemon < daemons; daemon++) {
				this.daemons.add(quarantine());
			}
		}

		private RequestQuarantine anyDaemon() {
			return this.daemons.get(this.random.nextInt(this.daemons.size()));
		}

		private List<String> prompt(int deadlySegment) {
			List<String> segments = new ArrayList<>(
					List.of("system-" + this.random.nextInt(2), "subject-" + this.random.nextInt(40)));
			if (deadlySegment >= 0 && this.wholeRequests) {
				// It is the same in all its parts.
				return List.of("system-0", "subject-" + deadlySegment,
						RequestQuarantineTests.request(-1 - deadlySegment));
			}
			if (deadlySegment >= 0) {
				segments.add(this.random.nextInt(3), "deadly-" + deadlySegment);
			}
			segments.add(RequestQuarantineTests.request(++this.requests));
			return segments;
		}

		private void request(double deadlyShare) {
			RequestQuarantineTests.this.clock.advance(Duration.ofMillis(20));
			int deadly = (this.random.nextDouble() < deadlyShare) ? this.random.nextInt(this.crashes.size()) : -1;
			List<String> prompt = prompt(deadly);
			RequestQuarantine daemon = anyDaemon();
			boolean refused = isQuarantined(daemon, prompt.toArray(String[]::new));
			if (deadly < 0 && this.crashes.stream().anyMatch(this::isLate)) {
				this.lateSound++;
				this.lateSoundRefused += refused ? 1 : 0;
			}
			if (!refused && deadly < 0) {
				daemon.recordAnswer(prompt, now());
			}
			else if (!refused) {
				crash(daemon, prompt, deadly);
			}
			gossip();
		}

		private boolean isLate(List<Long> crashTimes) {
			return !crashTimes.isEmpty() && now() > crashTimes.get(Math.min(4, crashTimes.size() - 1)) + 6_000;
		}

		private long now() {
			return RequestQuarantineTests.this.clock.milliseconds();
		}

		private void crash(RequestQuarantine daemon, List<String> prompt, int deadly) {
			this.crashes.get(deadly).add(now());
			ServedEndpoint endpoint = endpoint(++this.runs);
			daemon.recordCrash(endpoint, prompt);
			for (int sound = 0; sound < SOUND_REQUESTS_PER_CRASH; sound++) {
				RequestQuarantine other = anyDaemon();
				List<String> soundPrompt = prompt(-1);
				if (!isQuarantined(other, soundPrompt.toArray(String[]::new))) {
					other.recordCrash(endpoint, soundPrompt);
				}
			}
		}

		private void gossip() {
			Set<RequestQuarantine> informed = new HashSet<>();
			for (RequestQuarantine daemon : this.daemons) {
				if (daemon.takeChanged()) {
					IntStream.range(0, 4).forEach((peer) -> informed.add(tell(daemon)));
				}
			}
			informed.forEach(this::tell);
			for (RequestQuarantine daemon : this.daemons) {
				if (this.random.nextInt(150) < 20) {
					tell(daemon);
				}
			}
		}

		private RequestQuarantine tell(RequestQuarantine from) {
			RequestQuarantine peer = anyDaemon();
			peer.merge("peer", from.evidence());
			return peer;
		}

	}

}

package org.masticshelf.serving.request;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import com.google.common.truth.Truth;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.masticshelf.kernel.event.Event;
import org.masticshelf.kernel.routing.EndpointSelection.Candidate;
import org.masticshelf.kernel.serving.LoadableName;
import org.masticshelf.kernel.serving.ServedEndpoint;
import org.masticshelf.kernel.serving.ServedRequest;
import org.masticshelf.kernel.serving.ServedRoute;
import org.masticshelf.kernel.time.MonotonicClock;
import org.masticshelf.serving.endpoint.EndpointLoads;
import org.masticshelf.serving.peer.PeerMessage;
import org.masticshelf.serving.peer.PeerRegistry;
import org.masticshelf.transport.json.Json;

/**
 * Tests {@link ExpectedTimes} and {@link ExchangeProgress}.
 */
class ExpectedTimesTests {

	private static final LoadableName MODEL = LoadableName.parse("m");

	private final MonotonicClock.Manual clock = new MonotonicClock.Manual();

	private final EndpointLoads loads = new EndpointLoads(this.clock);

	private final List<Event> events = new ArrayList<>();

	private final ServedEndpoint reading = endpoint("reading");

	private final ServedEndpoint idle = endpoint("idle");

	private static ServedEndpoint endpoint(String name) {
		return new ServedEndpoint(name, 1, "pool", "10.0.0.1", 80, "domain", 8, false, ServedEndpoint.Holdings.NONE);
	}

	private static ServedRoute route(long gapObjective) {
		return new ServedRoute("route", "host", "/a/", ServedRoute.Execution.STREAM, 2_000, 500, gapObjective, 1, 1,
				true, List.of(new ServedRoute.Target("pool", 1)));
	}

	private static ServedRequest request(long promptTokens) {
		return new ServedRequest("r", "POST", "/a/b", "host", null, 2_000, MODEL, promptTokens, 10,
				"m 1:" + promptTokens / 2, List.of(), null, List.of(), new byte[0]);
	}

	private ExchangeProgress begin(long promptTokens, long gapObjective) {
		return ExchangeProgress.begin(this.loads, this.reading, request(promptTokens), MODEL, route(gapObjective));
	}

	private String choose(double requestsAtReading, double requestsAtIdle) {
		Candidate chosen = new ExpectedTimes(this.loads,
				new ServedRequest("r", "POST", "/a/b", "host", null, 2_000, MODEL, 100, 10, "", List.of(), null,
						List.of(), new byte[0]),
				MODEL, route(300), this.events::add)
			.choose(List.of(this.reading, this.idle),
					List.of(new Candidate("reading", requestsAtReading, true, false, 0),
							new Candidate("idle", requestsAtIdle, true, false, 0)),
					0);
		return (chosen != null) ? chosen.identifier() : "none";
	}

	/**
	 * Guards against a backlog that outlives the reading of the prompt.
	 * @param gapObjective the allowed pause of the route, 0 for none
	 * @param backlog the backlog before the first event
	 * @param next the backlog of the next request with the same shared part
	 */
	@ParameterizedTest
	@CsvSource({ "300, 20000, 10000", "0, 0, 0" })
	void promptCountsUntilItsFirstEvent(long gapObjective, long backlog, long next) {
		ExchangeProgress progress = begin(20_000, gapObjective);
		Truth.assertThat(this.loads.backlogTokens(this.reading, 20)).isEqualTo(backlog);
		progress.recordEvent();
		progress.recordEvent();
		Truth.assertThat(this.loads.backlog()).isEmpty();
		ExchangeProgress second = begin(20_000, gapObjective);
		Truth.assertThat(this.loads.backlogTokens(this.reading, 20)).isEqualTo(next);
		progress.end();
		second.end();
		Truth.assertThat(this.loads.backlog()).isEmpty();
		Truth.assertThat(this.loads.view(this.reading).own()).isEqualTo(0);
	}

	@Test
	void backlogOutweighsRequestsOnlyWhileItExists() {
		Truth.assertThat(choose(1, 4)).isEqualTo("reading");
		ExchangeProgress progress = begin(20_000, 300);
		Truth.assertThat(choose(1, 4)).isEqualTo("idle");
		progress.recordEvent();
		Truth.assertThat(choose(1, 4)).isEqualTo("reading");
	}

	/** Guards against a told backlog that stays in force although it has been read. */
	@Test
	void backlogOfPeersCountsUntilItIsReadSinceItsReceipt() {
		PeerRegistry peers = new PeerRegistry(this.clock);
		PeerMessage message = new PeerMessage("peer", "10.0.0.1:1", 1, Map.of(), Map.of(), List.of(), Map.of(),
				List.of(), null, Map.of(), null, List.of(), Map.of("reading", 10_000L, "idle", -5L), Map.of());
		Truth.assertThat(new String(Json.toBytes(message), StandardCharsets.UTF_8)).contains("\"backlog\"");
		peers.receive(Json.toValue(Json.toBytes(message), PeerMessage.class));
		this.clock.advance(Duration.ofMillis(100));
		Truth.assertThat(peers.backlog(20)).containsExactly("reading", 8_000L);
		this.loads.setPeerBacklog(peers.backlog(20));
		Truth.assertThat(choose(1, 4)).isEqualTo("idle");
		this.clock.advance(Duration.ofMillis(100));
		Truth.assertThat(this.loads.backlogTokens(this.reading, 20)).isEqualTo(6_000);
		this.clock.advance(Duration.ofMillis(300));
		Truth.assertThat(choose(1, 4)).isEqualTo("reading");
	}

	/**
	 * Guards against a slow engine that gets as many requests as a fast one, once answers
	 * have shown the difference, and against a stream whose end leaves it silent.
	 */
	@Test
	void answersShowWhichEngineIsSlow() {
		for (int answer = 0; answer < 10; answer++) {
			for (ServedEndpoint endpoint : List.of(this.reading, this.idle, endpoint("other"))) {
				ExchangeProgress progress = ExchangeProgress.begin(this.loads, endpoint, request(1_000), MODEL,
						route(300));
				this.clock.advance(Duration.ofMillis(endpoint.equals(this.reading) ? 300 : 50));
				progress.recordEvent();
				for (int event = 0; event < 40; event++) {
					progress.recordAwaiting();
					this.clock.advance(Duration.ofMillis(endpoint.equals(this.reading) ? 60 : 10));
					progress.recordEvent();
				}
				progress.recordAwaiting();
				progress.end();
				this.clock.advance(Duration.ofMillis(301));
				Truth.assertThat(this.loads.silence().observe(endpoint, this.events::add)).isFalse();
			}
		}
		Truth.assertThat(choose(3, 6)).isEqualTo("idle");
		Truth.assertThat(this.loads.paces().reports().keySet()).contains("reading");
		Truth.assertThat(this.events.stream().map(Event::name).toList()).containsExactly("pool.pace");
		this.clock.advance(Duration.ofMinutes(1));
		Truth.assertThat(choose(3, 6)).isEqualTo("reading");
	}

}

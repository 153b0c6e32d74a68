package org.masticshelf.serving.request;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;

import com.google.common.truth.Truth;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

import org.masticshelf.kernel.event.Event;
import org.masticshelf.kernel.serving.EngineProfile;
import org.masticshelf.kernel.serving.Loadable;
import org.masticshelf.kernel.serving.ServedEndpoint;
import org.masticshelf.kernel.serving.ServedOrganisation;
import org.masticshelf.kernel.serving.ServedPool;
import org.masticshelf.kernel.serving.ServedRequest;
import org.masticshelf.kernel.serving.ServedRequest.Header;
import org.masticshelf.kernel.serving.ServedRoute;
import org.masticshelf.kernel.serving.ServedRoute.Execution;
import org.masticshelf.kernel.serving.ServedTables;
import org.masticshelf.kernel.time.MonotonicClock;
import org.masticshelf.serving.endpoint.EndpointDirectory;
import org.masticshelf.serving.endpoint.EndpointLoads;
import org.masticshelf.serving.grant.SharedGrants;
import org.masticshelf.serving.peer.PeerBoard;
import org.masticshelf.serving.peer.PeerMessage;
import org.masticshelf.serving.upstream.AnswerHead;
import org.masticshelf.serving.upstream.EndpointConnections;
import org.masticshelf.serving.upstream.EndpointProtocol;

/**
 * Tests the way of a request against endpoints on real sockets.
 */
class ForwardingTests {

	private static final String WHOLE = "HTTP/1.1 200 OK\r\nId: r\r\nMark: e\r\nContent-Length: 2\r\n\r\nok";

	private static final String NOT_RUN = "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n";

	private static final String STREAM = "HTTP/1.1 200 OK\r\nId: r\r\nMark: e\r\nContent-Type: text/event-stream\r\n"
			+ "Transfer-Encoding: chunked\r\n\r\n";

	private final MonotonicClock clock = MonotonicClock.SystemClock.INSTANCE;

	private final EndpointDirectory directory = new EndpointDirectory(this.clock, this::log);

	private final SharedGrants grants = new SharedGrants(this.clock);

	private final PeerBoard board = new PeerBoard(this.clock);

	private final ModelRates rates = new ModelRates(this.clock);

	private final WaitingRoom waitingRoom = new WaitingRoom(this.clock, () -> {
	});

	private final List<ScriptedEndpoint> endpoints = new ArrayList<>();

	private final List<Event> events = new ArrayList<>();

	private final RecordingCaller caller = new RecordingCaller();

	private StopPhase phase = StopPhase.RUNNING;

	private @Nullable ServedTables tables;

	private synchronized void log(Event event) {
		this.events.add(event);
	}

	@AfterEach
	void close() throws IOException {
		for (ScriptedEndpoint endpoint : this.endpoints) {
			endpoint.close();
		}
	}

	private ScriptedEndpoint endpoint(String name, String... script) throws IOException {
		ScriptedEndpoint endpoint = new ScriptedEndpoint(name, script);
		this.endpoints.add(endpoint);
		return endpoint;
	}

	private void list(ServedEndpoint... listed) {
		this.directory.replace(List.of(listed));
	}

	private void route(Execution execution, int attempts) {
		route(execution, attempts, null, List.of());
	}

	private void route(Execution execution, int attempts, @Nullable EngineProfile engine,
			List<ServedOrganisation> organisations) {
		ServedRoute route = new ServedRoute("route", "host", "/a/", execution, 2_000, 1_000, 300, 1, attempts,
				organisations.isEmpty(), List.of(new ServedRoute.Target("pool", 1)));
		Map<String, ServedOrganisation> keys = organisations.isEmpty() ? Map.of()
				: Map.of("key", organisations.getFirst());
		this.tables = new ServedTables(1, List.of(route), Map.of("pool", new ServedPool("pool", 10, engine)), keys,
				!organisations.isEmpty(), new ServedTables.Limits(1_000, 1_000));
		this.grants.organisations(organisations);
	}

	private void send() {
		send(null, null);
	}

	private void send(@Nullable Loadable loadable, @Nullable String key) {
		ServedRequest request = new ServedRequest("r", "POST", "/a/b?c", "host", key, 2_000, loadable, 10, 10, "", null,
				List.of(new Header("Id", "r")), "body".getBytes(StandardCharsets.UTF_8));
		RequestContext context = new RequestContext(() -> this.tables, this.directory, new EndpointLoads(this.clock),
				new EndpointConnections(this.clock), Protocol.INSTANCE, this.grants, this.waitingRoom, this.rates,
				new RetryBudgets(), this.board, "domain", () -> this.phase, this.clock,
				new ServingMetrics(new PrometheusRegistry()), this::log);
		new Forwarding(context, request, this.caller, System.nanoTime()).run();
	}

	private int arrivals() {
		return this.endpoints.stream().mapToInt((endpoint) -> endpoint.heads().size()).sum();
	}

	/**
	 * What an endpoint may answer, and what the caller is told.
	 * @param name what happens
	 * @param answer the endpoint's bytes
	 * @param status the status that the caller gets
	 */
	@ParameterizedTest(name = "{0}")
	@CsvSource(delimiter = '|', value = { "whole | HTTP/1.1 200 OK~Id: r~Mark: e~Content-Length: 2~~ok | 200",
			"whole in chunks | HTTP/1.1 200 OK~Id: r~Mark: e~Transfer-Encoding: chunked~~2~ok~0~~ | 200",
			"whole until close | HTTP/1.1 200 OK~Id: r~Mark: e~~ok<close> | 200",
			"its own failure | HTTP/1.1 500 Bad~Id: r~Mark: e~Content-Length: 2~~no | 500",
			"its own time-out | HTTP/1.1 504 Late~Id: r~Mark: e~Content-Length: 2~~no | 504",
			"not run | HTTP/1.1 503 Busy~Not-Run: 1~Content-Length: 0~~ | 503",
			"other endpoint | HTTP/1.1 421 Other~Content-Length: 0~~ | 503",
			"promise without a word of not running | HTTP/1.1 503 Busy~Id: r~Mark: e~Content-Length: 0~~ | 502",
			"busy without a word of not running | HTTP/1.1 429 Many~Id: r~Content-Length: 0~~ | 502",
			"short body | HTTP/1.1 200 OK~Id: r~Mark: e~Content-Length: 9~~ok<close> | 502",
			"short chunk | HTTP/1.1 200 OK~Id: r~Mark: e~Transfer-Encoding: chunked~~9~ok<close> | 502",
			"no last chunk | HTTP/1.1 200 OK~Id: r~Mark: e~Transfer-Encoding: chunked~~2~ok~<close> | 502",
			"reset until close | HTTP/1.1 200 OK~Id: r~Mark: e~~ok<reset> | 502",
			"without mark | HTTP/1.1 200 OK~Id: r~Content-Length: 2~~ok | 502",
			"without identity | HTTP/1.1 200 OK~Mark: e~Content-Length: 2~~ok | 502",
			"encoded | HTTP/1.1 200 OK~Id: r~Mark: e~Content-Encoding: gzip~Content-Length: 2~~ok | 502",
			"no answer | <close> | 502", "reset | <reset> | 502", "rubbish | <<<rubbish~~ | 502",
			"two lengths | HTTP/1.1 200 OK~Id: r~Mark: e~Content-Length: 2~Content-Length: 3~~ok | 502",
			"late answer to another first | HTTP/1.1 200 OK~Id: x~Mark: e~Content-Length: 3~~oldHTTP/1.1 200 OK~Id: r~Mark: e~Content-Length: 2~~ok | 200",
			"interim first | HTTP/1.1 100 Continue~~HTTP/1.1 200 OK~Id: r~Mark: e~Content-Length: 2~~ok | 200" })
	void tellsTheCallerWhatTheEndpointAnswered(String name, String answer, int status) throws IOException {
		route(Execution.AT_MOST_ONCE, 1);
		ScriptedEndpoint endpoint = endpoint("e", answer.replace("~", "\r\n"));
		list(endpoint.toEndpoint());
		send();
		Truth.assertThat(this.caller.status()).isEqualTo(status);
		Truth.assertThat(this.caller.isWhole()).isTrue();
		Truth.assertThat(arrivals()).isEqualTo(1);
		if (status == 200) {
			Truth.assertThat(this.caller.body()).isEqualTo("ok");
		}
		Truth.assertThat(this.caller.hasHeader("Mark"))
			.isEqualTo(status == 200 || status == 500 || answer.contains("504"));
	}

	@ParameterizedTest
	@CsvSource({ "REPEATABLE, 2, 200, 2", "REPEATABLE, 1, 502, 1", "AT_MOST_ONCE, 2, 502, 1", "STREAM, 2, 502, 1" })
	void sendsAgainOnlyWhatIsRepeatable(Execution execution, int attempts, int status, int arrivals)
			throws IOException {
		route(execution, attempts);
		ScriptedEndpoint first = endpoint("a", ScriptedEndpoint.RESET);
		ScriptedEndpoint second = endpoint("b", ScriptedEndpoint.RESET);
		list(first.toEndpoint(), second.toEndpoint(), endpoint("c", ScriptedEndpoint.RESET).toEndpoint());
		send();
		Truth.assertThat(this.caller.status()).isEqualTo(502);
		Truth.assertThat(arrivals()).isEqualTo(arrivals);
	}

	@Test
	void whatDidNotRunIsSentToAnother() throws IOException {
		route(Execution.AT_MOST_ONCE, 2);
		ScriptedEndpoint first = endpoint("a", NOT_RUN);
		list(first.toEndpoint());
		ScriptedEndpoint second = endpoint("b", WHOLE);
		list(first.toEndpoint(), second.toEndpoint());
		send();
		Truth.assertThat(this.caller.status()).isEqualTo(200);
	}

	@Test
	void neverAsksMoreEndpointsThanTheRouteAllows() throws IOException {
		route(Execution.REPEATABLE, 2);
		list(endpoint("a", NOT_RUN).toEndpoint(), endpoint("b", NOT_RUN).toEndpoint(),
				endpoint("c", NOT_RUN).toEndpoint());
		send();
		Truth.assertThat(this.caller.status()).isEqualTo(503);
		Truth.assertThat(this.caller.hasHeader("Retry-After")).isTrue();
		Truth.assertThat(arrivals()).isEqualTo(2);
	}

	@Test
	void endpointThatCannotBeReachedIsNoSending() throws IOException {
		route(Execution.AT_MOST_ONCE, 1);
		int closedPort;
		try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
			closedPort = socket.getLocalPort();
		}
		ServedEndpoint dead = new ServedEndpoint("dead", 1, "pool", "127.0.0.1", closedPort, "domain", 8, false, 0,
				ServedEndpoint.Holdings.NONE);
		list(dead, endpoint("b", WHOLE).toEndpoint());
		send();
		Truth.assertThat(this.caller.status()).isEqualTo(200);
	}

	@Test
	void brokenStreamIsGoneOnWithElsewhere() throws IOException {
		route(Execution.RESUMABLE_STREAM, 2);
		ScriptedEndpoint first = endpoint("a",
				STREAM + chunk("id: 1\ndata: x\n\n") + chunk("id: 2\nda") + ScriptedEndpoint.RESET);
		list(first.toEndpoint());
		Thread.startVirtualThread(() -> awaitArrivalThenList(first));
		send();
		Truth.assertThat(this.caller.body()).isEqualTo("id: 1\ndata: x\n\nid: 2\ndata: y\n\nid: 3\ndata: z\n\n");
		Truth.assertThat(this.caller.isWhole()).isTrue();
		Truth.assertThat(this.endpoints.getLast().heads().getFirst()).contains("Resume-After: 1\r\n");
	}

	// The second endpoint is listed only once the first has the request.
	private void awaitArrivalThenList(ScriptedEndpoint first) {
		try {
			while (first.heads().isEmpty()) {
				Thread.onSpinWait();
			}
			ScriptedEndpoint second = endpoint("b",
					STREAM + chunk("id: 1\ndata: x\n\n") + chunk("id: 2\ndata: y\n\nid: 3\ndata: z\n\n") + "0\r\n\r\n");
			list(first.toEndpoint(), second.toEndpoint());
			this.waitingRoom.signal();
		}
		catch (IOException ex) {
			throw new IllegalStateException(ex);
		}
	}

	private static String chunk(String text) {
		return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
	}

	@ParameterizedTest
	@ValueSource(strings = { "id: 1\ndata: x\n\nid: 3\ndata: z\n\n", "id: 1\ndata: x\n\nid: 2\nda" })
	void streamWithGapOrHalfAnEventDoesNotLookComplete(String events) throws IOException {
		route(Execution.STREAM, 1);
		list(endpoint("a", STREAM + chunk(events) + "0\r\n\r\n").toEndpoint());
		send();
		Truth.assertThat(this.caller.isAborted()).isTrue();
		Truth.assertThat(this.caller.body()).isEqualTo("id: 1\ndata: x\n\n");
	}

	@ParameterizedTest
	@CsvSource({ "key, 200", "other, 401", ", 401" })
	void runsOnlyForTheOrganisationOfTheKey(@Nullable String key, int status) throws IOException {
		route(Execution.REPEATABLE, 1, null, List.of(new ServedOrganisation("org", null, false, 0, 0, 1)));
		ScriptedEndpoint endpoint = endpoint("a", WHOLE);
		list(endpoint.toEndpoint());
		send(null, key);
		Truth.assertThat(this.caller.status()).isEqualTo(status);
		Truth.assertThat(arrivals()).isEqualTo((status == 200) ? 1 : 0);
		endpoint.heads().forEach((head) -> Truth.assertThat(head).contains("Organisation: org\r\n"));
	}

	@Test
	void refusesAtOnceWhatTheGrantDoesNotCover() throws IOException {
		route(Execution.REPEATABLE, 1, null, List.of(new ServedOrganisation("org", null, true, 0.001, 1, 1)));
		list(endpoint("a", WHOLE).toEndpoint());
		send(null, "key");
		Truth.assertThat(this.caller.status()).isEqualTo(429);
		Truth.assertThat(this.caller.hasHeader("Retry-After")).isTrue();
		Truth.assertThat(arrivals()).isEqualTo(0);
	}

	/** Load pattern: an organisation sends many times its rate for one model. */
	@ParameterizedTest
	@CsvSource({ "0.001, 0", "0, 1" })
	void onlyWhatTheGrantCoversIsDemandForItsModel(double rate, int counted) throws IOException {
		route(Execution.STREAM, 1, engine(), List.of(new ServedOrganisation("org", null, true, rate, 1, 1)));
		list(endpoint("a", WHOLE).toEndpoint("m"));
		send(Loadable.model("m"), "key");
		Truth.assertThat(this.rates.perSecond()).hasSize(counted);
	}

	@Test
	void refusesAtOnceWhatCannotBeReadyInTime() throws IOException {
		route(Execution.STREAM, 1, engine(), List.of());
		list(endpoint("a", WHOLE).toEndpoint("other"));
		this.board.placed(new PeerMessage.Placement(1, List.of(), Map.of("pool/m", 60_000L)));
		send(Loadable.model("m"), null);
		Truth.assertThat(this.caller.status()).isEqualTo(503);
		Truth.assertThat(this.caller.hasHeader("Retry-After")).isTrue();
		Truth.assertThat(arrivals()).isEqualTo(0);
	}

	@Test
	void waitsForModelThatIsLoadedInTime() throws IOException {
		route(Execution.STREAM, 1, engine(), List.of());
		ScriptedEndpoint endpoint = endpoint("a", STREAM + chunk("id: 1\n\n") + "0\r\n\r\n");
		list(endpoint.toEndpoint("other"));
		this.board.placed(new PeerMessage.Placement(1, List.of(), Map.of("pool/m", 500L)));
		Thread.startVirtualThread(() -> {
			while (this.waitingRoom.size() == 0) {
				Thread.onSpinWait();
			}
			this.directory.announce("a", 1, 1, new ServedEndpoint.Holdings(Map.of("m", Set.of()), Set.of(), Set.of()));
			this.waitingRoom.signal();
		});
		send(Loadable.model("m"), null);
		Truth.assertThat(this.caller.body()).isEqualTo("id: 1\n\n");
	}

	private static EngineProfile engine() {
		return new EngineProfile(1_000, 8, 100_000, 1, Map.of());
	}

	@ParameterizedTest
	@EnumSource(names = { "REFUSING", "ENDING" })
	void stoppingDaemonRefusesNewRequests(StopPhase stopPhase) throws IOException {
		route(Execution.REPEATABLE, 1);
		list(endpoint("a", WHOLE).toEndpoint());
		this.phase = stopPhase;
		send();
		Truth.assertThat(this.caller.status()).isEqualTo(503);
		Truth.assertThat(arrivals()).isEqualTo(0);
	}

	@Test
	void sendsNothingForCallerThatHasGone() throws IOException {
		route(Execution.REPEATABLE, 1);
		list(endpoint("a", WHOLE).toEndpoint());
		this.caller.leave();
		send();
		Truth.assertThat(arrivals()).isEqualTo(0);
	}

	@Test
	void refusesWhileNoTablesAreKnown() {
		send();
		Truth.assertThat(this.caller.status()).isEqualTo(503);
	}

	/** A protocol with plain names. */
	private enum Protocol implements EndpointProtocol {

		INSTANCE;

		@Override
		public List<Header> requestHeaders(Passage passage) {
			List<Header> headers = new ArrayList<>();
			if (passage.organisation() != null) {
				headers.add(new Header("Organisation", passage.organisation()));
			}
			if (passage.resumeAfter() != null) {
				headers.add(new Header("Resume-After", passage.resumeAfter()));
			}
			return headers;
		}

		@Override
		public AnswerFacts answerFacts(AnswerHead head) {
			boolean other = head.status() == 421;
			return new AnswerFacts(head.header("Id"), other || head.header("Not-Run") != null, other,
					head.header("Mark") != null);
		}

	}

}

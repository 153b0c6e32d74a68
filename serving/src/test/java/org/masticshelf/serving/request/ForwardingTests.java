package org.masticshelf.serving.request;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.LinkedBlockingQueue;

import com.google.common.truth.Truth;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

import org.masticshelf.kernel.event.Event;
import org.masticshelf.kernel.quarantine.RequestFingerprint;
import org.masticshelf.kernel.serving.EngineProfile;
import org.masticshelf.kernel.serving.LoadableName;
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
import org.masticshelf.serving.endpoint.EndpointLimits;
import org.masticshelf.serving.endpoint.EndpointLoads;
import org.masticshelf.serving.grant.SharedGrants;
import org.masticshelf.serving.peer.PeerMessage;
import org.masticshelf.serving.peer.PeerRegistry;
import org.masticshelf.serving.quarantine.RequestQuarantine;
import org.masticshelf.serving.upstream.EndpointConnections;
import org.masticshelf.serving.upstream.EndpointProtocol;
import org.masticshelf.transport.http.AnswerHead;
import org.masticshelf.transport.http.HttpConnection;

/**
 * Tests {@link Forwarding} against endpoints on real sockets.
 */
class ForwardingTests {

	private static final String OK_ANSWER = "HTTP/1.1 200 OK\r\nId: r\r\nMark: e\r\nContent-Length: 2\r\n\r\nok";

	private static final String NOT_RUN = "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n";

	private static final String STREAM = "HTTP/1.1 200 OK\r\nId: r\r\nMark: e\r\nContent-Type: text/event-stream\r\n"
			+ "Transfer-Encoding: chunked\r\n\r\n";

	private static final long ENDLESS_TIMEOUT_SECONDS = 30;

	/** More than the sockets of both sides buffer if nothing is read. */
	private static final int UNBUFFERED_BYTES = 32 * 1024 * 1024;

	private final MonotonicClock clock = MonotonicClock.SystemClock.INSTANCE;

	private final EndpointDirectory directory = new EndpointDirectory(this.clock, this::log);

	private final EndpointConnections connections = new EndpointConnections(this.clock);

	private final SharedGrants grants = new SharedGrants(this.clock);

	private final EndpointLimits limits = new EndpointLimits("self", this.clock, this::log, () -> {
	});

	private final PeerRegistry peerRegistry = new PeerRegistry(this.clock);

	private final ModelRates rates = new ModelRates(this.clock);

	private final UnservedRequests unserved = new UnservedRequests(this.clock);

	private final WaitingRequests waitingRequests = new WaitingRequests(this.clock, () -> {
	});

	/** No two requests with a prompt are alike. */
	private int prompts;

	private final MonotonicClock.Manual quarantineClock = new MonotonicClock.Manual();

	private final RequestQuarantine quarantine = new RequestQuarantine(this.quarantineClock, this::log, () -> {
	});

	private final List<ScriptedEndpoint> endpoints = new ArrayList<>();

	private final List<Event> events = new ArrayList<>();

	private final RecordingCaller caller = new RecordingCaller();

	/** The loads that all requests of a test share, {@code null} for new ones each. */
	private @Nullable EndpointLoads sharedLoads;

	private final MonotonicClock.Manual stopClock = new MonotonicClock.Manual();

	private final ServiceTimes serviceTimes = new ServiceTimes();

	private final PlannedStop plannedStop = new PlannedStop(this.stopClock, 8_000);

	private @Nullable ServedTables tables;

	/** What happens as soon as an event is logged, by its name. */
	private final Map<String, Runnable> reactions = new ConcurrentHashMap<>();

	private void log(Event event) {
		synchronized (this) {
			this.events.add(event);
		}
		Runnable reaction = this.reactions.remove(event.name());
		if (reaction != null) {
			reaction.run();
		}
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

	/** Lists two endpoints of which the one that is asked first plays the first entry. */
	private void listPairWithScript(String... script) throws IOException {
		BlockingQueue<String> shared = new LinkedBlockingQueue<>(List.of(script));
		for (String name : List.of("a", "b")) {
			this.endpoints.add(new ScriptedEndpoint(name, shared));
		}
		list(this.endpoints.stream().map((endpoint) -> endpoint.toEndpoint()).toArray(ServedEndpoint[]::new));
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
		this.grants.setOrganisations(organisations);
	}

	private void send() {
		send(null, null);
	}

	private void send(@Nullable LoadableName loadable, @Nullable String key) {
		send(request(loadable, key, List.of()));
	}

	private static ServedRequest request(@Nullable LoadableName loadable, @Nullable String key, List<String> segments) {
		return request(loadable, key, segments, "body");
	}

	private static ServedRequest request(@Nullable LoadableName loadable, @Nullable String key, List<String> segments,
			String body) {
		return new ServedRequest("r", "POST", "/a/b?c", "host", key, 2_000, loadable, 10, 10, "", segments, null,
				List.of(new Header("Id", "r")), body.getBytes(StandardCharsets.UTF_8));
	}

	private void send(ServedRequest request) {
		forward(request, this.caller);
	}

	private void forward(ServedRequest request, RecordingCaller requestCaller) {
		new Forwarding(context(), request, requestCaller, System.nanoTime()).run();
	}

	private RequestContext context() {
		EndpointLoads loads = (this.sharedLoads != null) ? this.sharedLoads : new EndpointLoads(this.clock);
		return new RequestContext(() -> this.tables, this.directory, loads, this.connections, Protocol.INSTANCE,
				this.grants, this.waitingRequests, this.unserved, this.rates, new RetryBudgets(), this.peerRegistry,
				this.limits, this.quarantine, "domain", this.plannedStop, this.serviceTimes, this.clock,
				new ServingMetrics(new PrometheusRegistry()), this::log);
	}

	private int receivedRequests() {
		return this.endpoints.stream().mapToInt((endpoint) -> endpoint.heads().size()).sum();
	}

	/**
	 * Checks the status that the caller gets for each kind of answer.
	 * @param name the case
	 * @param answer the bytes that the endpoint sends
	 * @param status the expected status for the caller
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
	void mapsTheAnswerToTheStatusForTheCaller(String name, String answer, int status) throws IOException {
		route(Execution.AT_MOST_ONCE, 1);
		ScriptedEndpoint endpoint = endpoint("e", answer.replace("~", "\r\n"));
		list(endpoint.toEndpoint());
		send();
		Truth.assertThat(this.caller.status()).isEqualTo(status);
		Truth.assertThat(this.caller.isComplete()).isTrue();
		Truth.assertThat(receivedRequests()).isEqualTo(1);
		if (status == 200) {
			Truth.assertThat(this.caller.body()).isEqualTo("ok");
		}
		Truth.assertThat(this.caller.hasHeader("Mark"))
			.isEqualTo(status == 200 || status == 500 || answer.contains("504"));
	}

	/**
	 * Guards against a caller who gets no answer because an endpoint hangs while the body
	 * of the request is sent to it (CONFIG).
	 */
	@Test
	@Timeout(ENDLESS_TIMEOUT_SECONDS)
	void callerIsAnsweredIfTheEndpointDoesNotReadTheBody() throws IOException {
		route(Execution.AT_MOST_ONCE, 1);
		try (ServerSocket hanging = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
			list(new ServedEndpoint("e", 1, "pool", "127.0.0.1", hanging.getLocalPort(), "domain", 8, false,
					ServedEndpoint.Holdings.NONE));
			send(request(null, null, List.of(), "x".repeat(UNBUFFERED_BYTES)));
		}
		Truth.assertThat(this.caller.status()).isEqualTo(504);
		Truth.assertThat(this.caller.isComplete()).isTrue();
	}

	/**
	 * Guards against orders that are sent into one silent connection after the other:
	 * those that were idle before an unanswered request may be silent as well.
	 */
	@Test
	void unansweredRequestDiscardsConnectionsThatWereIdleBefore() throws IOException {
		route(Execution.AT_MOST_ONCE, 1);
		ScriptedEndpoint endpoint = endpoint("e", ScriptedEndpoint.SILENT,
				"HTTP/1.1 200 OK\r\nId: r\r\nMark: e\r\nContent-Length: 2\r\n\r\nok");
		ServedEndpoint listed = endpoint.toEndpoint();
		list(listed);
		HttpConnection first = this.connections.open(listed, false);
		HttpConnection second = this.connections.open(listed, false);
		this.connections.release(listed, first, -1);
		this.connections.release(listed, second, -1);
		long idleAt = this.connections.now();
		while (this.connections.now() == idleAt) {
			Thread.onSpinWait();
		}
		RecordingCaller unanswered = new RecordingCaller();
		forward(request(null, null, List.of()), unanswered);
		Truth.assertThat(unanswered.status()).isEqualTo(504);
		send();
		Truth.assertThat(this.caller.status()).isEqualTo(200);
		Truth.assertThat(endpoint.connections()).isEqualTo(3);
	}

	/**
	 * Guards against an answer that is no HTTP response and reaches the caller as a
	 * success, without the headers after a spoilt byte (MIXED).
	 * @param spoilt the spoilt part of a head
	 */
	@ParameterizedTest
	@ValueSource(strings = { "X\rY: z", "X\u0000Y: z", "X(Y: z", "X\u00e9Y: z", "X: y\rz", "X: y\u0000", "X: y\u007f",
			"X: y\u0001", ": z", " X: folded", "X: y\r" })
	void spoiltHeadIsNoAnswer(String spoilt) throws IOException {
		route(Execution.AT_MOST_ONCE, 2);
		String head = "HTTP/1.1 200 OK\r\nDate: now\r\n" + spoilt + "\r\nId: r\r\nMark: e\r\n";
		list(endpoint("a", head + "Content-Length: 2\r\n\r\nok").toEndpoint());
		send();
		Truth.assertThat(this.caller.status()).isEqualTo(502);
		Truth.assertThat(this.caller.hasHeader("Mark")).isFalse();
		Truth.assertThat(this.caller.isComplete()).isTrue();
		Truth.assertThat(receivedRequests()).isEqualTo(1);
		Truth.assertThat(this.events.stream().map((event) -> event.field("kind")).toList()).contains("UNUSABLE");
	}

	/**
	 * Guards against an answer with a status that HTTP does not define, which reaches the
	 * caller as an answer (MIXED).
	 * @param status the status
	 * @param execution how the request may be sent
	 * @param expected the status for the caller
	 */
	@ParameterizedTest
	@CsvSource({ "000, AT_MOST_ONCE, 502", "099, AT_MOST_ONCE, 502", "600, AT_MOST_ONCE, 502", "999, AT_MOST_ONCE, 502",
			"000, STREAM, 502", "600, STREAM, 502", "000, REPEATABLE, 200", "600, REPEATABLE, 200",
			"999, REPEATABLE, 200", "600, RESUMABLE_STREAM, 200" })
	void undefinedStatusIsNoAnswer(String status, Execution execution, int expected) throws IOException {
		route(execution, 2);
		String undefined = OK_ANSWER.replace("200 OK", status + " OK").replace("Mark: e", "Mark: wrong");
		listPairWithScript(undefined, OK_ANSWER);
		send();
		Truth.assertThat(this.caller.status()).isEqualTo(expected);
		Truth.assertThat(this.caller.isComplete()).isTrue();
		Truth.assertThat(receivedRequests()).isEqualTo((expected == 200) ? 2 : 1);
	}

	/**
	 * Guards against a stream that goes on, or ends, with an answer that is no HTTP
	 * response.
	 * @param spoilt the head in place of the resumed stream
	 */
	@ParameterizedTest
	@ValueSource(strings = { "HTTP/1.1 200 OK~X\rY: z~", "HTTP/1.1 200 OK~X: y\u0000~", "HTTP/1.1 000 OK~",
			"HTTP/1.1 99 OK~", "HTTP/1.1 600 OK~" })
	void spoiltHeadInPlaceOfResumedStreamIsNoAnswer(String spoilt) throws IOException {
		route(Execution.RESUMABLE_STREAM, 2);
		String begun = STREAM + chunk("id: 1\ndata: a\n\n") + ScriptedEndpoint.RESET;
		String resumed = spoilt.replace("~", "\r\n") + STREAM.substring(STREAM.indexOf("Id:"))
				+ chunk("id: 2\ndata: wrong\n\n") + "0\r\n\r\n";
		listPairWithScript(begun, resumed);
		send();
		Truth.assertThat(receivedRequests()).isEqualTo(2);
		Truth.assertThat(this.caller.isAborted()).isTrue();
		Truth.assertThat(this.caller.body()).isEqualTo("id: 1\ndata: a\n\n");
	}

	/**
	 * Guards against a caller who is never answered because its request ends in a failure
	 * that nobody expects, such as a full heap (CONFIG).
	 * @param failure the failure
	 */
	@ParameterizedTest
	@ValueSource(classes = { IllegalStateException.class, OutOfMemoryError.class, StackOverflowError.class })
	void unexpectedFailureDisconnectsTheCaller(Class<? extends Throwable> failure) throws Exception {
		route(Execution.AT_MOST_ONCE, 1);
		Throwable thrown = failure.getConstructor().newInstance();
		this.reactions.put("request.admitted", () -> throwUnchecked(thrown));
		RequestForwarder forwarder = new RequestForwarder(context());
		forwarder.handle(request(null, null, List.of()), this.caller, System.nanoTime());
		while (forwarder.activeRequests() > 0) {
			Thread.onSpinWait();
		}
		Truth.assertThat(this.caller.isAborted()).isTrue();
	}

	private static void throwUnchecked(Throwable thrown) {
		if (thrown instanceof Error error) {
			throw error;
		}
		throw (RuntimeException) thrown;
	}

	/**
	 * Endpoints in trouble send bytes without end, which are no answer. The exchange ends
	 * in time and within bounded memory, and the caller learns that the request may have
	 * run.
	 * @param name the case
	 * @param answer the bytes that the endpoint sends
	 * @param status the expected status for the caller
	 */
	@ParameterizedTest(name = "{0}")
	@Timeout(ENDLESS_TIMEOUT_SECONDS)
	@CsvSource(delimiter = '|', value = { "status line | HTTP/1.1 200 <endless>x | 502",
			"header lines | HTTP/1.1 200 OK~<endless>X: y~ | 502",
			"long header lines | HTTP/1.1 200 OK~<endless>X: "
					+ "yyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyy~ | 502",
			"empty lines | <endless>~ | 502", "interim answers | <endless>HTTP/1.1 100 Continue~~ | 502",
			"answers to others | <endless>HTTP/1.1 200 OK~Id: x~Mark: e~Content-Length: 3~~old | 502",
			"body until close | HTTP/1.1 200 OK~Id: r~Mark: e~~<endless>0123456789 | 502",
			"body in chunks | HTTP/1.1 200 OK~Id: r~Mark: e~Transfer-Encoding: chunked~~<endless>5~0123456789~ | 502",
			"chunk extension | HTTP/1.1 200 OK~Id: r~Mark: e~Transfer-Encoding: chunked~~2;<endless>x | 502",
			"trailers | HTTP/1.1 200 OK~Id: r~Mark: e~Transfer-Encoding: chunked~~0~<endless>X: y~ | 502",
			"event | HTTP/1.1 200 OK~Id: r~Mark: e~Content-Type: text/event-stream~~<endless>data | 502",
			"slow head | HTTP/1.1 200 OK~<drip>X: y~ | 504",
			"slow interim answers | <drip>HTTP/1.1 100 Continue~~ | 504",
			"slow body | HTTP/1.1 200 OK~Id: r~Mark: e~~<drip>0 | 504",
			"slow event | HTTP/1.1 200 OK~Id: r~Mark: e~Content-Type: text/event-stream~~<drip>data | 504" })
	void endsExchangeWithEndlessBytes(String name, String answer, int status) throws IOException {
		route(Execution.AT_MOST_ONCE, 1);
		ScriptedEndpoint endpoint = endpoint("e", answer.replace("~", "\r\n"));
		list(endpoint.toEndpoint());
		send();
		Truth.assertThat(this.caller.status()).isEqualTo(status);
		Truth.assertThat(this.caller.isComplete()).isTrue();
		Truth.assertThat(receivedRequests()).isEqualTo(1);
	}

	/**
	 * A stalled stream whose endpoint sends a byte or a comment now and then makes no
	 * progress, so another endpoint resumes it.
	 * @param stalling what the endpoint sends instead of the next event
	 */
	@ParameterizedTest
	@Timeout(ENDLESS_TIMEOUT_SECONDS)
	@ValueSource(strings = { "id: 2", ":\n\n" })
	void streamThatOnlySendsStrayBytesIsResumedOnAnotherEndpoint(String stalling) throws IOException {
		route(Execution.RESUMABLE_STREAM, 2);
		ScriptedEndpoint first = endpoint("a", "HTTP/1.1 200 OK\r\nId: r\r\nMark: e\r\n"
				+ "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: x\n\n" + ScriptedEndpoint.DRIP + stalling);
		list(first.toEndpoint());
		ScriptedEndpoint second = endpoint("b",
				STREAM + chunk("id: 1\ndata: x\n\n") + chunk("id: 2\ndata: y\n\n") + "0\r\n\r\n");
		Thread.startVirtualThread(() -> {
			while (first.heads().isEmpty()) {
				Thread.onSpinWait();
			}
			list(first.toEndpoint(), second.toEndpoint());
		});
		send();
		Truth.assertThat(this.caller.isComplete()).isTrue();
		Truth.assertThat(this.caller.body().replace(":\n\n", "")).isEqualTo("id: 1\ndata: x\n\nid: 2\ndata: y\n\n");
		Truth.assertThat(second.heads().getFirst()).contains("Resume-After: 1\r\n");
	}

	/**
	 * The refusal of a request may be delivered twice. The second copy must not be taken
	 * for the answer to the same request when it is sent again: the caller would learn
	 * that it did not run while it runs.
	 */
	@Test
	void secondCopyOfRefusalIsNotTakenForAnswerToNextSending() throws IOException {
		route(Execution.AT_MOST_ONCE, 2);
		String refusal = "HTTP/1.1 503 Busy\r\nId: r\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n";
		ScriptedEndpoint endpoint = endpoint("a", refusal, OK_ANSWER);
		list(endpoint.toEndpoint());
		send();
		Truth.assertThat(this.caller.status()).isEqualTo(200);
		Truth.assertThat(endpoint.connections()).isEqualTo(2);
	}

	@ParameterizedTest
	@CsvSource({ "REPEATABLE, 2, 200, 2", "REPEATABLE, 1, 502, 1", "AT_MOST_ONCE, 2, 502, 1", "STREAM, 2, 502, 1" })
	void retriesOnlyRepeatableRequests(Execution execution, int attempts, int status, int receivedRequests)
			throws IOException {
		route(execution, attempts);
		ScriptedEndpoint first = endpoint("a", ScriptedEndpoint.RESET);
		ScriptedEndpoint second = endpoint("b", ScriptedEndpoint.RESET);
		list(first.toEndpoint(), second.toEndpoint(), endpoint("c", ScriptedEndpoint.RESET).toEndpoint());
		send();
		Truth.assertThat(this.caller.status()).isEqualTo(502);
		Truth.assertThat(receivedRequests()).isEqualTo(receivedRequests);
	}

	/**
	 * An endpoint writes an earlier refusal once more on a kept connection, before the
	 * answer to the next request, which it runs.
	 * @param repeated the repeated head
	 * @param status the status for the caller of the second request
	 */
	@ParameterizedTest
	@CsvSource({ "Id: r, 200", "Extra: 1, 502" })
	void repeatedRefusalOnKeptConnectionDoesNotTellThatTheNextRequestDidNotRun(String repeated, int status)
			throws IOException {
		route(Execution.AT_MOST_ONCE, 1);
		String refusal = "HTTP/1.1 503 Busy\r\n%s\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n";
		ScriptedEndpoint endpoint = endpoint("a", refusal.formatted("Id: r\r\nKeep-Alive: timeout=5"),
				refusal.formatted(repeated) + OK_ANSWER.replace("Id: r", "Id: next"));
		list(endpoint.toEndpoint());
		send();
		Truth.assertThat(this.caller.status()).isEqualTo(503);
		RecordingCaller next = new RecordingCaller();
		ServedRequest request = new ServedRequest("next", "POST", "/a/b?c", "host", null, 2_000, null, 10, 10, "",
				List.of(), null, List.of(new Header("Id", "next")), new byte[0]);
		forward(request, next);
		Truth.assertThat(endpoint.connections()).isEqualTo(1);
		Truth.assertThat(next.status()).isEqualTo(status);
	}

	/**
	 * A stream has begun and broken off, and the endpoint that should resume it answers
	 * something else.
	 */
	@ParameterizedTest
	@ValueSource(strings = { "500 Failed", "503 Busy", "404 Unknown", "429 Later", "200 Fine", "421 Elsewhere",
			"503 Busy\r\nNot-Run: 1" })
	void errorInPlaceOfResumedStreamDoesNotReachTheCaller(String status) throws IOException {
		route(Execution.RESUMABLE_STREAM, 2);
		String begun = STREAM + chunk("id: 1\ndata: a\n\n") + ScriptedEndpoint.RESET;
		String error = "HTTP/1.1 " + status
				+ "\r\nId: r\r\nMark: m\r\nContent-Type: text/plain\r\nContent-Length: 10\r\n\r\nerror text";
		listPairWithScript(begun, error);
		send();
		Truth.assertThat(receivedRequests()).isEqualTo(2);
		Truth.assertThat(this.caller.body()).doesNotContain("error text");
		Truth.assertThat(this.caller.body()).doesNotContain("HTTP/1.1");
		Truth.assertThat(this.caller.isAborted()).isTrue();
	}

	@Test
	void requestThatDidNotRunIsSentToAnotherEndpoint() throws IOException {
		route(Execution.AT_MOST_ONCE, 2);
		ScriptedEndpoint first = endpoint("a", NOT_RUN);
		list(first.toEndpoint());
		ScriptedEndpoint second = endpoint("b", OK_ANSWER);
		list(first.toEndpoint(), second.toEndpoint());
		send();
		Truth.assertThat(this.caller.status()).isEqualTo(200);
	}

	@Test
	void neverTriesMoreEndpointsThanTheRouteAllows() throws IOException {
		route(Execution.REPEATABLE, 2);
		list(endpoint("a", NOT_RUN).toEndpoint(), endpoint("b", NOT_RUN).toEndpoint(),
				endpoint("c", NOT_RUN).toEndpoint());
		send();
		Truth.assertThat(this.caller.status()).isEqualTo(503);
		Truth.assertThat(this.caller.hasHeader("Retry-After")).isTrue();
		Truth.assertThat(receivedRequests()).isEqualTo(2);
	}

	@Test
	void unreachableEndpointIsNotCountedAsAttempt() throws IOException {
		route(Execution.AT_MOST_ONCE, 1);
		int closedPort;
		try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
			closedPort = socket.getLocalPort();
		}
		ServedEndpoint dead = new ServedEndpoint("dead", 1, "pool", "127.0.0.1", closedPort, "domain", 8, false,
				ServedEndpoint.Holdings.NONE);
		list(dead, endpoint("b", OK_ANSWER).toEndpoint());
		send();
		Truth.assertThat(this.caller.status()).isEqualTo(200);
	}

	@Test
	void brokenStreamIsResumedOnAnotherEndpoint() throws IOException {
		route(Execution.RESUMABLE_STREAM, 2);
		ScriptedEndpoint first = endpoint("a",
				STREAM + chunk("id: 1\ndata: x\n\n") + chunk("id: 2\nda") + ScriptedEndpoint.RESET);
		list(first.toEndpoint());
		Thread.startVirtualThread(() -> awaitArrivalThenList(first));
		send();
		Truth.assertThat(this.caller.body()).isEqualTo("id: 1\ndata: x\n\nid: 2\ndata: y\n\nid: 3\ndata: z\n\n");
		Truth.assertThat(this.caller.isComplete()).isTrue();
		Truth.assertThat(this.endpoints.getLast().heads().getFirst()).contains("Resume-After: 1\r\n");
	}

	// Lists the second endpoint only after the first has received the request.
	private void awaitArrivalThenList(ScriptedEndpoint first) {
		try {
			while (first.heads().isEmpty()) {
				Thread.onSpinWait();
			}
			ScriptedEndpoint second = endpoint("b",
					STREAM + chunk("id: 1\ndata: x\n\n") + chunk("id: 2\ndata: y\n\nid: 3\ndata: z\n\n") + "0\r\n\r\n");
			list(first.toEndpoint(), second.toEndpoint());
			this.waitingRequests.signal();
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
	void streamWithMissingOrPartialEventIsAborted(String events) throws IOException {
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
		ScriptedEndpoint endpoint = endpoint("a", OK_ANSWER);
		list(endpoint.toEndpoint());
		send(null, key);
		Truth.assertThat(this.caller.status()).isEqualTo(status);
		Truth.assertThat(receivedRequests()).isEqualTo((status == 200) ? 1 : 0);
		endpoint.heads().forEach((head) -> Truth.assertThat(head).contains("Organisation: org\r\n"));
	}

	@Test
	void refusesRequestAboveTheGrantWithoutSendingIt() throws IOException {
		route(Execution.REPEATABLE, 1, null, List.of(new ServedOrganisation("org", null, true, 0.001, 1, 1)));
		list(endpoint("a", OK_ANSWER).toEndpoint());
		send(null, "key");
		Truth.assertThat(this.caller.status()).isEqualTo(429);
		Truth.assertThat(this.caller.hasHeader("Retry-After")).isTrue();
		Truth.assertThat(receivedRequests()).isEqualTo(0);
	}

	/**
	 * Guards against scaling up a model for an organisation that sends many times its
	 * rate.
	 */
	@ParameterizedTest
	@CsvSource({ "0.001, 0", "0, 1" })
	void requestAboveTheGrantIsNotCountedAsDemand(double rate, int counted) throws IOException {
		route(Execution.STREAM, 1, engine(), List.of(new ServedOrganisation("org", null, true, rate, 1, 1)));
		list(endpoint("a", OK_ANSWER).toEndpoint("m"));
		send(LoadableName.ofModel("m"), "key");
		Truth.assertThat(this.rates.requestsPerSecond()).hasSize(counted);
	}

	@Test
	void refusesRequestWhoseModelIsNotReadyInTime() throws IOException {
		route(Execution.STREAM, 1, engine(), List.of());
		list(endpoint("a", OK_ANSWER).toEndpoint("other"));
		this.peerRegistry.updatePlacement(new PeerMessage.Placement(1, List.of(), Map.of("pool/m", 60_000L)));
		send(LoadableName.ofModel("m"), null);
		Truth.assertThat(this.caller.status()).isEqualTo(503);
		Truth.assertThat(this.caller.hasHeader("Retry-After")).isTrue();
		Truth.assertThat(receivedRequests()).isEqualTo(0);
	}

	@Test
	void waitsForModelThatIsReadyInTime() throws IOException {
		route(Execution.STREAM, 1, engine(), List.of());
		ScriptedEndpoint endpoint = endpoint("a", STREAM + chunk("id: 1\n\n") + "0\r\n\r\n");
		list(endpoint.toEndpoint("other"));
		this.peerRegistry.updatePlacement(new PeerMessage.Placement(1, List.of(), Map.of("pool/m", 500L)));
		Thread.startVirtualThread(() -> {
			while (this.waitingRequests.size() == 0) {
				Thread.onSpinWait();
			}
			this.directory.applyAnnouncements(List.of(new EndpointDirectory.AnnouncedHoldings("a", 1,
					new ServedEndpoint.Holdings(Map.of("m", Set.of()), Set.of(), Set.of()))));
			this.waitingRequests.signal();
		});
		send(LoadableName.ofModel("m"), null);
		Truth.assertThat(this.caller.body()).isEqualTo("id: 1\n\n");
	}

	/** Its wait must not outlast the verdict, and it must not be sent at its end. */
	@Test
	void waitingRequestIsRefusedOnceItIsImplicated() throws IOException {
		route(Execution.STREAM, 1, engine(), List.of());
		list(endpoint("a", STREAM).toEndpoint("other"));
		this.peerRegistry.updatePlacement(new PeerMessage.Placement(1, List.of(), Map.of("pool/m", 500L)));
		ServedRequest request = request(LoadableName.ofModel("m"), null, List.of());
		Thread.startVirtualThread(() -> {
			while (this.waitingRequests.size() == 0) {
				Thread.onSpinWait();
			}
			for (int number = 1; number <= 3; number++) {
				this.quarantineClock.advance(Duration.ofSeconds(1));
				this.quarantine.recordCrash(new ServedEndpoint("e" + number, 1, "pool", "10.0.0." + number, 80,
						"domain", 8, false, ServedEndpoint.Holdings.NONE), List.of(RequestFingerprint.of(request)));
			}
			this.quarantineClock.advance(Duration.ofSeconds(1));
			this.waitingRequests.signal();
		});
		send(request);
		Truth.assertThat(this.caller.status()).isEqualTo(503);
		Truth.assertThat(this.events.stream().map(Event::name).toList()).contains("request.quarantined");
	}

	/**
	 * A stream without a length that ends with its connection is complete only after
	 * whole events.
	 * @param name the case
	 * @param events the bytes after the head
	 * @param complete whether the caller gets a complete stream
	 */
	@ParameterizedTest(name = "{0}")
	@CsvSource(delimiter = '|', emptyValue = "",
			value = { "whole events | id: 1~data: x~~id: 2~~<close> | true",
					"within an event | id: 1~data: x~~id: 2~<close> | false", "reset | id: 1~data: x~~<reset> | false",
					"no event | <close> | false", "only a comment | :~~<close> | false",
					"only line ends | ~~~<close> | false" })
	void unframedStreamIsCompleteOnlyAfterWholeEvents(String name, String events, boolean complete) throws IOException {
		route(Execution.STREAM, 1);
		list(endpoint("a", "HTTP/1.1 200 OK\r\nId: r\r\nMark: e\r\nContent-Type: text/event-stream\r\n\r\n"
				+ events.replace("~", "\n"))
			.toEndpoint());
		send();
		Truth.assertThat(this.caller.isComplete() && this.caller.status() == 200).isEqualTo(complete);
	}

	@Test
	void statedLimitIsLoggedWhenItChanges() throws IOException {
		String limited = OK_ANSWER.replace("Mark: e", "Mark: e\r\nLimit: 1.5");
		route(Execution.REPEATABLE, 1);
		list(endpoint("a", limited, limited, OK_ANSWER).toEndpoint());
		for (int request = 0; request < 3; request++) {
			forward(request(null, null, List.of()), new RecordingCaller());
		}
		Truth
			.assertThat(this.events.stream()
				.filter((event) -> event.name().equals("endpoint.limit_stated"))
				.map((event) -> event.field("requests_per_second"))
				.toList())
			.containsExactly("1.5", "none")
			.inOrder();
	}

	/** What requests have in common that crash engines is found by these fields. */
	@Test
	void failedExchangeNamesSegmentsRequestAndRunOfEndpoint() throws IOException {
		route(Execution.STREAM, 1, engine(), List.of());
		list(endpoint("a", "<close>").toEndpoint("m"));
		ServedRequest request = request(LoadableName.ofModel("m"), null, List.of("5c", "91"));
		send(request);
		Event failure = this.events.stream()
			.filter((event) -> event.name().equals("request.exchange_failed"))
			.findFirst()
			.orElseThrow();
		Truth.assertThat(failure.field("segments")).isEqualTo("[5c, 91]");
		Truth.assertThat(failure.field("request")).isEqualTo(RequestFingerprint.of(request));
		Truth.assertThat(failure.field("started_at")).isEqualTo("1");
		Truth.assertThat(failure.field("answering_ms")).isEqualTo("-1");
	}

	/** Guards against requests with one segment crashing engine after engine (BUDGET). */
	@Test
	void segmentThatCrashedThreeEnginesReachesNoFurtherOne() throws IOException {
		String wholeStream = STREAM + chunk("id: 1\n\n") + "0\r\n\r\n";
		route(Execution.STREAM, 1, engine(), List.of());
		ScriptedEndpoint last = endpoint("d", wholeStream, wholeStream);
		list(last.toEndpoint("m"));
		Truth.assertThat(forward("system", "subject").body()).isEqualTo("id: 1\n\n");
		for (String name : List.of("a", "b", "c")) {
			list(endpoint(name, "<close>").toEndpoint("m"));
			this.quarantineClock.advance(Duration.ofSeconds(1));
			Truth.assertThat(forward("system", "deadly").status()).isEqualTo(502);
		}
		this.quarantineClock.advance(Duration.ofSeconds(1));
		list(last.toEndpoint("m"));
		Truth.assertThat(forward("system", "deadly").status()).isEqualTo(503);
		Truth.assertThat(last.heads()).hasSize(1);
		Truth.assertThat(forward("system", "subject").body()).isEqualTo("id: 1\n\n");
	}

	/** Guards against one request crashing endpoint after endpoint (BUDGET). */
	@ParameterizedTest
	@CsvSource({ "true, system", "true, ''", "false, ''" })
	void requestThatCrashedThreeEndpointsReachesNoFurtherOne(boolean streamed, String segment) throws IOException {
		route(streamed ? Execution.STREAM : Execution.AT_MOST_ONCE, 1, streamed ? engine() : null, List.of());
		LoadableName model = streamed ? LoadableName.ofModel("m") : null;
		List<String> segments = segment.isEmpty() ? List.of() : List.of(segment);
		String answer = streamed ? STREAM + chunk("id: 1\n\n") + "0\r\n\r\n" : OK_ANSWER;
		ScriptedEndpoint last = endpoint("d", answer, answer);
		list(last.toEndpoint("m"));
		Truth.assertThat(forward(request(model, null, segments, "sound")).status()).isEqualTo(200);
		for (String name : List.of("a", "b", "c")) {
			list(endpoint(name, "<close>").toEndpoint("m"));
			this.quarantineClock.advance(Duration.ofSeconds(1));
			Truth.assertThat(forward(request(model, null, segments, "deadly")).status()).isEqualTo(502);
		}
		this.quarantineClock.advance(Duration.ofSeconds(1));
		list(last.toEndpoint("m"));
		Truth.assertThat(forward(request(model, null, segments, "deadly")).status()).isEqualTo(503);
		Truth.assertThat(last.heads()).hasSize(1);
		Truth.assertThat(forward(request(model, null, segments, "sound")).status()).isEqualTo(200);
	}

	/**
	 * A repeat crashes the next endpoint if the request is what crashed the first ones.
	 * @param segment the segment of its prompt, if any
	 * @param end how endpoints end the exchange
	 * @param sends how often it is sent
	 */
	@ParameterizedTest
	@CsvSource({ "deadly, <close>, 2", "'', <close>, 2", "'', rubbish~~, 4" })
	void requestIsNotRepeatedAfterItCrashedTwoEngines(String segment, String end, int sends) throws IOException {
		route(Execution.REPEATABLE, 4, engine(), List.of());
		List<ServedEndpoint> crashing = new ArrayList<>();
		for (String name : List.of("a", "b", "c", "d")) {
			crashing.add(endpoint(name, end.replace("~", "\r\n")).toEndpoint("m"));
		}
		list(crashing.toArray(ServedEndpoint[]::new));
		RecordingCaller segmentCaller = new RecordingCaller();
		forward(request(LoadableName.ofModel("m"), null, segment.isEmpty() ? List.of() : List.of(segment)),
				segmentCaller);
		Truth.assertThat(segmentCaller.status()).isEqualTo(502);
		Truth.assertThat(receivedRequests()).isEqualTo(sends);
	}

	/**
	 * Guards against endpoints in need getting more requests than they ask for (LIMIT).
	 */
	/**
	 * An endpoint says that it leaves in an answer of any kind.
	 * @param answer the status line of the answer and its headers
	 */
	@ParameterizedTest
	@ValueSource(strings = { "200 OK", "500 Failed", "404 Unknown", "503 Busy\r\nNot-Run: 1" })
	void endpointThatSaysItLeavesGetsNoFurtherRequest(String answer) throws IOException {
		route(Execution.AT_MOST_ONCE, 1);
		ScriptedEndpoint leaving = endpoint("a",
				"HTTP/1.1 " + answer + "\r\nId: r\r\nMark: e\r\nLeaving: 1\r\nContent-Length: 0\r\n\r\n", OK_ANSWER,
				OK_ANSWER);
		list(leaving.toEndpoint());
		send();
		ScriptedEndpoint staying = endpoint("b", OK_ANSWER, OK_ANSWER);
		list(leaving.toEndpoint(), staying.toEndpoint());
		for (int request = 0; request < 2; request++) {
			forward(request(null, null, List.of()), new RecordingCaller());
		}
		Truth.assertThat(leaving.heads()).hasSize(1);
		Truth.assertThat(staying.heads()).hasSize(2);
	}

	/**
	 * An endpoint that turns a request away names a time for which it wants none.
	 * @param pause the time in milliseconds
	 * @param status the status for the caller of the next request
	 * @param arrived the requests that have reached the endpoint then
	 */
	@ParameterizedTest
	@CsvSource({ "60000, 503, 1", "300, 200, 2" })
	void endpointThatWantsNoRequestsForAWhileGetsNone(long pause, int status, int arrived) throws IOException {
		route(Execution.AT_MOST_ONCE, 1);
		this.sharedLoads = new EndpointLoads(this.clock);
		ScriptedEndpoint endpoint = endpoint("a",
				"HTTP/1.1 503 Busy\r\nId: r\r\nNot-Run: 1\r\nPause: " + pause + "\r\nContent-Length: 0\r\n\r\n",
				OK_ANSWER, OK_ANSWER);
		list(endpoint.toEndpoint());
		send();
		RecordingCaller next = new RecordingCaller();
		forward(request(null, null, List.of()), next);
		Truth.assertThat(next.status()).isEqualTo(status);
		Truth.assertThat(endpoint.heads()).hasSize(arrived);
		if (status != 200) {
			Truth.assertThat(Double.parseDouble(next.header("Retry-After"))).isGreaterThan(50.0);
		}
	}

	@Test
	void endpointThatNamesLimitGetsNoMoreRequestsThanThat() throws IOException {
		String limited = OK_ANSWER.replace("Mark: e", "Mark: e\r\nLimit: 1");
		int requests = 40;
		route(Execution.REPEATABLE, 1);
		ScriptedEndpoint inNeed = endpoint("a", Collections.nCopies(requests, limited).toArray(String[]::new));
		ScriptedEndpoint other = endpoint("b", Collections.nCopies(requests, OK_ANSWER).toArray(String[]::new));
		list(inNeed.toEndpoint(), other.toEndpoint());
		for (int request = 0; request < requests; request++) {
			RecordingCaller requestCaller = new RecordingCaller();
			forward(request(null, null, List.of()), requestCaller);
			Truth.assertThat(requestCaller.status()).isEqualTo(200);
		}
		Truth.assertThat(inNeed.heads().size()).isAtMost(11);
	}

	@ParameterizedTest
	@CsvSource({ "0, 10.000", "0.2, 5.000" })
	void requestBeyondTheOnlyEndpointsLimitIsRefusedAtOnce(double limit, String retryAfter) throws IOException {
		String limited = OK_ANSWER.replace("Mark: e", "Mark: e\r\nLimit: " + limit);
		route(Execution.REPEATABLE, 1);
		ScriptedEndpoint inNeed = endpoint("a", limited, limited);
		list(inNeed.toEndpoint());
		RecordingCaller first = new RecordingCaller();
		forward(request(null, null, List.of()), first);
		Truth.assertThat(first.status()).isEqualTo(200);
		RecordingCaller second = new RecordingCaller();
		forward(request(null, null, List.of()), second);
		Truth.assertThat(second.status()).isEqualTo(503);
		Truth.assertThat(Double.parseDouble(second.header("Retry-After")))
			.isWithin(0.5)
			.of(Double.parseDouble(retryAfter));
		Truth.assertThat(inNeed.heads()).hasSize(1);
	}

	@Test
	void requestWaitsForItsTurnAtTheOnlyEndpointWithLimit() throws IOException {
		String limited = OK_ANSWER.replace("Mark: e", "Mark: e\r\nLimit: 5");
		route(Execution.REPEATABLE, 1);
		ScriptedEndpoint inNeed = endpoint("a", limited, limited);
		list(inNeed.toEndpoint());
		for (int request = 0; request < 2; request++) {
			RecordingCaller waiting = new RecordingCaller();
			forward(request(null, null, List.of()), waiting);
			Truth.assertThat(waiting.status()).isEqualTo(200);
		}
	}

	private RecordingCaller forward(String... segments) {
		String body = "request " + ++this.prompts;
		return forward(request(LoadableName.ofModel("m"), null, List.of(segments), body));
	}

	private RecordingCaller forward(ServedRequest request) {
		RecordingCaller requestCaller = new RecordingCaller();
		forward(request, requestCaller);
		return requestCaller;
	}

	private static EngineProfile engine() {
		return new EngineProfile(1_000, 0, 8, 100_000, 1, Map.of());
	}

	@ParameterizedTest
	@EnumSource(names = { "REFUSING", "ENDING" })
	void stoppingDaemonRefusesNewRequests(StopPhase stopPhase) throws IOException {
		route(Execution.REPEATABLE, 1);
		list(endpoint("a", OK_ANSWER).toEndpoint());
		this.plannedStop.begin();
		this.plannedStop.enter(stopPhase);
		send();
		Truth.assertThat(this.caller.status()).isEqualTo(503);
		Truth.assertThat(receivedRequests()).isEqualTo(0);
	}

	private void stopHasLasted(StopPhase phase, long milliseconds) {
		this.plannedStop.begin();
		this.stopClock.advance(Duration.ofMillis(milliseconds));
		this.plannedStop.enter(phase);
	}

	// A request was taken late in a planned stop and cut at its end (issue 31).
	@ParameterizedTest
	@EnumSource(Execution.class)
	void stoppingDaemonTakesNothingThatItCannotEnd(Execution execution) throws IOException {
		route(execution, 2);
		list(endpoint("a", OK_ANSWER).toEndpoint());
		stopHasLasted(StopPhase.LEAVING, 5_600);
		send();
		Truth.assertThat(this.caller.status()).isEqualTo(503);
		Truth.assertThat(this.caller.header("Retry-After")).isEqualTo("0.050");
		Truth.assertThat(receivedRequests()).isEqualTo(0);
	}

	@ParameterizedTest
	@EnumSource(Execution.class)
	void stoppingDaemonServesWhatItCanEnd(Execution execution) throws IOException {
		route(execution, 2);
		list(endpoint("a", OK_ANSWER, OK_ANSWER).toEndpoint());
		forward(request(null, null, List.of()), new RecordingCaller());
		stopHasLasted(StopPhase.LEAVING, 5_600);
		send();
		Truth.assertThat(this.caller.status()).isEqualTo(200);
	}

	@Test
	void requestThatWaitedIsNotSentWithTooLittleOfTheStopLeft() throws IOException {
		route(Execution.REPEATABLE, 2);
		ScriptedEndpoint endpoint = endpoint("a", OK_ANSWER);
		this.plannedStop.begin();
		this.reactions.put("request.waiting", () -> {
			this.stopClock.advance(Duration.ofMillis(5_700));
			this.plannedStop.enter(StopPhase.REFUSING);
			list(endpoint.toEndpoint());
			this.waitingRequests.signal();
		});
		send();
		Truth.assertThat(this.caller.status()).isEqualTo(503);
		Truth.assertThat(receivedRequests()).isEqualTo(0);
	}

	@Test
	void requestIsNotSentAgainWithTooLittleOfTheStopLeft() throws IOException {
		route(Execution.REPEATABLE, 2);
		String failure = "HTTP/1.1 500 Bad\r\nId: r\r\nMark: e\r\nContent-Length: 2\r\n\r\nno";
		list(endpoint("a", failure).toEndpoint(), endpoint("b", failure).toEndpoint());
		this.plannedStop.begin();
		this.reactions.put("request.sent", () -> this.stopClock.advance(Duration.ofMillis(6_000)));
		send();
		Truth.assertThat(receivedRequests()).isEqualTo(1);
		Truth.assertThat(this.caller.status()).isEqualTo(500);
	}

	// At the end of a planned stop callers were cut without an answer (issue 31).
	@ParameterizedTest
	@CsvSource({ "AT_MOST_ONCE, '', 504, false", "REPEATABLE, '', 504, false", "RESUMABLE_STREAM, '', 504, false",
			"STREAM, 'id: 1\n\n', 200, true" })
	@Timeout(ENDLESS_TIMEOUT_SECONDS)
	void endOfStopAnswersCallersWithoutAnswer(Execution execution, String begun, int status, boolean aborted)
			throws IOException {
		route(execution, 2);
		ScriptedEndpoint endpoint = endpoint("a", begun.isEmpty() ? "" : STREAM + chunk(begun));
		list(endpoint.toEndpoint());
		this.plannedStop.begin();
		Thread.startVirtualThread(() -> {
			while (endpoint.heads().isEmpty() || !this.caller.body().equals(begun)) {
				Thread.onSpinWait();
			}
			this.plannedStop.enter(StopPhase.GIVING_UP);
		});
		send();
		Truth.assertThat(this.caller.status()).isEqualTo(status);
		Truth.assertThat(this.caller.isAborted()).isEqualTo(aborted);
		Truth.assertThat(this.events.stream().map(Event::name).toList())
			.containsNoneOf("request.exchange_failed", "request.exchange_silent");
	}

	@Test
	void sendsNothingForDisconnectedCaller() throws IOException {
		route(Execution.REPEATABLE, 1);
		list(endpoint("a", OK_ANSWER).toEndpoint());
		this.caller.disconnect();
		send();
		Truth.assertThat(receivedRequests()).isEqualTo(0);
	}

	@Test
	void refusesUntilTablesAreReceived() {
		send();
		Truth.assertThat(this.caller.status()).isEqualTo(503);
	}

	/** A wire format with short header names. */
	private enum Protocol implements EndpointProtocol {

		INSTANCE;

		@Override
		public List<Header> requestHeaders(OutboundRequest passage) {
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
		public AnswerMetadata answerMetadata(AnswerHead head) {
			boolean other = head.status() == 421;
			String limit = head.header("Limit");
			String pause = head.header("Pause");
			return new AnswerMetadata(head.header("Id"), other || head.header("Not-Run") != null, other,
					head.header("Mark") != null, (limit != null) ? Double.valueOf(limit) : null,
					head.header("Leaving") != null, (pause != null) ? Long.parseLong(pause) : 0);
		}

	}

}

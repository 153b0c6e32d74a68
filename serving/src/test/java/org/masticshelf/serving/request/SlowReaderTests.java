package org.masticshelf.serving.request;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;

import com.google.common.truth.Truth;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import org.masticshelf.kernel.event.Event;
import org.masticshelf.kernel.serving.ServedEndpoint;
import org.masticshelf.kernel.serving.ServedPool;
import org.masticshelf.kernel.serving.ServedRequest;
import org.masticshelf.kernel.serving.ServedRequest.Header;
import org.masticshelf.kernel.serving.ServedRoute;
import org.masticshelf.kernel.serving.ServedTables;
import org.masticshelf.kernel.time.MonotonicClock;
import org.masticshelf.serving.caller.RequestCodec;
import org.masticshelf.serving.caller.ServingListener;
import org.masticshelf.serving.endpoint.EndpointDirectory;
import org.masticshelf.serving.endpoint.EndpointLimits;
import org.masticshelf.serving.endpoint.EndpointLoads;
import org.masticshelf.serving.grant.SharedGrants;
import org.masticshelf.serving.peer.PeerRegistry;
import org.masticshelf.serving.quarantine.RequestQuarantine;
import org.masticshelf.serving.upstream.EndpointConnections;
import org.masticshelf.serving.upstream.EndpointProtocol;
import org.masticshelf.transport.http.AnswerHead;

/**
 * Tests a listener, requests and an endpoint in one process while callers or the endpoint
 * do not read.
 */
class SlowReaderTests {

	private static final int TIMEOUT_SECONDS = 60;

	private static final int READ_AHEAD_BYTES = 256 * 1024;

	/** More than the sockets of both sides buffer if nothing is read. */
	private static final int STREAM_BYTES = 32 * 1024 * 1024;

	private static final int PLAIN_BYTES = 7 * 1024 * 1024;

	private static final int LIMIT = 1_000_000;

	private static final int ENDPOINT_BOUND = 4_000_000;

	private static final String EVENT = "data: " + "x".repeat(56) + "\n\n";

	private final MonotonicClock clock = MonotonicClock.SystemClock.INSTANCE;

	private final MonotonicClock.Manual stallClock = new MonotonicClock.Manual();

	private final ConcurrentLinkedQueue<Event> events = new ConcurrentLinkedQueue<>();

	private final EndpointBodies bodies = new EndpointBodies(ENDPOINT_BOUND, this.events::add);

	/** The endpoint reads bodies once this has been counted down. */
	private final CountDownLatch reading = new CountDownLatch(1);

	private final AtomicInteger receivedHeads = new AtomicInteger();

	private final List<Socket> sockets = new ArrayList<>();

	private HeldBytesLedger ledger = new HeldBytesLedger(LIMIT, this.stallClock, this.events::add);

	private ServerSocket endpoint;

	private @Nullable ServingListener listener;

	@BeforeEach
	void startEndpoint() throws IOException {
		this.endpoint = new ServerSocket(0, 64, InetAddress.getLoopbackAddress());
		Thread.startVirtualThread(this::acceptRequests);
	}

	@AfterEach
	void close() throws IOException {
		this.reading.countDown();
		for (Socket socket : this.sockets) {
			socket.close();
		}
		this.endpoint.close();
		if (this.listener != null) {
			this.listener.close();
		}
	}

	private void startListener(long limit) {
		this.ledger = new HeldBytesLedger(limit, this.stallClock, this.events::add);
		EndpointDirectory directory = new EndpointDirectory(this.clock, this.events::add);
		directory.replace(List.of(new ServedEndpoint("endpoint", 1, "pool", "127.0.0.1", this.endpoint.getLocalPort(),
				"domain", 8, false, new ServedEndpoint.Holdings(Map.of(), Set.of(), Set.of()))));
		ServedRoute route = new ServedRoute("route", "host", "/a/", ServedRoute.Execution.REPEATABLE, 600_000, 600_000,
				0, 1, 2, true, List.of(new ServedRoute.Target("pool", 1)));
		ServedTables tables = new ServedTables(1, List.of(route), Map.of("pool", new ServedPool("pool", 64, null)),
				Map.of(), false, new ServedTables.Limits(LIMIT, 1_000));
		RequestContext context = new RequestContext(() -> tables, directory, new EndpointLoads(this.clock),
				new EndpointConnections(this.clock), Protocol.INSTANCE, new SharedGrants(this.clock),
				new WaitingRequests(this.clock, () -> {
				}), new UnservedRequests(this.clock), new ModelRates(this.clock), new RetryBudgets(),
				new PeerRegistry(this.clock), new EndpointLimits("self", this.clock, this.events::add, () -> {
				}), new RequestQuarantine(this.clock, this.events::add, () -> {
				}), "domain", new PlannedStop(this.clock, 8_000), new ServiceTimes(), this.clock,
				new ServingMetrics(new PrometheusRegistry()), this.events::add, this.bodies, AnswerMemory.ofHeap());
		ServingListener.Address anyPort = new ServingListener.Address("127.0.0.1", 0);
		this.listener = ServingListener.start(
				new ServingListener.Settings(anyPort, anyPort, () -> true, new PrometheusRegistry(), () -> LIMIT),
				SlowReaderTests::decode, new RequestForwarder(context), this.ledger);
	}

	private static RequestCodec.Decoded decode(RequestCodec.RawRequest raw) {
		return new RequestCodec.Decoded.Valid(new ServedRequest("r", raw.method(), raw.target(), "host", null, 600_000,
				null, -1, -1, "", List.of(), null, List.of(), raw.body()));
	}

	private void acceptRequests() {
		while (!this.endpoint.isClosed()) {
			try {
				Socket connection = this.endpoint.accept();
				Thread.startVirtualThread(() -> answerRequests(connection));
			}
			catch (IOException ex) {
				return;
			}
		}
	}

	private void answerRequests(Socket connection) {
		try (connection) {
			InputStream input = new BufferedInputStream(connection.getInputStream());
			OutputStream output = connection.getOutputStream();
			for (String head = readHead(input); !head.isEmpty(); head = readHead(input)) {
				this.receivedHeads.incrementAndGet();
				if (head.contains("/a/unread")) {
					this.reading.await();
				}
				input.skipNBytes(length(head));
				byte[] answer = answerTo(head);
				output.write(answer, 0, head.contains("/broken") ? answer.length / 2 : answer.length);
				if (head.contains("/broken")) {
					return;
				}
			}
		}
		catch (IOException | InterruptedException ex) {
			// The daemon has closed the connection.
		}
	}

	private static byte[] answerTo(String head) {
		String start = "HTTP/1.1 200 OK\r\nId: r\r\nMark: e\r\n";
		if (head.contains("/a/stream")) {
			return bytes(start + "Content-Type: text/event-stream\r\nContent-Length: " + STREAM_BYTES + "\r\n\r\n"
					+ EVENT.repeat(STREAM_BYTES / EVENT.length()));
		}
		int length = head.contains("/a/plain") ? PLAIN_BYTES : 2;
		return bytes(start + "Content-Length: " + length + "\r\n\r\n" + "y".repeat(length));
	}

	private static byte[] bytes(String text) {
		return text.getBytes(StandardCharsets.ISO_8859_1);
	}

	private static int length(String head) {
		int at = head.indexOf("Content-Length: ");
		return (at < 0) ? 0 : Integer.parseInt(head.substring(at + 16, head.indexOf('\r', at)));
	}

	private static String readHead(InputStream input) throws IOException {
		StringBuilder head = new StringBuilder();
		while (head.length() < 4 || !head.substring(head.length() - 4).equals("\r\n\r\n")) {
			int next = input.read();
			if (next < 0) {
				return "";
			}
			head.append((char) next);
		}
		return head.toString();
	}

	private Socket send(String requestLine, int announced, int sent) throws IOException {
		int port = Objects.requireNonNull(this.listener).callersPort();
		Socket socket = new Socket();
		this.sockets.add(socket);
		socket.setReceiveBufferSize(READ_AHEAD_BYTES / 4);
		socket.setSoTimeout(TIMEOUT_SECONDS * 1_000);
		socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
		// The answer to a request of HTTP/1.0 ends with its connection.
		String version = requestLine.startsWith("GET") ? " HTTP/1.0" : " HTTP/1.1";
		String framing = (announced < 0) ? "Transfer-Encoding: chunked" : "Content-Length: " + announced;
		socket.getOutputStream().write(bytes(requestLine + version + "\r\nHost: host\r\n" + framing + "\r\n\r\n"));
		socket.getOutputStream().write(new byte[sent]);
		return socket;
	}

	private static String statusOf(Socket socket) throws IOException {
		return readHead(socket.getInputStream()).substring(9, 12);
	}

	private static void await(BooleanSupplier condition) {
		while (!condition.getAsBoolean()) {
			Truth.assertThat(Thread.currentThread().isInterrupted()).isFalse();
			Thread.onSpinWait();
		}
	}

	private boolean isLogged(String name) {
		return this.events.stream().anyMatch((event) -> event.name().equals(name));
	}

	/**
	 * Guards against a daemon that reads whole answers of fast endpoints for callers that
	 * do not take them. Without the limit, plain answers are held completely.
	 */
	@ParameterizedTest
	@ValueSource(strings = { "GET /a/stream", "GET /a/plain" })
	@Timeout(TIMEOUT_SECONDS)
	void holdsNoMoreThanTheReadAheadForCallersThatDoNotRead(String requestLine) throws IOException {
		startListener(Long.MAX_VALUE);
		List<Socket> callers = List.of(send(requestLine, 0, 0), send(requestLine, 0, 0));
		AtomicInteger mostHeld = new AtomicInteger();
		int nearlyAll = callers.size() * (READ_AHEAD_BYTES - 16 * 1024);
		await(() -> mostHeld.accumulateAndGet((int) this.ledger.holdings().answers(), Math::max) >= nearlyAll);
		int length = requestLine.endsWith("stream") ? STREAM_BYTES : PLAIN_BYTES;
		for (Socket caller : callers) {
			Truth.assertThat(statusOf(caller)).isEqualTo("200");
			Truth.assertThat(caller.getInputStream().readAllBytes()).hasLength(length);
			mostHeld.accumulateAndGet((int) this.ledger.holdings().answers(), Math::max);
		}
		await(() -> this.ledger.holdings().answers() == 0);
		Truth.assertThat(mostHeld.get()).isAtMost(callers.size() * READ_AHEAD_BYTES);
		Truth.assertThat(isLogged("request.exchange_failed")).isFalse();
	}

	/**
	 * Guards against a daemon whose memory is used up by callers that announce bodies and
	 * send them slowly, and against refused callers that first have to send theirs.
	 */
	@Test
	@Timeout(TIMEOUT_SECONDS)
	void refusesLargeRequestsThenAllWhileCallersSendSlowly() throws IOException {
		startListener(LIMIT);
		Truth.assertThat(statusOf(send("POST /a/ok", 1_000, 1_000))).isEqualTo("200");
		Truth.assertThat(statusOf(send("POST /a/ok", 1_000, 1_000))).isEqualTo("200");
		Socket slow = send("POST /a/ok", 900_000, 1);
		await(() -> this.ledger.holdings().bodies() == 900_000);
		String refusal = readHead(send("POST /a/ok", 2_000, 0).getInputStream());
		Truth.assertThat(refusal).startsWith("HTTP/1.1 503");
		Truth.assertThat(refusal).contains("Retry-After: 0.");
		Truth.assertThat(statusOf(send("POST /a/ok", 1_000, 1_000))).isEqualTo("200");
		List<Socket> small = new ArrayList<>();
		while (this.ledger.holdings().bodies() <= LIMIT) {
			small.add(send("POST /a/ok", 1_000, 0));
			int announced = 900_000 + 1_000 * small.size();
			await(() -> this.ledger.holdings().bodies() == announced);
		}
		Truth.assertThat(statusOf(send("GET /a/ok", 0, 0))).isEqualTo("503");
		slow.getOutputStream().write(new byte[899_999]);
		Truth.assertThat(statusOf(slow)).isEqualTo("200");
		for (Socket socket : small) {
			socket.close();
		}
		await(() -> this.ledger.holdings().bodies() == 0);
		Truth.assertThat(statusOf(send("POST /a/ok", 2_000, 2_000))).isEqualTo("200");
	}

	/** Guards against a second answer that is appended to the first part of another. */
	@Test
	@Timeout(TIMEOUT_SECONDS)
	void doesNotRepeatRequestOnceItsPlainAnswerHasBegun() throws IOException {
		startListener(Long.MAX_VALUE);
		Truth.assertThat(readRest(send("GET /a/plain/broken", 0, 0))).isLessThan(PLAIN_BYTES);
		await(() -> isLogged("request.ended"));
		Truth.assertThat(this.receivedHeads.get()).isEqualTo(1);
	}

	/** Guards against slow bodies without an announced length that are not counted. */
	@Test
	@Timeout(TIMEOUT_SECONDS)
	void countsBodyInChunksAsItArrives() throws IOException {
		startListener(LIMIT);
		Socket slow = send("POST /a/ok", -1, 0);
		slow.getOutputStream().write(bytes("3e8\r\n" + "z".repeat(1_000)));
		await(() -> this.ledger.holdings().bodies() == 1_000);
		slow.getOutputStream().write(bytes("\r\n2\r\nzz\r\n0\r\n\r\n"));
		Truth.assertThat(statusOf(slow)).isEqualTo("200");
		await(() -> this.ledger.holdings().bodies() == 0);
		Truth.assertThat(this.ledger.holdings().medianBody()).isEqualTo(1_002);
	}

	/**
	 * Guards against memory that stays full because of a caller that never reads, and
	 * against an endpoint that is blamed for its caller.
	 */
	@Test
	@Timeout(TIMEOUT_SECONDS)
	void givesUpTheAnswerOfStalledCallerAboveTheLimit() throws IOException {
		startListener(READ_AHEAD_BYTES / 2);
		Socket stalled = send("GET /a/stream", 0, 0);
		await(() -> this.ledger.holdings().answers() > READ_AHEAD_BYTES / 2);
		await(() -> {
			this.stallClock.advance(Duration.ofSeconds(10));
			this.ledger.relieve();
			return this.ledger.answersGivenUp() == 1;
		});
		await(() -> isLogged("request.ended"));
		Truth.assertThat(this.ledger.holdings().answers()).isEqualTo(0);
		Truth.assertThat(isLogged("request.exchange_failed")).isFalse();
		Truth.assertThat(readRest(stalled)).isLessThan(STREAM_BYTES);
		Truth.assertThat(statusOf(send("GET /a/ok", 0, 0))).isEqualTo("200");
	}

	private static int readRest(Socket socket) throws IOException {
		try {
			return socket.getInputStream().readAllBytes().length;
		}
		catch (SocketException ex) {
			return 0;
		}
	}

	/**
	 * Guards against an endpoint that does not read and is flooded with bodies, and
	 * against requests that are lost instead of waiting until it has room.
	 */
	@Test
	@Timeout(TIMEOUT_SECONDS)
	void sendsNoMoreBodiesThanTheBoundToAnEndpointThatDoesNotRead() throws IOException {
		startListener(Long.MAX_VALUE);
		List<Socket> callers = new ArrayList<>();
		for (int number = 0; number < 8; number++) {
			callers.add(send("POST /a/unread", LIMIT, LIMIT));
		}
		await(() -> this.events.stream().filter((event) -> event.name().equals("request.waiting")).count() == 4);
		await(() -> this.receivedHeads.get() == ENDPOINT_BOUND / LIMIT);
		Truth.assertThat(this.bodies.largestSum()).isEqualTo(ENDPOINT_BOUND);
		Truth.assertThat(this.ledger.holdings().bodies()).isEqualTo(8 * LIMIT);
		this.reading.countDown();
		for (Socket caller : callers) {
			Truth.assertThat(statusOf(caller)).isEqualTo("200");
		}
		await(() -> this.bodies.largestSum() == 0 && this.ledger.holdings().bodies() == 0);
		Truth.assertThat(this.receivedHeads.get()).isEqualTo(8);
	}

	/** Identifies requests and marks endpoints as the tests of requests do. */
	private enum Protocol implements EndpointProtocol {

		INSTANCE;

		@Override
		public List<Header> requestHeaders(OutboundRequest outbound) {
			return List.of();
		}

		@Override
		public AnswerMetadata answerMetadata(AnswerHead head) {
			return new AnswerMetadata(head.header("Id"), false, false, head.header("Mark") != null, null, false, 0);
		}

	}

}

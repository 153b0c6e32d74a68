package org.masticshelf.serving.request;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.CopyOnWriteArrayList;

import com.google.common.truth.Truth;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.masticshelf.kernel.event.Event;
import org.masticshelf.kernel.serving.EngineProfile;
import org.masticshelf.kernel.serving.LoadableName;
import org.masticshelf.kernel.serving.ServedEndpoint;
import org.masticshelf.kernel.serving.ServedPool;
import org.masticshelf.kernel.serving.ServedRequest;
import org.masticshelf.kernel.serving.ServedRequest.Header;
import org.masticshelf.kernel.serving.ServedRoute;
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

/**
 * Tests {@link Forwarding} in a pool that is ordered by cost, with an engine of one slot.
 */
class OrderedForwardingTests {

	private static final long ENDLESS_TIMEOUT_SECONDS = 60;

	private static final String STREAM = "HTTP/1.1 200 OK\r\nId: r\r\nMark: e\r\nContent-Type: text/event-stream\r\n"
			+ "Transfer-Encoding: chunked\r\n\r\n7\r\nid: 1\n\n\r\n0\r\n\r\n";

	private final MonotonicClock clock = MonotonicClock.SystemClock.INSTANCE;

	private final EndpointDirectory directory = new EndpointDirectory(this.clock, this::log);

	private final EndpointLoads loads = new EndpointLoads(this.clock);

	private final EndpointConnections connections = new EndpointConnections(this.clock);

	private final PeerRegistry peers = new PeerRegistry(this.clock);

	private final WaitingRequests waitingRequests = new WaitingRequests(this.clock, () -> {
	});

	private final List<Event> events = new CopyOnWriteArrayList<>();

	private final ScriptedEndpoint endpoint;

	private final ServedEndpoint listed;

	OrderedForwardingTests() throws IOException {
		this.endpoint = new ScriptedEndpoint("e", STREAM, STREAM, STREAM);
		ServedEndpoint unbounded = this.endpoint.toEndpoint("m");
		this.listed = new ServedEndpoint("e", 1, "pool", unbounded.host(), unbounded.port(), "domain", 1, false,
				unbounded.holdings());
	}

	@BeforeEach
	void occupyTheSlot() {
		this.directory.replace(List.of(this.listed));
		this.loads.recordStart(this.listed, null, 0);
	}

	@AfterEach
	void close() throws IOException {
		this.endpoint.close();
	}

	private void log(Event event) {
		this.events.add(event);
	}

	private void freeTheSlot() {
		this.loads.recordEnd(this.listed, null, 0);
		this.waitingRequests.signal();
	}

	private static ServedRoute route(String name, int priority, long objective) {
		return new ServedRoute(name, "host", "/" + name + "/", ServedRoute.Execution.STREAM, 30_000, objective, 300,
				priority, 1, true, List.of(new ServedRoute.Target("pool", 1)));
	}

	private RequestContext context() {
		EngineProfile engine = new EngineProfile(1_000, 0, 1, 100_000, 1, Map.of());
		ServedTables tables = new ServedTables(1, List.of(route("urgent", 0, 10_000), route("deferrable", 2, 20_000)),
				Map.of("pool", new ServedPool("pool", 10, engine)), Map.of(), false,
				new ServedTables.Limits(1_000, 1_000));
		return new RequestContext(() -> tables, this.directory, this.loads, this.connections, Protocol.INSTANCE,
				new SharedGrants(this.clock), this.waitingRequests, new UnservedRequests(this.clock),
				new ModelRates(this.clock), new RetryBudgets(), this.peers,
				new EndpointLimits("self", this.clock, this::log, () -> {
				}), new RequestQuarantine(this.clock, this::log, () -> {
				}), "domain", new PlannedStop(this.clock, 8_000), new ServiceTimes(), this.clock,
				new ServingMetrics(new PrometheusRegistry()), this::log);
	}

	private Thread send(RequestContext context, String route, String model, RecordingCaller caller) {
		ServedRequest request = new ServedRequest("r", "POST", "/" + route + "/x", "host", null, 30_000,
				LoadableName.ofModel(model), 10, 10, "", List.of(), null, List.of(new Header("Id", "r")), new byte[0]);
		return Thread.startVirtualThread(() -> new Forwarding(context, request, caller, System.nanoTime()).run());
	}

	private void awaitWaiting(int count) {
		while (this.waitingRequests.size() < count) {
			Thread.onSpinWait();
		}
	}

	/**
	 * Guards against the race of all waiting requests for a free slot, against claimed
	 * slots that are not released, and against a request for a model that no engine holds
	 * which delays the others.
	 * @throws InterruptedException if the test is interrupted
	 */
	@Test
	@Timeout(ENDLESS_TIMEOUT_SECONDS)
	void slotsAreGivenInOrderAndReleased() throws InterruptedException {
		RequestContext context = context();
		RecordingCaller leaving = new RecordingCaller();
		Thread missing = send(context, "urgent", "missing", leaving);
		awaitWaiting(1);
		Thread deferrable = send(context, "deferrable", "m", new RecordingCaller());
		awaitWaiting(2);
		Thread urgent = send(context, "urgent", "m", new RecordingCaller());
		awaitWaiting(3);
		freeTheSlot();
		urgent.join();
		deferrable.join();
		leaving.disconnect();
		this.waitingRequests.signal();
		missing.join();
		Truth.assertThat(this.endpoint.heads().getFirst()).contains("/urgent/x");
		Truth.assertThat(this.endpoint.heads().getLast()).contains("/deferrable/x");
		Truth.assertThat(this.endpoint.heads()).hasSize(2);
		Truth.assertThat(this.loads.view(this.listed).own()).isEqualTo(0);
		Truth.assertThat(this.waitingRequests.size()).isEqualTo(0);
		Event waiting = this.events.stream().filter((event) -> event.name().equals("request.waiting")).toList().get(1);
		Truth.assertThat(waiting.field("position")).isEqualTo("0");
		Truth.assertThat(Long.parseLong(Objects.requireNonNull(waiting.field("slack_ms")))).isGreaterThan(1_000);
	}

	/**
	 * Guards against requests that wait until their limit although the requests of other
	 * daemons keep the slots busy, and against urgent ones that are refused for
	 * deferrable work elsewhere.
	 * @param route the route of the request
	 * @param peerPriority the priority of the requests that wait at a peer
	 * @param status the status for the caller
	 * @throws InterruptedException if the test is interrupted
	 */
	@ParameterizedTest
	@Timeout(ENDLESS_TIMEOUT_SECONDS)
	@CsvSource({ "deferrable, 0, 503", "urgent, 2, 200" })
	void requestThatCannotStartInTimeIsRefusedAtOnce(String route, int peerPriority, int status)
			throws InterruptedException {
		RequestContext context = context();
		freeTheSlot();
		send(context, "urgent", "m", new RecordingCaller()).join();
		for (int answer = 0; answer < 200; answer++) {
			this.waitingRequests.ordered().recordService("pool", 100, 1_000);
		}
		this.loads.recordStart(this.listed, null, 0);
		this.peers.receive(new PeerMessage("peer", "127.0.0.1:1", 1, Map.of(), Map.of(), List.of(), Map.of(), List.of(),
				null, Map.of(), null, List.of(new PeerMessage.QueuedWork("pool", peerPriority, true, 1_000, 1_000)),
				Map.of(), Map.of()));
		RecordingCaller caller = new RecordingCaller();
		Thread request = send(context, route, "m", caller);
		if (status == 200) {
			awaitWaiting(1);
			freeTheSlot();
		}
		request.join();
		Truth.assertThat(caller.status()).isEqualTo(status);
		Truth.assertThat(this.events.stream().anyMatch((event) -> event.name().equals("request.turned_away")))
			.isEqualTo(status == 503);
		Truth.assertThat(caller.hasHeader("Retry-After")).isEqualTo(status == 503);
		Truth.assertThat(this.waitingRequests.size()).isEqualTo(0);
	}

	/** The wire format of the scripted endpoint. */
	private enum Protocol implements EndpointProtocol {

		INSTANCE;

		@Override
		public List<Header> requestHeaders(OutboundRequest passage) {
			return List.of();
		}

		@Override
		public AnswerMetadata answerMetadata(AnswerHead head) {
			return new AnswerMetadata(head.header("Id"), false, false, head.header("Mark") != null, null, false, 0);
		}

	}

}

package org.masticshelf.serving.request;

import java.io.IOException;
import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Set;

import com.google.common.truth.Truth;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.masticshelf.kernel.event.Event;
import org.masticshelf.kernel.serving.ColdStart;
import org.masticshelf.kernel.serving.EvacuatedDomains;
import org.masticshelf.kernel.serving.Regions;
import org.masticshelf.kernel.serving.ServedEndpoint;
import org.masticshelf.kernel.serving.ServedPool;
import org.masticshelf.kernel.serving.ServedRequest;
import org.masticshelf.kernel.serving.ServedRequest.Header;
import org.masticshelf.kernel.serving.ServedRoute;
import org.masticshelf.kernel.serving.ServedRoute.Execution;
import org.masticshelf.kernel.serving.ServedTables;
import org.masticshelf.kernel.share.ColdBound;
import org.masticshelf.kernel.time.MonotonicClock;
import org.masticshelf.serving.endpoint.ColdEndpoints;
import org.masticshelf.serving.endpoint.EndpointDirectory;
import org.masticshelf.serving.endpoint.EndpointLimits;
import org.masticshelf.serving.endpoint.EndpointLoads;
import org.masticshelf.serving.endpoint.Evacuations;
import org.masticshelf.serving.grant.SharedGrants;
import org.masticshelf.serving.peer.PeerRegistry;
import org.masticshelf.serving.quarantine.RequestQuarantine;
import org.masticshelf.serving.upstream.EndpointConnections;
import org.masticshelf.serving.upstream.EndpointProtocol;
import org.masticshelf.transport.http.AnswerHead;

/**
 * Tests {@link Forwarding} where endpoints are evacuated or cold.
 */
class LimitedEndpointForwardingTests {

	private static final String OK_ANSWER = "HTTP/1.1 200 OK\r\nId: r\r\nMark: e\r\nContent-Length: 2\r\n\r\nok";

	private static final String COLD_ANSWER = OK_ANSWER.replace("Mark", "Cold: 5000\r\nMark");

	private static final String NOT_RUN = "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n";

	private static final String BROKEN_STREAM = "HTTP/1.1 200 OK\r\nId: r\r\nMark: e\r\n"
			+ "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\nd\r\nid: 1\ndata: x\n\r\n<close>";

	private final MonotonicClock.Manual clock = new MonotonicClock.Manual();

	private final List<Event> events = Collections.synchronizedList(new ArrayList<>());

	private final List<ScriptedEndpoint> scripted = new ArrayList<>();

	private final EndpointDirectory directory = new EndpointDirectory(this.clock, this.events::add);

	private final EndpointLoads loads = new EndpointLoads(this.clock);

	private final Evacuations evacuations = new Evacuations(this.directory, this.loads::requestsIn, this.clock,
			this.events::add);

	private ServedTables tables = tables(Execution.REPEATABLE);

	private final ColdEndpoints cold = new ColdEndpoints(new ColdEndpoints.Settings("self", ColdBound.DEFAULT),
			() -> this.tables, this.clock, InstantSource.system(), this.events::add, () -> {
			});

	private final RecordingCaller caller = new RecordingCaller();

	private static ServedTables tables(Execution execution) {
		return tables(execution, Set.of());
	}

	private static ServedTables tables(Execution execution, Set<String> regions) {
		ServedRoute route = new ServedRoute("route", "host", "/a/", execution, 2_000, 1_000, 300, 1, 3, true,
				List.of(new ServedRoute.Target("pool", 1)), regions);
		return new ServedTables(1, List.of(route),
				Map.of("pool", new ServedPool("pool", 10, null, new ColdStart(8_000, 2))), Map.of(), false,
				new ServedTables.Limits(1_000, 1_000));
	}

	@AfterEach
	void close() throws IOException {
		for (ScriptedEndpoint endpoint : this.scripted) {
			endpoint.close();
		}
	}

	private ServedEndpoint endpoint(String domain, String... script) throws IOException {
		ScriptedEndpoint endpoint = new ScriptedEndpoint("in-" + domain, script);
		this.scripted.add(endpoint);
		ServedEndpoint listening = endpoint.toEndpoint();
		return new ServedEndpoint(listening.identifier(), 1, "pool", listening.host(), listening.port(), domain, 8,
				false, ServedEndpoint.Holdings.NONE);
	}

	private void list(ServedEndpoint... endpoints) {
		this.cold.observe(List.of(endpoints));
		this.directory.replace(List.of(endpoints));
	}

	private int requestsAt(int index) {
		return this.scripted.get(index).heads().size();
	}

	private List<String> eventNames() {
		return this.events.stream().map(Event::name).toList();
	}

	private void send() {
		RequestContext context = new RequestContext(() -> this.tables, this.directory, this.loads,
				new EndpointConnections(this.clock), Protocol.INSTANCE, new SharedGrants(this.clock),
				new WaitingRequests(this.clock, () -> {
				}), new UnservedRequests(this.clock), new ModelRates(this.clock), new RetryBudgets(),
				new PeerRegistry(this.clock), new EndpointLimits("self", this.clock, this.events::add, () -> {
				}, this.cold), new RequestQuarantine(this.clock, this.events::add, () -> {
				}), "a", new PlannedStop(this.clock, 8_000), new ServiceTimes(), this.clock,
				new ServingMetrics(new PrometheusRegistry()), this.events::add);
		new Forwarding(context, new ServedRequest("r", "POST", "/a/b", "host", null, 2_000, null, 10, 10, "", List.of(),
				null, List.of(new Header("Id", "r")), new byte[] { 1 }), this.caller, System.nanoTime())
			.run();
	}

	private void evacuate(String domain) {
		this.evacuations.apply(new EvacuatedDomains(Map.of(domain, 1L)));
	}

	@Test
	void requestGoesToOtherFailureDomainThanTheEvacuatedOne() throws IOException {
		list(endpoint("a", OK_ANSWER), endpoint("b", OK_ANSWER));
		evacuate("a");
		send();
		Truth.assertThat(this.caller.status()).isEqualTo(200);
		Truth.assertThat(requestsAt(0)).isEqualTo(0);
	}

	/**
	 * Guards against a retry or a resumed stream that goes to a failure domain that was
	 * evacuated while the first endpoint had the request.
	 */
	@ParameterizedTest
	@CsvSource({ "REPEATABLE, false", "REPEATABLE, true", "RESUMABLE_STREAM, true" })
	void requestIsNotSentAgainIntoEvacuatedDomain(Execution execution, boolean broken) throws IOException {
		this.tables = tables(execution);
		String failure = !broken ? NOT_RUN : (execution.isStreamed() ? BROKEN_STREAM : "<close>");
		ServedEndpoint first = endpoint("a", failure, failure, failure);
		list(first, endpoint("b", OK_ANSWER));
		evacuate("b");
		send();
		Truth.assertThat(requestsAt(0)).isAtLeast(1);
		Truth.assertThat(requestsAt(1)).isEqualTo(0);
	}

	@Test
	void warmEndpointIsPreferredToColdOne() throws IOException {
		ServedEndpoint first = endpoint("a", OK_ANSWER);
		list(first, endpoint("b", OK_ANSWER));
		this.clock.advance(Duration.ofMillis(900));
		this.cold.round(() -> {
			throw new IllegalStateException("no gap");
		});
		this.cold.learn(first, 5_000);
		Truth.assertThat(this.cold.isCold(first)).isTrue();
		this.clock.advance(Duration.ofMillis(999));
		send();
		Truth.assertThat(requestsAt(0)).isEqualTo(0);
		Truth.assertThat(requestsAt(1)).isEqualTo(1);
		Truth.assertThat(eventNames()).doesNotContain("request.cold_limited");
	}

	@Test
	void endpointThatSaysInItsAnswerThatItIsColdGetsNoFurtherRequest() throws IOException {
		ServedEndpoint first = endpoint("a", COLD_ANSWER, OK_ANSWER);
		list(first);
		send();
		Truth.assertThat(this.caller.status()).isEqualTo(200);
		Truth.assertThat(this.cold.isCold(first)).isTrue();
		Truth.assertThat(eventNames()).contains("endpoint.cold");
	}

	@Test
	void requestThatTheColdLimitHoldsBackIsLoggedOnceAndRefused() throws IOException {
		ServedEndpoint only = endpoint("a", OK_ANSWER);
		list(only);
		this.cold.learn(only, 5_000);
		send();
		Truth.assertThat(this.caller.status()).isEqualTo(503);
		Truth.assertThat(requestsAt(0)).isEqualTo(0);
		Truth.assertThat(Collections.frequency(eventNames(), "request.cold_limited")).isEqualTo(1);
	}

	/**
	 * Guards against requests that leave their region, and against callers that are kept
	 * waiting although no endpoint can qualify.
	 * @param region the region that the route allows
	 * @param status the status for the caller
	 * @param first the requests that the endpoint in region x gets
	 */
	@ParameterizedTest
	@CsvSource({ "x, 200, 1", "y, 503, 0", "z, 503, 0" })
	void requestStaysInAllowedRegion(String region, int status, int first) throws IOException {
		this.tables = tables(Execution.REPEATABLE, Set.of(region));
		this.directory.setRegions(new Regions(Map.of("a", "x", "b", "y")));
		ServedEndpoint inOtherRegion = endpoint("b", NOT_RUN, NOT_RUN, NOT_RUN, NOT_RUN);
		list(inOtherRegion, endpoint("a", OK_ANSWER));
		send();
		Truth.assertThat(this.caller.status()).isEqualTo(status);
		Truth.assertThat(requestsAt(1)).isEqualTo(first);
		Truth.assertThat(requestsAt(0) > 0).isEqualTo(region.equals("y"));
		Truth.assertThat(eventNames().contains("request.outside_regions")).isEqualTo(region.equals("z"));
	}

	/** A wire format with short header names. */
	private enum Protocol implements EndpointProtocol {

		INSTANCE;

		@Override
		public List<Header> requestHeaders(OutboundRequest outbound) {
			return List.of();
		}

		@Override
		public AnswerMetadata answerMetadata(AnswerHead head) {
			String cold = head.header("Cold");
			return new AnswerMetadata(head.header("Id"), head.header("Not-Run") != null, false,
					head.header("Mark") != null, null, false, 0, (cold != null) ? Long.valueOf(cold) : null);
		}

	}

}

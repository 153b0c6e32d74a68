package org.masticshelf.serving.endpoint;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;

import com.google.common.truth.Truth;
import org.junit.jupiter.api.Test;

import org.masticshelf.kernel.event.Event;
import org.masticshelf.kernel.serving.EvacuatedDomains;
import org.masticshelf.kernel.serving.LoadableName;
import org.masticshelf.kernel.serving.ServedEndpoint;
import org.masticshelf.kernel.serving.ServedEndpoint.Holdings;
import org.masticshelf.kernel.time.MonotonicClock;
import org.masticshelf.serving.placement.EngineOrders;
import org.masticshelf.serving.placement.EngineOrders.OrderAnswer;
import org.masticshelf.serving.placement.EvacuationAwareOrders;

/**
 * Tests {@link Evacuations} and what they leave out of an {@link EndpointDirectory}.
 */
class EvacuationsTests {

	private static final LoadableName MODEL = LoadableName.ofModel("m");

	private final MonotonicClock.Manual clock = new MonotonicClock.Manual();

	private final List<Event> events = new ArrayList<>();

	private final EndpointDirectory directory = new EndpointDirectory(this.clock, (event) -> {
	});

	private final EndpointLoads loads = new EndpointLoads(this.clock);

	private final Evacuations evacuations = new Evacuations(this.directory, this.loads::requestsIn, this.clock,
			this.events::add);

	private final ServedEndpoint first = endpoint("e", "a");

	private final ServedEndpoint second = endpoint("f", "b");

	private static ServedEndpoint endpoint(String identifier, String domain) {
		return new ServedEndpoint(identifier, 1, "pool", "10.0.0.1", 80, domain, 8, false,
				new Holdings(Map.of("m", Set.of()), Set.of(), Set.of()));
	}

	private void evacuate(String... domains) {
		Map<String, Long> revisions = new HashMap<>();
		for (String domain : domains) {
			revisions.put(domain, 7L);
		}
		this.evacuations.apply(new EvacuatedDomains(revisions));
	}

	/**
	 * Guards against requests and orders to an evacuated failure domain: choices,
	 * retries, resumed streams and the placement find endpoints only in these ways.
	 */
	@Test
	void endpointsOfEvacuatedDomainAreNotFoundUntilItIsTakenBack() {
		AtomicInteger changes = new AtomicInteger();
		this.directory.replace(List.of(this.first, this.second));
		this.directory.addListener(changes::incrementAndGet);
		evacuate("a");
		Truth.assertThat(this.directory.inPool("pool")).containsExactly(this.second);
		Truth.assertThat(this.directory.holding("pool", MODEL)).containsExactly(this.second);
		Truth.assertThat(this.directory.find("e")).isNull();
		Truth.assertThat(this.directory.find("f")).isEqualTo(this.second);
		Truth.assertThat(changes.get()).isEqualTo(1);
		this.directory.replace(List.of(this.first, this.second, endpoint("g", "a")));
		Truth.assertThat(this.directory.inPool("pool")).containsExactly(this.second);
		evacuate();
		Truth.assertThat(this.directory.inPool("pool")).hasSize(3);
		Truth.assertThat(this.directory.find("e")).isEqualTo(this.first);
	}

	/**
	 * Guards against a daemon that stops serving callers because all endpoints that it
	 * knows are evacuated: readiness depends on the list.
	 */
	@Test
	void evacuatedEndpointsStayListed() {
		this.directory.replace(List.of(this.first));
		evacuate("a");
		Truth.assertThat(this.directory.isEmpty()).isFalse();
	}

	@Test
	void evacuationIsCompleteOnceNoRequestRunsThere() {
		this.directory.replace(List.of(this.first, this.second));
		this.loads.recordStart(this.first, MODEL, 10);
		this.loads.recordStart(this.second, MODEL, 10);
		evacuate("a");
		this.evacuations.round();
		Truth.assertThat(names()).containsExactly("evacuation.begun");
		this.directory.replace(List.of(this.second));
		this.evacuations.round();
		Truth.assertThat(names()).containsExactly("evacuation.begun");
		this.loads.recordEnd(this.first, MODEL, 10);
		this.clock.advance(Duration.ofMillis(1_200));
		this.evacuations.round();
		this.evacuations.round();
		evacuate();
		Truth.assertThat(names())
			.containsExactly("evacuation.begun", "evacuation.complete", "evacuation.ended")
			.inOrder();
		Truth.assertThat(this.events.get(1).field("revision")).isEqualTo("7");
		Truth.assertThat(this.events.get(1).field("age_ms")).isEqualTo("1200");
	}

	/**
	 * Guards against unlimited requests to endpoints that are found again before they
	 * count as cold.
	 */
	@Test
	void listenersLearnOfTakeBackBeforeEndpointsAreFound() {
		this.directory.replace(List.of(this.first, this.second));
		List<String> takenBack = new ArrayList<>();
		this.evacuations.addTakeBackListener((domain) -> takenBack.add(domain + this.directory.inPool("pool").size()));
		evacuate("a");
		evacuate();
		Truth.assertThat(takenBack).containsExactly("a1");
	}

	/** Guards against the later orders of a step that began before the evacuation. */
	@Test
	void engineInEvacuatedDomainGetsNoOrder() {
		List<String> ordered = new ArrayList<>();
		EngineOrders orders = new EvacuationAwareOrders(new EngineOrders() {
			@Override
			public CompletableFuture<OrderAnswer> order(ServedEndpoint endpoint, EngineOrder order) {
				ordered.add(endpoint.identifier());
				return CompletableFuture.completedFuture(OrderAnswer.ACCEPTED);
			}

			@Override
			public CompletableFuture<EngineReport> report(ServedEndpoint endpoint) {
				return CompletableFuture.failedFuture(new IllegalStateException("no report"));
			}
		}, this.evacuations::isEvacuated);
		EngineOrders.EngineOrder order = new EngineOrders.EngineOrder(true, MODEL, 0, "holder", 1);
		evacuate("a");
		Truth.assertThat(orders.order(this.first, order).join()).isEqualTo(OrderAnswer.EVACUATED);
		Truth.assertThat(orders.order(this.second, order).join()).isEqualTo(OrderAnswer.ACCEPTED);
		Truth.assertThat(ordered).containsExactly("f");
	}

	private List<String> names() {
		return this.events.stream().map(Event::name).toList();
	}

}

package org.masticshelf.serving.request;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;

import com.google.common.truth.Truth;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.masticshelf.kernel.event.Event;
import org.masticshelf.kernel.serving.ServedEndpoint;
import org.masticshelf.kernel.time.MonotonicClock;
import org.masticshelf.serving.caller.CallerMemory.AnswerAccount;
import org.masticshelf.serving.caller.CallerMemory.BodyAccount;
import org.masticshelf.serving.caller.CallerMemory.Decision;

/**
 * Tests {@link HeldBytesLedger} and {@link EndpointBodies}.
 */
class HeldBytesLedgerTests {

	private static final long LIMIT = 1_000;

	private final MonotonicClock.Manual clock = new MonotonicClock.Manual();

	private final List<Event> events = new ArrayList<>();

	private final HeldBytesLedger ledger = new HeldBytesLedger(LIMIT, this.clock, this.events::add);

	private BodyAccount accept(long bytes) {
		return ((Decision.Accepted) this.ledger.admit("r", bytes)).body();
	}

	private long held() {
		return this.ledger.holdings().bodies() + this.ledger.holdings().answers();
	}

	private long countEvents(String name) {
		return this.events.stream().filter((event) -> event.name().equals(name)).count();
	}

	/**
	 * Guards against counts that grow or shrink for ever, which disable the limit, and a
	 * median that leaves out bodies in chunks.
	 */
	@Test
	void countsEachByteOnceHoweverOftenAnAccountEnds() {
		BodyAccount announced = accept(100);
		BodyAccount chunked = accept(-1);
		chunked.add(30);
		AnswerAccount answer = this.ledger.openAnswer("r", () -> {
		});
		answer.add(50);
		answer.take(20);
		Truth.assertThat(held()).isEqualTo(160);
		List.<Runnable>of(announced::release, chunked::release, answer::release).forEach((release) -> {
			release.run();
			release.run();
		});
		answer.add(50);
		answer.take(20);
		chunked.add(30);
		Truth.assertThat(held()).isEqualTo(0);
		accept(0).release();
		accept(10).release();
		Truth.assertThat(this.ledger.holdings().medianBody()).isEqualTo(30);
	}

	/** Guards against a log line for each request while the memory is full. */
	@Test
	void refusesUntilBytesAreReleasedAndLogsEachChangeOnce() {
		BodyAccount large = accept(LIMIT + 1);
		for (int request = 0; request < 3; request++) {
			Truth.assertThat(this.ledger.admit("r", 0)).isInstanceOf(Decision.Refused.class);
		}
		large.release();
		accept(0);
		Truth.assertThat(this.ledger.refusals()).isEqualTo(3);
		Truth.assertThat(countEvents("request.refused")).isEqualTo(3);
		Truth.assertThat(countEvents("memory.level")).isEqualTo(2);
	}

	/**
	 * Guards against an answer that is given up early, and against a caller that waits
	 * for its endpoint and therefore counts as stalled.
	 * @param emptyMilliseconds how long nothing is queued for the caller
	 * @param stalledMilliseconds how long the caller takes nothing afterwards
	 * @param givenUp whether its answer is given up
	 */
	@ParameterizedTest
	@CsvSource({ "0, 9999, false", "0, 10000, true", "60000, 9999, false" })
	void givesUpAnAnswerOnceItsCallerTakesNothing(long emptyMilliseconds, long stalledMilliseconds, boolean givenUp) {
		List<String> disconnected = new ArrayList<>();
		AnswerAccount answer = this.ledger.openAnswer("r", () -> disconnected.add("r"));
		answer.add(10);
		answer.take(10);
		this.clock.advance(Duration.ofMillis(emptyMilliseconds));
		answer.add(LIMIT + 1);
		this.clock.advance(Duration.ofMillis(stalledMilliseconds));
		this.ledger.relieve();
		this.ledger.relieve();
		Truth.assertThat(disconnected).hasSize(givenUp ? 1 : 0);
		Truth.assertThat(held()).isEqualTo(givenUp ? 0 : LIMIT + 1);
	}

	@ParameterizedTest
	@CsvSource({ "100, 160, 26214400", "290, 160, 41943040" })
	void limitIsAQuarterOfTheSmallerOfHeapAndMemory(long memory, long heapMegabytes, long limit) {
		Truth.assertThat(HeldBytesLedger.limit(memory, heapMegabytes * 1024 * 1024)).isEqualTo(limit);
	}

	/** Guards against an endpoint that gets more bodies than it may hold. */
	@ParameterizedTest
	@CsvSource({ "600, 400, true", "600, 401, false", "0, 5000, true", "1000, 0, true" })
	void boundsTheBodiesOfEachEndpoint(long inProgress, long added, boolean begun) {
		EndpointBodies bodies = new EndpointBodies(1_000, this.events::add);
		ServedEndpoint endpoint = endpoint(1);
		Truth.assertThat(bodies.tryBegin(endpoint, inProgress)).isTrue();
		Truth.assertThat(bodies.tryBegin(endpoint, added)).isEqualTo(begun);
		Truth.assertThat(bodies.tryBegin(endpoint(2), added)).isTrue();
		bodies.end(endpoint, inProgress);
		Truth.assertThat(bodies.hasRoom(endpoint, 1)).isEqualTo(added < 1_000 || !begun);
		Truth.assertThat(countEvents("endpoint.bodies_full")).isEqualTo((begun && added < 1_000) ? 0 : 1);
	}

	private static ServedEndpoint endpoint(long startedAt) {
		return new ServedEndpoint("e", startedAt, "pool", "127.0.0.1", 1, "domain", 8, false,
				new ServedEndpoint.Holdings(Map.of(), Set.of(), Set.of()));
	}

}

package org.masticshelf.serving.endpoint;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import com.google.common.truth.Truth;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.masticshelf.kernel.event.Event;
import org.masticshelf.kernel.routing.PoolPaces;
import org.masticshelf.kernel.serving.ServedEndpoint;
import org.masticshelf.kernel.time.MonotonicClock;

/**
 * Tests {@link EndpointPaces} and {@link StreamSilence}.
 */
class EndpointPacesTests {

	private final MonotonicClock.Manual clock = new MonotonicClock.Manual();

	private final EndpointPaces paces = new EndpointPaces(this.clock);

	private final StreamSilence silence = new StreamSilence(this.clock);

	private final List<Event> events = new ArrayList<>();

	private static ServedEndpoint endpoint(String name) {
		return new ServedEndpoint(name, 1, "pool", "10.0.0.1", 80, "domain", 8, false, ServedEndpoint.Holdings.NONE);
	}

	private void observe(String name, double pace, int answers) {
		for (int answer = 0; answer < answers; answer++) {
			this.paces.recordFirstEvent(endpoint(name), Math.round(50 * pace), 1_000);
		}
	}

	private PoolPaces pool() {
		this.clock.advance(Duration.ofMillis(EndpointPaces.COMPARISON_MILLISECONDS));
		return this.paces.pool("pool", this.events::add);
	}

	/**
	 * Guards against a choice that changes although engines do not differ, or on too few
	 * answers.
	 * @param answers the answers of each engine
	 * @param pace the ratio of the time that one of them takes
	 * @param differ whether they count as different
	 */
	@ParameterizedTest
	@CsvSource({ "8, 1.6, true", "8, 0.6, true", "7, 1.6, false", "20, 1.2, false", "8, 1.0, false" })
	void enginesDifferByRatioOverEnoughAnswers(int answers, double pace, boolean differ) {
		observe("a", 1, answers);
		observe("b", 1, answers);
		observe("c", pace, answers);
		PoolPaces compared = pool();
		Truth.assertThat(compared.differ()).isEqualTo(differ);
		Truth.assertThat(compared.ratio("new")).isEqualTo(1.0);
		Truth.assertThat(compared.ratio("c") == 1).isEqualTo(!differ);
		Truth.assertThat(this.events.size()).isEqualTo(differ ? 1 : 0);
		this.clock.advance(Duration.ofSeconds(60));
		Truth.assertThat(pool()).isEqualTo(PoolPaces.NONE);
	}

	/**
	 * Guards against a spell of slowness that sticks, and against a lasting change that
	 * is not noticed.
	 * @param slowSteps how many tenths of a second an engine takes 2.5 times as long
	 * @param steps how many tenths of a second later it is looked at
	 * @param differ whether the engines count as different then
	 */
	@ParameterizedTest
	@CsvSource({ "6, 10, false", "50, 0, true", "50, 200, false" })
	void spellOfSlownessDoesNotStick(int slowSteps, int steps, boolean differ) {
		for (int step = 0; step < 100 + slowSteps + steps; step++) {
			observe("a", 1, 1);
			observe("b", 1, 1);
			observe("c", (step >= 100 && step < 100 + slowSteps) ? 2.5 : 1, 1);
			this.clock.advance(Duration.ofMillis(100));
		}
		Truth.assertThat(pool().differ()).isEqualTo(differ);
	}

	@Test
	void tellsDifferentEnginesThatWereObservedRecently() {
		List.of("a", "b", "c").forEach((name) -> observe(name, 1, 10));
		observe("slow", 1.67, 10);
		observe("few", 1.67, 3);
		Map<String, Integer> reports = this.paces.reports();
		Truth.assertThat(reports.keySet()).containsExactly("slow");
		Truth.assertThat(reports.get("slow")).isAtLeast(140);
		this.clock.advance(Duration.ofMillis(EndpointPaces.REPORT_MILLISECONDS + 1));
		Truth.assertThat(this.paces.reports()).isEmpty();
	}

	@Test
	void messageHoldsMostDifferentEngines() {
		for (int index = 0; index < 300; index++) {
			observe("e" + index, (index < 200) ? 1 : 1.5 + index / 300.0, 8);
		}
		Map<String, Integer> reports = this.paces.reports();
		Truth.assertThat(reports).hasSize(EndpointPaces.MAXIMUM_REPORTS);
		Truth.assertThat(reports.keySet()).contains("e299");
	}

	/**
	 * What peers tell counts where few own answers are, for 3 s, and only if it can be
	 * right.
	 * @param hundredths the ratio that two peers tell
	 * @param ageMilliseconds how long ago
	 * @param applied whether it counts
	 */
	@ParameterizedTest
	@CsvSource({ "170, 0, true", "170, 2000, true", "170, 4000, false", "0, 0, false", "-170, 0, false",
			"100000, 0, false" })
	void ratiosOfPeersCount(int hundredths, long ageMilliseconds, boolean applied) {
		for (String peer : List.of("peer", "other")) {
			this.paces.merge(peer, Map.of("slow", hundredths), EndpointPacesTests::endpoint, this.events::add);
			this.paces.merge(peer, Map.of("unlisted", 170), (identifier) -> null, this.events::add);
		}
		Truth.assertThat(this.events.size()).isEqualTo((hundredths < 10 || hundredths > 1_000) ? 2 : 0);
		this.clock.advance(Duration.ofMillis(ageMilliseconds));
		observe("a", 1, 8);
		observe("b", 1, 8);
		PoolPaces compared = pool();
		Truth.assertThat(compared.differ()).isEqualTo(applied);
		Truth.assertThat(compared.ratio("slow") > 1.3).isEqualTo(applied);
		Truth.assertThat(compared.ratio("unlisted")).isEqualTo(1.0);
		Truth.assertThat(this.paces.reports()).isEmpty();
	}

	/**
	 * Guards against requests to an engine whose streams all pause, and against one that
	 * gets none because of one stream of many or after its streams have ended.
	 */
	@Test
	void engineIsSilentOnlyWhileAllAwaitedStreamsPause() {
		ServedEndpoint endpoint = endpoint("e");
		Truth.assertThat(this.silence.observe(endpoint, this.events::add)).isFalse();
		this.silence.recordAwaiting(endpoint, 300);
		this.silence.recordAwaiting(endpoint, 300);
		this.clock.advance(Duration.ofMillis(200));
		this.silence.recordAwaited(endpoint, true);
		this.clock.advance(Duration.ofMillis(300));
		Truth.assertThat(this.silence.observe(endpoint, this.events::add)).isFalse();
		this.clock.advance(Duration.ofMillis(1));
		Truth.assertThat(this.silence.observe(endpoint, this.events::add)).isTrue();
		Truth.assertThat(this.silence.size()).isEqualTo(1);
		this.silence.recordAwaited(endpoint, false);
		Truth.assertThat(this.silence.observe(endpoint, this.events::add)).isFalse();
		Truth.assertThat(this.events.stream().map(Event::name).toList())
			.containsExactly("endpoint.silent", "endpoint.heard")
			.inOrder();
		Truth.assertThat(this.silence.size()).isEqualTo(0);
	}

}

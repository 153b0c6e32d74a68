package org.masticshelf.kernel.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;

import com.google.common.truth.Truth;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.masticshelf.kernel.configuration.Pool;
import org.masticshelf.kernel.refusal.Refusal;

class RouterTests {

	private static final long NANOSECONDS_PER_SECOND = 1_000_000_000L;

	private static final int SLOTS = 8;

	private final EndpointTracker tracker = new EndpointTracker();

	private final PrefixHints hints = new PrefixHints();

	private final Router router = new Router("a", (domain) -> 1_500_000, this.hints, new Random(1));

	@Property(tries = 300, seed = "5")
	void neverEjectsMoreThanMaximumShare(@ForAll @IntRange(min = 1, max = 12) int size, @ForAll long seed) {
		EndpointTracker testedTracker = new EndpointTracker();
		List<Pool.Endpoint> endpoints = endpoints(size);
		testedTracker.update(endpoints);
		Random random = new Random(seed);
		long now = 0;
		for (int step = 0; step < 200; step++) {
			now += random.nextLong(NANOSECONDS_PER_SECOND);
			testedTracker.recordFailure(endpoints.get(random.nextInt(size)).identifier(), now);
			long current = now;
			long ejected = endpoints.stream()
				.filter((endpoint) -> testedTracker.isEjected(endpoint.identifier(), current))
				.count();
			Truth.assertThat(ejected).isAtMost(Math.min(size - 1, Math.max(1, size * 34 / 100)));
		}
	}

	@Test
	void avoidsEndpointWhileItIsEjected() {
		List<String> names = addEndpoints(3);
		eject("e0", 0);
		Truth.assertThat(countChoices(names, NANOSECONDS_PER_SECOND)).doesNotContainKey("e0");
		Truth.assertThat(countChoices(names, 20 * NANOSECONDS_PER_SECOND)).containsKey("e0");
	}

	@Test
	void ejectionDurationDoubles() {
		addEndpoints(3);
		eject("e0", 0);
		eject("e0", 3 * NANOSECONDS_PER_SECOND);
		Truth.assertThat(this.tracker.isEjected("e0", 6 * NANOSECONDS_PER_SECOND)).isTrue();
		Truth.assertThat(this.tracker.isEjected("e0", 8 * NANOSECONDS_PER_SECOND)).isFalse();
	}

	@Test
	void startsSlowlyAfterEjection() {
		List<String> names = addEndpoints(3);
		eject("e0", 0);
		int soon = countChoices(names, 3 * NANOSECONDS_PER_SECOND).getOrDefault("e0", 0);
		int later = countChoices(names, 30 * NANOSECONDS_PER_SECOND).getOrDefault("e0", 0);
		Truth.assertThat(soon).isLessThan(later / 2);
	}

	@Test
	void triesEjectedEndpointIfAllHoldersAreEjected() {
		addEndpoints(3);
		eject("e0", 0);
		RouteDecision decision = this.router.choose(this.tracker, RoutingRequest.among(Set.of("e0")), 1);
		Truth.assertThat(((RouteDecision.Chosen) decision).reason()).isEqualTo(RouteDecision.Reason.LAST_RESORT);
	}

	@Test
	void neverChoosesLeavingEndpoint() {
		addEndpoints(2);
		this.tracker.setLeaving("e0", true);
		Truth.assertThat(countChoices(List.of("e0", "e1"), 0)).doesNotContainKey("e0");
		RouteDecision decision = this.router.choose(this.tracker, RoutingRequest.among(Set.of("e0")), 0);
		Truth.assertThat(((RouteDecision.None) decision).reason()).isEqualTo(Refusal.Reason.NO_ENDPOINT);
	}

	@Test
	void avoidsExcludedEndpointIfThereAreOthers() {
		addEndpoints(2);
		RoutingRequest both = RoutingRequest.among(Set.of("e0", "e1")).excluding(Set.of("e0"));
		RoutingRequest only = RoutingRequest.among(Set.of("e0")).excluding(Set.of("e0"));
		Truth.assertThat(choose(both, 0)).isEqualTo("e1");
		Truth.assertThat(choose(only, 0)).isEqualTo("e0");
	}

	@ParameterizedTest
	@CsvSource({ "0, 8, ENDPOINTS_FULL", "0, 7, e0", "6, 8, e0" })
	void reportedLoadCountsUnlessReportIsOld(long ageSeconds, int load, String expected) {
		addEndpoints(1);
		this.tracker.recordReport("e0", load, 0, this.tracker.mark("e0", 0));
		RouteDecision decision = this.router.choose(this.tracker, RoutingRequest.among(Set.of("e0")),
				ageSeconds * NANOSECONDS_PER_SECOND);
		String seen = switch (decision) {
			case RouteDecision.Chosen chosen -> chosen.endpoint().identifier();
			case RouteDecision.None none -> none.reason().name();
		};
		Truth.assertThat(seen).isEqualTo(expected);
	}

	@Test
	void countsOwnRequestsSinceReport() {
		addEndpoints(1);
		EndpointTracker.ReportMark mark = this.tracker.mark("e0", 0);
		this.tracker.recordStart("e0");
		this.tracker.recordReport("e0", 4, 1, mark);
		this.tracker.recordStart("e0");
		Truth.assertThat(this.tracker.effectiveLoad("e0", 1)).isEqualTo(7);
		this.tracker.recordSuccess("e0", 1, 1);
		Truth.assertThat(this.tracker.effectiveLoad("e0", 1)).isEqualTo(6);
	}

	@Test
	void spreadsBurstBetweenTwoReports() {
		List<String> names = addEndpoints(4);
		names.forEach((name) -> this.tracker.recordReport(name, 0, 0, this.tracker.mark(name, 0)));
		for (int index = 0; index < 16; index++) {
			this.tracker.recordStart(choose(RoutingRequest.among(Set.copyOf(names)), 1));
		}
		List<Integer> loads = names.stream().map((name) -> this.tracker.effectiveLoad(name, 1)).toList();
		Truth.assertThat(loads.stream().mapToInt(Integer::intValue).max().orElse(0)).isAtMost(6);
	}

	@Test
	void staysInOwnDomainAtEqualLoadAndSpillsOverUnderLoad() {
		this.tracker.update(List.of(endpoint("e0", "a"), endpoint("e1", "b")));
		RoutingRequest both = RoutingRequest.among(Set.of("e0", "e1"));
		Truth.assertThat(choose(both, 0)).isEqualTo("e0");
		for (int index = 0; index < SLOTS / 2; index++) {
			this.tracker.recordStart("e0");
		}
		Truth.assertThat(choose(both, 0)).isEqualTo("e1");
	}

	@Test
	void prefixKeepsItsEndpointWithinLoadBound() {
		Set<String> names = Set.copyOf(addEndpoints(4));
		RoutingRequest request = RoutingRequest.among(names).withPrefix(42);
		String preferred = choose(request, 0);
		Truth.assertThat(choose(request, 0)).isEqualTo(preferred);
		for (int index = 0; index < SLOTS - 1; index++) {
			this.tracker.recordStart(preferred);
		}
		Truth.assertThat(choose(request, 0)).isNotEqualTo(preferred);
	}

	@ParameterizedTest
	@CsvSource({ "2, false, true", "3, false, false", "1, false, true", "2, true, true" })
	void gapInCacheEventsDropsHints(long nextSequence, boolean delayed, boolean kept) {
		this.hints.recordCacheEvent("e1", 1, 42, true, 0);
		this.hints.recordCacheEvent("e1", nextSequence, 43, true, delayed ? 1 : 0);
		Truth.assertThat(this.hints.holderOf(42, 1) != null).isEqualTo(kept);
	}

	private List<String> addEndpoints(int size) {
		List<Pool.Endpoint> endpoints = endpoints(size);
		this.tracker.update(endpoints);
		return endpoints.stream().map(Pool.Endpoint::identifier).collect(Collectors.toCollection(ArrayList::new));
	}

	private static List<Pool.Endpoint> endpoints(int size) {
		List<Pool.Endpoint> endpoints = new ArrayList<>();
		for (int index = 0; index < size; index++) {
			endpoints.add(endpoint("e" + index, "a"));
		}
		return endpoints;
	}

	private static Pool.Endpoint endpoint(String identifier, String domain) {
		return new Pool.Endpoint(identifier, "127.0.0.1:1", domain, 0, SLOTS, false);
	}

	private void eject(String identifier, long now) {
		boolean ejected = false;
		for (int index = 0; index < 3; index++) {
			ejected = this.tracker.recordFailure(identifier, now);
		}
		Truth.assertThat(ejected).isTrue();
	}

	private Map<String, Integer> countChoices(List<String> names, long now) {
		Map<String, Integer> counts = new HashMap<>();
		for (int index = 0; index < 200; index++) {
			counts.merge(choose(RoutingRequest.among(Set.copyOf(names)), now), 1, Integer::sum);
		}
		return counts;
	}

	private String choose(RoutingRequest request, long now) {
		RouteDecision decision = this.router.choose(this.tracker, request, now);
		return ((RouteDecision.Chosen) decision).endpoint().identifier();
	}

}

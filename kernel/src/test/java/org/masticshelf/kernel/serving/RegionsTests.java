package org.masticshelf.kernel.serving;

import java.util.List;
import java.util.Map;
import java.util.Set;

import com.google.common.truth.Truth;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Tests {@link Regions}.
 */
class RegionsTests {

	private static final Regions REGIONS = new Regions(Map.of("a1", "a", "a2", "a", "b1", "b"));

	private static Set<String> set(@Nullable String names) {
		return (names != null) ? Set.of(names.split(" ")) : Set.of();
	}

	private static ServedRoute route(@Nullable String regions) {
		return new ServedRoute("r", "h", "/", ServedRoute.Execution.REPEATABLE, 1, 1, 0, 0, 1, true,
				List.of(new ServedRoute.Target("pool", 1)), set(regions));
	}

	/**
	 * Guards against requests that leave the regions that their route and organisation
	 * allow.
	 * @param domain the failure domain of the endpoint
	 * @param byRoute the regions that the route names, separated by spaces
	 * @param byOrganisation the regions that the organisation names
	 * @param allowed whether the endpoint may serve the request
	 */
	@ParameterizedTest
	@CsvSource({ "a1, , , true", "a1, a, , true", "a2, a b, , true", "b1, a, , false", "b1, , a, false",
			"b1, , b, true", "a1, a b, b, false", "b1, a b, b, true", "unknown, a, , false", "unknown, , , true",
			"a1, c, , false" })
	void routeAndOrganisationBothBind(String domain, @Nullable String byRoute, @Nullable String byOrganisation,
			boolean allowed) {
		ServedOrganisation organisation = new ServedOrganisation("o", null, false, 0, 0, 1, set(byOrganisation));
		Truth.assertThat(REGIONS.allow(domain, route(byRoute), organisation)).isEqualTo(allowed);
		if (byOrganisation == null) {
			Truth.assertThat(REGIONS.allow(domain, route(byRoute), null)).isEqualTo(allowed);
		}
	}

	@Test
	void nothingIsRestrictedWithoutMapping() {
		Truth.assertThat(Regions.NONE.allow("a1", route("b"), null)).isTrue();
		Truth.assertThat(Regions.NONE.restrict(route("b"), null)).isFalse();
	}

}

package org.masticshelf.serving.endpoint;

import java.time.Duration;
import java.util.Map;
import java.util.Set;

import com.google.common.truth.Truth;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.masticshelf.kernel.serving.LoadableName;
import org.masticshelf.kernel.serving.ServedEndpoint;
import org.masticshelf.kernel.time.MonotonicClock;

/**
 * Tests {@link EndpointLoads}.
 */
class EndpointLoadsTests {

	private final MonotonicClock.Manual clock = new MonotonicClock.Manual();

	private final EndpointLoads loads = new EndpointLoads(this.clock);

	private final ServedEndpoint endpoint = new ServedEndpoint("e", 1, "pool", "10.0.0.1", 80, "domain", 8, false,
			ServedEndpoint.Holdings.NONE);

	@ParameterizedTest
	@CsvSource({ "1, 500", "2, 1000", "3, 2000", "5, 8000", "20, 8000" })
	void ejectionGrowsWithEachConsecutiveFailure(int failures, long milliseconds) {
		for (int failure = 0; failure < failures; failure++) {
			this.loads.recordFailure(this.endpoint);
		}
		this.clock.advance(Duration.ofMillis(milliseconds - 1));
		Truth.assertThat(this.loads.view(this.endpoint).ejected()).isTrue();
		this.clock.advance(Duration.ofMillis(1));
		Truth.assertThat(this.loads.view(this.endpoint).ejected()).isFalse();
	}

	@Test
	void onlyConsecutiveTimeoutsEjectEndpoint() {
		Truth.assertThat(this.loads.recordTimeout(this.endpoint)).isEqualTo(0);
		this.loads.recordAnswer(this.endpoint, true);
		Truth.assertThat(this.loads.recordTimeout(this.endpoint)).isEqualTo(0);
		Truth.assertThat(this.loads.recordTimeout(this.endpoint)).isGreaterThan(0);
	}

	@Test
	void failingEndpointIsPenalised() {
		for (int answer = 0; answer < 20; answer++) {
			this.loads.recordAnswer(this.endpoint, answer % 2 == 0);
		}
		Truth.assertThat(this.loads.view(this.endpoint).penalty()).isGreaterThan(1.0);
	}

	@Test
	void endpointInSilentDomainIsPenalised() {
		Truth.assertThat(this.loads.setSilentDomains(Set.of("domain"))).isTrue();
		Truth.assertThat(this.loads.isInSilentDomain(this.endpoint)).isTrue();
		Truth.assertThat(this.loads.view(this.endpoint).penalty()).isAtLeast(10.0);
	}

	@Test
	void countsRequestsOfThisDaemonAndItsPeers() {
		this.loads.recordStart(this.endpoint, LoadableName.parse("m/a1"), 100);
		this.loads.recordStart(this.endpoint, LoadableName.parse("m/a1"), 50);
		this.loads.setPeerRequests(Map.of("e", Map.of("m", 3)));
		EndpointLoads.View view = this.loads.view(this.endpoint);
		Truth.assertThat(view.own()).isEqualTo(2);
		Truth.assertThat(view.elsewhere()).isEqualTo(3);
		Truth.assertThat(view.ownTokens()).isEqualTo(150);
		Truth.assertThat(this.loads.runningRequests()).containsExactly("e", Map.of("m/a1", 2));
		this.loads.recordEnd(this.endpoint, LoadableName.parse("m/a1"), 100);
		this.loads.recordEnd(this.endpoint, LoadableName.parse("m/a1"), 50);
		Truth.assertThat(this.loads.runningRequests()).isEmpty();
	}

}

package org.masticshelf.control.duty;

import java.time.Duration;

import com.google.common.truth.Truth;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.masticshelf.kernel.time.MonotonicClock;
import org.masticshelf.standins.keyvalue.InMemoryKeyValue;

/**
 * Tests {@link DaemonLease}.
 */
class DaemonLeaseTests {

	private static final Duration TIME_TO_LIVE = Duration.ofSeconds(3);

	private static final Duration SECOND = Duration.ofSeconds(1);

	private final MonotonicClock.Manual clock = new MonotonicClock.Manual();

	private final InMemoryKeyValue store = new InMemoryKeyValue(this.clock);

	private final InMemoryKeyValue.Client client = this.store.client();

	private final DaemonLease lease = DaemonLease.resuming(this.client, this.clock, TIME_TO_LIVE, (event) -> {
	});

	/**
	 * The service is unreachable for longer than a lease lives, and either keeps the
	 * lease meanwhile or lets it expire.
	 */
	@ParameterizedTest
	@CsvSource({ "true, true", "false, false" })
	void resumesIfTheServiceStillKnowsTheLease(boolean kept, boolean resumed) {
		this.lease.round();
		long before = this.lease.heldIdentifier();
		Truth.assertThat(before).isNotEqualTo(0);
		this.client.faults().setDown(true);
		for (int second = 0; second < 5; second++) {
			this.clock.advance(SECOND);
			if (kept) {
				this.store.keepAlive(before).join();
			}
			this.lease.round();
		}
		Truth.assertThat(this.lease.heldIdentifier()).isEqualTo(0);
		this.client.faults().setDown(false);
		for (int round = 0; round < 2; round++) {
			this.clock.advance(SECOND);
			this.lease.round();
		}
		Truth.assertThat(this.lease.heldIdentifier()).isNotEqualTo(0);
		Truth.assertThat(this.lease.heldIdentifier() == before).isEqualTo(resumed);
	}

}

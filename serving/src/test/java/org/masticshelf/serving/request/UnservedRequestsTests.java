package org.masticshelf.serving.request;

import java.time.Duration;

import com.google.common.truth.Truth;
import org.junit.jupiter.api.Test;

import org.masticshelf.kernel.serving.LoadableName;
import org.masticshelf.kernel.time.MonotonicClock;
import org.masticshelf.serving.peer.PeerMessage;

/**
 * Tests {@link UnservedRequests}.
 */
class UnservedRequestsTests {

	private static final LoadableName MODEL = LoadableName.ofModel("m");

	private final MonotonicClock.Manual clock = new MonotonicClock.Manual();

	private final UnservedRequests unserved = new UnservedRequests(this.clock);

	@Test
	void countsUntilOneIsServed() {
		this.unserved.recordUnserved("pool", MODEL);
		this.clock.advance(Duration.ofMillis(3_000));
		this.unserved.recordUnserved("pool", MODEL);
		this.clock.advance(Duration.ofMillis(500));
		Truth.assertThat(this.unserved.summary()).containsExactly(new PeerMessage.Unserved("pool", "m", 2, 3_500, 500));
		this.unserved.recordServed("pool", MODEL);
		Truth.assertThat(this.unserved.summary()).isEmpty();
	}

	@Test
	void forgetsWhatIsNoLongerRequested() {
		this.unserved.recordUnserved("pool", MODEL);
		this.clock.advance(Duration.ofMillis(UnservedRequests.RETENTION_MILLISECONDS + 1));
		Truth.assertThat(this.unserved.summary()).isEmpty();
	}

	@Test
	void keepsAndTellsBoundedNumbersThoseRequestedMost() {
		for (int index = 0; index <= UnservedRequests.MAXIMUM_ENTRIES; index++) {
			this.unserved.recordUnserved("pool", LoadableName.ofModel("m" + index));
			this.clock.advance(Duration.ofMillis(1));
		}
		this.unserved.recordUnserved("pool", LoadableName.ofModel("m0"));
		this.unserved.recordUnserved("pool", LoadableName.ofModel("m7"));
		Truth.assertThat(this.unserved.summary()).hasSize(UnservedRequests.MAXIMUM_SUMMARY);
		Truth.assertThat(this.unserved.summary().getFirst().loadable()).isEqualTo("m7");
	}

}

package org.masticshelf.control.view;

import java.time.Duration;
import java.util.List;

import com.google.common.truth.Truth;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import org.masticshelf.kernel.port.KeyValueStore;
import org.masticshelf.kernel.port.KeyValueStore.Operation;
import org.masticshelf.kernel.time.MonotonicClock;
import org.masticshelf.standins.keyvalue.InMemoryKeyValue;
import org.masticshelf.standins.peer.InMemoryPeers;

/**
 * Tests {@link PrefixView}.
 */
class PrefixViewTests {

	private static final String KEY = "prefix/key";

	private static final Duration ROUND = Duration.ofMillis(500);

	/**
	 * A copy may be five seconds old before the service is asked again; this is a little
	 * longer, in rounds.
	 */
	private static final int ROUNDS_UNTIL_LEARNT = 12;

	private final MonotonicClock.Manual clock = new MonotonicClock.Manual();

	private final InMemoryKeyValue store = new InMemoryKeyValue(this.clock);

	private final InMemoryPeers peers = new InMemoryPeers();

	private final PrefixView first = view("127.0.0.1:1", "127.0.0.1:2");

	private final PrefixView second = view("127.0.0.1:2", "127.0.0.1:1");

	private PrefixView view(String own, String other) {
		return new PrefixView(this.store.client(), this.peers.join(own), this.clock, "prefix/", () -> false,
				() -> List.of(other));
	}

	private void runRounds(int count) {
		for (int number = 0; number < count; number++) {
			this.first.round();
			this.second.round();
			this.clock.advance(ROUND);
		}
	}

	/**
	 * Guards against two peers that keep passing each other a stale copy. This happens
	 * after an outage of the service has ended the duties of the relays, so that no
	 * daemon watches the service.
	 */
	@ParameterizedTest
	@ValueSource(ints = { 0, 1, 3, 7 })
	void peersDoNotKeepRefreshingEachOthersStaleCopy(int roundsApart) {
		this.store.transact(new KeyValueStore.Transaction(List.of(), List.of(new Operation.Put(KEY, "value", 0))))
			.join();
		for (int number = 0; number < roundsApart; number++) {
			this.first.round();
			this.clock.advance(ROUND);
		}
		runRounds(ROUNDS_UNTIL_LEARNT);
		Truth.assertThat(this.first.find(KEY)).isNotNull();
		this.store.transact(new KeyValueStore.Transaction(List.of(), List.of(new Operation.Delete(KEY)))).join();
		runRounds(ROUNDS_UNTIL_LEARNT);
		Truth.assertThat(this.first.find(KEY)).isNull();
		Truth.assertThat(this.second.find(KEY)).isNull();
	}

	/**
	 * The service refuses the list with which a broken watch begins again.
	 */
	@Test
	void failedListIsRepeatedWithinASecond() {
		PrefixView view = PrefixView.watching(this.store, this.clock, "prefix/", Duration.ofSeconds(30));
		view.round();
		write(new Operation.Put(KEY, "value", 0));
		this.store.faults().setDown(true);
		view.round();
		this.store.faults().setDown(false);
		write(new Operation.Delete(KEY));
		this.clock.advance(Duration.ofSeconds(1));
		view.round();
		Truth.assertThat(view.entries()).isEmpty();
	}

	private void write(Operation operation) {
		this.store.transact(new KeyValueStore.Transaction(List.of(), List.of(operation))).join();
	}

}

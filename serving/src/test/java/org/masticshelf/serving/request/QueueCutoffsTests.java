package org.masticshelf.serving.request;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import com.google.common.truth.Truth;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.masticshelf.kernel.admission.WaitingOrder;
import org.masticshelf.kernel.serving.ServedEndpoint;
import org.masticshelf.kernel.serving.ServedEndpoint.Holdings;
import org.masticshelf.kernel.time.MonotonicClock;
import org.masticshelf.serving.peer.PeerMessage;
import org.masticshelf.serving.peer.PeerMessage.QueuedWork;
import org.masticshelf.serving.peer.PeerRegistry;
import org.masticshelf.serving.request.QueueCutoffs.Inputs;
import org.masticshelf.serving.request.QueueCutoffs.Verdict;

/**
 * Tests {@link QueueCutoffs}, the summary that peers get, and the room that is kept.
 */
class QueueCutoffsTests {

	private final MonotonicClock.Manual clock = new MonotonicClock.Manual();

	private final PeerRegistry peers = new PeerRegistry(this.clock);

	private final QueueCutoffs cutoffs = new QueueCutoffs(this.clock);

	private void hear(String peer, QueuedWork... queued) {
		this.peers.receive(new PeerMessage(peer, "127.0.0.1:1", 1, Map.of(), Map.of(), List.of(), Map.of(), List.of(),
				null, Map.of(), null, List.of(queued), Map.of(), Map.of()));
	}

	private Verdict decide(int priority, long slack, int ahead) {
		WaitingOrder.Waiting waiting = new WaitingOrder.Waiting(priority, 0, slack, 4_000, 0, 100, 1);
		QueuedTurn.Place place = new QueuedTurn.Place(WaitingOrder.rank(waiting, 0, 0), ahead, 0, slack, 1_000);
		return this.cutoffs.decide(this.peers, new Inputs("pool", place, 10, 0.5, 4_000, false));
	}

	/**
	 * Guards against urgent requests that are refused while other daemons serve
	 * deferrable ones, and against requests that are admitted although those of other
	 * daemons keep the slots busy.
	 */
	@ParameterizedTest
	@CsvSource({ "0, 1000, true, 100", "1, 1000, true, 2600", "2, 8000, false, 10100", "0, -1, false, 15100" })
	void countsWhatRanksBeforeAtOtherDaemons(int priority, long slack, boolean admitted, long expected) {
		hear("a", new QueuedWork("pool", 1, true, 100, 10_000), new QueuedWork("other", 0, true, 900, 1));
		hear("b", new QueuedWork("pool", 2, true, 200, 20_000), new QueuedWork("pool", 1, false, 0, 0));
		Verdict verdict = decide(priority, slack, 0);
		Truth.assertThat(verdict.admitted()).isEqualTo(admitted);
		Truth.assertThat(verdict.expectedMilliseconds()).isEqualTo(expected);
		Truth.assertThat(verdict.retryAfterMilliseconds()).isAtLeast(admitted ? 0 : expected);
	}

	/** Guards against decisions by messages of peers that are silent. */
	@ParameterizedTest
	@CsvSource({ "1400, false, 1400", "1600, true, -1" })
	void forgetsSilentPeers(long silence, boolean admitted, long age) {
		hear("a", new QueuedWork("pool", 0, true, 1_000, 10_000));
		this.clock.advance(Duration.ofMillis(silence));
		Verdict verdict = decide(1, 1_000, 0);
		Truth.assertThat(verdict.admitted()).isEqualTo(admitted);
		Truth.assertThat(verdict.peersAgeMilliseconds()).isEqualTo(age);
	}

	/** Guards against callers that are told to return at the same moment. */
	@Test
	void callersThatAreTurnedAwayReturnAtDifferentMoments() {
		Set<Long> returns = new HashSet<>();
		for (int caller = 0; caller < 20; caller++) {
			Verdict verdict = decide(1, 1_000, 100);
			Truth.assertThat(verdict.admitted()).isFalse();
			Truth.assertThat(returns.add(verdict.retryAfterMilliseconds())).isTrue();
		}
	}

	/**
	 * Guards against messages that grow with requests or priorities, and against requests
	 * for models that no engine holds, which take no slot.
	 */
	@Test
	void summaryIsBoundedAndHasOnlyRequestsThatWaitForSlots() {
		OrderedRequests requests = new OrderedRequests(this.clock);
		for (int number = 0; number < 40; number++) {
			QueuedTurn turn = requests.create("pool", new NoSlot(), new QueuedTurn.Needs("m" + number, "", number / 2,
					0, (number % 2 == 0) ? 1_000 : 100, true, 4_000, 10));
			Truth.assertThat(requests.take(turn)).isNull();
			requests.recordWaitsForSlot(turn, number >= 4);
		}
		List<QueuedWork> summary = requests.summary();
		Truth.assertThat(summary).hasSize(PoolQueue.MAXIMUM_KINDS);
		Truth.assertThat(summary.stream().mapToInt(QueuedWork::count).sum()).isEqualTo(36);
		Truth.assertThat(summary).contains(new QueuedWork("pool", 2, true, 1, 10));
		Truth.assertThat(summary).contains(new QueuedWork("pool", 5, false, 15, 150));
	}

	/**
	 * Guards against bursts of deferrable requests that take all slots while urgent ones
	 * arrive, and against slots that stay free when none does.
	 */
	@ParameterizedTest
	@CsvSource({ "m, 64, 0, 8", "m, 32, 2000, 4", "m, 3, 0, 1", "m, 1, 0, 0", "m, 32, 2001, 0", "other, 32, 0, 0" })
	void keepsRoomWhileUrgentRequestsArrive(String model, int slots, long ago, int kept) {
		UrgentArrivals arrivals = new UrgentArrivals(this.clock);
		arrivals.record("pool", model);
		this.clock.advance(Duration.ofMillis(ago));
		Truth.assertThat(arrivals.keptSlots(new ServedEndpoint("e", 1, "pool", "127.0.0.1", 1, "domain", slots, false,
				new Holdings(Map.of("m", Set.of()), Set.of(), Set.of()))))
			.isEqualTo(kept);
	}

	/** Finds no slot. */
	private static final class NoSlot implements QueuedTurn.Claim {

		@Override
		public @Nullable ServedEndpoint claim() {
			return null;
		}

		@Override
		public boolean avoidsEndpoints() {
			return false;
		}

		@Override
		public boolean isGone() {
			return false;
		}

	}

}

package org.masticshelf.serving.request;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.CountDownLatch;

import com.google.common.truth.Truth;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.masticshelf.kernel.serving.ServedEndpoint;
import org.masticshelf.kernel.time.MonotonicClock;

/**
 * Tests {@link OrderedRequests} with engines that hold one model each.
 */
class OrderedRequestsTests {

	private static final int STRESSED_REQUESTS = 2_000;

	private static final long ENDLESS_TIMEOUT_SECONDS = 60;

	private final MonotonicClock.Manual clock = new MonotonicClock.Manual();

	private final OrderedRequests requests = new OrderedRequests(this.clock);

	/** The free slots of the engine of each model. */
	private final Map<String, Integer> freeSlots = new HashMap<>();

	private final Map<String, QueuedTurn> turns = new HashMap<>();

	private Claim arrive(String name, String model, int priority, long objective, long work) {
		return arrive(name, model, priority, objective, work, "org");
	}

	private Claim arrive(String name, String model, int priority, long objective, long work, String organisation) {
		Claim claim = new Claim(model);
		QueuedTurn turn = this.requests.create("pool", claim, new QueuedTurn.Needs(model, organisation, priority,
				this.clock.milliseconds(), objective, true, this.clock.milliseconds() + 15_000, work));
		this.turns.put(name, turn);
		claim.taken = this.requests.take(turn) != null;
		return claim;
	}

	private QueuedTurn turn(String name) {
		return Objects.requireNonNull(this.turns.get(name));
	}

	private boolean takes(String name) {
		return this.requests.take(turn(name)) != null;
	}

	private void release(String model) {
		synchronized (this.freeSlots) {
			this.freeSlots.merge(model, 1, Integer::sum);
		}
		this.requests.signal();
	}

	/**
	 * Guards against a race of all waiting requests for a free slot, and against order of
	 * arrival: an earlier request with time to spare delays an urgent one.
	 * @param priority the priority of the earlier request
	 * @param objective its objective in milliseconds
	 * @param work its tokens
	 * @param first which of the two gets the slot
	 */
	@ParameterizedTest
	@CsvSource({ "2, 8000, 100, later", "2, 160, 100, earlier", "1, 1000, 4000, later", "1, 1000, 100, earlier",
			"0, 1000, 4000, earlier", "0, 100, 100, later" })
	void freeSlotGoesToTheFirstInOrder(int priority, long objective, long work, String first) {
		arrive("earlier", "m", priority, objective, work);
		arrive("later", "m", 1, 1_000, 100);
		release("m");
		Truth.assertThat(takes("earlier")).isEqualTo(first.equals("earlier"));
		Truth.assertThat(takes("later")).isEqualTo(first.equals("later"));
		release("m");
		Truth.assertThat(takes("earlier") || takes("later")).isTrue();
	}

	/**
	 * Guards against an organisation that sends many requests and delays equal ones of
	 * others. Old work must not count.
	 * @param ago how long ago its other request got a slot, in milliseconds
	 * @param first which of the equal requests gets the slot
	 */
	@ParameterizedTest
	@CsvSource({ "0, other", "3000, other", "60000, again" })
	void organisationWithLessRecentWorkComesFirst(long ago, String first) {
		this.freeSlots.put("m", 1);
		arrive("before", "m", 1, 1_000, 100, "large");
		this.clock.advance(Duration.ofMillis(ago));
		this.freeSlots.put("m", 1);
		arrive("small", "m", 1, 1_000, 1, "third");
		arrive("again", "m", 1, 1_000, 100, "large");
		arrive("other", "m", 1, 1_000, 100, "other");
		release("m");
		Truth.assertThat(takes("again")).isEqualTo(first.equals("again"));
		Truth.assertThat(takes("other")).isEqualTo(first.equals("other"));
	}

	/**
	 * Guards against head-of-line blocking: a request whose model no engine holds, or
	 * whose engines state a limit, must not hold back requests for other models.
	 */
	@Test
	void requestThatCannotUseTheSlotDelaysNoOther() {
		for (int number = 0; number < 20; number++) {
			arrive("urgent" + number, "missing", 0, 600, 10);
		}
		arrive("deferrable", "m", 2, 8_000, 1_000);
		release("m");
		Truth.assertThat(takes("deferrable")).isTrue();
		Truth.assertThat(takes("urgent0")).isFalse();
	}

	/**
	 * Guards against arrivals that overtake: the free slot was not examined for the
	 * waiting request, as after the end of an ejection.
	 * @param priority the priority of the arriving request
	 * @param overtakes whether it gets the slot
	 */
	@ParameterizedTest
	@CsvSource({ "1, false", "0, true" })
	void arrivalTakesTheSlotOnlyIfNoneRanksBefore(int priority, boolean overtakes) {
		arrive("other", "other", 2, 8_000, 10);
		arrive("waiting", "m", 1, 1_000, 100);
		this.clock.advance(Duration.ofMillis(60));
		this.freeSlots.put("m", 1);
		Claim arriving = arrive("arriving", "m", priority, 1_000, 100);
		Truth.assertThat(arriving.taken).isEqualTo(overtakes);
		Truth.assertThat(takes("waiting")).isEqualTo(!overtakes);
	}

	/** Guards against what was learned while others waited, once nobody waits. */
	@Test
	void soleArrivalTakesAnyFreeSlot() {
		arrive("first", "m", 1, 1_000, 100);
		this.requests.leave(turn("first"));
		this.freeSlots.put("m", 1);
		Truth.assertThat(arrive("second", "m", 1, 1_000, 100).taken).isTrue();
	}

	/**
	 * Guards against starvation of requests that have missed their objective while others
	 * arrive without end.
	 */
	@Test
	void everyEighthSlotIsForRequestsThatMissedTheirObjective() {
		for (int number = 0; number < 2; number++) {
			arrive("missed" + number, "m", 2, 100, 100);
		}
		for (int number = 0; number < 16; number++) {
			arrive("other" + number, "m", 1, 5_000, 100);
		}
		List<Integer> servedAt = new ArrayList<>();
		for (int slot = 1; slot <= 16; slot++) {
			release("m");
			if (takes("missed0") || takes("missed1")) {
				servedAt.add(slot);
			}
		}
		Truth.assertThat(servedAt).containsExactly(8, 16);
	}

	/**
	 * Guards against slots that are lost: a request may end after a slot was claimed for
	 * it and before it has noticed, and one whose caller has gone gets none.
	 */
	@Test
	void slotOfRequestThatEndsIsHandedOn() {
		Claim gone = arrive("gone", "m", 0, 600, 100);
		arrive("ends", "m", 1, 1_000, 100);
		arrive("next", "m", 2, 4_000, 100);
		gone.gone = true;
		release("m");
		Truth.assertThat(this.requests.leave(turn("gone"))).isNull();
		Truth.assertThat(this.requests.leave(turn("ends"))).isNotNull();
		release("m");
		Truth.assertThat(takes("next")).isTrue();
	}

	/**
	 * Guards against lost wake-ups: the clock stands, so that only signals give slots.
	 * @throws InterruptedException if the test is interrupted
	 */
	@Test
	@Timeout(ENDLESS_TIMEOUT_SECONDS)
	void allRequestsGetASlotInTurn() throws InterruptedException {
		this.freeSlots.put("m", 2);
		CountDownLatch served = new CountDownLatch(STRESSED_REQUESTS);
		for (int number = 0; number < STRESSED_REQUESTS; number++) {
			int priority = number % 3;
			Thread.startVirtualThread(() -> {
				QueuedTurn turn = this.requests.create("pool", new Claim("m"),
						new QueuedTurn.Needs("m", "org", priority, 0, 1_000, true, 15_000, priority));
				while (this.requests.take(turn) == null) {
					this.requests.await(turn, 1_000);
				}
				this.requests.leave(turn);
				release("m");
				served.countDown();
			});
		}
		served.await();
		Truth.assertThat(this.freeSlots).containsExactly("m", 2);
	}

	/** Claims a slot at the engine of a model. */
	private final class Claim implements QueuedTurn.Claim {

		private final String model;

		private boolean taken;

		private boolean gone;

		private Claim(String model) {
			this.model = model;
		}

		@Override
		public @Nullable ServedEndpoint claim() {
			synchronized (OrderedRequestsTests.this.freeSlots) {
				int free = OrderedRequestsTests.this.freeSlots.getOrDefault(this.model, 0);
				if (free == 0) {
					return null;
				}
				OrderedRequestsTests.this.freeSlots.put(this.model, free - 1);
			}
			return new ServedEndpoint(this.model, 1, "pool", "127.0.0.1", 1, "domain", 1, false,
					ServedEndpoint.Holdings.NONE);
		}

		@Override
		public boolean avoidsEndpoints() {
			return false;
		}

		@Override
		public boolean isGone() {
			return this.gone;
		}

	}

}

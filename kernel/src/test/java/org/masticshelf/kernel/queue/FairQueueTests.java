package org.masticshelf.kernel.queue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.Function;

import com.google.common.truth.Truth;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

import org.masticshelf.kernel.configuration.QualifiedName;
import org.masticshelf.kernel.refusal.Refusal;

class FairQueueTests {

	private static final long NANOSECONDS_PER_SECOND = 1_000_000_000L;

	private static final QualifiedName LARGE = QualifiedName.of("sofia/large");

	private static final QualifiedName SMALL = QualifiedName.of("sofia/small");

	private static final long QUANTUM_TOKENS = 500;

	private final FairQueue<Integer> queue = new FairQueue<>(new QueueBounds(100, QUANTUM_TOKENS));

	@Property(tries = 300, seed = "5")
	void smallOrganisationWaitsIndependentlyOfBacklog(@ForAll @IntRange(min = 1, max = 2_000) int backlog,
			@ForAll @LongRange(min = 1, max = 4_000) long largeCost,
			@ForAll @LongRange(min = 1, max = 4_000) long smallCost, @ForAll @IntRange(max = 20) int polledBefore) {
		FairQueue<Integer> fairQueue = new FairQueue<>(new QueueBounds(10_000, QUANTUM_TOKENS));
		for (int index = 0; index < backlog; index++) {
			fairQueue.offer(candidate(index, LARGE, "a", largeCost), Forecast.NOW, 0);
		}
		for (int index = 0; index < polledBefore; index++) {
			fairQueue.poll(0, (waiting) -> Readiness.READY);
		}
		fairQueue.offer(candidate(-1, SMALL, "a", smallCost), Forecast.NOW, 0);
		long servedBefore = 0;
		for (WaitingRequest<Integer> next = poll(fairQueue); !next.organisation()
			.equals(SMALL); next = poll(fairQueue)) {
			servedBefore += next.costTokens();
		}
		long rounds = Math.ceilDiv(smallCost, QUANTUM_TOKENS);
		Truth.assertThat(servedBefore).isAtMost((rounds + 1) * QUANTUM_TOKENS + largeCost);
	}

	@Property(tries = 100, seed = "5")
	void sharesTokensByWeight(@ForAll @IntRange(min = 1, max = 8) int weight,
			@ForAll @LongRange(min = 1, max = 900) long firstCost,
			@ForAll @LongRange(min = 1, max = 900) long secondCost) {
		FairQueue<Integer> fairQueue = new FairQueue<>(new QueueBounds(10_000, QUANTUM_TOKENS));
		for (int index = 0; index < 3_000; index++) {
			fairQueue.offer(
					new WaitingRequest.Candidate<>(index, LARGE, weight, "a", firstCost, NANOSECONDS_PER_SECOND),
					Forecast.NOW, 0);
			fairQueue.offer(new WaitingRequest.Candidate<>(index, SMALL, 1, "a", secondCost, NANOSECONDS_PER_SECOND),
					Forecast.NOW, 0);
		}
		Map<QualifiedName, Long> served = new HashMap<>();
		while (fairQueue.sizeOf(LARGE) > 0 && fairQueue.sizeOf(SMALL) > 0) {
			WaitingRequest<Integer> next = poll(fairQueue);
			served.merge(next.organisation(), next.costTokens(), Long::sum);
		}
		double difference = served.getOrDefault(LARGE, 0L) / (double) weight - served.getOrDefault(SMALL, 0L);
		Truth.assertThat(Math.abs(difference)).isAtMost(2.0 * QUANTUM_TOKENS + firstCost + secondCost);
	}

	@Property(tries = 300, seed = "5")
	void eachRequestLeavesExactlyOnce(@ForAll long seed) {
		Random random = new Random(seed);
		FairQueue<Integer> fairQueue = new FairQueue<>(new QueueBounds(20, QUANTUM_TOKENS));
		Map<Integer, Integer> departures = new HashMap<>();
		List<WaitingRequest<Integer>> admitted = new ArrayList<>();
		for (int step = 0; step < 300; step++) {
			performRandomOperation(fairQueue, random, step, departures, admitted);
		}
		fairQueue.expire(Long.MAX_VALUE / 2).forEach((waiting) -> departures.merge(waiting.item(), 1, Integer::sum));
		Truth.assertThat(fairQueue.size()).isEqualTo(0);
		Truth.assertThat(departures.values()).doesNotContain(2);
		Truth.assertThat(departures.keySet())
			.containsExactlyElementsIn(admitted.stream().map(WaitingRequest::item).toList());
	}

	private static void performRandomOperation(FairQueue<Integer> fairQueue, Random random, int step,
			Map<Integer, Integer> departures, List<WaitingRequest<Integer>> admitted) {
		switch (random.nextInt(5)) {
			case 0, 1 -> {
				QualifiedName organisation = (random.nextInt(3) > 0) ? LARGE : SMALL;
				WaitingRequest.Candidate<Integer> offered = new WaitingRequest.Candidate<>(step, organisation, 1,
						"lane" + random.nextInt(3), 1 + random.nextInt(2_000), step + random.nextInt(100));
				if (fairQueue.offer(offered, Forecast.NOW, step) instanceof QueueAdmission.Queued<Integer> queued) {
					admitted.add(queued.waiting());
					recordDeparture(queued.displaced(), departures);
				}
			}
			case 2 ->
				recordDeparture(fairQueue.poll(step, (waiting) -> Readiness.values()[random.nextInt(2)]), departures);
			case 3 -> fairQueue.expire(step).forEach((waiting) -> recordDeparture(waiting, departures));
			default -> {
				WaitingRequest<Integer> chosen = admitted.isEmpty() ? null
						: admitted.get(random.nextInt(admitted.size()));
				if (chosen != null && fairQueue.remove(chosen)) {
					recordDeparture(chosen, departures);
				}
			}
		}
	}

	private static void recordDeparture(@Nullable WaitingRequest<Integer> waiting, Map<Integer, Integer> departures) {
		if (waiting != null) {
			departures.merge(waiting.item(), 1, Integer::sum);
		}
	}

	@ParameterizedTest
	@EnumSource(names = "READY", mode = EnumSource.Mode.EXCLUDE)
	void blockedLaneBlocksNeitherOtherLanesNorOrganisations(Readiness state) {
		offer(1, LARGE, "blocked", 1);
		offer(2, LARGE, "open", 1);
		offer(3, SMALL, "blocked", 1);
		offer(4, SMALL, "open", 1);
		Function<WaitingRequest<Integer>, Readiness> readiness = (waiting) -> waiting.lane().equals("open")
				? Readiness.READY : state;
		List<Integer> served = new ArrayList<>();
		for (WaitingRequest<Integer> next = this.queue.poll(0, readiness); next != null; next = this.queue.poll(0,
				readiness)) {
			served.add(next.item());
		}
		Truth.assertThat(served).containsExactly(2, 4);
		Truth.assertThat(this.queue.size()).isEqualTo(2);
	}

	@Test
	void servesLaneInOrder() {
		offer(1, LARGE, "a", 900);
		offer(2, LARGE, "a", 1);
		Truth.assertThat(poll(this.queue).item()).isEqualTo(1);
		Truth.assertThat(poll(this.queue).item()).isEqualTo(2);
	}

	@Test
	void restoredRequestKeepsItsPlace() {
		offer(1, LARGE, "a", 900);
		offer(2, LARGE, "a", 1);
		this.queue.restore(poll(this.queue));
		Truth.assertThat(poll(this.queue).item()).isEqualTo(1);
	}

	@Test
	void fullQueueDisplacesNewestOfLargestOrganisation() {
		for (int index = 0; index < 100; index++) {
			offer(index, LARGE, "a", 1);
		}
		QueueAdmission<Integer> admission = offer(100, SMALL, "a", 1);
		Truth.assertThat(admission).isInstanceOf(QueueAdmission.Queued.class);
		WaitingRequest<Integer> displaced = ((QueueAdmission.Queued<Integer>) admission).displaced();
		Truth.assertThat((displaced != null) ? displaced.item() : null).isEqualTo(99);
		Truth.assertThat(this.queue.size()).isEqualTo(100);
	}

	@Test
	void fullQueueRefusesTheLargestOrganisationItself() {
		for (int index = 0; index < 100; index++) {
			offer(index, LARGE, "a", 1);
		}
		Truth.assertThat(reason(offer(100, LARGE, "a", 1))).isEqualTo(Refusal.Reason.QUEUE_FULL);
	}

	@ParameterizedTest
	@CsvSource({ "COLD, 0", "COLD, 5", "RATE_EXCEEDED, 0" })
	void refusesRequestThatCannotStartInTime(Refusal.Reason cause, long serviceSeconds) {
		Forecast forecast = new Forecast((11 - serviceSeconds) * NANOSECONDS_PER_SECOND,
				serviceSeconds * NANOSECONDS_PER_SECOND, cause);
		QueueAdmission<Integer> admission = this.queue.offer(candidate(1, SMALL, "a", 1), forecast, 0);
		Truth.assertThat(reason(admission)).isEqualTo(cause);
		Truth.assertThat(((QueueAdmission.Refused<Integer>) admission).refusal().retryAfterMilliseconds())
			.isEqualTo((11 - serviceSeconds) * 1_000);
	}

	@Test
	void refusesByMeasuredServiceRateButNotSmallOrganisation() {
		serveAtTokensPerSecond(100);
		for (int index = 0; index < 12; index++) {
			offer(index, LARGE, "a", 100);
		}
		Truth.assertThat(reason(offer(99, LARGE, "a", 100))).isEqualTo(Refusal.Reason.DEADLINE_UNREACHABLE);
		Truth.assertThat(offer(100, SMALL, "a", 100)).isInstanceOf(QueueAdmission.Queued.class);
	}

	private void serveAtTokensPerSecond(long tokensPerSecond) {
		for (int index = 0; index < 10; index++) {
			this.queue.offer(new WaitingRequest.Candidate<>(index, LARGE, 1, "a", tokensPerSecond,
					1_000 * NANOSECONDS_PER_SECOND), Forecast.NOW, 0);
		}
		for (int second = 0; second < 10; second++) {
			this.queue.poll(-(10 - second) * NANOSECONDS_PER_SECOND, (waiting) -> Readiness.FULL);
			this.queue.poll(-(9 - second) * NANOSECONDS_PER_SECOND, (waiting) -> Readiness.READY);
		}
	}

	@Test
	void refusesOrganisationWithLongGrantWait() {
		for (int index = 0; index < 10; index++) {
			offer(index, LARGE, "a", 100);
		}
		serveByGrant(LARGE, 2);
		Truth.assertThat(reason(offer(10, LARGE, "a", 100))).isEqualTo(Refusal.Reason.RATE_EXCEEDED);
		Truth.assertThat(offer(11, SMALL, "a", 100)).isInstanceOf(QueueAdmission.Queued.class);
	}

	@Test
	void doesNotCountTimeWithoutGrantKeeper() {
		offer(0, LARGE, "a", 100);
		this.queue.poll(1, (waiting) -> Readiness.GRANT_UNKNOWN);
		this.queue.poll(7 * NANOSECONDS_PER_SECOND, (waiting) -> Readiness.NO_GRANT);
		QueueAdmission<Integer> later = this.queue.offer(candidate(1, LARGE, "a", 100), Forecast.NOW,
				8 * NANOSECONDS_PER_SECOND);
		Truth.assertThat(later).isInstanceOf(QueueAdmission.Queued.class);
	}

	private void serveByGrant(QualifiedName limited, int seconds) {
		for (int second = 0; second < seconds; second++) {
			this.queue.poll(-(seconds - second) * NANOSECONDS_PER_SECOND,
					(waiting) -> waiting.organisation().equals(limited) ? Readiness.NO_GRANT : Readiness.READY);
			this.queue.poll(-(seconds - second - 1) * NANOSECONDS_PER_SECOND, (waiting) -> Readiness.READY);
		}
	}

	@Test
	void expiresInOrderOfDeadlines() {
		this.queue.offer(new WaitingRequest.Candidate<>(1, LARGE, 1, "a", 1, 30), Forecast.NOW, 0);
		this.queue.offer(new WaitingRequest.Candidate<>(2, SMALL, 1, "a", 1, 20), Forecast.NOW, 0);
		this.queue.offer(new WaitingRequest.Candidate<>(3, SMALL, 1, "a", 1, 40), Forecast.NOW, 0);
		Truth.assertThat(this.queue.earliestDeadline()).isEqualTo(20);
		Truth.assertThat(this.queue.expire(30).stream().map(WaitingRequest::item).toList())
			.containsExactly(2, 1)
			.inOrder();
		Truth.assertThat(this.queue.size()).isEqualTo(1);
	}

	private QueueAdmission<Integer> offer(int item, QualifiedName organisation, String lane, long cost) {
		return this.queue.offer(candidate(item, organisation, lane, cost), Forecast.NOW, 0);
	}

	private static WaitingRequest.Candidate<Integer> candidate(int item, QualifiedName organisation, String lane,
			long cost) {
		return new WaitingRequest.Candidate<>(item, organisation, 1, lane, cost, 10 * NANOSECONDS_PER_SECOND);
	}

	private static WaitingRequest<Integer> poll(FairQueue<Integer> fairQueue) {
		WaitingRequest<Integer> next = fairQueue.poll(0, (waiting) -> Readiness.READY);
		if (next == null) {
			throw new AssertionError("nothing is ready");
		}
		return next;
	}

	private static Refusal.Reason reason(QueueAdmission<Integer> admission) {
		return ((QueueAdmission.Refused<Integer>) admission).refusal().reason();
	}

}

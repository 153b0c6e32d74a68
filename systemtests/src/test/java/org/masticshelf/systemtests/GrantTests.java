package org.masticshelf.systemtests;

import java.util.Comparator;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.stream.StreamSupport;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.truth.Truth;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

/** Grants over all daemons together, counted at the engines. */
class GrantTests {

	private static final int REQUESTS = 500;

	private static final int ANSWER_TOKENS = 17;

	private static final int REQUEST_TOKENS = ANSWER_TOKENS + 3;

	/** A request of 20 tokens every 20 ms: five times the rate. */
	private static final long GAP_MILLISECONDS = 1_000 * REQUEST_TOKENS / (5 * FleetTables.SMALL_RATE);

	/** How much later than it was charged a request may reach an engine. */
	private static final long NETWORK_MILLISECONDS = 200;

	private static final long DEADLINE_MILLISECONDS = 1_000;

	private final Caller greedy = new Caller(FleetTables.SMALL_KEY, DEADLINE_MILLISECONDS);

	private final Caller other = new Caller(FleetTables.KEY);

	private final Queue<CompletableFuture<Caller.Answer>> greedyAnswers = new ConcurrentLinkedQueue<>();

	private final Queue<CompletableFuture<Caller.Answer>> otherAnswers = new ConcurrentLinkedQueue<>();

	@Test
	@Tag("known-red")
	void organisationKeepsItsGrantWhileDaemonsAreKilledAndFrozen() {
		try (FleetFixture fleet = FleetFixture.builder("grant").start()) {
			sendWhileDaemonsFail(fleet);
			assertWithinGrant(arrivals(fleet, "crest"));
		}
	}

	@Test
	@Tag("known-red")
	void otherOrganisationIsServedWhileDaemonsAreKilledAndFrozen() {
		try (FleetFixture fleet = FleetFixture.builder("grant-other").start()) {
			sendWhileDaemonsFail(fleet);
			Truth.assertThat(FleetFixture.statuses(this.otherAnswers).keySet()).containsExactly(200);
		}
	}

	private void sendWhileDaemonsFail(FleetFixture fleet) {
		warm(fleet, "crest");
		warm(fleet, "hem");
		try (ScheduledExecutorService scheduler = Executors.newSingleThreadScheduledExecutor()) {
			scheduler.scheduleAtFixedRate(() -> send(fleet), 0, GAP_MILLISECONDS, TimeUnit.MILLISECONDS);
			awaitSent(REQUESTS / 5);
			fleet.daemons.get(3).kill();
			awaitSent(2 * REQUESTS / 5);
			fleet.daemons.get(2).freeze();
			FleetFixture.await("the frozen daemon to lose its duties", () -> fleet.dutiesOf(fleet.daemons.get(2)) == 0);
			fleet.daemons.get(2).goOn();
			awaitSent(this.greedyAnswers.size() + REQUESTS / 5);
			scheduler.shutdownNow();
		}
		FleetFixture.statuses(this.greedyAnswers);
		FleetFixture.statuses(this.otherAnswers);
	}

	private void warm(FleetFixture fleet, String model) {
		Truth.assertThat(FleetFixture.join(this.other.chat(fleet.daemons.getFirst(), model, 1)).status())
			.isEqualTo(200);
	}

	private void awaitSent(int count) {
		FleetFixture.await(count + " requests to be sent", () -> this.greedyAnswers.size() >= count);
	}

	private void send(FleetFixture fleet) {
		int count = this.greedyAnswers.size();
		this.greedyAnswers.add(this.greedy.chat(fleet.daemons.get(count % 4), "crest", ANSWER_TOKENS));
		if (count % 10 == 0) {
			this.otherAnswers.add(this.other.chat(fleet.daemons.get(count / 10 % 2), "hem", ANSWER_TOKENS));
		}
	}

	private static List<Arrival> arrivals(FleetFixture fleet, String model) {
		return fleet.tallies()
			.stream()
			.flatMap((tally) -> StreamSupport.stream(tally.path("requests").spliterator(), false))
			.filter((request) -> request.path("model").asText().endsWith(model))
			.map(Arrival::of)
			.sorted(Comparator.comparingLong(Arrival::milliseconds))
			.toList();
	}

	private static void assertWithinGrant(List<Arrival> arrivals) {
		long total = arrivals.stream().mapToLong(Arrival::tokens).sum();
		Truth.assertThat(total).isAtLeast(2 * FleetTables.SMALL_BURST);
		for (int first = 0; first < arrivals.size(); first++) {
			long tokens = 0;
			for (int last = first; last < arrivals.size(); last++) {
				tokens += arrivals.get(last).tokens();
				long window = arrivals.get(last).milliseconds() - arrivals.get(first).milliseconds()
						+ NETWORK_MILLISECONDS;
				long bound = FleetTables.SMALL_BURST + FleetTables.SMALL_RATE * window / 1_000;
				Truth.assertWithMessage("tokens of requests %s to %s in %s ms", first, last, window)
					.that(tokens)
					.isAtMost(bound);
			}
		}
	}

	/**
	 * A request as an engine counted it.
	 *
	 * @param milliseconds when it arrived
	 * @param tokens tokens of the prompt and generated tokens
	 */
	private record Arrival(long milliseconds, long tokens) {

		private static Arrival of(JsonNode request) {
			return new Arrival(request.path("arrival_millis").asLong(),
					request.path("prompt_tokens").asLong() + request.path("generated_tokens").asLong());
		}

	}

}

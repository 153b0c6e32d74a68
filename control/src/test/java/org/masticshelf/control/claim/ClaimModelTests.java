package org.masticshelf.control.claim;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;

import com.google.common.truth.Truth;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

import org.masticshelf.kernel.refusal.Refusal;
import org.masticshelf.standins.keyvalue.KeyValueCall;

/**
 * Runs random steps of callers, daemons and faults, and counts how often each request
 * ran.
 */
class ClaimModelTests {

	private static final int STEPS = 60;

	private static final int DAEMONS = 3;

	private static final int KEYS = 2;

	@Property(tries = 1_500, seed = "5")
	void eachKeyRunsAtMostOnceAndAnswersAreItsOwn(@ForAll long seed) {
		Model model = new Model(new Random(seed));
		for (int step = 0; step < STEPS; step++) {
			model.step();
		}
		model.heal();
		model.check();
	}

	private static final class Model {

		private final Random random;

		private final ClaimCluster cluster = new ClaimCluster();

		private final List<ClaimCluster.Daemon> daemons = new ArrayList<>();

		private final List<CompletableFuture<ClaimResult>> results = new ArrayList<>();

		private final Map<String, Integer> runs = new HashMap<>();

		private final Map<String, List<Claim>> unsettled = new HashMap<>();

		private final List<String> keys = new ArrayList<>();

		Model(Random random) {
			this.random = random;
			for (int index = 0; index < DAEMONS; index++) {
				this.daemons.add(this.cluster.start());
			}
		}

		void step() {
			int index = this.random.nextInt(DAEMONS);
			ClaimCluster.Daemon daemon = this.daemons.get(index);
			switch (this.random.nextInt(12)) {
				case 0, 1, 2, 3 -> ask(daemon);
				case 4 -> daemon.client.faults().loseNextAnswers(KeyValueCall.TRANSACT, 1 + this.random.nextInt(2));
				case 5 -> daemon.client.faults().holdRequests();
				case 6 -> daemon.client.faults().holdAnswers();
				case 7 -> daemon.client.faults().release();
				case 8 -> daemon.client.faults().setDown(this.random.nextBoolean());
				case 9 -> {
					daemon.crash();
					this.daemons.set(index, this.cluster.start());
				}
				case 10 -> settle();
				default -> this.cluster.advance(Duration.ofMillis(this.random.nextInt(2_000)));
			}
		}

		private void ask(ClaimCluster.Daemon daemon) {
			String key = "k" + this.random.nextInt(KEYS);
			CompletableFuture<ClaimResult> result = daemon.ask(key, "one order",
					Duration.ofMillis(500 + this.random.nextInt(5_000)));
			this.results.add(result);
			this.keys.add(key);
			result.thenAccept((claimed) -> {
				if (claimed instanceof ClaimResult.Granted granted) {
					dispatch(key, daemon, granted.claim());
				}
			});
		}

		// A dead daemon dispatches nothing.
		private void dispatch(String key, ClaimCluster.Daemon daemon, Claim claim) {
			if (this.daemons.contains(daemon)) {
				this.unsettled.computeIfAbsent(key, (name) -> new ArrayList<>()).add(claim);
				this.runs.merge(key, 1, Integer::sum);
			}
		}

		private void settle() {
			String key = "k" + this.random.nextInt(KEYS);
			List<Claim> claims = this.unsettled.getOrDefault(key, new ArrayList<>());
			if (claims.isEmpty()) {
				return;
			}
			Claim claim = claims.removeLast();
			switch (this.random.nextInt(3)) {
				case 0 -> claim.complete(ClaimCluster.answer("answer of " + key));
				case 1 -> claim.completeUnknown();
				default -> {
					this.runs.merge(key, -1, Integer::sum);
					claim.release();
				}
			}
		}

		void heal() {
			this.daemons.forEach((daemon) -> {
				daemon.client.faults().setDown(false);
				daemon.client.faults().release();
			});
			this.cluster.advance(Duration.ofSeconds(30));
		}

		void check() {
			this.runs.forEach((key, count) -> Truth.assertWithMessage(key).that(count).isAtMost(1));
			for (int index = 0; index < this.results.size(); index++) {
				CompletableFuture<ClaimResult> result = this.results.get(index);
				Truth.assertThat(result.isDone()).isTrue();
				if (result.join() instanceof ClaimResult.Repeated) {
					Truth.assertThat(ClaimRegistryTests.render(result))
						.isEqualTo("REPEATED answer of " + this.keys.get(index));
				}
				if (result.join() instanceof ClaimResult.Refused refused) {
					boolean joinedReleased = refused.refusal().ran() == Refusal.Execution.NOT_RUN;
					Truth.assertThat(joinedReleased && refused.refusal().retryAfterMilliseconds() == 0).isFalse();
				}
			}
		}

	}

}

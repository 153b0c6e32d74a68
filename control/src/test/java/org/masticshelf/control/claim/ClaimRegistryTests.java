package org.masticshelf.control.claim;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import com.google.common.truth.Truth;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

import org.masticshelf.standins.keyvalue.KeyValueCall;

class ClaimRegistryTests {

	private static final String REUSED = "IDEMPOTENCY_KEY_REUSED/NOT_RUN";

	private static final String UNKNOWN = "OUTCOME_UNKNOWN/UNKNOWN";

	private static final String UNAVAILABLE = "CLAIM_UNAVAILABLE/UNKNOWN";

	private final ClaimCluster cluster = new ClaimCluster();

	private final ClaimCluster.Daemon first = this.cluster.start();

	private final ClaimCluster.Daemon second = this.cluster.start();

	@Test
	void grantsOneOfTwoConcurrentDaemonsAndRepeatsTheOutcomeToTheOther() {
		this.cluster.store.faults().holdRequests();
		CompletableFuture<ClaimResult> one = this.first.ask("k");
		CompletableFuture<ClaimResult> other = this.second.ask("k");
		releaseAll();
		Truth.assertThat(List.of(render(one), render(other))).containsExactly("GRANTED", "PENDING");
		CompletableFuture<ClaimResult> winner = render(one).equals("GRANTED") ? one : other;
		claim(winner).complete(ClaimCluster.answer("done"));
		this.cluster.advance(Duration.ofSeconds(3));
		Truth.assertThat(List.of(render(one), render(other))).containsExactly("GRANTED", "REPEATED done");
	}

	private void releaseAll() {
		while (this.cluster.store.faults().heldCount() > 0) {
			this.cluster.store.faults().release();
		}
	}

	@Test
	void grantsOneOfTwoRequestsAtOneDaemon() {
		CompletableFuture<ClaimResult> one = this.first.ask("k");
		CompletableFuture<ClaimResult> other = this.first.ask("k");
		claim(one).complete(ClaimCluster.answer("done"));
		Truth.assertThat(render(other)).isEqualTo("REPEATED done");
	}

	@ParameterizedTest
	@ValueSource(booleans = { true, false })
	void sameKeyWithAnotherBodyIsRefused(boolean sameDaemon) {
		this.first.ask("k");
		ClaimCluster.Daemon daemon = sameDaemon ? this.first : this.second;
		Truth.assertThat(render(daemon.ask("k", "another order", Duration.ofSeconds(1)))).isEqualTo(REUSED);
	}

	@ParameterizedTest
	@CsvSource({ "TRANSACT, 1", "TRANSACT, 3", "GRANT_LEASE, 1" })
	void recognisesOwnClaimAfterLostAnswers(KeyValueCall call, int lost) {
		this.first.client.faults().loseNextAnswers(call, lost);
		CompletableFuture<ClaimResult> claimed = this.first.ask("k");
		this.cluster.advance(Duration.ofSeconds(2));
		Truth.assertThat(render(claimed)).isEqualTo("GRANTED");
	}

	@Test
	void recordsOutcomeAfterLostAnswer() {
		Claim claim = claim(this.first.ask("k"));
		this.first.client.faults().loseNextAnswers(KeyValueCall.TRANSACT, 1);
		CompletableFuture<Boolean> recorded = claim.complete(ClaimCluster.answer("done"));
		this.cluster.advance(Duration.ofSeconds(1));
		Truth.assertThat(recorded.join()).isTrue();
		Truth.assertThat(render(this.second.ask("k"))).isEqualTo("REPEATED done");
	}

	@ParameterizedTest
	@EnumSource
	void runsAtMostOnceWhereverTheDaemonCrashes(CrashPoint crashPoint) {
		int runs = crashAt(crashPoint);
		CompletableFuture<ClaimResult> repeated = this.second.ask("k");
		this.cluster.advance(Duration.ofSeconds(11));
		int all = runs + (render(repeated).equals("GRANTED") ? 1 : 0);
		Truth.assertThat(render(repeated)).isEqualTo(crashPoint.repeated);
		Truth.assertThat(all).isAtMost(1);
	}

	private int crashAt(CrashPoint crashPoint) {
		if (crashPoint == CrashPoint.BEFORE_CLAIM) {
			this.first.crash();
			return 0;
		}
		if (crashPoint == CrashPoint.CLAIM_APPLIED) {
			this.first.client.faults().loseNextAnswers(KeyValueCall.TRANSACT, 1);
		}
		CompletableFuture<ClaimResult> claimed = this.first.ask("k");
		if (crashPoint == CrashPoint.CLAIM_APPLIED || crashPoint == CrashPoint.BEFORE_DISPATCH) {
			this.first.crash();
			return 0;
		}
		if (crashPoint == CrashPoint.AFTER_RECORD) {
			claim(claimed).complete(ClaimCluster.answer("done"));
		}
		this.first.crash();
		if (crashPoint == CrashPoint.BEFORE_RECORD) {
			claim(claimed).complete(ClaimCluster.answer("done"));
		}
		return 1;
	}

	@Test
	void refusesDuringOutageAndGrantsAfterwards() {
		this.cluster.store.faults().setDown(true);
		CompletableFuture<ClaimResult> during = this.first.ask("k");
		this.cluster.advance(Duration.ofMillis(200));
		Truth.assertThat(render(during)).isEqualTo(UNAVAILABLE);
		this.cluster.store.faults().setDown(false);
		Truth.assertThat(render(this.first.ask("k"))).isEqualTo("GRANTED");
	}

	@ParameterizedTest
	@ValueSource(booleans = { true, false })
	void claimThatArrivesAfterTheRefusalIsDeleted(boolean sameDaemon) {
		this.first.client.faults().holdRequests();
		CompletableFuture<ClaimResult> refused = this.first.ask("k", "one order", Duration.ofSeconds(1));
		this.first.client.faults().release();
		this.first.client.faults().holdAnswers();
		CompletableFuture<ClaimResult> late = this.first.ask("l", "one order", Duration.ofSeconds(1));
		this.cluster.advance(Duration.ofSeconds(2));
		this.first.client.faults().release();
		this.cluster.advance(Duration.ofSeconds(1));
		Truth.assertThat(render(refused)).isEqualTo("GRANTED");
		Truth.assertThat(render(late)).isEqualTo(UNAVAILABLE);
		Truth.assertThat(render((sameDaemon ? this.first : this.second).ask("l"))).isEqualTo("GRANTED");
	}

	@Test
	void releasedClaimIsGrantedAgain() {
		claim(this.first.ask("k")).release();
		Truth.assertThat(render(this.second.ask("k"))).isEqualTo("GRANTED");
	}

	@Test
	void tooLargeOutcomeIsNotKept() {
		claim(this.first.ask("k")).complete(ClaimCluster.answer("x".repeat(RecordedOutcome.MAXIMUM_BODY_BYTES + 1)));
		Truth.assertThat(render(this.second.ask("k"))).isEqualTo("OUTCOME_NOT_KEPT/UNKNOWN");
	}

	@ParameterizedTest
	@ValueSource(booleans = { true, false })
	void unknownOutcomeIsReturnedAtOnce(boolean sameDaemon) {
		claim(this.first.ask("k")).completeUnknown();
		Truth.assertThat(render((sameDaemon ? this.first : this.second).ask("k"))).isEqualTo(UNKNOWN);
	}

	@Test
	void waitsForRunningRequestOnlyUntilDeadline() {
		this.first.ask("k");
		CompletableFuture<ClaimResult> repeated = this.second.ask("k", "one order", Duration.ofSeconds(5));
		this.cluster.advance(Duration.ofMillis(4_900));
		Truth.assertThat(render(repeated)).isEqualTo("PENDING");
		this.cluster.advance(Duration.ofMillis(200));
		Truth.assertThat(render(repeated)).isEqualTo(UNKNOWN);
	}

	@Test
	void outcomeDuringAnOutageIsRecordedAfterIt() {
		Claim claim = claim(this.first.ask("k"));
		this.cluster.store.faults().setDown(true);
		claim.complete(ClaimCluster.answer("done"));
		this.cluster.advance(Duration.ofSeconds(60));
		Truth.assertThat(this.first.registry.openClaimCount()).isEqualTo(1);
		this.cluster.store.faults().setDown(false);
		this.cluster.advance(Duration.ofSeconds(3));
		Truth.assertThat(render(this.second.ask("k"))).isEqualTo("REPEATED done");
		Truth.assertThat(this.first.registry.openClaimCount()).isEqualTo(0);
	}

	@Test
	void claimExpiresAfterADay() {
		claim(this.first.ask("k")).complete(ClaimCluster.answer("done"));
		this.cluster.advance(Duration.ofHours(23));
		Truth.assertThat(render(this.second.ask("k"))).isEqualTo("REPEATED done");
		this.cluster.advance(Duration.ofHours(3));
		Truth.assertThat(render(this.second.ask("k"))).isEqualTo("GRANTED");
	}

	@Test
	void claimsOfAnHourShareOneLease() {
		for (int index = 0; index < 20; index++) {
			this.first.ask("k" + index);
			this.cluster.advance(Duration.ofMinutes(2));
		}
		Truth.assertThat(this.cluster.store.count(KeyValueCall.GRANT_LEASE)).isEqualTo(1);
	}

	@ParameterizedTest
	@CsvSource({ "1, 2.0", "16, 0.3", "64, 0.1" })
	void writesFewTimesPerRequest(int atOnce, double bound) {
		int requests = 640;
		claim(this.first.ask("creates the lease"));
		long before = this.cluster.store.count(KeyValueCall.TRANSACT);
		for (int start = 0; start < requests; start += atOnce) {
			claimAndComplete(start, atOnce);
		}
		double writes = (double) (this.cluster.store.count(KeyValueCall.TRANSACT) - before) / requests;
		System.out.println("key-value writes per non-idempotent request, " + atOnce + " at once: " + writes);
		Truth.assertThat(writes).isAtMost(bound);
	}

	private void claimAndComplete(int start, int atOnce) {
		List<CompletableFuture<ClaimResult>> claimed = new ArrayList<>();
		this.first.client.faults().holdAnswers();
		for (int index = 0; index < atOnce; index++) {
			claimed.add(this.first.ask("k" + (start + index)));
		}
		while (this.first.client.faults().heldCount() > 0) {
			this.first.client.faults().release();
		}
		this.first.client.faults().holdAnswers();
		claimed.forEach((result) -> claim(result).complete(ClaimCluster.answer("done")));
		while (this.first.client.faults().heldCount() > 0) {
			this.first.client.faults().release();
		}
	}

	static Claim claim(CompletableFuture<ClaimResult> result) {
		return ((ClaimResult.Granted) result.join()).claim();
	}

	static String render(CompletableFuture<ClaimResult> result) {
		if (!result.isDone()) {
			return "PENDING";
		}
		return switch (result.join()) {
			case ClaimResult.Granted granted -> "GRANTED";
			case ClaimResult.Repeated repeated ->
				"REPEATED " + new String(repeated.outcome().body(), StandardCharsets.UTF_8);
			case ClaimResult.Refused refused -> refused.refusal().reason() + "/" + refused.refusal().ran();
		};
	}

	/**
	 * The point at which a daemon crashes, and the result when the caller repeats the
	 * request at another daemon.
	 */
	enum CrashPoint {

		BEFORE_CLAIM("GRANTED"), CLAIM_APPLIED(UNKNOWN), BEFORE_DISPATCH(UNKNOWN), AFTER_DISPATCH(UNKNOWN),
		BEFORE_RECORD(UNKNOWN), AFTER_RECORD("REPEATED done");

		private final String repeated;

		CrashPoint(String repeated) {
			this.repeated = repeated;
		}

	}

}

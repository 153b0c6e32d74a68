package org.masticshelf.kernel.share;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;

import com.google.common.truth.Truth;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Tests {@link SharedTokenBucket}.
 */
class SharedTokenBucketTests {

	private static final double RATE_PER_SECOND = 1_000;

	private static final double BURST = 1_000;

	private static final int WINDOW_MILLISECONDS = 8_000;

	@Test
	void startsEmptyAndFillsAtRate() {
		SharedTokenBucket bucket = new SharedTokenBucket(0, RATE_PER_SECOND, BURST);
		Truth.assertThat(bucket.trySpend(0, 1)).isFalse();
		Truth.assertThat(bucket.millisecondsUntilAvailable(0, 100)).isEqualTo(100);
		Truth.assertThat(bucket.trySpend(100, 100)).isTrue();
		Truth.assertThat(bucket.trySpend(100, 1)).isFalse();
	}

	@Test
	void neverHoldsMoreThanBurst() {
		SharedTokenBucket bucket = new SharedTokenBucket(0, RATE_PER_SECOND, BURST);
		Truth.assertThat(bucket.level(60_000)).isEqualTo(BURST);
	}

	@Test
	void costAboveBurstLeavesNegativeLevel() {
		SharedTokenBucket bucket = new SharedTokenBucket(0, RATE_PER_SECOND, BURST);
		Truth.assertThat(bucket.trySpend(5_000, 1_500)).isTrue();
		Truth.assertThat(bucket.level(5_000)).isEqualTo(-500);
	}

	@Test
	void deductsSpendingOfPeers() {
		SharedTokenBucket bucket = new SharedTokenBucket(0, RATE_PER_SECOND, BURST);
		bucket.setPeers(0, Set.of("peer"));
		bucket.recordPeerSpending(1_000, "peer", 400);
		bucket.recordPeerSpending(1_000, "peer", 700);
		Truth.assertThat(bucket.level(1_000)).isEqualTo(700);
	}

	@Test
	void firstReportOfPeerIsNotDeducted() {
		SharedTokenBucket bucket = new SharedTokenBucket(0, RATE_PER_SECOND, BURST);
		bucket.setPeers(0, Set.of("peer"));
		bucket.recordPeerSpending(1_000, "peer", 1_000_000);
		Truth.assertThat(bucket.level(1_000)).isEqualTo(BURST);
	}

	@ParameterizedTest
	@CsvSource({ "1, 500", "3, 250", "9, 100" })
	void silentPeersAreAssumedToSpendTheirShare(int peers, double left) {
		SharedTokenBucket bucket = new SharedTokenBucket(0, RATE_PER_SECOND, 100_000);
		Set<String> names = new HashSet<>();
		for (int index = 0; index < peers; index++) {
			names.add("peer-" + index);
		}
		bucket.setPeers(0, names);
		Truth.assertThat(bucket.level(1_000)).isWithin(0.001).of(left);
	}

	@Test
	void reportOfSilentPeerReturnsUnspentShare() {
		SharedTokenBucket bucket = new SharedTokenBucket(0, RATE_PER_SECOND, 100_000);
		bucket.setPeers(0, Set.of("peer"));
		bucket.recordPeerSpending(0, "peer", 0);
		Truth.assertThat(bucket.level(1_000)).isWithin(0.001).of(500);
		bucket.recordPeerSpending(1_000, "peer", 100);
		Truth.assertThat(bucket.level(1_000)).isWithin(0.001).of(900);
	}

	@Test
	void lowerLimitAppliesAtOnce() {
		SharedTokenBucket bucket = new SharedTokenBucket(0, RATE_PER_SECOND, BURST);
		bucket.setLimits(2_000, 10, 10);
		Truth.assertThat(bucket.level(2_000)).isEqualTo(10);
	}

	/**
	 * One organisation sends several times its rate to all daemons while their reports
	 * arrive late, and for a time not at all.
	 * @param daemons the number of daemons
	 * @param delay the delay of reports between daemons in milliseconds
	 * @param cutFrom the time at which reports stop arriving
	 * @param cutUntil the time at which reports arrive again
	 */
	@ParameterizedTest
	@CsvSource({ "4, 150, -1, -1", "4, 300, -1, -1", "4, 150, 5000, 12000", "34, 300, 5000, 12000",
			"2, 150, 3000, 20000" })
	void organisationStaysWithinItsRateOverAllDaemons(int daemons, int delay, int cutFrom, int cutUntil) {
		Random random = new Random(7);
		List<SharedTokenBucket> buckets = new ArrayList<>();
		for (int index = 0; index < daemons; index++) {
			SharedTokenBucket bucket = new SharedTokenBucket(0, RATE_PER_SECOND, BURST);
			Set<String> peers = new HashSet<>();
			for (int other = 0; other < daemons; other++) {
				if (other != index) {
					peers.add("daemon-" + other);
				}
			}
			bucket.setPeers(0, peers);
			buckets.add(bucket);
		}
		int end = 30_000;
		double[] spentAt = new double[end];
		for (int now = 0; now < end; now++) {
			boolean cut = now >= cutFrom && now < cutUntil;
			if (now % delay == 0 && !cut) {
				for (int from = 0; from < daemons; from++) {
					for (int to = 0; to < daemons; to++) {
						if (from != to) {
							buckets.get(to).recordPeerSpending(now, "daemon-" + from, buckets.get(from).spent());
						}
					}
				}
			}
			if (random.nextInt(1_000) < 6 * RATE_PER_SECOND / 20
					&& buckets.get(random.nextInt(daemons)).trySpend(now, 20)) {
				spentAt[now] += 20;
			}
		}
		double allowed = (RATE_PER_SECOND * WINDOW_MILLISECONDS / 1_000 + BURST) * 1.1
				+ 11_000 * RATE_PER_SECOND / 25_000;
		double window = 0;
		double highest = 0;
		for (int now = 0; now < end; now++) {
			window += spentAt[now] - ((now >= WINDOW_MILLISECONDS) ? spentAt[now - WINDOW_MILLISECONDS] : 0);
			highest = Math.max(highest, window);
		}
		Truth.assertThat(highest).isAtMost(allowed);
		Truth.assertThat(highest).isAtLeast(RATE_PER_SECOND * WINDOW_MILLISECONDS / 1_000 * 0.5);
	}

}

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

	private static final double RATE = 1_000;

	private static final double BURST = 1_000;

	private static final int WINDOW_MILLISECONDS = 8_000;

	@Test
	void beginsEmptyAndFillsByTheRate() {
		SharedTokenBucket grant = new SharedTokenBucket(0, RATE, BURST);
		Truth.assertThat(grant.trySpend(0, 1)).isFalse();
		Truth.assertThat(grant.millisecondsUntilAvailable(0, 100)).isEqualTo(100);
		Truth.assertThat(grant.trySpend(100, 100)).isTrue();
		Truth.assertThat(grant.trySpend(100, 1)).isFalse();
	}

	@Test
	void neverHoldsMoreThanTheBurst() {
		SharedTokenBucket grant = new SharedTokenBucket(0, RATE, BURST);
		Truth.assertThat(grant.level(60_000)).isEqualTo(BURST);
	}

	@Test
	void costAboveTheBurstIsOwed() {
		SharedTokenBucket grant = new SharedTokenBucket(0, RATE, BURST);
		Truth.assertThat(grant.trySpend(5_000, 1_500)).isTrue();
		Truth.assertThat(grant.level(5_000)).isEqualTo(-500);
	}

	@Test
	void whatPeersSpendIsTakenOut() {
		SharedTokenBucket grant = new SharedTokenBucket(0, RATE, BURST);
		grant.setPeers(0, Set.of("peer"));
		grant.recordPeerSpending(1_000, "peer", 400);
		grant.recordPeerSpending(1_000, "peer", 700);
		Truth.assertThat(grant.level(1_000)).isEqualTo(700);
	}

	@Test
	void firstWordOfPeerCountsNothing() {
		SharedTokenBucket grant = new SharedTokenBucket(0, RATE, BURST);
		grant.setPeers(0, Set.of("peer"));
		grant.recordPeerSpending(1_000, "peer", 1_000_000);
		Truth.assertThat(grant.level(1_000)).isEqualTo(BURST);
	}

	@ParameterizedTest
	@CsvSource({ "1, 500", "3, 250", "9, 100" })
	void silentPeersAreTakenToSpendTheirPart(int peers, double left) {
		SharedTokenBucket grant = new SharedTokenBucket(0, RATE, 100_000);
		Set<String> names = new HashSet<>();
		for (int index = 0; index < peers; index++) {
			names.add("peer-" + index);
		}
		grant.setPeers(0, names);
		Truth.assertThat(grant.level(1_000)).isWithin(0.001).of(left);
	}

	@Test
	void peerThatSpeaksAgainGivesBackWhatItDidNotSpend() {
		SharedTokenBucket grant = new SharedTokenBucket(0, RATE, 100_000);
		grant.setPeers(0, Set.of("peer"));
		grant.recordPeerSpending(0, "peer", 0);
		Truth.assertThat(grant.level(1_000)).isWithin(0.001).of(500);
		grant.recordPeerSpending(1_000, "peer", 100);
		Truth.assertThat(grant.level(1_000)).isWithin(0.001).of(900);
	}

	@Test
	void lowerLimitHoldsAtOnce() {
		SharedTokenBucket grant = new SharedTokenBucket(0, RATE, BURST);
		grant.setLimits(2_000, 10, 10);
		Truth.assertThat(grant.level(2_000)).isEqualTo(10);
	}

	/**
	 * One organisation asks for several times its rate at all daemons while they hear
	 * each other late, and for a time not at all.
	 * @param daemons how many daemons
	 * @param delay how late they hear each other, milliseconds
	 * @param cutFrom when they stop hearing each other
	 * @param cutUntil when they hear each other again
	 */
	@ParameterizedTest
	@CsvSource({ "4, 150, -1, -1", "4, 300, -1, -1", "4, 150, 5000, 12000", "34, 300, 5000, 12000",
			"2, 150, 3000, 20000" })
	void hotOrganisationStaysWithinItsGrantOverAllDaemons(int daemons, int delay, int cutFrom, int cutUntil) {
		Random random = new Random(7);
		List<SharedTokenBucket> grants = new ArrayList<>();
		for (int index = 0; index < daemons; index++) {
			SharedTokenBucket grant = new SharedTokenBucket(0, RATE, BURST);
			Set<String> peers = new HashSet<>();
			for (int other = 0; other < daemons; other++) {
				if (other != index) {
					peers.add("daemon-" + other);
				}
			}
			grant.setPeers(0, peers);
			grants.add(grant);
		}
		int end = 30_000;
		double[] spentAt = new double[end];
		for (int now = 0; now < end; now++) {
			boolean cut = now >= cutFrom && now < cutUntil;
			if (now % delay == 0 && !cut) {
				for (int from = 0; from < daemons; from++) {
					for (int to = 0; to < daemons; to++) {
						if (from != to) {
							grants.get(to).recordPeerSpending(now, "daemon-" + from, grants.get(from).spent());
						}
					}
				}
			}
			if (random.nextInt(1_000) < 6 * RATE / 20 && grants.get(random.nextInt(daemons)).trySpend(now, 20)) {
				spentAt[now] += 20;
			}
		}
		double allowed = (RATE * WINDOW_MILLISECONDS / 1_000 + BURST) * 1.1 + 11_000 * RATE / 25_000;
		double window = 0;
		double most = 0;
		for (int now = 0; now < end; now++) {
			window += spentAt[now] - ((now >= WINDOW_MILLISECONDS) ? spentAt[now - WINDOW_MILLISECONDS] : 0);
			most = Math.max(most, window);
		}
		Truth.assertThat(most).isAtMost(allowed);
		Truth.assertThat(most).isAtLeast(RATE * WINDOW_MILLISECONDS / 1_000 * 0.5);
	}

}

package org.masticshelf.serving.quarantine;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.function.Predicate;
import java.util.function.ToLongFunction;

import org.masticshelf.kernel.quarantine.EndpointCrash;
import org.masticshelf.kernel.quarantine.RequestFingerprint;
import org.masticshelf.serving.peer.PeerMessage;

/**
 * Selects the evidence that fits into one message.
 * <p>
 * Designed for crashes that break many requests, each of them new: segments and whole
 * requests have a share of the message each, so that neither displaces the other. Whole
 * requests that are suspected come first, the others by turns, so that all are told in a
 * series of messages. Not thread-safe.
 */
final class EvidenceSelection {

	private static final int MAXIMUM_CRASHES = 24;

	private static final int MAXIMUM_SEGMENTS_PER_CRASH = 32;

	private static final int MAXIMUM_SEGMENT_CHARACTERS = 24_000;

	private static final int MAXIMUM_REQUESTS = 384;

	private static final int MAXIMUM_ANSWERED_SEGMENTS = 64;

	private static final int MAXIMUM_ANSWERED_REQUESTS = 64;

	/** Chooses whose turn it is; any seed does. */
	private final Random random = new Random(0);

	/**
	 * Selects what is told of crashes and answers.
	 * @param crashes the crashes with the fingerprints that may be told, gravest first
	 * @param answered the ages of answers by fingerprint
	 * @param suspected the fingerprints that are suspected
	 * @param answeredAt returns when a fingerprint was last answered
	 * @param now the monotonic time in milliseconds
	 * @return the evidence
	 */
	PeerMessage.CrashEvidence select(List<EndpointCrash> crashes, Map<String, Long> answered, Set<String> suspected,
			ToLongFunction<String> answeredAt, long now) {
		Map<String, Map<String, Integer>> requests = selectRequests(crashes, suspected);
		int characters = MAXIMUM_SEGMENT_CHARACTERS;
		List<PeerMessage.Crash> reported = new ArrayList<>();
		for (EndpointCrash crash : crashes) {
			Map<String, Integer> told = longestUnanswered(filter(crash.fingerprints(), EvidenceSelection::isSegment),
					MAXIMUM_SEGMENTS_PER_CRASH, answeredAt);
			characters -= told.keySet().stream().mapToInt(String::length).sum();
			told = (characters >= 0) ? new HashMap<>(told) : new HashMap<>();
			told.putAll(requests.getOrDefault(crash.run(), Map.of()));
			if (!told.isEmpty() && reported.size() < MAXIMUM_CRASHES) {
				reported.add(new PeerMessage.Crash(crash.run(), crash.address(), now - crash.at(), told));
			}
		}
		Map<String, Long> answers = limit(answered, EvidenceSelection::isSegment, MAXIMUM_ANSWERED_SEGMENTS);
		answers.putAll(limit(answered, RequestFingerprint::isOfWholeRequest, MAXIMUM_ANSWERED_REQUESTS));
		return new PeerMessage.CrashEvidence(reported, answers);
	}

	private Map<String, Map<String, Integer>> selectRequests(List<EndpointCrash> crashes, Set<String> suspected) {
		List<Observation> observations = new ArrayList<>();
		for (EndpointCrash crash : crashes) {
			crash.fingerprints().forEach((fingerprint, position) -> {
				if (RequestFingerprint.isOfWholeRequest(fingerprint)) {
					observations.add(new Observation(crash.run(), fingerprint, position));
				}
			});
		}
		Collections.shuffle(observations, this.random);
		observations.sort(Comparator.comparing((observation) -> !suspected.contains(observation.fingerprint())));
		Map<String, Map<String, Integer>> selected = new HashMap<>();
		for (Observation observation : observations.subList(0, Math.min(MAXIMUM_REQUESTS, observations.size()))) {
			selected.computeIfAbsent(observation.run(), (run) -> new HashMap<>())
				.put(observation.fingerprint(), observation.position());
		}
		return selected;
	}

	/**
	 * Bounds the segments and the whole requests of a crash, each for themselves.
	 * @param fingerprints the fingerprints with their positions
	 * @param limit how many of each kind are kept
	 * @param answeredAt returns when a fingerprint was last answered
	 * @return those that have not been answered for longest
	 */
	static Map<String, Integer> bound(Map<String, Integer> fingerprints, int limit, ToLongFunction<String> answeredAt) {
		if (fingerprints.size() <= limit) {
			return fingerprints;
		}
		Map<String, Integer> kept = new HashMap<>(
				longestUnanswered(filter(fingerprints, EvidenceSelection::isSegment), limit, answeredAt));
		kept.putAll(longestUnanswered(filter(fingerprints, RequestFingerprint::isOfWholeRequest), limit, answeredAt));
		return kept;
	}

	private static Map<String, Integer> longestUnanswered(Map<String, Integer> fingerprints, int limit,
			ToLongFunction<String> answeredAt) {
		if (fingerprints.size() <= limit) {
			return fingerprints;
		}
		Map<String, Integer> kept = new HashMap<>();
		fingerprints.keySet()
			.stream()
			.sorted(Comparator.comparingLong(answeredAt).thenComparing(Comparator.naturalOrder()))
			.limit(limit)
			.forEach((fingerprint) -> kept.put(fingerprint, fingerprints.get(fingerprint)));
		return kept;
	}

	private static boolean isSegment(String fingerprint) {
		return !RequestFingerprint.isOfWholeRequest(fingerprint);
	}

	private static <V> Map<String, V> filter(Map<String, V> fingerprints, Predicate<String> condition) {
		return limit(fingerprints, condition, Integer.MAX_VALUE);
	}

	private static <V> Map<String, V> limit(Map<String, V> fingerprints, Predicate<String> condition, int limit) {
		Map<String, V> kept = new HashMap<>();
		fingerprints.forEach((fingerprint, value) -> {
			if (kept.size() < limit && condition.test(fingerprint)) {
				kept.put(fingerprint, value);
			}
		});
		return kept;
	}

	/**
	 * A whole request that broke with a run of an endpoint.
	 *
	 * @param run identifies the run
	 * @param fingerprint the fingerprint of the request
	 * @param position its position behind the segments of its prompt
	 */
	private record Observation(String run, String fingerprint, int position) {
	}

}

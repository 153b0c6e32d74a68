package org.masticshelf.kernel.quarantine;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.ToLongFunction;

import org.jspecify.annotations.Nullable;

/**
 * Attributes crashes of endpoints to what the requests that they had just been given have
 * in common: segments of their prompts, or the whole request.
 * <p>
 * Designed for segments and requests that crash every endpoint that runs them, and that
 * arrive at all daemons among sound requests that share their other segments and are on
 * the crashing endpoints, too. A request that is answered clears its fingerprints of all
 * earlier crashes. Of the fingerprints that remain, the most blamed one explains its
 * crashes, which then no longer speak against those beside it. A fingerprint that is
 * blamed wrongly loses that place as soon as the true one crashes endpoints without it.
 * <p>
 * Endpoints that crash at the same moment may have a cause outside their requests, and
 * repeated crashes at one address may be the fault of that instance. The former implicate
 * neither a whole request, which may be under way at many endpoints, nor a segment that
 * was answered before; the latter, like such an answer, need one crash more. Stateless
 * and thread-safe.
 */
public final class CrashAttribution {

	/** The time of a fingerprint that has never been answered. */
	public static final long NEVER = Long.MIN_VALUE;

	/** The crashes after which a fingerprint is implicated. */
	static final int IMPLICATING_CRASHES = 3;

	/** Crashes within this time may have a common cause outside the requests. */
	static final long SIMULTANEOUS_MILLISECONDS = 250;

	/**
	 * The blame, in crashes, of a fingerprint that was never answered: sound segments
	 * mostly have been.
	 */
	private static final double NEVER_ANSWERED_BLAME = 1.5;

	/**
	 * The blame, in crashes, of each place further behind in the prompt: what stands
	 * behind is shared by fewer sound requests.
	 */
	private static final double POSITION_BLAME = 1;

	private static final int MAXIMUM_BLAMED_POSITION = 3;

	/**
	 * The blame, in crashes, of a whole request: no sound request shares it, but a
	 * segment that was never answered explains the crashes of its other requests, too. A
	 * segment that was answered does not exceed it.
	 */
	private static final double WHOLE_REQUEST_BLAME = 1;

	private CrashAttribution() {
	}

	/**
	 * Judges all fingerprints.
	 * @param crashes the recent crashes, each run once
	 * @param answeredAt returns when a request with a fingerprint last began to be
	 * answered, monotonic milliseconds, {@link #NEVER} if it never did
	 * @return the verdicts on the fingerprints that are suspected or implicated
	 */
	public static Map<String, CrashVerdict> judge(Collection<EndpointCrash> crashes,
			ToLongFunction<String> answeredAt) {
		Map<String, Suspect> suspects = new HashMap<>();
		for (EndpointCrash crash : crashes) {
			crash.fingerprints().forEach((fingerprint, position) -> {
				long answered = answeredAt.applyAsLong(fingerprint);
				if (answered < crash.at()) {
					suspects.computeIfAbsent(fingerprint, (key) -> new Suspect(key, position, answered)).crashes
						.add(crash);
				}
			});
		}
		suspects.values().removeIf((suspect) -> suspect.crashes.size() < IMPLICATING_CRASHES - 1);
		Map<String, CrashVerdict> verdicts = new HashMap<>();
		Suspect mostBlamed = findMostBlamed(suspects.values());
		while (mostBlamed != null) {
			suspects.remove(mostBlamed.fingerprint);
			verdicts.put(mostBlamed.fingerprint, mostBlamed.implicate());
			Set<EndpointCrash> explained = new HashSet<>(mostBlamed.crashes);
			suspects.values().forEach((suspect) -> suspect.crashes.removeIf(explained::contains));
			mostBlamed = findMostBlamed(suspects.values());
		}
		for (Suspect suspect : suspects.values()) {
			if (suspect.speaksAgainst(suspect.crashes, 1)) {
				verdicts.put(suspect.fingerprint, new CrashVerdict.Suspected(suspect.latestFirst()));
			}
		}
		return verdicts;
	}

	private static @Nullable Suspect findMostBlamed(Collection<Suspect> suspects) {
		return suspects.stream()
			.filter((suspect) -> suspect.speaksAgainst(suspect.crashes, 0))
			.max(Comparator.comparingDouble(Suspect::blame)
				.thenComparing((suspect) -> suspect.position)
				.thenComparing((suspect) -> suspect.fingerprint))
			.orElse(null);
	}

	/** A fingerprint with the unexplained crashes since its last answer. */
	private static final class Suspect {

		private final String fingerprint;

		private final int position;

		private final boolean answeredBefore;

		private final List<EndpointCrash> crashes = new ArrayList<>();

		private Suspect(String fingerprint, int position, long answeredAt) {
			this.fingerprint = fingerprint;
			this.position = position;
			this.answeredBefore = answeredAt != NEVER;
		}

		private double blame() {
			if (RequestFingerprint.isOfWholeRequest(this.fingerprint)) {
				return this.crashes.size() + WHOLE_REQUEST_BLAME;
			}
			double ofPosition = POSITION_BLAME * Math.min(this.position, MAXIMUM_BLAMED_POSITION);
			return this.crashes.size() + (this.answeredBefore ? Math.min(ofPosition, WHOLE_REQUEST_BLAME)
					: NEVER_ANSWERED_BLAME + ofPosition);
		}

		/**
		 * Returns whether crashes implicate this fingerprint.
		 * @param considered the crashes
		 * @param spared how many fewer crashes than for an implication suffice
		 * @return whether they suffice
		 */
		private boolean speaksAgainst(List<EndpointCrash> considered, int spared) {
			long addresses = considered.stream().map(EndpointCrash::address).distinct().count();
			int needed = IMPLICATING_CRASHES + (this.answeredBefore ? 1 : 0) + ((addresses == 1) ? 1 : 0) - spared;
			if (considered.size() < needed) {
				return false;
			}
			long first = considered.stream().mapToLong(EndpointCrash::at).min().orElseThrow();
			long last = considered.stream().mapToLong(EndpointCrash::at).max().orElseThrow();
			boolean mayCoincide = !this.answeredBefore
					&& (spared > 0 || !RequestFingerprint.isOfWholeRequest(this.fingerprint));
			return mayCoincide || last - first > SIMULTANEOUS_MILLISECONDS;
		}

		private CrashVerdict.Implicated implicate() {
			List<EndpointCrash> latestFirst = latestFirst();
			int needed = IMPLICATING_CRASHES;
			while (needed < latestFirst.size() && !speaksAgainst(latestFirst.subList(0, needed), 0)) {
				needed++;
			}
			return new CrashVerdict.Implicated(latestFirst, needed);
		}

		private List<EndpointCrash> latestFirst() {
			return this.crashes.stream().sorted(Comparator.comparingLong(EndpointCrash::at).reversed()).toList();
		}

	}

}

package org.masticshelf.kernel.routing;

import java.util.List;

import org.jspecify.annotations.Nullable;

/**
 * Chooses the endpoint for a request by the time that its first event is expected to take
 * there, relative to the request's objective.
 * <p>
 * Load pattern: endpoints of different speed, and long prompts that arrive at several
 * daemons at once and delay all streams of the endpoint that reads them. Invariants: an
 * endpoint that is full is never chosen; each choice reads each candidate a fixed number
 * of times. Stateless and thread-safe.
 */
public final class ExpectedTimeSelection {

	/** The share of the objective within which endpoints count as equally good. */
	static final double WELL_WITHIN_OBJECTIVE_SHARE = 0.5;

	/**
	 * The share of the objective and of the allowed pause up to which deferrable requests
	 * are kept to slower endpoints. A spell in which an engine takes 2.5 times as long
	 * then stays within both.
	 */
	static final double DEFERRABLE_SHARE = 0.25;

	/**
	 * The share of the allowed pause up to which the endpoint that a shared prompt hashes
	 * to is preferred.
	 */
	static final double AFFINITY_PAUSE_SHARE = 0.75;

	/** The relative difference up to which expected times count as equal. */
	static final double NEAR_EQUAL_FACTOR = 1.1;

	/**
	 * The most prompt tokens that an engine reads between two steps of generation. Larger
	 * prompts are read in several chunks, and streams advance in between.
	 */
	static final long MAXIMUM_CHUNK_TOKENS = 4_096;

	/**
	 * The penalty in requests that counts as much as an expected time of one objective.
	 * The penalty of a silent failure domain then exceeds two objectives, that of another
	 * failure domain a thirtieth of one.
	 */
	private static final double PENALTY_REQUESTS_PER_OBJECTIVE = 16;

	private ExpectedTimeSelection() {
	}

	/**
	 * Chooses an endpoint.
	 * @param candidates the endpoints that hold what the request needs
	 * @param work what the request asks for
	 * @param rates the time that endpoints of median speed take
	 * @param seed draws among equally good endpoints
	 * @return the chosen candidate, {@code null} if none takes requests
	 */
	public static @Nullable TimedCandidate choose(List<TimedCandidate> candidates, PromptWork work, MedianRates rates,
			int seed) {
		int preferred = findPreferred(candidates, work.sharedPrompt());
		long sharedTokens = work.sharedTokens();
		boolean anyUnaffected = false;
		double[] costs = new double[candidates.size()];
		boolean[] pausing = new boolean[costs.length];
		for (int index = 0; index < costs.length; index++) {
			TimedCandidate candidate = candidates.get(index);
			long unread = work.promptTokens() - ((candidate.hasRead() || index == preferred) ? sharedTokens : 0);
			boolean full = candidate.candidate().full();
			costs[index] = full ? Double.POSITIVE_INFINITY : cost(candidate, unread, work, rates);
			pausing[index] = !full && pause(candidate, unread, work, rates) > 1;
			anyUnaffected |= !full && !pausing[index];
		}
		double best = Double.POSITIVE_INFINITY;
		double slowestDeferrable = 0;
		for (int index = 0; index < costs.length; index++) {
			if (pausing[index] && anyUnaffected) {
				costs[index] = Double.POSITIVE_INFINITY;
			}
			best = Math.min(best, costs[index]);
			if (work.isDeferrable() && costs[index] <= DEFERRABLE_SHARE) {
				slowestDeferrable = Math.max(slowestDeferrable, candidates.get(index).pace());
			}
		}
		double limit = (best <= WELL_WITHIN_OBJECTIVE_SHARE) ? WELL_WITHIN_OBJECTIVE_SHARE : best * NEAR_EQUAL_FACTOR;
		if (preferred >= 0 && costs[preferred] <= Math.max(limit, AFFINITY_PAUSE_SHARE)) {
			// A pause that is allowed does not outweigh a second reading elsewhere.
			TimedCandidate candidate = candidates.get(preferred);
			if (wait(candidate, work.promptTokens() - sharedTokens, work, rates) + penalty(candidate) <= limit) {
				return candidate;
			}
		}
		if (slowestDeferrable > 0) {
			return chooseOfTwo(candidates, costs, DEFERRABLE_SHARE, Math.min(1, slowestDeferrable) / NEAR_EQUAL_FACTOR,
					seed);
		}
		return chooseOfTwo(candidates, costs, limit, 0, seed);
	}

	/**
	 * Draws two of the candidates within a limit and returns the one that costs less, so
	 * that daemons with the same view of the endpoints do not all choose the same one.
	 * @param candidates the candidates
	 * @param costs their expected times in objectives, infinite for those left out
	 * @param limit the maximum cost
	 * @param minimumPace the minimum ratio of the time that a candidate takes
	 * @param seed draws the candidates
	 * @return the candidate, {@code null} if there is none within the limit
	 */
	private static @Nullable TimedCandidate chooseOfTwo(List<TimedCandidate> candidates, double[] costs, double limit,
			double minimumPace, int seed) {
		int first = -1;
		int second = -1;
		int firstDraw = 0;
		int secondDraw = 0;
		for (int index = 0; index < costs.length; index++) {
			if (Double.isInfinite(costs[index]) || costs[index] > limit || candidates.get(index).pace() < minimumPace) {
				continue;
			}
			int draw = mix(candidates.get(index).candidate().identifier().hashCode() ^ seed);
			if (first < 0 || draw > firstDraw) {
				second = first;
				secondDraw = firstDraw;
				first = index;
				firstDraw = draw;
			}
			else if (second < 0 || draw > secondDraw) {
				second = index;
				secondDraw = draw;
			}
		}
		if (first < 0) {
			return null;
		}
		return candidates.get((second >= 0 && costs[second] < costs[first]) ? second : first);
	}

	private static int findPreferred(List<TimedCandidate> candidates, String sharedPrompt) {
		int preferred = -1;
		long highest = -1;
		for (int index = 0; index < candidates.size() && !sharedPrompt.isEmpty(); index++) {
			if (!candidates.get(index).candidate().full()) {
				long weight = EndpointSelection.rendezvousWeight(candidates.get(index).candidate(), sharedPrompt);
				preferred = (weight > highest) ? index : preferred;
				highest = Math.max(highest, weight);
			}
		}
		return preferred;
	}

	private static int mix(int value) {
		int mixed = (value ^ (value >>> 16)) * 0x85ebca6b;
		mixed = (mixed ^ (mixed >>> 13)) * 0xc2b2ae35;
		return mixed ^ (mixed >>> 16);
	}

	private static double cost(TimedCandidate candidate, long unreadTokens, PromptWork work, MedianRates rates) {
		return Math.max(wait(candidate, unreadTokens, work, rates), pause(candidate, unreadTokens, work, rates))
				+ penalty(candidate);
	}

	private static double wait(TimedCandidate candidate, long unreadTokens, PromptWork work, MedianRates rates) {
		double reading = (candidate.backlogTokens() + unreadTokens) * rates.tokenMilliseconds();
		double step = rates.stepMilliseconds() * candidate.candidate().requests();
		return (reading + step) * candidate.pace() / work.objectiveMilliseconds();
	}

	private static double penalty(TimedCandidate candidate) {
		double requests = candidate.candidate().penalty()
				+ (candidate.candidate().sameDomain() ? 0 : EndpointSelection.OTHER_DOMAIN_PENALTY_REQUESTS);
		return requests / PENALTY_REQUESTS_PER_OBJECTIVE;
	}

	/**
	 * Returns how long streams of an endpoint pause while it reads the next chunk, if the
	 * request is sent there.
	 * @param candidate the endpoint
	 * @param unreadTokens the tokens of the request's prompt that it has yet to read
	 * @param work what the request asks for
	 * @param rates the time that endpoints of median speed take
	 * @return the pause in allowed pauses, 0 if no stream runs there
	 */
	private static double pause(TimedCandidate candidate, long unreadTokens, PromptWork work, MedianRates rates) {
		if (work.gapObjectiveMilliseconds() <= 0 || candidate.candidate().requests() <= 0) {
			return 0;
		}
		double chunk = Math.min(MAXIMUM_CHUNK_TOKENS, candidate.backlogTokens() + unreadTokens);
		return chunk * rates.tokenMilliseconds() * candidate.pace() / work.gapObjectiveMilliseconds();
	}

	/**
	 * The time that endpoints of a pool take at its median speed. Immutable.
	 *
	 * @param tokenMilliseconds the time to read a token of a prompt
	 * @param stepMilliseconds the time that each running request adds
	 */
	public record MedianRates(double tokenMilliseconds, double stepMilliseconds) {
	}

	/**
	 * An endpoint with what its speed depends on. Immutable.
	 *
	 * @param candidate the endpoint and its load
	 * @param backlogTokens the prompt tokens that it has yet to read for all daemons
	 * @param pace the ratio of the time that it takes to that of the pool's median
	 * @param hasRead whether it is known to have read the shared part of the prompt
	 */
	public record TimedCandidate(EndpointSelection.Candidate candidate, long backlogTokens, double pace,
			boolean hasRead) {
	}

}

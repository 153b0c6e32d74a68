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
	static final double COMFORTABLE_OBJECTIVE_SHARE = 0.5;

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
			pausing[index] = !full && pausesStreams(candidate, unread, work, rates);
			anyUnaffected |= !full && !pausing[index];
		}
		double best = Double.POSITIVE_INFINITY;
		double slowestComfortable = 0;
		for (int index = 0; index < costs.length; index++) {
			if (pausing[index] && anyUnaffected) {
				costs[index] = Double.POSITIVE_INFINITY;
			}
			best = Math.min(best, costs[index]);
			if (costs[index] <= COMFORTABLE_OBJECTIVE_SHARE) {
				slowestComfortable = Math.max(slowestComfortable, candidates.get(index).pace());
			}
		}
		boolean comfortable = best <= COMFORTABLE_OBJECTIVE_SHARE;
		double limit = comfortable ? COMFORTABLE_OBJECTIVE_SHARE : best * NEAR_EQUAL_FACTOR;
		if (preferred >= 0 && costs[preferred] <= limit) {
			return candidates.get(preferred);
		}
		double minimumPace = (comfortable && work.isDeferrable()) ? slowestComfortable / NEAR_EQUAL_FACTOR : 0;
		return chooseOfTwo(candidates, costs, limit, minimumPace, seed);
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
		double reading = (candidate.backlogTokens() + unreadTokens) * rates.tokenMilliseconds();
		double step = rates.stepMilliseconds() * candidate.candidate().requests() / candidate.parallel();
		double milliseconds = (rates.baseMilliseconds() + reading + step) * candidate.pace();
		double penalty = candidate.candidate().penalty()
				+ (candidate.candidate().sameDomain() ? 0 : EndpointSelection.OTHER_DOMAIN_PENALTY_REQUESTS);
		return milliseconds / work.objectiveMilliseconds() + penalty / PENALTY_REQUESTS_PER_OBJECTIVE;
	}

	private static boolean pausesStreams(TimedCandidate candidate, long unreadTokens, PromptWork work,
			MedianRates rates) {
		if (work.gapObjectiveMilliseconds() <= 0 || candidate.candidate().requests() <= 0) {
			return false;
		}
		double chunk = Math.min(MAXIMUM_CHUNK_TOKENS, candidate.backlogTokens() + unreadTokens);
		return chunk * rates.tokenMilliseconds() * candidate.pace() > work.gapObjectiveMilliseconds();
	}

	/**
	 * The time that endpoints of a pool take at its median speed. Immutable.
	 *
	 * @param baseMilliseconds the time for each request apart from its tokens
	 * @param tokenMilliseconds the time to read a token of a prompt
	 * @param stepMilliseconds the time that each running request adds
	 */
	public record MedianRates(double baseMilliseconds, double tokenMilliseconds, double stepMilliseconds) {
	}

	/**
	 * An endpoint with what its speed depends on. Immutable.
	 *
	 * @param candidate the endpoint and its load
	 * @param backlogTokens the prompt tokens that it has yet to read for all daemons
	 * @param pace the ratio of the time that it takes to that of the pool's median
	 * @param parallel the requests that share the time for a running request, 1 for
	 * engines
	 * @param hasRead whether it is known to have read the shared part of the prompt
	 */
	public record TimedCandidate(EndpointSelection.Candidate candidate, long backlogTokens, double pace, int parallel,
			boolean hasRead) {
	}

}

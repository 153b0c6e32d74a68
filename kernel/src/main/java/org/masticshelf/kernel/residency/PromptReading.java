package org.masticshelf.kernel.residency;

import java.util.Map;

/**
 * How much reading of prompts the models of a pool ask for, and how long it may make
 * streams pause.
 * <p>
 * Designed for streams that pause because one replica reads the prompts of many requests:
 * an engine reads prompts between the tokens that it generates for others, so prompts
 * that arrive together delay all of its streams. Immutable.
 *
 * @param tokensPerSecond the recent prompt tokens per second for each model
 * @param allowedPauseMilliseconds the longest pause between two events of a stream with
 * which callers count it as on time, 0 if no route of the pool states one
 */
public record PromptReading(Map<String, Double> tokensPerSecond, long allowedPauseMilliseconds) {

	/** For pools whose routes do not state an allowed pause. */
	public static final PromptReading UNKNOWN = new PromptReading(Map.of(), 0);

	/** The prompt tokens that an engine of normal speed reads in a second. */
	static final double ENGINE_TOKENS_PER_SECOND = 19_000;

	/**
	 * Standard deviations above the mean up to which the prompts that arrive within an
	 * allowed pause must be read in that time: those of 99 in 100 pauses.
	 */
	private static final double DEVIATIONS = 2.33;

	/** Creates the reading of a pool. */
	public PromptReading {
		tokensPerSecond = Map.copyOf(tokensPerSecond);
	}

	/**
	 * Returns the mean number of tokens of the pool's prompts.
	 * @param requestsPerSecond the recent request rate of each model
	 * @return the tokens per request, 0 if unknown
	 */
	double meanTokens(Map<String, Double> requestsPerSecond) {
		double tokens = 0;
		double requests = 0;
		for (Map.Entry<String, Double> entry : this.tokensPerSecond.entrySet()) {
			Double rate = requestsPerSecond.get(entry.getKey());
			if (rate != null) {
				tokens += entry.getValue();
				requests += rate;
			}
		}
		return (requests > 0 && this.allowedPauseMilliseconds > 0) ? tokens / requests : 0;
	}

	/**
	 * Returns how many requests with a prompt of mean length an engine may get.
	 * <p>
	 * With x requests in an allowed pause on average, Poisson arrivals and exponentially
	 * distributed lengths, the prompts of a pause have a mean of x and a standard
	 * deviation of the root of 2x mean prompts. The result is the x for which the mean
	 * and {@link #DEVIATIONS} standard deviations are what an engine reads in a pause.
	 * @param meanTokens the mean number of tokens of a prompt, positive
	 * @return the requests per second
	 */
	double requestsPerSecond(double meanTokens) {
		double pauseSeconds = this.allowedPauseMilliseconds / 1_000.0;
		double readable = pauseSeconds * ENGINE_TOKENS_PER_SECOND / meanTokens;
		double root = (Math.sqrt(2 * DEVIATIONS * DEVIATIONS + 4 * readable) - DEVIATIONS * Math.sqrt(2)) / 2;
		return root * root / pauseSeconds;
	}

}

package org.masticshelf.kernel.admission;

import org.jspecify.annotations.Nullable;

/**
 * What is known of how long endpoints take to answer, learned from answers that were
 * complete. Each part is a maximum that decays with each further answer, so that the
 * estimate follows endpoints that become slower at once and forgets outliers.
 * <p>
 * Invariant: an estimate never falls below the latest answer that it has learned from.
 * Immutable.
 *
 * @param startMilliseconds the time until the first output
 * @param tokenMilliseconds the time for each token of output, 0 if no answer stated its
 * tokens
 * @param wholeMilliseconds the time until the answer was complete
 */
public record ServiceTimeEstimate(double startMilliseconds, double tokenMilliseconds, double wholeMilliseconds) {

	/** What remains of a maximum after one more answer. */
	private static final double DECAY = 0.95;

	/** Answers with fewer tokens say little about the time for each of them. */
	private static final long MINIMUM_TOKENS = 16;

	/**
	 * Learns from an answer.
	 * @param known what was known before, {@code null} for nothing
	 * @param startMilliseconds how long the endpoint took to begin the answer
	 * @param wholeMilliseconds how long it took in all
	 * @param outputTokens the maximum number of tokens of the answer, negative if unknown
	 * @return what is known now
	 */
	public static ServiceTimeEstimate learn(@Nullable ServiceTimeEstimate known, long startMilliseconds,
			long wholeMilliseconds, long outputTokens) {
		double perToken = (outputTokens > 0)
				? (double) (wholeMilliseconds - startMilliseconds) / Math.max(MINIMUM_TOKENS, outputTokens) : 0;
		if (known == null) {
			return new ServiceTimeEstimate(startMilliseconds, perToken, wholeMilliseconds);
		}
		return new ServiceTimeEstimate(Math.max(startMilliseconds, DECAY * known.startMilliseconds),
				Math.max(perToken, DECAY * known.tokenMilliseconds),
				Math.max(wholeMilliseconds, DECAY * known.wholeMilliseconds));
	}

	/**
	 * Estimates how long a request may run.
	 * @param outputTokens the maximum number of tokens of its answer, negative if unknown
	 * @return the time in milliseconds
	 */
	public long milliseconds(long outputTokens) {
		boolean byTokens = outputTokens > 0 && this.tokenMilliseconds > 0;
		return (long) Math
			.ceil(byTokens ? this.startMilliseconds + outputTokens * this.tokenMilliseconds : this.wholeMilliseconds);
	}

}

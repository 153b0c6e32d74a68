package org.masticshelf.kernel.routing;

/**
 * Describes what a request asks of the endpoint that serves it, for the choice by
 * expected time. Immutable.
 *
 * @param promptTokens the tokens of the prompt, 0 if unknown or for a plain call
 * @param sharedPrompt identifies the shared part of the prompt, empty for none
 * @param objectiveMilliseconds the latency objective up to the first event or the answer
 * @param gapObjectiveMilliseconds the longest pause between two events that is allowed, 0
 * if the route has no streams
 */
public record PromptWork(long promptTokens, String sharedPrompt, long objectiveMilliseconds,
		long gapObjectiveMilliseconds) {

	/**
	 * The prompt tokens that an engine of normal speed reads in a millisecond, assumed
	 * until answers show otherwise.
	 */
	public static final double TYPICAL_TOKENS_PER_MILLISECOND = 20;

	/** Objectives above this mark requests that may be served by slower endpoints. */
	private static final long DEFERRABLE_OBJECTIVE_MILLISECONDS = 2_000;

	/** Creates the description of a request. */
	public PromptWork {
		promptTokens = Math.max(0, promptTokens);
		objectiveMilliseconds = Math.max(1, objectiveMilliseconds);
	}

	/**
	 * Returns whether the request leaves the fast endpoints to shorter objectives.
	 * @return whether it is deferrable
	 */
	public boolean isDeferrable() {
		return this.objectiveMilliseconds > DEFERRABLE_OBJECTIVE_MILLISECONDS;
	}

	/**
	 * Returns the tokens of the shared part of the prompt, which an endpoint that has
	 * read them does not read again.
	 * @return the tokens, 0 if the parts do not state theirs
	 */
	public long sharedTokens() {
		long sum = 0;
		long number = -1;
		int start = this.sharedPrompt.lastIndexOf(' ') + 1;
		for (int index = start; index <= this.sharedPrompt.length(); index++) {
			char character = (index < this.sharedPrompt.length()) ? this.sharedPrompt.charAt(index) : ',';
			if (character == ',') {
				sum += Math.max(0, number);
				number = -1;
			}
			else if (character == ':') {
				number = 0;
			}
			else if (number >= 0 && character >= '0' && character <= '9') {
				number = Math.min(this.promptTokens, number * 10 + (character - '0'));
			}
		}
		return Math.min(this.promptTokens, sum);
	}

}

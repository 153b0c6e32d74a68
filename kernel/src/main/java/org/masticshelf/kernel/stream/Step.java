package org.masticshelf.kernel.stream;

/**
 * Defines what to do with a piece of a streamed answer.
 */
public enum Step {

	/** It is the next one: send it to the caller. */
	FORWARD,

	/** The caller has already received it: drop it. */
	REPEATED,

	/** It belongs to another request: end the exchange. */
	OTHER_REQUEST,

	/** Pieces before it are missing: end the exchange. */
	GAP,

	/** It partly overlaps what the caller has received: end the exchange. */
	OVERLAP,

	/** Its exchange has ended: drop it. */
	LATE;

	/**
	 * Returns whether the exchange has to be ended.
	 * @return whether the answer cannot continue from this exchange
	 */
	public boolean breaksExchange() {
		return this == OTHER_REQUEST || this == GAP || this == OVERLAP;
	}

}

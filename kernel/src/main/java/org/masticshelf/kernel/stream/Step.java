package org.masticshelf.kernel.stream;

/**
 * What to do with a piece of a streamed answer.
 */
public enum Step {

	/** It comes next: send it to the caller. */
	FORWARD,

	/** The caller has got it already: drop it. */
	REPEATED,

	/** It belongs to another request: end the exchange. */
	OTHER_REQUEST,

	/** Pieces before it are missing: end the exchange. */
	GAP,

	/** It overlaps what the caller has got: end the exchange. */
	OVERLAP,

	/** The exchange that it comes from has ended: drop it. */
	LATE;

	/**
	 * Returns whether the exchange has to be ended.
	 * @return whether the answer cannot go on from this exchange
	 */
	public boolean breaksExchange() {
		return this == OTHER_REQUEST || this == GAP || this == OVERLAP;
	}

}

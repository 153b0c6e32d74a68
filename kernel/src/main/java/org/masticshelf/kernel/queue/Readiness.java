package org.masticshelf.kernel.queue;

/**
 * Whether the first waiting request of a lane can be dispatched now, and if not, why.
 */
public enum Readiness {

	/** It can be dispatched. */
	READY,

	/** Every endpoint that could serve it is full. */
	FULL,

	/** The model or adapter that it needs is not loaded. */
	COLD,

	/** The organisation has used up the tokens of its grant at this daemon. */
	NO_GRANT,

	/**
	 * The organisation has used up its tokens at this daemon and the keeper of its grant
	 * does not answer, so its rate is unknown.
	 */
	GRANT_UNKNOWN

}

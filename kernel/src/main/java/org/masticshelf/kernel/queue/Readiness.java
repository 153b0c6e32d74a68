package org.masticshelf.kernel.queue;

/**
 * Whether the first waiting request of a lane can be dispatched now, and why not.
 */
public enum Readiness {

	/** It can be dispatched. */
	READY,

	/** Every endpoint that could serve it is full. */
	FULL,

	/** What it needs is not loaded. */
	COLD,

	/** The organisation has no tokens of its grant left at this daemon. */
	NO_GRANT,

	/**
	 * The organisation has no tokens left at this daemon and the keeper of its grant does
	 * not answer, so that nothing is known of its rate.
	 */
	GRANT_UNKNOWN

}

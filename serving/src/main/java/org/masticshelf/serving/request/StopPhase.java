package org.masticshelf.serving.request;

/**
 * The phases of a planned stop, in order.
 */
public enum StopPhase {

	/** No stop is planned. */
	RUNNING,

	/** Requests are served, and each connection is closed after its answer. */
	LEAVING,

	/** New requests are refused; accepted ones are served. */
	REFUSING,

	/** Waiting requests are refused too; only those already sent are served. */
	ENDING,

	/**
	 * What endpoints still work on is given up, and callers without an answer are told
	 * that it may have run.
	 */
	GIVING_UP

}

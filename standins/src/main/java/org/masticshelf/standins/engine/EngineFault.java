package org.masticshelf.standins.engine;

/** A fault of the engine, asked for by {@code POST /fault}. */
public enum EngineFault {

	/** Answers a request with bytes that are no JSON. */
	RUBBISH,

	/** Closes the connection in the middle of the answer. */
	SHORT_ANSWER,

	/** Ends the stream in the middle of the answer without an error. */
	SILENT_END,

	/** Answers with the identifier of another request. */
	OTHER_REQUEST,

	/** Stops in the middle of the answer for ten minutes. */
	STALL,

	/** Refuses a request before running it. */
	REFUSE,

	/** Dies in the middle of the next load. */
	DIE_MID_LOAD,

	/** Takes an order and closes the connection instead of answering. */
	LOSE_ORDER_ANSWER,

	/** Fails the next load after it began. */
	FAIL_LOAD

}

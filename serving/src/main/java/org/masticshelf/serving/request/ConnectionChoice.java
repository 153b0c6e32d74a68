package org.masticshelf.serving.request;

/** Which connection an exchange uses. */
enum ConnectionChoice {

	/** An idle connection if there is one. */
	POOLED,

	/**
	 * A new connection, because the endpoint has refused this request before: a second
	 * copy of that refusal would be taken for the answer, as it names the same request.
	 */
	NEW,

	/** A new connection that tests whether the endpoint is partitioned off. */
	PROBING

}

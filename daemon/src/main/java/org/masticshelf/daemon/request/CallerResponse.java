package org.masticshelf.daemon.request;

import java.util.Map;

import org.masticshelf.kernel.refusal.Refusal;

/**
 * The way back to a caller.
 * <p>
 * Invariant: either one whole answer or one stream of events is written; what comes after
 * its end has no effect. Implementations are safe for use by several threads.
 */
public interface CallerResponse {

	/**
	 * Answers whole.
	 * @param status the HTTP status
	 * @param headers the headers beside the request's identity
	 * @param body the body
	 */
	void respond(int status, Map<String, String> headers, byte[] body);

	/**
	 * Refuses the request, or ends a stream that has begun with an error event.
	 * @param refusal the refusal
	 * @param message what a person should know
	 */
	void refuse(Refusal refusal, String message);

	/**
	 * Sends an event of a stream, beginning the stream with the first.
	 * @param data the data of the event, one line
	 */
	void sendEvent(byte[] data);

	/** Ends the stream. */
	void finishStream();

	/**
	 * Sets what to do when the caller closes its connection before the answer has ended.
	 * @param action runs at most once
	 */
	void onDisconnect(Runnable action);

}

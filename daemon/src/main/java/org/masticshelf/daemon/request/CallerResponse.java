package org.masticshelf.daemon.request;

import java.util.Map;

import org.masticshelf.kernel.refusal.Refusal;

/**
 * Writes the response to a caller.
 * <p>
 * Invariant: either one complete response or one stream of events is written; calls after
 * its end have no effect. Implementations are safe for use by several threads.
 */
public interface CallerResponse {

	/**
	 * Sends a complete response.
	 * @param status the HTTP status
	 * @param headers the headers in addition to the request identifier
	 * @param body the body
	 */
	void respond(int status, Map<String, String> headers, byte[] body);

	/**
	 * Refuses the request, or ends a stream that has begun with an error event.
	 * @param refusal the refusal
	 * @param message a human-readable explanation
	 */
	void refuse(Refusal refusal, String message);

	/**
	 * Sends an event, and starts the stream with the first one.
	 * @param data the data of the event, one line
	 */
	void sendEvent(byte[] data);

	/** Ends the stream. */
	void finishStream();

	/**
	 * Sets the action to run if the caller closes its connection before the response has
	 * ended.
	 * @param action runs at most once
	 */
	void onDisconnect(Runnable action);

}

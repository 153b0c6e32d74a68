package org.masticshelf.serving.caller;

import java.io.IOException;
import java.util.List;

import org.masticshelf.kernel.serving.ServedRequest.Header;

/**
 * The way back to the caller of one request.
 * <p>
 * Invariant: an answer that was begun and not ended does not look complete to the caller.
 * One thread answers; {@link #isGone()} may be asked by any thread.
 */
public interface CallerChannel {

	/**
	 * Begins an answer.
	 * @param status the HTTP status
	 * @param headers the headers without those of framing
	 * @param length the length of the body, negative if it is not known
	 */
	void begin(int status, List<Header> headers, long length);

	/**
	 * Writes a piece of the body, waiting while the caller does not keep up.
	 * @param bytes the bytes
	 * @throws IOException if the caller has gone
	 */
	void write(byte[] bytes) throws IOException;

	/** Ends a whole answer. */
	void end();

	/** Closes the connection, so that an answer that was begun stays incomplete. */
	void abort();

	/**
	 * Returns whether the caller has closed its connection.
	 * @return whether nobody waits for the answer
	 */
	boolean isGone();

	/**
	 * Has an action run once the caller has gone, at once if it has already.
	 * @param action the action, which must not block
	 */
	void onGone(Runnable action);

	/**
	 * Has the connection closed after this answer.
	 */
	void closeAfterAnswer();

}

package org.masticshelf.serving.caller;

import java.io.IOException;
import java.util.List;

import org.masticshelf.kernel.serving.ServedRequest.Header;

/**
 * The channel on which the caller of one request is answered.
 * <p>
 * Invariant: an answer that was started and not ended does not look complete to the
 * caller. A single thread answers; {@link #isGone()} may be called by any thread.
 */
public interface CallerChannel {

	/**
	 * Starts an answer.
	 * @param status the HTTP status
	 * @param headers the headers, without framing headers
	 * @param length the length of the body, negative if unknown
	 */
	void begin(int status, List<Header> headers, long length);

	/**
	 * Writes a part of the body, blocking while the caller does not keep up.
	 * @param bytes the bytes
	 * @throws IOException if the caller has disconnected
	 */
	void write(byte[] bytes) throws IOException;

	/** Ends a complete answer. */
	void end();

	/** Closes the connection, so that an answer that was started stays incomplete. */
	void abort();

	/**
	 * Returns whether the caller has disconnected.
	 * @return whether the caller has closed its connection
	 */
	boolean isGone();

	/**
	 * Registers an action to run once the caller has disconnected, which is immediately
	 * if it already has.
	 * @param action the action, which must not block
	 * @return the registration, to be closed once the action no longer applies
	 */
	Registration onGone(Runnable action);

	/**
	 * Closes the connection after this answer.
	 */
	void closeAfterAnswer();

	/**
	 * Returns how many bytes of an answer may be read from its endpoint before the caller
	 * takes them.
	 * @return the number of bytes, {@link Long#MAX_VALUE} if it is not limited
	 */
	default long readAheadBytes() {
		return Long.MAX_VALUE;
	}

	/**
	 * Records that the body of the request is not needed any more.
	 */
	default void releaseBody() {
		// The bytes that are held for this caller are not counted.
	}

	/** The registration of an action. */
	@FunctionalInterface
	interface Registration extends AutoCloseable {

		/** Removes the action, which may be running in another thread. */
		@Override
		void close();

	}

}

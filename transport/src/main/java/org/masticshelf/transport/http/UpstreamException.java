package org.masticshelf.transport.http;

import java.io.IOException;

/**
 * Thrown if an exchange with a server yields no complete answer.
 */
public final class UpstreamException extends IOException {

	private static final long serialVersionUID = 2L;

	private final boolean disconnected;

	/**
	 * Creates an exception.
	 * @param message the message
	 */
	public UpstreamException(String message) {
		this(message, false);
	}

	private UpstreamException(String message, boolean disconnected) {
		super(message);
		this.disconnected = disconnected;
	}

	/**
	 * Creates an exception with a cause.
	 * @param message the message
	 * @param cause the cause
	 */
	public UpstreamException(String message, Throwable cause) {
		super(message, cause);
		this.disconnected = false;
	}

	/**
	 * Creates the exception of a connection that ended before the answer was complete.
	 * @param message the message
	 * @return the exception
	 */
	public static UpstreamException disconnected(String message) {
		return new UpstreamException(message, true);
	}

	/**
	 * Returns whether the connection ended before the answer was complete.
	 * @return whether it ended
	 */
	public boolean isDisconnected() {
		return this.disconnected;
	}

}

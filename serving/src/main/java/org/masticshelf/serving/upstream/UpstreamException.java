package org.masticshelf.serving.upstream;

import java.io.IOException;

/**
 * Thrown if an exchange with an endpoint yields no complete answer.
 */
public final class UpstreamException extends IOException {

	private static final long serialVersionUID = 1L;

	/**
	 * Creates an exception.
	 * @param message the message
	 */
	public UpstreamException(String message) {
		super(message);
	}

	/**
	 * Creates an exception with a cause.
	 * @param message the message
	 * @param cause the cause
	 */
	public UpstreamException(String message, Throwable cause) {
		super(message, cause);
	}

}

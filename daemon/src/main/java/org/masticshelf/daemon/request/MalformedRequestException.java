package org.masticshelf.daemon.request;

/**
 * Thrown if a request does not have the form that its route requires. Immutable.
 */
public final class MalformedRequestException extends RuntimeException {

	private static final long serialVersionUID = 1L;

	/**
	 * Creates an exception.
	 * @param message what is wrong, for the caller
	 */
	public MalformedRequestException(String message) {
		super(message);
	}

}

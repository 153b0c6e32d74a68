package org.masticshelf.daemon.request;

/**
 * A request that does not have the form that its route takes. Immutable.
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

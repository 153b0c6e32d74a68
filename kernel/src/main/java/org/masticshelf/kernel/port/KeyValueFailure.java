package org.masticshelf.kernel.port;

/**
 * The key-value service gave no usable answer.
 */
public final class KeyValueFailure extends RuntimeException {

	private static final long serialVersionUID = 1L;

	private final boolean maybeApplied;

	/**
	 * Creates a failure.
	 * @param message what was asked and what was seen
	 * @param maybeApplied whether a write may have taken effect all the same
	 */
	public KeyValueFailure(String message, boolean maybeApplied) {
		super(message);
		this.maybeApplied = maybeApplied;
	}

	/**
	 * Returns whether a write may have taken effect.
	 * @return {@code false} only if it certainly did not
	 */
	public boolean maybeApplied() {
		return this.maybeApplied;
	}

}

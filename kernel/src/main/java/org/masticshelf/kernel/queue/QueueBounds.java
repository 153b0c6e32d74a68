package org.masticshelf.kernel.queue;

/**
 * The bounds of a {@link FairQueue}.
 * <p>
 * Immutable.
 *
 * @param maximumWaiting the most requests that wait at once
 * @param quantumTokens the tokens that an organisation of weight 1 gains per round
 */
public record QueueBounds(int maximumWaiting, long quantumTokens) {

	/** The bounds of a daemon on a small instance. */
	public static final QueueBounds DEFAULT = new QueueBounds(2_000, 500);

	/**
	 * Creates bounds.
	 */
	public QueueBounds {
		if (maximumWaiting < 1 || quantumTokens < 1) {
			throw new IllegalArgumentException("bounds of a queue must be positive");
		}
	}

}

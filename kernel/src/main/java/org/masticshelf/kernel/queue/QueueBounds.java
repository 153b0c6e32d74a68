package org.masticshelf.kernel.queue;

/**
 * The bounds of a {@link FairQueue}. Immutable.
 *
 * @param maximumWaiting the maximum number of waiting requests
 * @param quantumTokens the tokens that an organisation of weight 1 gains per round
 * @param maximumGrantWaitNanoseconds the maximum time that a request may wait for tokens
 * of the grant behind others of its organisation
 */
public record QueueBounds(int maximumWaiting, long quantumTokens, long maximumGrantWaitNanoseconds) {

	private static final long DEFAULT_GRANT_WAIT_NANOSECONDS = 5_000_000_000L;

	/** The bounds of a daemon on a small instance. */
	public static final QueueBounds DEFAULT = new QueueBounds(2_000, 500);

	/** Creates bounds. */
	public QueueBounds {
		if (maximumWaiting < 1 || quantumTokens < 1 || maximumGrantWaitNanoseconds < 0) {
			throw new IllegalArgumentException("bounds of a queue must be positive");
		}
	}

	/**
	 * Creates bounds with the default maximum wait for tokens of the grant.
	 * @param maximumWaiting the maximum number of waiting requests
	 * @param quantumTokens the tokens that an organisation of weight 1 gains per round
	 */
	public QueueBounds(int maximumWaiting, long quantumTokens) {
		this(maximumWaiting, quantumTokens, DEFAULT_GRANT_WAIT_NANOSECONDS);
	}

}

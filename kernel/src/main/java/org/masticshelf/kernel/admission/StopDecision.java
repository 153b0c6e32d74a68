package org.masticshelf.kernel.admission;

/**
 * Decides whether a daemon that is about to stop sends a request to an endpoint.
 * <p>
 * Under load, requests arrive until callers have noticed the stop, wait for models and
 * then run for seconds. One that cannot end in time is better off at another daemon at
 * once than cut off at the end of the stop; one that ends in time is served, because each
 * refusal costs its caller a retry. Stateless and thread-safe.
 */
public sealed interface StopDecision {

	/**
	 * Decides on a request that is admitted, waits or is about to be sent.
	 * @param waitedMilliseconds how long it has waited
	 * @param waitMilliseconds the expected time until it can be sent, 0 for now, negative
	 * if unknown
	 * @param serviceMilliseconds how long an endpoint may take to answer it completely
	 * @param leftMilliseconds the time until the daemon stops, {@link Long#MAX_VALUE} if
	 * no stop has begun
	 * @return the decision
	 */
	static StopDecision decide(long waitedMilliseconds, long waitMilliseconds, long serviceMilliseconds,
			long leftMilliseconds) {
		if (leftMilliseconds == Long.MAX_VALUE) {
			return Serve.INSTANCE;
		}
		// A wait of unknown length is expected to last as long again.
		long wait = (waitMilliseconds >= 0) ? waitMilliseconds : waitedMilliseconds;
		long missing = wait + serviceMilliseconds - leftMilliseconds;
		return (missing <= 0) ? Serve.INSTANCE : new Refuse(missing);
	}

	/** The request ends in time. */
	enum Serve implements StopDecision {

		/** The only instance. */
		INSTANCE

	}

	/**
	 * The request may not end in time, so it is not sent.
	 *
	 * @param missingMilliseconds how much longer the daemon would have to run
	 */
	record Refuse(long missingMilliseconds) implements StopDecision {
	}

}

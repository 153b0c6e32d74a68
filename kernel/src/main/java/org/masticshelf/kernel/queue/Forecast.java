package org.masticshelf.kernel.queue;

import org.masticshelf.kernel.refusal.Refusal;

/**
 * The earliest start of a request as far as it does not depend on the queue. Immutable.
 *
 * @param waitNanoseconds the minimum time until the request can start, 0 if it can start
 * now
 * @param serviceNanoseconds the minimum time from its start to its answer
 * @param cause the reason to refuse the request with if it cannot start in time
 */
public record Forecast(long waitNanoseconds, long serviceNanoseconds, Refusal.Reason cause) {

	/** The request can start now, and its duration is unknown. */
	public static final Forecast NOW = new Forecast(0, 0, Refusal.Reason.DEADLINE_UNREACHABLE);

	/**
	 * Creates the forecast of a request whose model or adapter is not loaded.
	 * @param loadNanoseconds the time that the load takes
	 * @param serviceNanoseconds the minimum time from the start to the answer
	 * @return the forecast
	 */
	public static Forecast ofLoad(long loadNanoseconds, long serviceNanoseconds) {
		return new Forecast(loadNanoseconds, serviceNanoseconds, Refusal.Reason.COLD);
	}

	/**
	 * Creates the forecast of a request whose organisation lacks tokens.
	 * @param refillNanoseconds the time until the grant covers the request
	 * @param serviceNanoseconds the minimum time from the start to the answer
	 * @return the forecast
	 */
	public static Forecast ofGrant(long refillNanoseconds, long serviceNanoseconds) {
		return new Forecast(refillNanoseconds, serviceNanoseconds, Refusal.Reason.RATE_EXCEEDED);
	}

}

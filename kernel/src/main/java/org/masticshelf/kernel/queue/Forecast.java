package org.masticshelf.kernel.queue;

import org.masticshelf.kernel.refusal.Refusal;

/**
 * What is known outside the queue about the earliest start of a request.
 * <p>
 * Immutable.
 *
 * @param waitNanoseconds the least time until the request can start, 0 if it could now
 * @param serviceNanoseconds the least time from its start to its answer
 * @param cause why it cannot start earlier
 */
public record Forecast(long waitNanoseconds, long serviceNanoseconds, Refusal.Reason cause) {

	/** The request could start now and nothing is known about how long it runs. */
	public static final Forecast NOW = new Forecast(0, 0, Refusal.Reason.DEADLINE_UNREACHABLE);

	/**
	 * Creates the forecast of a request whose loadable is not loaded.
	 * @param wakeNanoseconds how long the load will take
	 * @param serviceNanoseconds the least time from the start to the answer
	 * @return the forecast
	 */
	public static Forecast ofLoad(long wakeNanoseconds, long serviceNanoseconds) {
		return new Forecast(wakeNanoseconds, serviceNanoseconds, Refusal.Reason.COLD);
	}

	/**
	 * Creates the forecast of a request whose organisation lacks tokens.
	 * @param refillNanoseconds how long until the grant covers the request
	 * @param serviceNanoseconds the least time from the start to the answer
	 * @return the forecast
	 */
	public static Forecast ofGrant(long refillNanoseconds, long serviceNanoseconds) {
		return new Forecast(refillNanoseconds, serviceNanoseconds, Refusal.Reason.RATE_EXCEEDED);
	}

}

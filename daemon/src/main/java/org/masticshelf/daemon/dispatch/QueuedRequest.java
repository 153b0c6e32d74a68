package org.masticshelf.daemon.dispatch;

import java.util.Set;

import org.jspecify.annotations.Nullable;

import org.masticshelf.kernel.configuration.Pool;
import org.masticshelf.kernel.configuration.QualifiedName;
import org.masticshelf.kernel.queue.Forecast;
import org.masticshelf.kernel.queue.Readiness;
import org.masticshelf.kernel.refusal.Refusal;

/**
 * A request that is queued for an endpoint of a pool.
 * <p>
 * Invariant: after it was submitted, exactly one of {@link #createRequest} and
 * {@link #refuse} is called for each time that it was queued. Implementations are safe
 * for use by several threads.
 */
public interface QueuedRequest {

	/**
	 * Returns the request identifier.
	 * @return the request identifier
	 */
	String requestIdentifier();

	/**
	 * Returns the organisation under which the request is queued.
	 * @return the organisation, or a substitute for requests open to all
	 */
	QualifiedName organisation();

	/**
	 * Returns the weight of the organisation in queueing.
	 * @return the weight, 1 or more
	 */
	int weight();

	/**
	 * Returns the lane of the queue, which names what has to be available to serve the
	 * request.
	 * @return the lane
	 */
	String lane();

	/**
	 * Returns the cost of the request.
	 * @return the cost in tokens, 1 or more
	 */
	long costTokens();

	/**
	 * Returns the deadline.
	 * @return the time on the monotonic clock in nanoseconds
	 */
	long deadlineNanoseconds();

	/**
	 * Returns the endpoints that can serve the request now.
	 * @return identifiers of endpoints, empty if none holds what it needs
	 */
	Set<String> candidateEndpoints();

	/**
	 * Returns the endpoints at which the request has failed before.
	 * @return identifiers of endpoints to avoid if there are others
	 */
	Set<String> excludedEndpoints();

	/**
	 * Returns the hash of the prompt's prefix.
	 * @return the hash, or {@code null} if affinity does not matter
	 */
	@Nullable Long prefixHash();

	/**
	 * Returns the forecast of the earliest start.
	 * @return the forecast
	 */
	Forecast forecast();

	/**
	 * Returns whether the organisation's grant covers the cost now.
	 * @return {@link Readiness#READY} if {@link #charge()} would succeed, else
	 * {@link Readiness#NO_GRANT} or {@link Readiness#GRANT_UNKNOWN}
	 */
	Readiness grantReadiness();

	/**
	 * Charges the cost to the organisation's grant.
	 * @return whether the grant covered it
	 */
	boolean charge();

	/**
	 * Sends the request to an endpoint.
	 * @param endpoint the endpoint
	 * @param slot the slot to release when the exchange has ended
	 */
	void send(Pool.Endpoint endpoint, Slot slot);

	/**
	 * Refuses the request instead of sending it.
	 * @param refusal the refusal
	 */
	void refuse(Refusal refusal);

}

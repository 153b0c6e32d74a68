package org.masticshelf.daemon.dispatch;

import java.util.Set;

import org.jspecify.annotations.Nullable;

import org.masticshelf.kernel.configuration.Pool;
import org.masticshelf.kernel.configuration.QualifiedName;
import org.masticshelf.kernel.queue.Forecast;
import org.masticshelf.kernel.queue.Readiness;
import org.masticshelf.kernel.refusal.Refusal;

/**
 * A request on its way to an endpoint of a pool.
 * <p>
 * Invariant: after it was submitted, exactly one of {@link #send} and {@link #refuse} is
 * called for each time that it was queued. Implementations are safe for use by several
 * threads.
 */
public interface QueuedRequest {

	/**
	 * Returns the identity of the request.
	 * @return the request identifier
	 */
	String requestIdentifier();

	/**
	 * Returns the organisation that the request is queued under.
	 * @return the organisation, or a stand-in for requests open to all
	 */
	QualifiedName organisation();

	/**
	 * Returns the share of the organisation in queueing.
	 * @return the weight, 1 or more
	 */
	int weight();

	/**
	 * Returns what has to be available to serve the request.
	 * @return the lane of the queue
	 */
	String lane();

	/**
	 * Returns the cost of the request.
	 * @return the cost in tokens, 1 or more
	 */
	long costTokens();

	/**
	 * Returns the deadline.
	 * @return the monotonic reading in nanoseconds
	 */
	long deadlineNanoseconds();

	/**
	 * Returns the endpoints that can serve the request now.
	 * @return identifiers of endpoints, empty if none holds what it needs
	 */
	Set<String> candidateEndpoints();

	/**
	 * Returns the endpoints that failed the request before.
	 * @return identifiers of endpoints to avoid if there are others
	 */
	Set<String> excludedEndpoints();

	/**
	 * Returns the hash of the prompt's prefix.
	 * @return the hash, or {@code null} if affinity does not matter
	 */
	@Nullable Long prefixHash();

	/**
	 * Returns what is known about the earliest start.
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
	 * @param slot is told how the exchange ended
	 */
	void send(Pool.Endpoint endpoint, Slot slot);

	/**
	 * Ends the request without sending it now.
	 * @param refusal why
	 */
	void refuse(Refusal refusal);

}

package org.masticshelf.serving.upstream;

import java.util.List;

import org.jspecify.annotations.Nullable;

import org.masticshelf.kernel.serving.ServedEndpoint;
import org.masticshelf.kernel.serving.ServedRequest;
import org.masticshelf.kernel.serving.ServedRequest.Header;
import org.masticshelf.transport.http.AnswerHead;

/**
 * The wire format of requests to endpoints and their answers. Implementations are
 * stateless and thread-safe.
 */
public interface EndpointProtocol {

	/**
	 * Returns the headers that the daemon adds to a request.
	 * @param outbound the request to be sent
	 * @return the headers
	 */
	List<Header> requestHeaders(OutboundRequest outbound);

	/**
	 * Reads the metadata of an answer from its head.
	 * @param head the head of the answer
	 * @return the metadata
	 */
	AnswerMetadata answerMetadata(AnswerHead head);

	/**
	 * A request that is sent to an endpoint.
	 *
	 * @param request the request
	 * @param endpoint the endpoint
	 * @param organisation the organisation that pays, {@code null} on an open route
	 * @param priority its rank, 0 is the most urgent
	 * @param remainingMilliseconds how long the caller still waits
	 * @param resumeAfter the last event that the caller already has, {@code null} for
	 * none
	 */
	record OutboundRequest(ServedRequest request, ServedEndpoint endpoint, @Nullable String organisation, int priority,
			long remainingMilliseconds, @Nullable String resumeAfter) {
	}

	/**
	 * The metadata of an answer.
	 *
	 * @param requestIdentifier the identifier of the answered request, {@code null} if
	 * missing
	 * @param notRun whether the answer states that the request did not run
	 * @param otherEndpoint whether another endpoint answers at the address, or the
	 * endpoint lacks what the request needs
	 * @param genuine whether the answer carries the marker of the endpoint itself
	 * @param requestLimit the requests a second that the endpoint takes from all daemons
	 * together, {@code null} if it states no limit
	 * @param leaving whether the endpoint states that it is leaving
	 * @param pauseMilliseconds how long the endpoint wants no requests of this daemon, 0
	 * if it does not say so
	 * @param coldRemainingMilliseconds how long the endpoint is still cold, 0 if it is
	 * warm, {@code null} if it does not say
	 */
	record AnswerMetadata(@Nullable String requestIdentifier, boolean notRun, boolean otherEndpoint, boolean genuine,
			@Nullable Double requestLimit, boolean leaving, long pauseMilliseconds,
			@Nullable Long coldRemainingMilliseconds) {

		/**
		 * Creates the metadata of an answer that does not say whether the endpoint is
		 * cold.
		 * @param requestIdentifier the identifier of the answered request
		 * @param notRun whether the answer states that the request did not run
		 * @param otherEndpoint whether another endpoint answers at the address
		 * @param genuine whether the answer carries the marker of the endpoint itself
		 * @param requestLimit the requests a second that the endpoint takes
		 * @param leaving whether the endpoint states that it is leaving
		 * @param pauseMilliseconds how long the endpoint wants no requests
		 */
		public AnswerMetadata(@Nullable String requestIdentifier, boolean notRun, boolean otherEndpoint,
				boolean genuine, @Nullable Double requestLimit, boolean leaving, long pauseMilliseconds) {
			this(requestIdentifier, notRun, otherEndpoint, genuine, requestLimit, leaving, pauseMilliseconds, null);
		}

	}

}

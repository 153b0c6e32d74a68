package org.masticshelf.serving.upstream;

import java.util.List;

import org.jspecify.annotations.Nullable;

import org.masticshelf.kernel.serving.ServedEndpoint;
import org.masticshelf.kernel.serving.ServedRequest;
import org.masticshelf.kernel.serving.ServedRequest.Header;

/**
 * How requests to endpoints and their answers are written. Implementations are stateless
 * and safe for use by several threads.
 */
public interface EndpointProtocol {

	/**
	 * Returns the headers that the daemon adds to a request.
	 * @param passage what is sent
	 * @return the headers
	 */
	List<Header> requestHeaders(OutboundRequest passage);

	/**
	 * Reads what an answer says of itself.
	 * @param head the answer's head
	 * @return what it says
	 */
	AnswerMetadata answerMetadata(AnswerHead head);

	/**
	 * One sending of a request.
	 *
	 * @param request the request
	 * @param endpoint where it goes
	 * @param organisation for whom it runs, {@code null} on an open route
	 * @param priority its rank, 0 is the most urgent
	 * @param remainingMilliseconds how long its caller still waits
	 * @param resumeAfter the last event that the caller has, {@code null} for none
	 */
	record OutboundRequest(ServedRequest request, ServedEndpoint endpoint, @Nullable String organisation, int priority,
			long remainingMilliseconds, @Nullable String resumeAfter) {
	}

	/**
	 * What an answer says of itself.
	 *
	 * @param requestIdentifier the request that it answers, {@code null} if it does not
	 * say
	 * @param notRun whether it says that the request did not run
	 * @param otherEndpoint whether another endpoint answers at the address, or this one
	 * lacks what the request needs
	 * @param genuine whether it bears the endpoint's mark
	 */
	record AnswerMetadata(@Nullable String requestIdentifier, boolean notRun, boolean otherEndpoint, boolean genuine) {
	}

}

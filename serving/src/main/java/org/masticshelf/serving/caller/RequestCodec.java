package org.masticshelf.serving.caller;

import java.util.List;

import org.masticshelf.kernel.serving.ServedRequest;
import org.masticshelf.kernel.serving.ServedRequest.Header;

/**
 * Decodes callers' requests. Implementations are stateless and thread-safe.
 */
public interface RequestCodec {

	/**
	 * Decodes a request.
	 * @param raw the request as received
	 * @return the decoded request, or the reason why it is malformed
	 */
	Decoded decode(RawRequest raw);

	/**
	 * A request as received. Immutable.
	 *
	 * @param method the HTTP method
	 * @param target the path and query as received
	 * @param headers all headers, in order
	 * @param body the complete body
	 */
	record RawRequest(String method, String target, List<Header> headers, byte[] body) {
	}

	/** The result of decoding. */
	sealed interface Decoded {

		/**
		 * A valid request.
		 *
		 * @param request the request
		 */
		record Valid(ServedRequest request) implements Decoded {
		}

		/**
		 * A malformed request.
		 *
		 * @param reason why the request is malformed
		 */
		record Malformed(String reason) implements Decoded {
		}

	}

}

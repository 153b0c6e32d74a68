package org.masticshelf.kernel.port;

import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

import org.masticshelf.kernel.configuration.Pool;

/**
 * A plain service beside the engines.
 * <p>
 * Implementations are safe for use by several threads.
 */
public interface PlainService extends AutoCloseable {

	/**
	 * Makes a call.
	 * @param endpoint the endpoint
	 * @param call the call
	 * @return the whole answer; the future fails with an {@link ExchangeFailure} if there
	 * was none
	 */
	CompletableFuture<Answer> call(Pool.Endpoint endpoint, Call call);

	@Override
	void close();

	/**
	 * A call.
	 *
	 * @param requestIdentifier the identity that the answer has to carry
	 * @param method the HTTP method
	 * @param path the path with its query
	 * @param headers the headers to pass on, none of which holds a key
	 * @param body the body, empty for none
	 * @param timeout how long to wait for the whole answer
	 */
	record Call(String requestIdentifier, String method, String path, Map<String, String> headers, byte[] body,
			Duration timeout) {
	}

	/**
	 * A whole answer.
	 *
	 * @param status the HTTP status
	 * @param headers the headers
	 * @param body the body
	 */
	record Answer(int status, Map<String, String> headers, byte[] body) {
	}

}

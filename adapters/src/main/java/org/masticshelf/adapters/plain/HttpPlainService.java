package org.masticshelf.adapters.plain;

import java.util.concurrent.CompletableFuture;

import org.masticshelf.kernel.configuration.Pool;
import org.masticshelf.kernel.port.ExchangeFailure;
import org.masticshelf.kernel.port.PlainService;
import org.masticshelf.transport.http.HttpCall;
import org.masticshelf.transport.http.HttpClient;
import org.masticshelf.transport.http.HttpResponse;

/**
 * Plain services over HTTP. Each call has a connection of its own, because a stale idle
 * connection would make the outcome of a non-idempotent call uncertain. Safe for use by
 * several threads.
 */
public final class HttpPlainService implements PlainService {

	private static final String REQUEST_IDENTIFIER = "x-request-id";

	private final HttpClient client;

	/**
	 * Creates an adapter.
	 * @param client makes the calls
	 */
	public HttpPlainService(HttpClient client) {
		this.client = client;
	}

	@Override
	public CompletableFuture<Answer> call(Pool.Endpoint endpoint, Call call) {
		HttpCall http = new HttpCall(endpoint.address(), call.method(), call.path(), call.headers(), call.body(),
				call.timeout(), true)
			.withHeader(REQUEST_IDENTIFIER, call.requestIdentifier());
		return this.client.exchange(http).thenApply((answer) -> toAnswer(call, answer));
	}

	private static Answer toAnswer(Call call, HttpResponse answer) {
		String identity = answer.header(REQUEST_IDENTIFIER);
		if (identity != null && !identity.equals(call.requestIdentifier())) {
			throw new ExchangeFailure(ExchangeFailure.Point.INVALID_ANSWER,
					"answer of request '" + identity + "' instead of '" + call.requestIdentifier() + "'");
		}
		return new Answer(answer.status(), answer.headers(), answer.body());
	}

	@Override
	public void close() {
		this.client.close();
	}

}

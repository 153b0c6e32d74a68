package org.masticshelf.transport.http;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

import org.masticshelf.kernel.port.ExchangeFailure;

/**
 * An HTTP client that reports how far a failed exchange had got.
 * <p>
 * Invariants: a connection carries one exchange at a time and is closed unless the
 * exchange left it reusable; whatever a server sends, a response occupies bounded memory.
 * Thread-safe.
 */
public final class HttpClient implements AutoCloseable {

	private final IdleConnections idle = new IdleConnections();

	private final Set<HttpExchange> running = ConcurrentHashMap.newKeySet();

	private final Semaphore callbacks;

	private HttpClient(Semaphore callbacks) {
		this.callbacks = callbacks;
	}

	/**
	 * Creates a client.
	 * @param threads how many threads call listeners and complete futures at a time
	 * @return the client
	 */
	public static HttpClient withThreads(int threads) {
		return new HttpClient(new Semaphore(threads));
	}

	/**
	 * Sends a request and collects the complete response.
	 * @param call the request to send
	 * @return the response, whatever its status; fails with an {@link ExchangeFailure}
	 */
	public CompletableFuture<HttpResponse> exchange(HttpCall call) {
		ResponseCollector collector = new ResponseCollector(call.maximumAnswerBytes());
		HttpExchange exchange = stream(call, collector);
		collector.future.whenComplete((answer, failure) -> {
			if (collector.future.isCancelled()) {
				exchange.cancel();
			}
		});
		return collector.future;
	}

	/**
	 * Sends a request and collects the complete response. The timeout of the call also
	 * covers connecting: nothing is sent once it has passed.
	 * @param call the request to send
	 * @return the response, whatever its status; fails with an {@link ExchangeFailure} or
	 * a {@link TimeoutException}
	 */
	public CompletableFuture<HttpResponse> exchangeWithinTimeout(HttpCall call) {
		ResponseCollector collector = new ResponseCollector(call.maximumAnswerBytes());
		HttpExchange exchange = stream(call, collector);
		return collector.future.orTimeout(call.timeout().toMillis(), TimeUnit.MILLISECONDS)
			.whenComplete((answer, failure) -> {
				if (failure instanceof TimeoutException) {
					exchange.expire();
				}
			});
	}

	/**
	 * Sends a request and passes the response to a listener while it arrives.
	 * @param call the request to send
	 * @param listener receives the response
	 * @return the running exchange, which can be cancelled
	 */
	public HttpExchange stream(HttpCall call, ResponseListener listener) {
		HttpExchange exchange = new HttpExchange(call, listener, this.idle, this.callbacks);
		this.running.add(exchange);
		exchange.start(this.running::remove);
		return exchange;
	}

	@Override
	public void close() {
		this.idle.close();
		this.running.forEach(HttpExchange::cancel);
	}

	/**
	 * Collects a response. Called by one thread at a time.
	 */
	private static final class ResponseCollector implements ResponseListener {

		private final CompletableFuture<HttpResponse> future = new CompletableFuture<>();

		private final ByteArrayOutputStream body = new ByteArrayOutputStream();

		private final int maximumBytes;

		private int status;

		private Map<String, String> headers = Map.of();

		private ResponseCollector(int maximumBytes) {
			this.maximumBytes = maximumBytes;
		}

		@Override
		public void onHead(int status, Map<String, String> headers) {
			this.status = status;
			this.headers = headers;
		}

		@Override
		public void onBody(ByteBuffer piece) {
			byte[] bytes = new byte[piece.remaining()];
			piece.get(bytes);
			if (this.body.size() + bytes.length > this.maximumBytes) {
				throw new ExchangeFailure(ExchangeFailure.Point.INVALID_ANSWER,
						"answer above " + this.maximumBytes + " bytes");
			}
			this.body.writeBytes(bytes);
		}

		@Override
		public void onEnd() {
			this.future.complete(new HttpResponse(this.status, this.headers, this.body.toByteArray()));
		}

		@Override
		public void onFailure(ExchangeFailure failure) {
			this.future.completeExceptionally(failure);
		}

	}

}

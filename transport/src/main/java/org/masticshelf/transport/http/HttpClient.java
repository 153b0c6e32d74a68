package org.masticshelf.transport.http;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.URI;
import java.nio.ByteBuffer;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.UndertowClient;
import io.undertow.connector.ByteBufferPool;
import io.undertow.server.DefaultByteBufferPool;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

import org.masticshelf.kernel.port.ExchangeFailure;

/**
 * An HTTP client based on Undertow that reports how far a failed exchange had got.
 * <p>
 * Invariant: a connection carries one exchange at a time and is closed unless the
 * exchange left it reusable. Thread-safe.
 */
public final class HttpClient implements AutoCloseable {

	private static final int BUFFER_BYTES = 16 * 1024;

	private static final int MAXIMUM_ANSWER_BYTES = 16 * 1024 * 1024;

	private final XnioWorker worker;

	private final boolean ownsWorker;

	private final ByteBufferPool buffers = new DefaultByteBufferPool(true, BUFFER_BYTES);

	private final IdleConnections idle = new IdleConnections();

	private HttpClient(XnioWorker worker, boolean ownsWorker) {
		this.worker = worker;
		this.ownsWorker = ownsWorker;
	}

	/**
	 * Creates a client that runs on an existing worker and does not shut it down when
	 * closed.
	 * @param worker the worker to run on
	 * @return the client
	 */
	public static HttpClient withWorker(XnioWorker worker) {
		return new HttpClient(worker, false);
	}

	/**
	 * Creates a client with its own threads.
	 * @param ioThreads the number of I/O threads
	 * @return the client
	 */
	public static HttpClient withThreads(int ioThreads) {
		return new HttpClient(newWorker(ioThreads, "client"), true);
	}

	/**
	 * Creates a worker of daemon threads.
	 * @param ioThreads the number of I/O threads
	 * @param name the prefix of the thread names
	 * @return the worker
	 */
	public static XnioWorker newWorker(int ioThreads, String name) {
		try {
			return Xnio.getInstance(HttpClient.class.getClassLoader())
				.createWorker(OptionMap.builder()
					.set(Options.WORKER_IO_THREADS, ioThreads)
					.set(Options.WORKER_NAME, name)
					.set(Options.THREAD_DAEMON, true)
					.set(Options.TCP_NODELAY, true)
					.getMap());
		}
		catch (IOException ex) {
			throw new IllegalStateException("cannot start threads for input and output", ex);
		}
	}

	/**
	 * Sends a request and collects the complete response.
	 * @param call the request to send
	 * @return the response, whatever its status; fails with an {@link ExchangeFailure}
	 */
	public CompletableFuture<HttpResponse> exchange(HttpCall call) {
		ResponseCollector collector = new ResponseCollector();
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
		ResponseCollector collector = new ResponseCollector();
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
	 * @param listener receives the response on an I/O thread
	 * @return the running exchange, which can be cancelled
	 */
	public HttpExchange stream(HttpCall call, ResponseListener listener) {
		ClientConnection reused = call.freshConnection() ? null : this.idle.acquire(call.address());
		HttpExchange exchange = new HttpExchange(call, listener, this.buffers, this.idle);
		if (reused != null) {
			exchange.start(reused);
			return exchange;
		}
		connect(call, exchange);
		return exchange;
	}

	private void connect(HttpCall call, HttpExchange exchange) {
		URI destination;
		try {
			destination = URI.create("http://" + call.address());
		}
		catch (IllegalArgumentException ex) {
			exchange.connectFailed("malformed address " + call.address());
			return;
		}
		UndertowClient.getInstance().connect(new ClientCallback<>() {
			@Override
			public void completed(ClientConnection connection) {
				exchange.start(connection);
			}

			@Override
			public void failed(IOException failure) {
				exchange.connectFailed(String.valueOf(failure.getMessage()));
			}
		}, destination, this.worker.getIoThread(), this.buffers,
				OptionMap.builder().set(Options.TCP_NODELAY, true).getMap());
	}

	@Override
	public void close() {
		this.idle.close();
		if (this.ownsWorker) {
			this.worker.shutdown();
		}
		this.buffers.close();
	}

	/**
	 * Collects a response. Called by one thread at a time.
	 */
	private static final class ResponseCollector implements ResponseListener {

		private final CompletableFuture<HttpResponse> future = new CompletableFuture<>();

		private final ByteArrayOutputStream body = new ByteArrayOutputStream();

		private int status;

		private Map<String, String> headers = Map.of();

		@Override
		public void onHead(int status, Map<String, String> headers) {
			this.status = status;
			this.headers = headers;
		}

		@Override
		public void onBody(ByteBuffer piece) {
			byte[] bytes = new byte[piece.remaining()];
			piece.get(bytes);
			if (this.body.size() + bytes.length > MAXIMUM_ANSWER_BYTES) {
				throw new ExchangeFailure(ExchangeFailure.Point.INVALID_ANSWER,
						"answer above " + MAXIMUM_ANSWER_BYTES + " bytes");
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

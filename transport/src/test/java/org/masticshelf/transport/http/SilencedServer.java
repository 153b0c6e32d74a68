package org.masticshelf.transport.http;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.CyclicBarrier;
import java.util.concurrent.TimeUnit;

/**
 * A server whose open connections can go silent for good, while it answers on new ones.
 * Thread-safe.
 */
final class SilencedServer implements AutoCloseable {

	private static final long TIMEOUT_SECONDS = 30;

	private static final byte[] ANSWER = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"
		.getBytes(StandardCharsets.US_ASCII);

	private final ServerSocket listener;

	private final List<Socket> connections = new ArrayList<>();

	private final CountDownLatch unanswered = new CountDownLatch(1);

	private int silenced;

	private volatile boolean answering = true;

	private volatile CyclicBarrier together = new CyclicBarrier(1);

	SilencedServer() throws IOException {
		this.listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
		Thread.startVirtualThread(this::accept);
	}

	String address() {
		return "127.0.0.1:" + this.listener.getLocalPort();
	}

	/** Leaves a number of idle connections in the pool of a client. */
	void openConnections(HttpClient client, int count) throws Exception {
		this.together = new CyclicBarrier(count);
		List<CompletableFuture<HttpResponse>> exchanges = new ArrayList<>();
		for (int index = 0; index < count; index++) {
			exchanges.add(client.exchange(HttpCall.get(address(), "/open")));
		}
		for (CompletableFuture<HttpResponse> exchange : exchanges) {
			exchange.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
		}
		this.together = new CyclicBarrier(1);
	}

	/** Never answers again on the connections that are open now. */
	synchronized void silenceOpenConnections() {
		this.silenced = this.connections.size();
	}

	void setAnswering(boolean answering) {
		this.answering = answering;
	}

	void awaitUnanswered() throws InterruptedException {
		if (!this.unanswered.await(TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
			throw new AssertionError("no request was left unanswered");
		}
	}

	synchronized int accepted() {
		return this.connections.size();
	}

	private void accept() {
		try {
			while (true) {
				Socket connection = this.listener.accept();
				int number;
				synchronized (this) {
					number = this.connections.size();
					this.connections.add(connection);
				}
				Thread.startVirtualThread(() -> serve(connection, number));
			}
		}
		catch (IOException ex) {
			// The listener was closed.
		}
	}

	private void serve(Socket connection, int number) {
		try {
			BufferedReader reader = new BufferedReader(
					new InputStreamReader(connection.getInputStream(), StandardCharsets.US_ASCII));
			String line = reader.readLine();
			while (line != null) {
				if (line.isEmpty()) {
					answer(connection, number);
				}
				line = reader.readLine();
			}
		}
		catch (Exception ex) {
			// The client has closed the connection.
		}
	}

	private void answer(Socket connection, int number) throws Exception {
		this.together.await(TIMEOUT_SECONDS, TimeUnit.SECONDS);
		synchronized (this) {
			if (!this.answering || number < this.silenced) {
				this.unanswered.countDown();
				return;
			}
		}
		connection.getOutputStream().write(ANSWER);
	}

	@Override
	public void close() throws IOException {
		this.listener.close();
		List<Socket> open;
		synchronized (this) {
			open = List.copyOf(this.connections);
		}
		for (Socket connection : open) {
			connection.close();
		}
	}

}

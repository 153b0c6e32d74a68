package org.masticshelf.serving.request;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.InterruptedIOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;

import org.masticshelf.kernel.serving.ServedEndpoint;

/**
 * An endpoint on a real socket that answers each request with the next entry of its
 * script, and closes or resets the connection where the entry says so. Thread-safe.
 */
final class ScriptedEndpoint implements AutoCloseable {

	/** Ends an entry after which the connection is closed. */
	static final String CLOSE = "<close>";

	/** Ends an entry after which the connection is reset. */
	static final String RESET = "<reset>";

	/** Separates parts of an entry; the next part is sent after {@link #proceed()}. */
	static final String PAUSE = "<pause>";

	/** An entry that leaves the request without an answer on an open connection. */
	static final String SILENT = "";

	/** Precedes bytes that are repeated until the connection is closed by the daemon. */
	static final String ENDLESS = "<endless>";

	/**
	 * Precedes bytes that are sent one at a time, with pauses far below every timeout,
	 * and repeated until the connection is closed by the daemon.
	 */
	static final String DRIP = "<drip>";

	private static final long DRIP_MILLISECONDS = 50;

	private static final int REPETITIONS_PER_WRITE = 10_000;

	private final String name;

	private final ServerSocket socket;

	private final BlockingQueue<String> script;

	private final List<String> heads = new CopyOnWriteArrayList<>();

	private final AtomicInteger connections = new AtomicInteger();

	private final CountDownLatch proceeding = new CountDownLatch(1);

	ScriptedEndpoint(String name, String... script) throws IOException {
		this(name, new LinkedBlockingQueue<>(List.of(script)));
	}

	/**
	 * Creates an endpoint that shares its script with others.
	 * @param name the identifier
	 * @param script the entries that no endpoint has played yet
	 */
	ScriptedEndpoint(String name, BlockingQueue<String> script) throws IOException {
		this.name = name;
		this.script = script;
		this.socket = new ServerSocket(0, 16, InetAddress.getLoopbackAddress());
		Thread.startVirtualThread(this::accept);
	}

	/**
	 * Describes the endpoint.
	 * @param models the models that it has loaded
	 * @return the description
	 */
	ServedEndpoint toEndpoint(String... models) {
		Map<String, Set<String>> loaded = new HashMap<>();
		for (String model : models) {
			loaded.put(model, Set.of());
		}
		return new ServedEndpoint(this.name, 1, "pool", "127.0.0.1", this.socket.getLocalPort(), "domain", 8, false,
				new ServedEndpoint.Holdings(loaded, Set.of(), Set.of()));
	}

	/** Returns the heads of the received requests. */
	List<String> heads() {
		return this.heads;
	}

	/** Returns the number of accepted connections. */
	int connections() {
		return this.connections.get();
	}

	private void accept() {
		while (!this.socket.isClosed()) {
			try {
				Socket connection = this.socket.accept();
				this.connections.incrementAndGet();
				Thread.startVirtualThread(() -> serve(connection));
			}
			catch (IOException ex) {
				return;
			}
		}
	}

	private void serve(Socket connection) {
		try (connection) {
			InputStream input = new BufferedInputStream(connection.getInputStream());
			while (true) {
				String head = readHead(input);
				if (head.isEmpty()) {
					return;
				}
				this.heads.add(head);
				String answer = this.script.poll();
				if (answer == null) {
					return;
				}
				boolean reset = answer.endsWith(RESET);
				boolean close = answer.endsWith(CLOSE);
				String[] parts = answer.replace(CLOSE, "")
					.replace(RESET, "")
					.split("(?=" + ENDLESS + "|" + DRIP + "|" + PAUSE + ")");
				for (String part : parts) {
					write(connection.getOutputStream(), part);
				}
				if (reset) {
					connection.setSoLinger(true, 0);
				}
				if (reset || close) {
					return;
				}
			}
		}
		catch (IOException ex) {
			// The connection was closed by the other side.
		}
	}

	private void write(OutputStream output, String part) throws IOException {
		if (part.startsWith(ENDLESS)) {
			byte[] repeated = bytes(part.substring(ENDLESS.length()).repeat(REPETITIONS_PER_WRITE));
			while (!this.socket.isClosed()) {
				output.write(repeated);
			}
		}
		else if (part.startsWith(DRIP)) {
			byte[] repeated = bytes(part.substring(DRIP.length()));
			for (int index = 0; !this.socket.isClosed(); index = (index + 1) % repeated.length) {
				output.write(repeated[index]);
				LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(DRIP_MILLISECONDS));
			}
		}
		else if (part.startsWith(PAUSE)) {
			awaitProceeding();
			output.write(bytes(part.substring(PAUSE.length())));
		}
		else {
			output.write(bytes(part));
		}
	}

	private void awaitProceeding() throws InterruptedIOException {
		try {
			this.proceeding.await();
		}
		catch (InterruptedException ex) {
			throw new InterruptedIOException();
		}
	}

	/** Lets the endpoint go on with entries that pause. */
	void proceed() {
		this.proceeding.countDown();
	}

	private static byte[] bytes(String text) {
		return text.getBytes(StandardCharsets.ISO_8859_1);
	}

	private static String readHead(InputStream input) throws IOException {
		ByteArrayOutputStream head = new ByteArrayOutputStream();
		while (!head.toString(StandardCharsets.ISO_8859_1).endsWith("\r\n\r\n")) {
			int next = input.read();
			if (next < 0) {
				return "";
			}
			head.write(next);
		}
		return head.toString(StandardCharsets.ISO_8859_1);
	}

	@Override
	public void close() throws IOException {
		this.socket.close();
	}

}

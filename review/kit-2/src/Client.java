import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/** A requester's channel to a daemon. */
final class Client implements AutoCloseable {

	/** An answer; status 0 stands for a channel that ended, -1 for none in time. */
	record Answer(int status, Map<String, String> headers, byte[] body, boolean complete, String how, double tookMs) {

		@Override
		public String toString() {
			return "status " + this.status + ", " + this.body.length + " bytes, " + (this.complete ? "complete" : "not complete")
					+ ", " + this.how + ", after " + Math.round(this.tookMs) + " ms";
		}

	}

	private final Socket socket = new Socket();

	private final InputStream in;

	private final OutputStream out;

	Client(String host, int port) throws IOException {
		this.socket.connect(new InetSocketAddress(host, port), 1_000);
		this.socket.setTcpNoDelay(true);
		this.in = new BufferedInputStream(this.socket.getInputStream());
		this.out = this.socket.getOutputStream();
	}

	void send(String method, String target, String identifier, long deadline, String more, byte[] body)
			throws IOException {
		String head = method + " " + target + " HTTP/1.1\r\nHost: sofia.example\r\nX-Masticshelf-Request-Id: " + identifier
				+ "\r\nX-Masticshelf-Deadline-Ms: " + deadline + "\r\nAuthorization: Token k1\r\n" + more
				+ (method.equals("GET") ? "" : "Content-Length: " + body.length + "\r\n") + "\r\n";
		java.io.ByteArrayOutputStream whole = new java.io.ByteArrayOutputStream();
		whole.writeBytes(head.getBytes(StandardCharsets.ISO_8859_1));
		whole.writeBytes(body);
		this.out.write(whole.toByteArray());
		this.out.flush();
	}

	/** Waits for the answer, and leaves if it isn't there in time. */
	Answer receive(long milliseconds) {
		long begun = System.nanoTime();
		java.io.ByteArrayOutputStream body = new java.io.ByteArrayOutputStream();
		int status = 0;
		Map<String, String> headers = Map.of();
		try {
			this.socket.setSoTimeout((int) Math.max(1, milliseconds));
			String line = Web.line(this.in);
			if (line == null) {
				return new Answer(0, headers, new byte[0], false, "channel closed without an answer", since(begun));
			}
			status = Integer.parseInt(line.split(" ")[1]);
			headers = Web.headers(this.in);
			if ("chunked".equalsIgnoreCase(headers.get("transfer-encoding"))) {
				while (true) {
					long left = milliseconds - (long) since(begun);
					if (left <= 0) {
						throw new SocketTimeoutException();
					}
					this.socket.setSoTimeout((int) left);
					byte[] chunk = Web.chunk(this.in);
					if (chunk.length == 0) {
						return new Answer(status, headers, body.toByteArray(), true, "answered", since(begun));
					}
					body.writeBytes(chunk);
				}
			}
			body.writeBytes(Web.body(this.in, headers));
			return new Answer(status, headers, body.toByteArray(), true, "answered", since(begun));
		}
		catch (SocketTimeoutException ex) {
			return new Answer((status != 0) ? status : -1, headers, body.toByteArray(), false, "no end in time",
					since(begun));
		}
		catch (IOException | RuntimeException ex) {
			return new Answer(status, headers, body.toByteArray(), false, "channel closed: " + ex.getMessage(),
					since(begun));
		}
	}

	private static double since(long begun) {
		return (System.nanoTime() - begun) / 1e6;
	}

	@Override
	public void close() throws IOException {
		this.socket.close();
	}

}

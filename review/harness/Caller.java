import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.UUID;

/** A requester that sends one request on a channel of its own. */
final class Caller {

	/**
	 * What a requester saw.
	 *
	 * @param id the id of the request
	 * @param status the status, 0 if the channel ended without an answer, -1 if there was none until the deadline
	 * @param tookMilliseconds from the last byte of the request to the end of the answer
	 */
	record Seen(String id, int status, long sentAt, long tookMilliseconds, String cause, byte[] body, Http.Head head) {
	}

	private Caller() {
	}

	static Seen send(Record record, Daemon daemon, String method, String target, String host, String headers, byte[] body,
			long deadlineMilliseconds) {
		String id = UUID.randomUUID().toString().replace("-", "").substring(0, 16);
		long sentAt = Record.now();
		long until = sentAt + deadlineMilliseconds;
		Seen seen;
		try (Socket socket = new Socket()) {
			socket.connect(new InetSocketAddress("127.0.0.1", daemon.front), 1_000);
			socket.setTcpNoDelay(true);
			byte[] head = (method + " " + target + " HTTP/1.1\r\nHost: " + host + "\r\nX-Masticshelf-Request-Id: " + id
					+ "\r\nX-Masticshelf-Deadline-Ms: " + deadlineMilliseconds + "\r\n" + headers
					+ ((body.length > 0 || method.equals("POST")) ? "Content-Length: " + body.length + "\r\n" : "")
					+ "\r\n")
				.getBytes(StandardCharsets.ISO_8859_1);
			socket.getOutputStream().write(head);
			socket.getOutputStream().write(body);
			sentAt = Record.now();
			InputStream in = new BufferedInputStream(new TimedInput(socket, until));
			Http.Head answer = Http.readHead(in);
			if (answer == null) {
				seen = new Seen(id, 0, sentAt, Record.now() - sentAt, "closed", new byte[0], null);
			}
			else {
				byte[] bytes = Http.readBody(in, answer);
				seen = new Seen(id, answer.status(), sentAt, Record.now() - sentAt, "", bytes, answer);
			}
		}
		catch (SocketTimeoutException ex) {
			seen = new Seen(id, -1, sentAt, Record.now() - sentAt, "no answer until the deadline", new byte[0], null);
		}
		catch (IOException ex) {
			seen = new Seen(id, 0, sentAt, Record.now() - sentAt, String.valueOf(ex), new byte[0], null);
		}
		record.line("caller: %s %s %s to %s, %d bytes, read at %d ms: %s after %d ms %s", seen.id(), method,
				target, daemon.name, body.length, seen.sentAt(), (seen.status() > 0) ? seen.status() : "none",
				seen.tookMilliseconds(), seen.cause());
		return seen;
	}

	private static final class TimedInput extends java.io.FilterInputStream {

		private final Socket socket;

		private final long until;

		private TimedInput(Socket socket, long until) throws IOException {
			super(socket.getInputStream());
			this.socket = socket;
			this.until = until;
		}

		@Override
		public int read(byte[] buffer, int offset, int length) throws IOException {
			long left = this.until - Record.now();
			if (left <= 0) {
				throw new SocketTimeoutException("deadline");
			}
			this.socket.setSoTimeout((int) left);
			return super.read(buffer, offset, length);
		}

	}

}

package review3;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A small HTTP/1.1 server and client over plain sockets, for stand-ins. */
final class Http {

	private Http() {
	}

	/** A message: the first line, the headers with lower-case names, the body. */
	record Message(String first, Map<String, String> headers, byte[] body) {

		String method() {
			return this.first.split(" ")[0];
		}

		String target() {
			return this.first.split(" ")[1];
		}

		int status() {
			return Integer.parseInt(this.first.split(" ")[1]);
		}

		String header(String name) {
			return this.headers.get(name.toLowerCase(Locale.ROOT));
		}

	}

	interface Handler {

		void handle(Message request, Reply reply) throws Exception;

	}

	/** Answers one request on a channel. */
	static final class Reply {

		final Socket socket;

		final OutputStream out;

		boolean close;

		Reply(Socket socket) throws IOException {
			this.socket = socket;
			this.out = socket.getOutputStream();
		}

		void send(int status, Map<String, String> headers, byte[] body) throws IOException {
			StringBuilder head = new StringBuilder("HTTP/1.1 " + status + " Status\r\n");
			headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
			head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
			byte[] start = head.toString().getBytes(StandardCharsets.ISO_8859_1);
			byte[] all = new byte[start.length + body.length];
			System.arraycopy(start, 0, all, 0, start.length);
			System.arraycopy(body, 0, all, start.length, body.length);
			this.out.write(all);
			this.out.flush();
		}

		void reset() throws IOException {
			this.socket.setSoLinger(true, 0);
			this.socket.close();
			this.close = true;
		}

	}

	static final class Server implements AutoCloseable {

		private final ServerSocket listener;

		private final Handler handler;

		private final Set<Socket> open = ConcurrentHashMap.newKeySet();

		private volatile boolean closed;

		Server(String host, Handler handler) throws IOException {
			this(host, 0, handler);
		}

		Server(String host, int port, Handler handler) throws IOException {
			this.listener = new ServerSocket();
			this.listener.setReuseAddress(true);
			this.listener.bind(new InetSocketAddress(InetAddress.getByName(host), port), 500);
			this.handler = handler;
			Thread.ofPlatform().daemon(true).start(this::accept);
		}

		String address() {
			return this.listener.getInetAddress().getHostAddress() + ":" + this.listener.getLocalPort();
		}

		private void accept() {
			while (!this.closed) {
				try {
					Socket socket = this.listener.accept();
					socket.setTcpNoDelay(true);
					this.open.add(socket);
					Thread.ofVirtual().start(() -> serve(socket));
				}
				catch (IOException ex) {
					return;
				}
			}
		}

		private void serve(Socket socket) {
			try (socket) {
				InputStream in = new BufferedInputStream(socket.getInputStream(), 16 * 1024);
				while (true) {
					Message request = read(in);
					if (request == null) {
						return;
					}
					Reply reply = new Reply(socket);
					this.handler.handle(request, reply);
					if (reply.close) {
						return;
					}
				}
			}
			catch (Exception ex) {
				// The peer has gone or the stand-in ends.
			}
			finally {
				this.open.remove(socket);
			}
		}

		/** Resets all open channels, as the crash of the process does. */
		void resetAll() {
			for (Socket socket : this.open) {
				try {
					socket.setSoLinger(true, 0);
					socket.close();
				}
				catch (IOException ex) {
					// It is closed already.
				}
			}
		}

		@Override
		public void close() {
			this.closed = true;
			try {
				this.listener.close();
			}
			catch (IOException ex) {
				// Nothing is left to close.
			}
			resetAll();
		}

	}

	/** Reads a message whose body has a length, comes in chunks, or is missing. */
	static Message read(InputStream in) throws IOException {
		String first = line(in);
		if (first == null) {
			return null;
		}
		Map<String, String> headers = new LinkedHashMap<>();
		for (String line = line(in); line != null && !line.isEmpty(); line = line(in)) {
			int colon = line.indexOf(':');
			headers.put(line.substring(0, colon).strip().toLowerCase(Locale.ROOT), line.substring(colon + 1).strip());
		}
		byte[] body = new byte[0];
		if (headers.containsKey("content-length")) {
			int length = Integer.parseInt(headers.get("content-length"));
			body = in.readNBytes(length);
			if (body.length < length) {
				throw new IOException("body ended early");
			}
		}
		else if ("chunked".equalsIgnoreCase(headers.get("transfer-encoding"))) {
			java.io.ByteArrayOutputStream parts = new java.io.ByteArrayOutputStream();
			while (true) {
				String size = line(in);
				if (size == null) {
					throw new IOException("body ended early");
				}
				int length = Integer.parseInt(size.split(";")[0].strip(), 16);
				byte[] part = in.readNBytes(length);
				if (part.length < length) {
					throw new IOException("body ended early");
				}
				parts.write(part);
				line(in);
				if (length == 0) {
					break;
				}
			}
			body = parts.toByteArray();
		}
		return new Message(first, headers, body);
	}

	private static String line(InputStream in) throws IOException {
		StringBuilder line = new StringBuilder();
		while (true) {
			int next = in.read();
			if (next < 0) {
				return (line.length() == 0) ? null : line.toString();
			}
			if (next == '\n') {
				return line.toString();
			}
			if (next != '\r') {
				line.append((char) next);
			}
		}
	}

	/** Sends one request on a new channel and reads the answer. */
	static Message call(String address, String method, String target, Map<String, String> headers, byte[] body,
			int timeoutMilliseconds) throws IOException {
		int colon = address.lastIndexOf(':');
		try (Socket socket = new Socket()) {
			socket.connect(new InetSocketAddress(InetAddress.getByName(address.substring(0, colon)),
					Integer.parseInt(address.substring(colon + 1))), 1_000);
			socket.setTcpNoDelay(true);
			socket.setSoTimeout(timeoutMilliseconds);
			StringBuilder head = new StringBuilder(method + " " + target + " HTTP/1.1\r\n");
			headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
			if (body.length > 0 || !method.equals("GET")) {
				head.append("Content-Length: ").append(body.length).append("\r\n");
			}
			OutputStream out = socket.getOutputStream();
			out.write(head.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1));
			out.write(body);
			out.flush();
			Message answer = read(new BufferedInputStream(socket.getInputStream()));
			if (answer == null) {
				throw new IOException("closed without an answer");
			}
			return answer;
		}
	}

	static Map<String, String> query(String target) {
		Map<String, String> values = new LinkedHashMap<>();
		int mark = target.indexOf('?');
		if (mark >= 0) {
			for (String pair : target.substring(mark + 1).split("&")) {
				String[] parts = pair.split("=", 2);
				values.put(parts[0], java.net.URLDecoder.decode((parts.length > 1) ? parts[1] : "",
						StandardCharsets.UTF_8));
			}
		}
		return values;
	}

	static List<String> words(String text) {
		return new ArrayList<>(List.of(text.strip().split("\\s+")));
	}

}

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** A small HTTP/1.1 server on a loopback address, one thread a connection. */
final class Web implements AutoCloseable {

	interface Handler {

		/** Answers a request; returns whether the connection is kept. */
		boolean handle(Request request, OutputStream out, Socket socket) throws Exception;

	}

	record Request(String method, String target, Map<String, String> headers, byte[] body) {

		String path() {
			int query = this.target.indexOf('?');
			return (query < 0) ? this.target : this.target.substring(0, query);
		}

		String parameter(String name, String fallback) {
			int query = this.target.indexOf('?');
			if (query >= 0) {
				for (String pair : this.target.substring(query + 1).split("&")) {
					if (pair.startsWith(name + "=")) {
						return java.net.URLDecoder.decode(pair.substring(name.length() + 1), StandardCharsets.UTF_8);
					}
				}
			}
			return fallback;
		}

	}

	private final ServerSocket listening;

	private final Handler handler;

	private volatile boolean closed;

	private final java.util.Set<Socket> open = java.util.concurrent.ConcurrentHashMap.newKeySet();

	Web(String host, int port, Handler handler) throws IOException {
		this.handler = handler;
		this.listening = new ServerSocket();
		this.listening.setReuseAddress(true);
		this.listening.bind(new InetSocketAddress(host, port), 1024);
		Thread.ofPlatform().daemon(true).start(this::accept);
	}

	int port() {
		return this.listening.getLocalPort();
	}

	private void accept() {
		while (!this.closed) {
			try {
				Socket socket = this.listening.accept();
				socket.setTcpNoDelay(true);
				this.open.add(socket);
				Thread.ofPlatform().daemon(true).start(() -> serve(socket));
			}
			catch (IOException ex) {
				return;
			}
		}
	}

	private void serve(Socket socket) {
		try (socket) {
			InputStream in = new BufferedInputStream(socket.getInputStream(), 16 * 1024);
			OutputStream out = socket.getOutputStream();
			while (!this.closed) {
				Request request = read(in);
				if (request == null || !this.handler.handle(request, out, socket)) {
					return;
				}
			}
		}
		catch (Exception ex) {
			// The other side has gone, or the stand-in was closed.
		}
		finally {
			this.open.remove(socket);
		}
	}

	static Request read(InputStream in) throws IOException {
		String line = line(in);
		if (line == null || line.isEmpty()) {
			return null;
		}
		String[] parts = line.split(" ");
		Map<String, String> headers = headers(in);
		return new Request(parts[0], parts[1], headers, body(in, headers));
	}

	static Map<String, String> headers(InputStream in) throws IOException {
		Map<String, String> headers = new TreeMap<>();
		while (true) {
			String header = line(in);
			if (header == null) {
				throw new IOException("ended within a head");
			}
			if (header.isEmpty()) {
				return headers;
			}
			int colon = header.indexOf(':');
			headers.put(header.substring(0, colon).toLowerCase(Locale.ROOT), header.substring(colon + 1).strip());
		}
	}

	/** Reads a body with a length or in chunks; without either there is none. */
	static byte[] body(InputStream in, Map<String, String> headers) throws IOException {
		if (headers.containsKey("content-length")) {
			int length = Integer.parseInt(headers.get("content-length"));
			byte[] body = in.readNBytes(length);
			if (body.length < length) {
				throw new IOException("ended within a body");
			}
			return body;
		}
		ByteArrayOutputStream body = new ByteArrayOutputStream();
		if ("chunked".equalsIgnoreCase(headers.get("transfer-encoding"))) {
			byte[] chunk = chunk(in);
			while (chunk.length > 0) {
				body.writeBytes(chunk);
				chunk = chunk(in);
			}
		}
		return body.toByteArray();
	}

	/** Reads one chunk; the last one is empty. */
	static byte[] chunk(InputStream in) throws IOException {
		String length = line(in);
		if (length == null) {
			throw new IOException("ended between two chunks");
		}
		int bytes = Integer.parseInt(length.strip(), 16);
		byte[] chunk = in.readNBytes(bytes);
		if (chunk.length < bytes || line(in) == null) {
			throw new IOException("ended within a chunk");
		}
		return chunk;
	}

	static String line(InputStream in) throws IOException {
		ByteArrayOutputStream line = new ByteArrayOutputStream();
		while (true) {
			int next = in.read();
			if (next < 0) {
				return null;
			}
			if (next == '\n') {
				String text = line.toString(StandardCharsets.ISO_8859_1);
				return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
			}
			line.write(next);
		}
	}

	static void answer(OutputStream out, int status, String headers, byte[] body) throws IOException {
		String head = "HTTP/1.1 " + status + " X\r\n" + headers + "Content-Length: " + body.length + "\r\n\r\n";
		ByteArrayOutputStream whole = new ByteArrayOutputStream();
		whole.writeBytes(head.getBytes(StandardCharsets.ISO_8859_1));
		whole.writeBytes(body);
		out.write(whole.toByteArray());
		out.flush();
	}

	@Override
	public void close() {
		this.closed = true;
		try {
			this.listening.close();
			for (Socket socket : this.open) {
				socket.close();
			}
		}
		catch (IOException ex) {
			// Nothing is lost.
		}
	}

}

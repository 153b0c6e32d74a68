import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** Reads messages of HTTP/1.1. */
final class Http {

	record Head(String first, Map<String, String> headers) {

		String header(String name) {
			return this.headers.get(name.toLowerCase(Locale.ROOT));
		}

		int status() {
			return Integer.parseInt(this.first.substring(9, 12));
		}

		String target() {
			return this.first.split(" ")[1];
		}

		String method() {
			return this.first.split(" ")[0];
		}

	}

	private Http() {
	}

	static String readLine(InputStream in) throws IOException {
		ByteArrayOutputStream line = new ByteArrayOutputStream();
		while (true) {
			int next = in.read();
			if (next < 0) {
				if (line.size() == 0) {
					return null;
				}
				throw new EOFException("the channel ended within a line");
			}
			if (next == '\n') {
				return line.toString(StandardCharsets.ISO_8859_1).stripTrailing();
			}
			line.write(next);
		}
	}

	static Head readHead(InputStream in) throws IOException {
		String first = readLine(in);
		if (first == null) {
			return null;
		}
		Map<String, String> headers = new LinkedHashMap<>();
		while (true) {
			String line = readLine(in);
			if (line == null) {
				throw new EOFException("the channel ended within a head");
			}
			if (line.isEmpty()) {
				return new Head(first, headers);
			}
			int colon = line.indexOf(':');
			headers.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).strip());
		}
	}

	static byte[] readBody(InputStream in, Head head) throws IOException {
		if ("chunked".equalsIgnoreCase(head.header("transfer-encoding"))) {
			ByteArrayOutputStream body = new ByteArrayOutputStream();
			while (true) {
				String line = readLine(in);
				if (line == null) {
					throw new EOFException("the channel ended between two chunks");
				}
				int length = Integer.parseInt(line.split(";")[0].strip(), 16);
				if (length == 0) {
					while (!readLine(in).isEmpty()) {
						continue;
					}
					return body.toByteArray();
				}
				body.write(readFully(in, length));
				readLine(in);
			}
		}
		String length = head.header("content-length");
		return (length != null) ? readFully(in, Integer.parseInt(length)) : new byte[0];
	}

	static byte[] readFully(InputStream in, int length) throws IOException {
		byte[] bytes = in.readNBytes(length);
		if (bytes.length < length) {
			throw new EOFException("the channel ended within a body");
		}
		return bytes;
	}

}

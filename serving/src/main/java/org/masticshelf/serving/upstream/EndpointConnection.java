package org.masticshelf.serving.upstream;

import java.io.BufferedInputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.SocketTimeoutException;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;

import org.jspecify.annotations.Nullable;

import org.masticshelf.kernel.serving.ServedRequest.Header;

/**
 * One connection to an endpoint, with blocking calls for use by a virtual thread.
 * <p>
 * The answer is read strictly: a length that is no number, two different lengths, a chunk
 * that does not end where it should, or more bytes than announced make the exchange fail
 * or the connection unfit for another one. Invariant: it carries one exchange at a time.
 * One thread reads and writes; {@link #close()} may be called by any thread.
 */
public final class EndpointConnection implements Closeable {

	private static final int MAXIMUM_LINE_BYTES = 16 * 1024;

	private static final int MAXIMUM_HEADERS = 128;

	private static final int BUFFER_BYTES = 8 * 1024;

	private final SocketChannel channel;

	private final InputStream input;

	private boolean reusable = true;

	private long left;

	private AnswerHead.@Nullable Framing framing;

	private boolean chunkOpen;

	private EndpointConnection(SocketChannel channel) throws IOException {
		this.channel = channel;
		this.input = new BufferedInputStream(channel.socket().getInputStream(), BUFFER_BYTES);
	}

	/**
	 * Connects.
	 * @param host the IP number
	 * @param port the port
	 * @param timeoutMilliseconds how long connecting may take
	 * @return the connection
	 * @throws IOException if no connection stands in time
	 */
	public static EndpointConnection open(String host, int port, int timeoutMilliseconds) throws IOException {
		SocketChannel channel = SocketChannel.open();
		try {
			channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
			channel.socket().connect(new InetSocketAddress(host, port), timeoutMilliseconds);
			return new EndpointConnection(channel);
		}
		catch (IOException | RuntimeException ex) {
			channel.close();
			throw ex;
		}
	}

	/**
	 * Returns whether the endpoint has closed an idle connection or sent bytes that
	 * nobody asked for.
	 * @return whether the connection must not be used again
	 */
	public boolean isStale() {
		try {
			if (this.input.available() > 0) {
				return true;
			}
			this.channel.configureBlocking(false);
			boolean silent = this.channel.read(ByteBuffer.allocate(1)) == 0;
			this.channel.configureBlocking(true);
			return !silent;
		}
		catch (IOException ex) {
			return true;
		}
	}

	/**
	 * Writes a whole request.
	 * @param head the request line and headers, with the empty line at their end
	 * @param body the body
	 * @throws IOException if the connection failed; part of the request may have been
	 * sent
	 */
	public void send(byte[] head, byte[] body) throws IOException {
		byte[] whole = new byte[head.length + body.length];
		System.arraycopy(head, 0, whole, 0, head.length);
		System.arraycopy(body, 0, whole, head.length, body.length);
		ByteBuffer bytes = ByteBuffer.wrap(whole);
		while (bytes.hasRemaining()) {
			this.channel.write(bytes);
		}
	}

	/**
	 * Reads status and headers of the next answer, passing over interim ones.
	 * @param timeoutMilliseconds how long to wait for each part of it
	 * @return the head
	 * @throws SocketTimeoutException if nothing came in time
	 * @throws IOException if the connection ended or the bytes are no answer
	 */
	public AnswerHead readHead(long timeoutMilliseconds) throws IOException {
		this.reusable = false;
		setTimeout(timeoutMilliseconds);
		while (true) {
			int status = parseStatus(readLine());
			List<Header> headers = readHeaders();
			if (status >= 200) {
				return parseFraming(status, headers);
			}
			if (status == 101) {
				throw new UpstreamException("switching protocols was not asked for");
			}
		}
	}

	private static int parseStatus(String line) throws UpstreamException {
		boolean wellFormed = line.length() >= 12 && line.startsWith("HTTP/1.") && line.charAt(8) == ' '
				&& (line.length() == 12 || line.charAt(12) == ' ');
		if (!wellFormed) {
			throw new UpstreamException("no status line");
		}
		int status = 0;
		for (int index = 9; index < 12; index++) {
			char digit = line.charAt(index);
			if (digit < '0' || digit > '9') {
				throw new UpstreamException("malformed status");
			}
			status = status * 10 + digit - '0';
		}
		if (status < 100) {
			throw new UpstreamException("malformed status");
		}
		return status;
	}

	private List<Header> readHeaders() throws IOException {
		List<Header> headers = new ArrayList<>();
		while (true) {
			String line = readLine();
			if (line.isEmpty()) {
				return headers;
			}
			int colon = line.indexOf(':');
			if (colon <= 0 || line.charAt(0) == ' ' || line.charAt(0) == '\t' || headers.size() >= MAXIMUM_HEADERS) {
				throw new UpstreamException("malformed header");
			}
			headers.add(new Header(line.substring(0, colon), line.substring(colon + 1).strip()));
		}
	}

	private String readLine() throws IOException {
		byte[] line = new byte[128];
		int length = 0;
		while (true) {
			int next = this.input.read();
			if (next < 0) {
				throw new UpstreamException((length == 0) ? "connection ended" : "connection ended within a line");
			}
			if (next == '\n') {
				int end = (length > 0 && line[length - 1] == '\r') ? length - 1 : length;
				return new String(line, 0, end, StandardCharsets.ISO_8859_1);
			}
			if (length == MAXIMUM_LINE_BYTES) {
				throw new UpstreamException("line above " + MAXIMUM_LINE_BYTES + " bytes");
			}
			if (length == line.length) {
				line = Arrays.copyOf(line, 2 * length);
			}
			line[length++] = (byte) next;
		}
	}

	private AnswerHead parseFraming(int status, List<Header> headers) throws UpstreamException {
		long length = -1;
		boolean chunked = false;
		boolean closing = false;
		int keepAlive = -1;
		for (Header header : headers) {
			switch (header.name().toLowerCase(Locale.ROOT)) {
				case "content-length" -> {
					long announced = parseLength(header.value());
					if (length >= 0 && length != announced) {
						throw new UpstreamException("two lengths");
					}
					length = announced;
				}
				case "transfer-encoding" -> {
					if (!header.value().equalsIgnoreCase("chunked")) {
						throw new UpstreamException("unknown transfer encoding");
					}
					chunked = true;
				}
				case "connection" -> closing |= header.value().toLowerCase(Locale.ROOT).contains("close");
				case "keep-alive" -> keepAlive = parseKeepAlive(header.value());
				default -> {
				}
			}
		}
		boolean bodiless = status == 204 || status == 304;
		AnswerHead.Framing told = AnswerHead.Framing.UNTIL_CLOSE;
		if (bodiless || (!chunked && length == 0)) {
			told = AnswerHead.Framing.NONE;
		}
		else if (chunked) {
			told = AnswerHead.Framing.CHUNKED;
		}
		else if (length > 0) {
			told = AnswerHead.Framing.LENGTH;
		}
		this.framing = told;
		this.left = (told == AnswerHead.Framing.LENGTH) ? length : 0;
		this.chunkOpen = false;
		this.reusable = !closing && told != AnswerHead.Framing.UNTIL_CLOSE && !(chunked && length >= 0);
		return new AnswerHead(status, List.copyOf(headers), told, length, closing, keepAlive);
	}

	private static long parseLength(String value) throws UpstreamException {
		try {
			long length = Long.parseLong(value);
			if (length >= 0 && Character.isDigit(value.charAt(0))) {
				return length;
			}
		}
		catch (NumberFormatException ex) {
			throw new UpstreamException("malformed length", ex);
		}
		throw new UpstreamException("malformed length");
	}

	private static int parseKeepAlive(String value) {
		for (String part : value.split(",")) {
			String[] pair = part.strip().split("=", 2);
			if (pair.length == 2 && pair[0].strip().equalsIgnoreCase("timeout")
					&& pair[1].strip().chars().allMatch(Character::isDigit) && pair[1].strip().length() < 6
					&& !pair[1].isBlank()) {
				return Integer.parseInt(pair[1].strip());
			}
		}
		return -1;
	}

	/**
	 * Reads some of the body.
	 * @param buffer takes the bytes
	 * @param timeoutMilliseconds how long to wait
	 * @return how many bytes were read, negative at the end of a whole body
	 * @throws SocketTimeoutException if nothing came in time
	 * @throws IOException if the body ended early or is malformed
	 */
	public int read(byte[] buffer, long timeoutMilliseconds) throws IOException {
		setTimeout(timeoutMilliseconds);
		if (this.framing == null) {
			throw new IllegalStateException("no answer is being read");
		}
		return switch (this.framing) {
			case NONE -> -1;
			case LENGTH -> readFixedLength(buffer);
			case CHUNKED -> readChunked(buffer);
			case UNTIL_CLOSE -> this.input.read(buffer);
		};
	}

	private int readFixedLength(byte[] buffer) throws IOException {
		if (this.left == 0) {
			return -1;
		}
		int count = this.input.read(buffer, 0, (int) Math.min(buffer.length, this.left));
		if (count < 0) {
			throw new UpstreamException("body ended early");
		}
		this.left -= count;
		return count;
	}

	private int readChunked(byte[] buffer) throws IOException {
		if (this.left == 0) {
			if (this.chunkOpen && !readLine().isEmpty()) {
				throw new UpstreamException("malformed end of a chunk");
			}
			this.chunkOpen = false;
			this.left = parseChunkLength(readLine());
			if (this.left == 0) {
				readHeaders();
				this.framing = AnswerHead.Framing.NONE;
				return -1;
			}
			this.chunkOpen = true;
		}
		return readFixedLength(buffer);
	}

	private static long parseChunkLength(String line) throws UpstreamException {
		int end = line.indexOf(';');
		String digits = ((end < 0) ? line : line.substring(0, end)).strip();
		boolean wellFormed = !digits.isEmpty() && digits.length() <= 8
				&& digits.chars().allMatch((character) -> Character.digit(character, 16) >= 0);
		if (!wellFormed) {
			throw new UpstreamException("malformed length of a chunk");
		}
		return Long.parseLong(digits, 16);
	}

	/**
	 * Returns whether the connection may carry another exchange, asked after the whole
	 * body was read.
	 * @return whether it was left clean
	 */
	public boolean isReusable() {
		try {
			return this.reusable && this.input.available() == 0;
		}
		catch (IOException ex) {
			return false;
		}
	}

	private void setTimeout(long milliseconds) throws IOException {
		if (milliseconds <= 0) {
			throw new SocketTimeoutException("no time left");
		}
		this.channel.socket().setSoTimeout((int) Math.min(milliseconds, Integer.MAX_VALUE));
	}

	/**
	 * Closes the connection by a reset, which takes back what a cut holds up on the way.
	 */
	@Override
	public void close() {
		try {
			this.channel.setOption(StandardSocketOptions.SO_LINGER, 0);
			this.channel.close();
		}
		catch (IOException ex) {
			this.reusable = false;
		}
	}

}

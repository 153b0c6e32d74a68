package org.masticshelf.transport.http;

import java.io.BufferedInputStream;
import java.io.Closeable;
import java.io.FilterInputStream;
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
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.jspecify.annotations.Nullable;

import org.masticshelf.kernel.serving.ServedRequest.Header;

/**
 * A blocking HTTP/1.1 connection of a client, for use on a virtual thread.
 * <p>
 * Answers are parsed strictly: a line that {@link AnswerSyntax} refuses, two different
 * lengths, a chunk that does not end where it should, or more bytes than announced fail
 * the exchange or make the connection unusable for another one. Invariants: the
 * connection carries one exchange at a time; whatever the other side sends, and however
 * its bytes are spread over time, a head or a part of a body is read within bounded
 * memory and within its timeout. Not thread-safe, except that {@link #close()} may be
 * called by any thread.
 */
public final class HttpConnection implements Closeable {

	private static final int MAXIMUM_LINE_BYTES = 16 * 1024;

	private static final int MAXIMUM_HEADERS = 128;

	/** The maximum size of a status line with its headers, or of a body's trailers. */
	private static final int MAXIMUM_HEAD_BYTES = 64 * 1024;

	/** Interim answers that may precede the final one. */
	private static final int MAXIMUM_INTERIM_ANSWERS = 8;

	private static final int BUFFER_BYTES = 8 * 1024;

	/** A request that the send buffer of an idle connection takes at once. */
	private static final int UNWATCHED_BYTES = 16 * 1024;

	private final SocketChannel channel;

	private final InputStream input;

	private long readUntilNanoseconds;

	private int headBytes;

	private boolean reusable = true;

	private long remaining;

	private AnswerHead.@Nullable Framing framing;

	private boolean chunkEndPending;

	private HttpConnection(SocketChannel channel) throws IOException {
		this.channel = channel;
		this.input = new BufferedInputStream(new TimedInput(channel.socket().getInputStream()), BUFFER_BYTES);
	}

	/**
	 * Opens a connection.
	 * @param host the IP address
	 * @param port the port
	 * @param timeoutMilliseconds the connect timeout
	 * @return the open connection
	 * @throws IOException if the connection could not be established in time
	 */
	public static HttpConnection open(String host, int port, int timeoutMilliseconds) throws IOException {
		SocketChannel channel = SocketChannel.open();
		try {
			channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
			channel.socket().connect(new InetSocketAddress(host, port), timeoutMilliseconds);
			return new HttpConnection(channel);
		}
		catch (IOException | RuntimeException ex) {
			channel.close();
			throw ex;
		}
	}

	/**
	 * Returns whether the other side has closed an idle connection or sent unsolicited
	 * bytes.
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
	 * Writes a complete request. A connection whose other side does not read in time is
	 * closed.
	 * @param head the request line and headers, including the terminating empty line
	 * @param body the body
	 * @param timeoutMilliseconds the time in which the request has to be written
	 * @throws SocketTimeoutException if the request was not written in time
	 * @throws IOException if the connection failed; part of the request may have been
	 * sent
	 */
	public void send(byte[] head, byte[] body, long timeoutMilliseconds) throws IOException {
		this.reusable = false;
		byte[] request = new byte[head.length + body.length];
		System.arraycopy(head, 0, request, 0, head.length);
		System.arraycopy(body, 0, request, head.length, body.length);
		if (request.length <= UNWATCHED_BYTES) {
			write(request);
			return;
		}
		CompletableFuture<Boolean> written = new CompletableFuture<Boolean>().completeOnTimeout(false,
				Math.max(0, timeoutMilliseconds), TimeUnit.MILLISECONDS);
		written.thenAccept((inTime) -> {
			if (!inTime) {
				close();
			}
		});
		try {
			write(request);
		}
		catch (IOException ex) {
			if (written.complete(true)) {
				throw ex;
			}
		}
		if (!written.complete(true) && !written.join()) {
			throw new SocketTimeoutException(
					"request of " + request.length + " bytes not taken within " + timeoutMilliseconds + " ms");
		}
	}

	private void write(byte[] request) throws IOException {
		ByteBuffer bytes = ByteBuffer.wrap(request);
		while (bytes.hasRemaining()) {
			this.channel.write(bytes);
		}
	}

	/**
	 * Reads the status and headers of the next answer, skipping interim answers.
	 * @param timeoutMilliseconds the time in which the head has to be complete
	 * @return the head
	 * @throws SocketTimeoutException if the head was not complete in time
	 * @throws IOException if the connection ended or the answer is malformed
	 */
	public AnswerHead readHead(long timeoutMilliseconds) throws IOException {
		this.reusable = false;
		setTimeout(timeoutMilliseconds);
		for (int interimAnswers = 0; interimAnswers <= MAXIMUM_INTERIM_ANSWERS; interimAnswers++) {
			this.headBytes = 0;
			int status = AnswerSyntax.parseStatus(readLine());
			List<Header> headers = readHeaders();
			if (status >= 200) {
				return parseFraming(status, headers);
			}
			if (status == 101) {
				throw new UpstreamException("switching protocols was not asked for");
			}
		}
		throw new UpstreamException("more than " + MAXIMUM_INTERIM_ANSWERS + " interim answers");
	}

	private List<Header> readHeaders() throws IOException {
		List<Header> headers = new ArrayList<>();
		while (true) {
			String line = readLine();
			if (line.isEmpty()) {
				return headers;
			}
			if (headers.size() >= MAXIMUM_HEADERS) {
				throw new UpstreamException("more than " + MAXIMUM_HEADERS + " headers");
			}
			headers.add(AnswerSyntax.parseHeader(line));
		}
	}

	private String readLine() throws IOException {
		byte[] line = new byte[128];
		int length = 0;
		while (true) {
			int next = this.input.read();
			if (++this.headBytes > MAXIMUM_HEAD_BYTES) {
				throw new UpstreamException("head above " + MAXIMUM_HEAD_BYTES + " bytes");
			}
			if (next < 0) {
				throw UpstreamException
					.disconnected((length == 0) ? "connection ended" : "connection ended within a line");
			}
			if (next == '\n') {
				int end = (length > 0 && line[length - 1] == '\r') ? length - 1 : length;
				String text = new String(line, 0, end, StandardCharsets.ISO_8859_1);
				AnswerSyntax.requireText(text);
				return text;
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
					long announced = AnswerSyntax.parseLength(header.value());
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
				case "keep-alive" -> keepAlive = AnswerSyntax.parseKeepAlive(header.value());
				default -> {
				}
			}
		}
		boolean bodiless = status == 204 || status == 304;
		AnswerHead.Framing bodyFraming = AnswerHead.Framing.UNTIL_CLOSE;
		if (bodiless || (!chunked && length == 0)) {
			bodyFraming = AnswerHead.Framing.NONE;
		}
		else if (chunked) {
			bodyFraming = AnswerHead.Framing.CHUNKED;
		}
		else if (length > 0) {
			bodyFraming = AnswerHead.Framing.LENGTH;
		}
		this.framing = bodyFraming;
		this.remaining = (bodyFraming == AnswerHead.Framing.LENGTH) ? length : 0;
		this.chunkEndPending = false;
		this.reusable = !closing && bodyFraming != AnswerHead.Framing.UNTIL_CLOSE && !(chunked && length >= 0);
		return new AnswerHead(status, List.copyOf(headers), bodyFraming, length, closing, keepAlive);
	}

	/**
	 * Reads a part of the body.
	 * @param buffer the buffer to read into
	 * @param timeoutMilliseconds the timeout
	 * @return the number of bytes read, negative at the end of a complete body
	 * @throws SocketTimeoutException if the read timed out
	 * @throws IOException if the body is incomplete or malformed
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
		if (this.remaining == 0) {
			return -1;
		}
		int count = this.input.read(buffer, 0, (int) Math.min(buffer.length, this.remaining));
		if (count < 0) {
			throw UpstreamException.disconnected("body ended early");
		}
		this.remaining -= count;
		return count;
	}

	private int readChunked(byte[] buffer) throws IOException {
		if (this.remaining == 0) {
			this.headBytes = 0;
			if (this.chunkEndPending && !readLine().isEmpty()) {
				throw new UpstreamException("malformed end of a chunk");
			}
			this.chunkEndPending = false;
			this.remaining = AnswerSyntax.parseChunkLength(readLine());
			if (this.remaining == 0) {
				readHeaders();
				this.framing = AnswerHead.Framing.NONE;
				return -1;
			}
			this.chunkEndPending = true;
		}
		return readFixedLength(buffer);
	}

	/**
	 * Returns whether the connection may carry another exchange.
	 * @return whether it is open and the last answer was read completely
	 */
	public boolean isReusable() {
		try {
			boolean read = this.framing != AnswerHead.Framing.CHUNKED && this.remaining == 0;
			return this.reusable && read && this.channel.isOpen() && this.input.available() == 0;
		}
		catch (IOException ex) {
			return false;
		}
	}

	private void setTimeout(long milliseconds) {
		this.readUntilNanoseconds = System.nanoTime()
				+ TimeUnit.MILLISECONDS.toNanos(Math.min(milliseconds, Integer.MAX_VALUE));
	}

	/**
	 * Closes the connection with a reset, so that data held up by a network partition is
	 * not delivered later.
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

	/**
	 * The bytes that arrive, each read limited to the time that is left. A timeout of
	 * each read by itself would never end an answer that arrives a byte at a time.
	 */
	private final class TimedInput extends FilterInputStream {

		private TimedInput(InputStream arriving) {
			super(arriving);
		}

		@Override
		public int read() throws IOException {
			limitRead();
			return super.read();
		}

		@Override
		public int read(byte[] buffer, int offset, int length) throws IOException {
			limitRead();
			return super.read(buffer, offset, length);
		}

		private void limitRead() throws IOException {
			long remainingNanoseconds = HttpConnection.this.readUntilNanoseconds - System.nanoTime();
			if (remainingNanoseconds <= 0) {
				throw new SocketTimeoutException("no time left");
			}
			HttpConnection.this.channel.socket()
				.setSoTimeout((int) Math.max(1, TimeUnit.NANOSECONDS.toMillis(remainingNanoseconds)));
		}

	}

}

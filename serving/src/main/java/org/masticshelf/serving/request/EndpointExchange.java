package org.masticshelf.serving.request;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;

import org.masticshelf.kernel.serving.ServedEndpoint;
import org.masticshelf.kernel.serving.ServedRequest;
import org.masticshelf.kernel.serving.ServedRequest.Header;
import org.masticshelf.serving.caller.CallerChannel;
import org.masticshelf.serving.request.EventSplitter.StreamEvent;
import org.masticshelf.serving.upstream.EndpointConnections;
import org.masticshelf.serving.upstream.EndpointProtocol;
import org.masticshelf.serving.upstream.EndpointProtocol.AnswerMetadata;
import org.masticshelf.serving.upstream.EndpointProtocol.OutboundRequest;
import org.masticshelf.transport.http.AnswerHead;
import org.masticshelf.transport.http.HttpConnection;
import org.masticshelf.transport.http.UpstreamException;

/**
 * Sends a request to one endpoint and reads its answer.
 * <p>
 * Invariants: any result other than {@link ExchangeResult.Unreached} and
 * {@link ExchangeResult.NotRun} means that the request may have run; nothing that ends
 * this exchange can close its connection after it was given back. Not thread-safe.
 */
final class EndpointExchange {

	private static final int MAXIMUM_ANSWER_BYTES = 8 * 1024 * 1024;

	private static final int BUFFER_BYTES = 8 * 1024;

	/** Late answers to earlier requests that are skipped on a connection. */
	private static final int MAXIMUM_STALE_ANSWERS = 4;

	private static final Set<String> HOP_BY_HOP_HEADERS = Set.of("connection", "keep-alive", "proxy-connection",
			"proxy-authenticate", "te", "trailer", "transfer-encoding", "upgrade", "content-length");

	private static final Set<Integer> STATUSES_THAT_SUGGEST_NOT_RUN = Set.of(408, 421, 429, 503);

	private final EndpointConnections connections;

	private final EndpointProtocol protocol;

	private final OutboundRequest outbound;

	private final Limits limits;

	private final CallerChannel caller;

	private final ConnectionChoice choice;

	private final PlannedStop plannedStop;

	private final AnswerMemory answerMemory;

	/**
	 * Creates an exchange.
	 * @param connections the pool of idle connections
	 * @param protocol the wire format of requests and answers
	 * @param outbound the request and the endpoint to send it to
	 * @param limits the timeouts
	 * @param caller the caller; the exchange ends when it disconnects
	 * @param choice which connection to use
	 * @param plannedStop ends the exchange when requests are given up
	 * @param answerMemory bounds the answers that are collected
	 */
	EndpointExchange(EndpointConnections connections, EndpointProtocol protocol, OutboundRequest outbound,
			Limits limits, CallerChannel caller, ConnectionChoice choice, PlannedStop plannedStop,
			AnswerMemory answerMemory) {
		this.answerMemory = answerMemory;
		this.plannedStop = plannedStop;
		this.choice = choice;
		this.connections = connections;
		this.protocol = protocol;
		this.outbound = outbound;
		this.limits = limits;
		this.caller = caller;
	}

	/**
	 * Sends the request and reads its answer.
	 * @param relay receives the events of a stream
	 * @return the result
	 */
	ExchangeResult run(StreamRelay relay) {
		ServedEndpoint endpoint = this.outbound.endpoint();
		HttpConnection idle = (this.choice == ConnectionChoice.POOLED) ? this.connections.takeIdle(endpoint) : null;
		HttpConnection connection = idle;
		if (connection == null) {
			try {
				connection = this.connections.open(endpoint, this.choice == ConnectionChoice.PROBING);
			}
			catch (IOException ex) {
				return new ExchangeResult.Unreached(describe(ex));
			}
		}
		boolean reused = idle != null;
		ConnectionHold hold = new ConnectionHold(connection);
		Runnable abort = hold::abort;
		CallerChannel.Registration whenGone = this.caller.onGone(abort);
		this.plannedStop.addExchange(abort);
		int keepAliveSeconds = 0;
		long sentAt = this.connections.now();
		boolean answered = false;
		try (AnswerMemory.Account held = this.answerMemory.open()) {
			connection.send(encodeHead(), this.outbound.request().body(), this.limits.firstByteMilliseconds());
			AnswerHead answer = readMatchingHead(connection, reused, held);
			answered = true;
			keepAliveSeconds = answer.closing() ? 0 : answer.keepAliveSeconds();
			return readAnswer(connection, answer, relay, held);
		}
		catch (SocketTimeoutException ex) {
			keepAliveSeconds = 0;
			if (!answered) {
				this.connections.discardIdleSinceBefore(endpoint, sentAt);
			}
			return new ExchangeResult.Lost("no byte in time", ExchangeResult.Lost.Kind.TIMED_OUT);
		}
		catch (IOException ex) {
			keepAliveSeconds = 0;
			return new ExchangeResult.Lost(describe(ex), kindOf(ex));
		}
		finally {
			this.plannedStop.removeExchange(abort);
			whenGone.close();
			hold.end();
			this.connections.release(endpoint, connection, keepAliveSeconds);
		}
	}

	// A connection that is closed by this process fails without a message.
	private static String describe(IOException failure) {
		String message = failure.getMessage();
		return (message != null) ? message : failure.getClass().getSimpleName();
	}

	private static ExchangeResult.Lost.Kind kindOf(IOException failure) {
		boolean disconnected = failure instanceof SocketException
				|| (failure instanceof UpstreamException upstream && upstream.isDisconnected());
		return disconnected ? ExchangeResult.Lost.Kind.DISCONNECTED : ExchangeResult.Lost.Kind.UNUSABLE;
	}

	private byte[] encodeHead() {
		ServedRequest request = this.outbound.request();
		StringBuilder head = new StringBuilder(512).append(request.method())
			.append(' ')
			.append(request.target())
			.append(" HTTP/1.1\r\nHost: ")
			.append(request.host())
			.append("\r\n");
		request.headers().forEach((header) -> append(head, header));
		this.protocol.requestHeaders(this.outbound).forEach((header) -> append(head, header));
		if (request.body().length > 0 || !request.method().equals("GET")) {
			head.append("Content-Length: ").append(request.body().length).append("\r\n");
		}
		return head.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1);
	}

	private static void append(StringBuilder head, Header header) {
		head.append(header.name()).append(": ").append(header.value()).append("\r\n");
	}

	// A late second answer to an earlier request may precede the expected answer. Only on
	// a new connection does an answer that names no request belong to this one.
	private AnswerHead readMatchingHead(HttpConnection connection, boolean reused, AnswerMemory.Account held)
			throws IOException {
		for (int skipped = 0; skipped < MAXIMUM_STALE_ANSWERS; skipped++) {
			AnswerHead answer = connection.readHead(this.limits.firstByteMilliseconds());
			AnswerMetadata metadata = this.protocol.answerMetadata(answer);
			String identifier = metadata.requestIdentifier();
			if ((identifier == null && !reused) || this.outbound.request().identifier().equals(identifier)) {
				return answer;
			}
			if (identifier == null) {
				throw new IOException("an answer that names no request");
			}
			readBody(connection, held);
		}
		throw new IOException("only answers to other requests");
	}

	private ExchangeResult readAnswer(HttpConnection connection, AnswerHead answer, StreamRelay relay,
			AnswerMemory.Account held) throws IOException {
		AnswerMetadata metadata = this.protocol.answerMetadata(answer);
		if (metadata.requestIdentifier() != null && !metadata.otherEndpoint()) {
			this.limits.recordStatements(metadata);
		}
		if (metadata.leaving() && !metadata.otherEndpoint()) {
			this.limits.recordLeaving();
		}
		if (metadata.pauseMilliseconds() > 0) {
			this.limits.recordPause(metadata.pauseMilliseconds());
		}
		if (metadata.notRun()) {
			readBody(connection, held);
			return new ExchangeResult.NotRun(answer.status(), metadata.otherEndpoint());
		}
		boolean successful = answer.status() >= 200 && answer.status() < 300;
		if (successful && (!metadata.genuine() || metadata.requestIdentifier() == null)) {
			throw new IOException("an answer without the endpoint's mark");
		}
		if (answer.header("content-encoding") != null) {
			throw new IOException("an encoded body");
		}
		String type = answer.header("content-type");
		if (answer.status() == 200 && type != null && type.startsWith("text/event-stream")) {
			return relayStream(connection, answer, relay, held);
		}
		if (successful && this.caller.readAheadBytes() < MAXIMUM_ANSWER_BYTES && !relay.isStarted()) {
			return relayPlain(connection, answer, relay, held);
		}
		byte[] body = readBody(connection, held);
		if (!successful && STATUSES_THAT_SUGGEST_NOT_RUN.contains(answer.status())) {
			return new ExchangeResult.Lost("status " + answer.status() + " without a word that nothing ran",
					ExchangeResult.Lost.Kind.UNUSABLE);
		}
		return new ExchangeResult.Answered(answer.status(), forwardedHeaders(answer), body);
	}

	private ExchangeResult relayStream(HttpConnection connection, AnswerHead answer, StreamRelay relay,
			AnswerMemory.Account held) throws IOException {
		EventSplitter splitter = new EventSplitter();
		List<Header> headers = forwardedHeaders(answer);
		byte[] buffer = new byte[BUFFER_BYTES];
		boolean empty = true;
		this.limits.recordHead();
		while (true) {
			int count = connection.read(buffer,
					relay.isStarted() ? this.limits.gapMilliseconds() : this.limits.firstByteMilliseconds());
			if (count < 0) {
				break;
			}
			List<StreamEvent> events = splitter.add(buffer, count);
			held.hold(splitter.partialBytes());
			if (events.stream().anyMatch(StreamEvent::hasField)) {
				this.limits.recordEvent();
				empty = false;
			}
			relay.forward(headers, events);
			if (this.caller.readAheadBytes() < MAXIMUM_ANSWER_BYTES
					&& events.stream().anyMatch(StreamEvent::hasField)) {
				// The time until the caller has taken the event is no silence of the
				// endpoint.
				this.limits.recordHead();
			}
		}
		if (splitter.hasPartialEvent()) {
			throw UpstreamException.disconnected("the stream ended within an event");
		}
		if (empty && answer.framing() == AnswerHead.Framing.UNTIL_CLOSE) {
			throw UpstreamException.disconnected("the stream ended before its first event");
		}
		relay.end(headers);
		return new ExchangeResult.Streamed(answer.status());
	}

	// An answer that is not read completely ahead of its caller is passed on in parts. It
	// can then neither be sent again nor be replaced by an error.
	private ExchangeResult relayPlain(HttpConnection connection, AnswerHead answer, StreamRelay relay,
			AnswerMemory.Account held) throws IOException {
		throwIfTooLong(answer.length());
		List<Header> headers = forwardedHeaders(answer);
		ByteArrayOutputStream start = new ByteArrayOutputStream();
		CallerChannel taker = null;
		byte[] buffer = new byte[BUFFER_BYTES];
		long total = 0;
		// The time that the caller takes is not taken from the endpoint.
		long waitedForCaller = 0;
		while (true) {
			int count = connection.read(buffer, this.limits.totalMilliseconds() + waitedForCaller);
			if (count < 0) {
				break;
			}
			total += count;
			throwIfTooLong(total);
			if (taker != null) {
				long before = this.connections.now();
				taker.write(Arrays.copyOf(buffer, count));
				waitedForCaller += this.connections.now() - before;
				continue;
			}
			held.hold(start.size() + count);
			start.write(buffer, 0, count);
			if (start.size() + BUFFER_BYTES > this.caller.readAheadBytes()) {
				taker = relay.beginPlain(answer.status(), headers, answer.length());
				taker.write(start.toByteArray());
				start = new ByteArrayOutputStream();
				held.hold(0);
			}
		}
		if (taker == null) {
			return new ExchangeResult.Answered(answer.status(), headers, start.toByteArray());
		}
		taker.end();
		return new ExchangeResult.Streamed(answer.status());
	}

	private static void throwIfTooLong(long bytes) throws IOException {
		if (bytes > MAXIMUM_ANSWER_BYTES) {
			throw new IOException("an answer above " + MAXIMUM_ANSWER_BYTES + " bytes");
		}
	}

	private byte[] readBody(HttpConnection connection, AnswerMemory.Account held) throws IOException {
		ByteArrayOutputStream body = new ByteArrayOutputStream();
		byte[] buffer = new byte[BUFFER_BYTES];
		while (true) {
			int count = connection.read(buffer, this.limits.totalMilliseconds());
			if (count < 0) {
				return body.toByteArray();
			}
			throwIfTooLong(body.size() + count);
			held.hold(body.size() + count);
			body.write(buffer, 0, count);
		}
	}

	private static List<Header> forwardedHeaders(AnswerHead answer) {
		Set<String> dropped = new HashSet<>(HOP_BY_HOP_HEADERS);
		for (Header header : answer.headers()) {
			if (header.name().equalsIgnoreCase("connection")) {
				for (String name : header.value().split(",")) {
					dropped.add(name.strip().toLowerCase(Locale.ROOT));
				}
			}
		}
		List<Header> forwarded = new ArrayList<>();
		for (Header header : answer.headers()) {
			if (!dropped.contains(header.name().toLowerCase(Locale.ROOT))) {
				forwarded.add(header);
			}
		}
		return forwarded;
	}

	/**
	 * Timeouts of an exchange, queried before each wait, and what the endpoint states of
	 * itself in its answer.
	 */
	interface Limits {

		/**
		 * Returns the timeout for the head of an answer or the first event of a stream.
		 * @return milliseconds from now, negative if it has passed
		 */
		long firstByteMilliseconds();

		/**
		 * Returns the timeout for the next event of a stream.
		 * @return milliseconds from now, negative if it has passed
		 */
		long gapMilliseconds();

		/**
		 * Records what the endpoint states about the requests that it takes.
		 * @param metadata the metadata of its answer
		 */
		void recordStatements(AnswerMetadata metadata);

		/** Records that the endpoint is leaving. */
		void recordLeaving();

		/**
		 * Records that the endpoint wants no requests for a time.
		 * @param milliseconds how long
		 */
		void recordPause(long milliseconds);

		/**
		 * Records that the head of a stream has arrived, or that the caller has taken an
		 * event. Bytes that complete neither a head nor an event do not extend a timeout.
		 */
		void recordHead();

		/** Records that an event with a field has arrived. */
		void recordEvent();

		/**
		 * Returns the time that is left for the whole exchange.
		 * @return milliseconds from now
		 */
		long totalMilliseconds();

	}

}

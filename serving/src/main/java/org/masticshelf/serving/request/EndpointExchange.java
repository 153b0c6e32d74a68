package org.masticshelf.serving.request;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;

import org.masticshelf.kernel.serving.ServedEndpoint;
import org.masticshelf.kernel.serving.ServedRequest;
import org.masticshelf.kernel.serving.ServedRequest.Header;
import org.masticshelf.serving.caller.CallerChannel;
import org.masticshelf.serving.upstream.AnswerHead;
import org.masticshelf.serving.upstream.EndpointConnection;
import org.masticshelf.serving.upstream.EndpointConnections;
import org.masticshelf.serving.upstream.EndpointProtocol;
import org.masticshelf.serving.upstream.EndpointProtocol.AnswerMetadata;
import org.masticshelf.serving.upstream.EndpointProtocol.OutboundRequest;

/**
 * One sending of a request to an endpoint.
 * <p>
 * Invariant: a result other than {@link ExchangeResult.Unreached} and
 * {@link ExchangeResult.NotRun} means that the request may have run. Used by one thread.
 */
final class EndpointExchange {

	private static final int MAXIMUM_ANSWER_BYTES = 8 * 1024 * 1024;

	private static final int BUFFER_BYTES = 8 * 1024;

	/** Answers to earlier requests that are passed over on a connection. */
	private static final int MAXIMUM_FOREIGN_ANSWERS = 4;

	private static final Set<String> CONNECTION_HEADERS = Set.of("connection", "keep-alive", "proxy-connection",
			"proxy-authenticate", "te", "trailer", "transfer-encoding", "upgrade", "content-length");

	private static final Set<Integer> PROMISING_STATUSES = Set.of(408, 421, 429, 503);

	private final EndpointConnections connections;

	private final EndpointProtocol protocol;

	private final OutboundRequest passage;

	private final Limits limits;

	private final CallerChannel caller;

	private final boolean doubtful;

	/**
	 * Creates an exchange.
	 * @param connections idle connections
	 * @param protocol how requests are written
	 * @param passage what to send where
	 * @param limits how long to wait
	 * @param caller the caller; the exchange ends when it goes
	 * @param doubtful whether the endpoint may be cut off, so that only a connection that
	 * stands now shows that it is not
	 */
	EndpointExchange(EndpointConnections connections, EndpointProtocol protocol, OutboundRequest passage, Limits limits,
			CallerChannel caller, boolean doubtful) {
		this.doubtful = doubtful;
		this.connections = connections;
		this.protocol = protocol;
		this.passage = passage;
		this.limits = limits;
		this.caller = caller;
	}

	/**
	 * Sends the request and reads its answer.
	 * @param relay takes the events of a stream
	 * @return how it ended
	 */
	ExchangeResult run(StreamRelay relay) {
		ServedEndpoint endpoint = this.passage.endpoint();
		EndpointConnection connection = this.doubtful ? null : this.connections.takeIdle(endpoint);
		if (connection == null) {
			try {
				connection = this.connections.open(endpoint, this.doubtful);
			}
			catch (IOException ex) {
				return new ExchangeResult.Unreached(String.valueOf(ex.getMessage()));
			}
		}
		EndpointConnection used = connection;
		this.caller.onGone(used::close);
		int keepAliveSeconds = 0;
		try {
			connection.send(encodeHead(), this.passage.request().body());
			AnswerHead answer = readMatchingHead(connection);
			keepAliveSeconds = answer.closing() ? 0 : answer.keepAliveSeconds();
			return readAnswer(connection, answer, relay);
		}
		catch (SocketTimeoutException ex) {
			keepAliveSeconds = 0;
			return new ExchangeResult.Lost("no byte in time", true);
		}
		catch (IOException ex) {
			keepAliveSeconds = 0;
			return new ExchangeResult.Lost(String.valueOf(ex.getMessage()), false);
		}
		finally {
			this.connections.release(endpoint, connection, keepAliveSeconds);
		}
	}

	private byte[] encodeHead() {
		ServedRequest request = this.passage.request();
		StringBuilder head = new StringBuilder(512).append(request.method())
			.append(' ')
			.append(request.target())
			.append(" HTTP/1.1\r\nHost: ")
			.append(request.host())
			.append("\r\n");
		request.headers().forEach((header) -> append(head, header));
		this.protocol.requestHeaders(this.passage).forEach((header) -> append(head, header));
		if (request.body().length > 0 || !request.method().equals("GET")) {
			head.append("Content-Length: ").append(request.body().length).append("\r\n");
		}
		return head.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1);
	}

	private static void append(StringBuilder head, Header header) {
		head.append(header.name()).append(": ").append(header.value()).append("\r\n");
	}

	// A late second answer to an earlier request may stand where the answer is expected.
	private AnswerHead readMatchingHead(EndpointConnection connection) throws IOException {
		for (int passed = 0; passed < MAXIMUM_FOREIGN_ANSWERS; passed++) {
			AnswerHead answer = connection.readHead(this.limits.firstByteMilliseconds());
			AnswerMetadata facts = this.protocol.answerMetadata(answer);
			String identifier = facts.requestIdentifier();
			if (identifier == null || identifier.equals(this.passage.request().identifier())) {
				return answer;
			}
			readBody(connection);
		}
		throw new IOException("only answers to other requests");
	}

	private ExchangeResult readAnswer(EndpointConnection connection, AnswerHead answer, StreamRelay relay)
			throws IOException {
		AnswerMetadata facts = this.protocol.answerMetadata(answer);
		if (facts.notRun()) {
			readBody(connection);
			return new ExchangeResult.NotRun(answer.status(), facts.otherEndpoint());
		}
		boolean good = answer.status() >= 200 && answer.status() < 300;
		if (good && (!facts.genuine() || facts.requestIdentifier() == null)) {
			throw new IOException("an answer without the endpoint's mark");
		}
		if (answer.header("content-encoding") != null) {
			throw new IOException("an encoded body");
		}
		String type = answer.header("content-type");
		if (answer.status() == 200 && type != null && type.startsWith("text/event-stream")) {
			return relayStream(connection, answer, relay);
		}
		byte[] body = readBody(connection);
		if (!good && PROMISING_STATUSES.contains(answer.status())) {
			return new ExchangeResult.Lost("status " + answer.status() + " without a word that nothing ran", false);
		}
		return new ExchangeResult.Answered(answer.status(), forwardedHeaders(answer), body);
	}

	private ExchangeResult relayStream(EndpointConnection connection, AnswerHead answer, StreamRelay relay)
			throws IOException {
		EventSplitter splitter = new EventSplitter();
		List<Header> headers = forwardedHeaders(answer);
		byte[] buffer = new byte[BUFFER_BYTES];
		while (true) {
			int count = connection.read(buffer,
					relay.isStarted() ? this.limits.gapMilliseconds() : this.limits.firstByteMilliseconds());
			if (count < 0) {
				break;
			}
			relay.forward(headers, splitter.add(buffer, count));
		}
		if (splitter.hasPartialEvent()) {
			throw new IOException("the stream ended within an event");
		}
		relay.end(headers);
		return new ExchangeResult.Streamed();
	}

	private byte[] readBody(EndpointConnection connection) throws IOException {
		ByteArrayOutputStream body = new ByteArrayOutputStream();
		byte[] buffer = new byte[BUFFER_BYTES];
		while (true) {
			int count = connection.read(buffer, this.limits.totalMilliseconds());
			if (count < 0) {
				return body.toByteArray();
			}
			body.write(buffer, 0, count);
			if (body.size() > MAXIMUM_ANSWER_BYTES) {
				throw new IOException("an answer above " + MAXIMUM_ANSWER_BYTES + " bytes");
			}
		}
	}

	private static List<Header> forwardedHeaders(AnswerHead answer) {
		Set<String> dropped = new HashSet<>(CONNECTION_HEADERS);
		for (Header header : answer.headers()) {
			if (header.name().equalsIgnoreCase("connection")) {
				for (String name : header.value().split(",")) {
					dropped.add(name.strip().toLowerCase(Locale.ROOT));
				}
			}
		}
		List<Header> passed = new ArrayList<>();
		for (Header header : answer.headers()) {
			if (!dropped.contains(header.name().toLowerCase(Locale.ROOT))) {
				passed.add(header);
			}
		}
		return passed;
	}

	/** How long an exchange may wait, asked before each wait. */
	interface Limits {

		/**
		 * Returns how long to wait for the first byte of an answer or stream.
		 * @return milliseconds from now
		 */
		long firstByteMilliseconds();

		/**
		 * Returns how long to wait for the next byte of a stream.
		 * @return milliseconds from now
		 */
		long gapMilliseconds();

		/**
		 * Returns how long the exchange may take altogether.
		 * @return milliseconds from now
		 */
		long totalMilliseconds();

	}

}

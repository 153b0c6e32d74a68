package org.masticshelf.standins.web;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Deque;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import org.jspecify.annotations.Nullable;
import org.xnio.IoUtils;

/**
 * One exchange of a stand-in, read and answered as JSON.
 * <p>
 * Used by one thread.
 */
public final class JsonExchange {

	/** Reads and writes all JSON of the stand-ins. */
	public static final ObjectMapper MAPPER = new ObjectMapper();

	private final HttpServerExchange exchange;

	/**
	 * Wraps an exchange.
	 * @param exchange a blocking exchange
	 */
	public JsonExchange(HttpServerExchange exchange) {
		this.exchange = exchange;
	}

	/**
	 * Returns a header of the request.
	 * @param name the name
	 * @return the value or {@code null} if there is none
	 */
	public @Nullable String header(String name) {
		return this.exchange.getRequestHeaders().getFirst(name);
	}

	/**
	 * Returns a whole number in a header of the request.
	 * @param name the name
	 * @param missing the value to return when the header is missing
	 * @return the number
	 */
	public int number(String name, int missing) {
		String value = header(name);
		return (value != null) ? Integer.parseInt(value) : missing;
	}

	/**
	 * Returns a parameter of the path or query.
	 * @param name the name
	 * @param missing the value to return when there is none
	 * @return the value
	 */
	public String parameter(String name, String missing) {
		Deque<String> values = this.exchange.getQueryParameters().get(name);
		return (values != null && !values.isEmpty()) ? values.getFirst() : missing;
	}

	/**
	 * Reads the body of the request.
	 * @return the body, an empty object if there is none
	 * @throws IOException if the body cannot be read or is no JSON object
	 */
	public ObjectNode body() throws IOException {
		byte[] bytes = this.exchange.getInputStream().readAllBytes();
		if (bytes.length == 0) {
			return MAPPER.createObjectNode();
		}
		JsonNode node = MAPPER.readTree(bytes);
		if (node instanceof ObjectNode object) {
			return object;
		}
		throw new IOException("the body is no JSON object");
	}

	/**
	 * Sets a header of the answer.
	 * @param name the name
	 * @param value the value
	 * @return this exchange
	 */
	public JsonExchange withHeader(String name, String value) {
		this.exchange.getResponseHeaders().put(new HttpString(name), value);
		return this;
	}

	/**
	 * Answers.
	 * @param status the HTTP status
	 * @param value the value to answer with
	 * @throws IOException if the peer is gone
	 */
	public void answer(int status, Object value) throws IOException {
		this.exchange.setStatusCode(status);
		this.exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
		byte[] bytes = MAPPER.writeValueAsBytes(value);
		this.exchange.setResponseContentLength(bytes.length);
		this.exchange.getOutputStream().write(bytes);
		this.exchange.endExchange();
	}

	/**
	 * Refuses before anything was run.
	 * @param status the HTTP status
	 * @param reason the reason
	 * @throws IOException if the peer is gone
	 */
	public void refuse(int status, String reason) throws IOException {
		ObjectNode body = MAPPER.createObjectNode();
		body.putObject("error").put("reason", reason);
		answer(status, body);
	}

	/**
	 * Answers with bytes that are no JSON.
	 * @throws IOException if the peer is gone
	 */
	public void answerRubbish() throws IOException {
		this.exchange.getOutputStream().write("<<<rubbish{".getBytes(StandardCharsets.UTF_8));
		this.exchange.endExchange();
	}

	/**
	 * Begins a stream of server-sent events.
	 * @return takes the events
	 */
	public OutputStream beginEvents() {
		this.exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "text/event-stream");
		return this.exchange.getOutputStream();
	}

	/** Ends the exchange. */
	public void end() {
		this.exchange.endExchange();
	}

	/** Closes the connection without ending the answer. */
	public void cut() {
		IoUtils.safeClose(this.exchange.getConnection());
	}

}

package org.masticshelf.transport.http;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * An HTTP request to an address. Immutable.
 *
 * @param address the IP address and port
 * @param method the HTTP method
 * @param path the path with its query
 * @param headers the headers except host and content length
 * @param body the body, empty for none
 * @param timeout how long the whole exchange may take
 * @param freshConnection whether a new connection is opened instead of reusing an idle
 * one, so that a stale one cannot make the outcome uncertain
 * @param maximumAnswerBytes the largest body that is collected, in bytes
 */
public record HttpCall(String address, String method, String path, Map<String, String> headers, byte[] body,
		Duration timeout, boolean freshConnection, int maximumAnswerBytes) {

	/** The largest body that is collected unless a call says otherwise. */
	public static final int DEFAULT_MAXIMUM_ANSWER_BYTES = 16 * 1024 * 1024;

	private static final Duration DEFAULT_TIMEOUT = Duration.ofSeconds(5);

	private static final byte[] NO_BODY = {};

	/**
	 * Creates a request that collects bodies of the default size.
	 * @param address the IP address and port
	 * @param method the HTTP method
	 * @param path the path with its query
	 * @param headers the headers except host and content length
	 * @param body the body, empty for none
	 * @param timeout how long the whole exchange may take
	 * @param freshConnection whether a new connection is opened
	 */
	public HttpCall(String address, String method, String path, Map<String, String> headers, byte[] body,
			Duration timeout, boolean freshConnection) {
		this(address, method, path, headers, body, timeout, freshConnection, DEFAULT_MAXIMUM_ANSWER_BYTES);
	}

	/**
	 * Creates a GET request.
	 * @param address the IP address and port
	 * @param path the path with its query
	 * @return the request
	 */
	public static HttpCall get(String address, String path) {
		return new HttpCall(address, "GET", path, Map.of(), NO_BODY, DEFAULT_TIMEOUT, false);
	}

	/**
	 * Creates a POST request with a JSON body.
	 * @param address the IP address and port
	 * @param path the path with its query
	 * @param body the JSON value in UTF-8
	 * @return the request
	 */
	public static HttpCall postJson(String address, String path, byte[] body) {
		return new HttpCall(address, "POST", path, Map.of("content-type", "application/json"), body, DEFAULT_TIMEOUT,
				false);
	}

	/**
	 * Returns a copy with one more header.
	 * @param name the name of the header
	 * @param value the value of the header
	 * @return the copy
	 */
	public HttpCall withHeader(String name, String value) {
		Map<String, String> extended = new LinkedHashMap<>(this.headers);
		extended.put(name, value);
		return new HttpCall(this.address, this.method, this.path, extended, this.body, this.timeout,
				this.freshConnection, this.maximumAnswerBytes);
	}

	/**
	 * Returns a copy with another timeout.
	 * @param timeout how long the whole exchange may take
	 * @return the copy
	 */
	public HttpCall withTimeout(Duration timeout) {
		return new HttpCall(this.address, this.method, this.path, this.headers, this.body, timeout,
				this.freshConnection, this.maximumAnswerBytes);
	}

	/**
	 * Returns a copy that opens a new connection.
	 * @return the copy
	 */
	public HttpCall withFreshConnection() {
		return new HttpCall(this.address, this.method, this.path, this.headers, this.body, this.timeout, true,
				this.maximumAnswerBytes);
	}

	/**
	 * Returns a copy with another bound of the body.
	 * @param bytes the largest body that is collected
	 * @return the copy
	 */
	public HttpCall withMaximumAnswerBytes(int bytes) {
		return new HttpCall(this.address, this.method, this.path, this.headers, this.body, this.timeout,
				this.freshConnection, bytes);
	}

}

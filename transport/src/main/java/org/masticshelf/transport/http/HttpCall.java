package org.masticshelf.transport.http;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * A description of an HTTP call. Immutable.
 *
 * @param address the IP number and port
 * @param method the HTTP method
 * @param path the path with its query
 * @param headers the headers beside host and length
 * @param body the body, empty for none
 * @param timeout how long the whole exchange may take
 * @param freshConnection whether an idle connection must not be reused, so that a stale
 * one cannot make the outcome uncertain
 */
public record HttpCall(String address, String method, String path, Map<String, String> headers, byte[] body,
		Duration timeout, boolean freshConnection) {

	private static final Duration DEFAULT_TIMEOUT = Duration.ofSeconds(5);

	private static final byte[] NO_BODY = {};

	/**
	 * Describes a GET call.
	 * @param address the IP number and port
	 * @param path the path with its query
	 * @return the call
	 */
	public static HttpCall get(String address, String path) {
		return new HttpCall(address, "GET", path, Map.of(), NO_BODY, DEFAULT_TIMEOUT, false);
	}

	/**
	 * Describes a POST call with a JSON body.
	 * @param address the IP number and port
	 * @param path the path with its query
	 * @param body the JSON value in UTF-8
	 * @return the call
	 */
	public static HttpCall postJson(String address, String path, byte[] body) {
		return new HttpCall(address, "POST", path, Map.of("content-type", "application/json"), body, DEFAULT_TIMEOUT,
				false);
	}

	/**
	 * Returns this call with one more header.
	 * @param name the name of the header
	 * @param value the value
	 * @return the extended call
	 */
	public HttpCall withHeader(String name, String value) {
		Map<String, String> extended = new LinkedHashMap<>(this.headers);
		extended.put(name, value);
		return new HttpCall(this.address, this.method, this.path, extended, this.body, this.timeout,
				this.freshConnection);
	}

	/**
	 * Returns this call with another timeout.
	 * @param timeout how long the whole exchange may take
	 * @return the changed call
	 */
	public HttpCall withTimeout(Duration timeout) {
		return new HttpCall(this.address, this.method, this.path, this.headers, this.body, timeout,
				this.freshConnection);
	}

	/**
	 * Returns this call on a connection of its own.
	 * @return the changed call
	 */
	public HttpCall withFreshConnection() {
		return new HttpCall(this.address, this.method, this.path, this.headers, this.body, this.timeout, true);
	}

}

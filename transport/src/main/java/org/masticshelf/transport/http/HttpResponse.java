package org.masticshelf.transport.http;

import java.util.Map;

import org.jspecify.annotations.Nullable;

/**
 * A complete HTTP response. Immutable.
 *
 * @param status the HTTP status code
 * @param headers the headers, with lower-case names
 * @param body the body, empty for none
 */
public record HttpResponse(int status, Map<String, String> headers, byte[] body) {

	/**
	 * Returns the value of a header.
	 * @param name the name in lower case
	 * @return the value or {@code null} if there is none
	 */
	public @Nullable String header(String name) {
		return this.headers.get(name);
	}

}

package org.masticshelf.transport.http;

import java.util.Map;

import org.jspecify.annotations.Nullable;

/**
 * A whole HTTP answer. Immutable.
 *
 * @param status the HTTP status
 * @param headers the headers, with lower-case names
 * @param body the body
 */
public record HttpAnswer(int status, Map<String, String> headers, byte[] body) {

	/**
	 * Finds a header.
	 * @param name the name in lower case
	 * @return the value or {@code null} if there is none
	 */
	public @Nullable String header(String name) {
		return this.headers.get(name);
	}

}

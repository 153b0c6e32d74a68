package org.masticshelf.transport.http;

import java.util.List;

import org.jspecify.annotations.Nullable;

import org.masticshelf.kernel.serving.ServedRequest.Header;

/**
 * The status and headers of an answer. Immutable.
 *
 * @param status the HTTP status
 * @param headers the headers as received, in order
 * @param framing how the end of the body is determined
 * @param length the announced length of the body, negative if there is none
 * @param closing whether the server closes the connection after this answer
 * @param keepAliveSeconds how long the server keeps an idle connection open, negative if
 * unknown
 */
public record AnswerHead(int status, List<Header> headers, Framing framing, long length, boolean closing,
		int keepAliveSeconds) {

	/**
	 * Finds a header.
	 * @param name the name, case-insensitive
	 * @return its first value, {@code null} if the header is missing
	 */
	public @Nullable String header(String name) {
		for (Header header : this.headers) {
			if (header.name().equalsIgnoreCase(name)) {
				return header.value();
			}
		}
		return null;
	}

	/** How the end of a body is determined. */
	public enum Framing {

		/** There is no body. */
		NONE,

		/** By the {@code Content-Length} header. */
		LENGTH,

		/** By chunked transfer encoding. */
		CHUNKED,

		/** By the end of the connection. */
		UNTIL_CLOSE

	}

}

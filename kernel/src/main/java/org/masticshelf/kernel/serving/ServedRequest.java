package org.masticshelf.kernel.serving;

import java.util.List;

import org.jspecify.annotations.Nullable;

/**
 * A request with the properties that routing and admission depend on. Immutable.
 *
 * @param identifier identifies this attempt of the caller
 * @param method the HTTP method
 * @param target path and query as sent by the caller
 * @param host the host that the caller addressed
 * @param key the caller's key, {@code null} if it sent none
 * @param deadlineMilliseconds how long the caller waits, {@link Long#MAX_VALUE} if
 * unknown
 * @param loadable the model or adapter, {@code null} for a plain request
 * @param promptTokens the tokens of the prompt, negative if unknown
 * @param outputTokens the maximum number of tokens to generate, negative if unknown
 * @param sharedPrompt identifies the part of the prompt that other requests share, empty
 * for none
 * @param sharedSegments the identifiers of the segments of the prompt that other requests
 * may hold, too, in order; the last segment belongs to the request alone
 * @param resumeAfter the last event that the caller received, {@code null} for none
 * @param headers the headers to forward
 * @param body the complete body
 */
public record ServedRequest(String identifier, String method, String target, String host, @Nullable String key,
		long deadlineMilliseconds, @Nullable LoadableName loadable, long promptTokens, long outputTokens,
		String sharedPrompt, List<String> sharedSegments, @Nullable String resumeAfter, List<Header> headers,
		byte[] body) {

	/**
	 * Returns the tokens of prompt and output together.
	 * @return the number of tokens, negative if unknown
	 */
	public long totalTokens() {
		return (this.promptTokens >= 0 && this.outputTokens >= 0) ? this.promptTokens + this.outputTokens : -1;
	}

	/**
	 * Returns the path without its query.
	 * @return the path
	 */
	public String path() {
		int question = this.target.indexOf('?');
		return (question < 0) ? this.target : this.target.substring(0, question);
	}

	/**
	 * A header to forward.
	 *
	 * @param name the name as received
	 * @param value the value as received
	 */
	public record Header(String name, String value) {
	}

}

package org.masticshelf.kernel.serving;

import java.util.List;

import org.jspecify.annotations.Nullable;

/**
 * What decides about a request. Immutable.
 *
 * @param identifier the identity of this attempt of the caller
 * @param method the HTTP method
 * @param target path and query as the caller wrote them
 * @param host the host that the caller asked for
 * @param key the caller's key, {@code null} if it sent none
 * @param deadlineMilliseconds how long the caller waits, {@link Long#MAX_VALUE} if it
 * does not say
 * @param loadable the model or adapter, {@code null} for a plain call
 * @param promptTokens tokens of the prompt, negative if it does not say
 * @param outputTokens tokens to generate at most, negative if it does not say
 * @param sharedPrompt identifies the part of the prompt that other requests share, empty
 * for none
 * @param resumeAfter the last event that the caller has, {@code null} for none
 * @param headers the headers to pass on
 * @param body the whole body
 */
public record ServedRequest(String identifier, String method, String target, String host, @Nullable String key,
		long deadlineMilliseconds, @Nullable LoadableName loadable, long promptTokens, long outputTokens,
		String sharedPrompt, @Nullable String resumeAfter, List<Header> headers, byte[] body) {

	/**
	 * Returns the tokens of prompt and output together.
	 * @return the number of tokens, negative if the request does not say
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
	 * A header to pass on.
	 *
	 * @param name the name as written
	 * @param value the value as written
	 */
	public record Header(String name, String value) {
	}

}

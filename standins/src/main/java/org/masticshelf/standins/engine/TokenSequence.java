package org.masticshelf.standins.engine;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * The tokens that a prompt leads to. Equal prompts of a model lead to equal tokens, so a
 * stream can be resumed on another endpoint without gap or repetition.
 * <p>
 * Immutable.
 *
 * @param promptTokens how many tokens the prompt has, one for each word
 * @param mark distinguishes the tokens of different prompts
 * @param length how many tokens the whole answer has
 */
public record TokenSequence(int promptTokens, String mark, int length) {

	/** The length of an answer when the request names none, in tokens. */
	public static final int DEFAULT_LENGTH_TOKENS = 32;

	/**
	 * Derives the tokens from the body of a request.
	 * @param body the body of a chat completion or completion
	 * @return the tokens
	 */
	public static TokenSequence of(ObjectNode body) {
		StringBuilder prompt = new StringBuilder(body.path("prompt").asText());
		for (JsonNode message : body.path("messages")) {
			prompt.append(' ').append(message.path("content").asText());
		}
		String text = prompt.toString().strip();
		int words = text.isEmpty() ? 0 : text.split("\\s+").length;
		String mark = String.format("%08x", (body.path("model").asText() + "\n" + text).hashCode());
		int length = body.path("max_completion_tokens").asInt(body.path("max_tokens").asInt(DEFAULT_LENGTH_TOKENS));
		return new TokenSequence(words, mark, length);
	}

	/**
	 * Returns one token.
	 * @param index the index of the token in the whole answer, from 0
	 * @return for example {@code "tok0-00c0ffee "}, with the blank that parts tokens
	 */
	public String token(int index) {
		return "tok" + index + "-" + this.mark + " ";
	}

	/**
	 * Returns the text from one token to the end.
	 * @param first the index of the first token
	 * @param end the index after the last token
	 * @return the text
	 */
	public String text(int first, int end) {
		StringBuilder text = new StringBuilder();
		for (int index = first; index < end; index++) {
			text.append(token(index));
		}
		return text.toString();
	}

}

package org.masticshelf.daemon.request;

import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

import org.masticshelf.kernel.configuration.Loadable;

/**
 * A caller's call to a model, checked and measured. Immutable, though its body is a
 * mutable tree that must not be changed.
 *
 * @param loadable what has to be loaded
 * @param body the caller's body
 * @param stream whether the answer is streamed
 * @param promptTokens an estimate of the tokens of the prompt that is not too low
 * @param maximumTokens the most tokens to generate
 * @param prefixHash the hash of the prompt's prefix and the loadable
 */
public record ModelCall(Loadable loadable, ObjectNode body, boolean stream, long promptTokens, long maximumTokens,
		long prefixHash) {

	private static final long DEFAULT_MAXIMUM_TOKENS = 256;

	private static final long HIGHEST_MAXIMUM_TOKENS = 32_768;

	private static final int PREFIX_CHARACTERS = 256;

	private static final int CHARACTERS_PER_TOKEN = 2;

	/**
	 * Checks and measures a body.
	 * @param loadable what has to be loaded
	 * @param body the caller's body
	 * @return the call
	 * @throws MalformedRequestException if the body is not that of a call to a model
	 */
	public static ModelCall parse(Loadable loadable, ObjectNode body) {
		String prompt = promptOf(body);
		long maximum = maximumOf(body);
		long estimate = prompt.length() / CHARACTERS_PER_TOKEN + 1L;
		String prefix = prompt.substring(0, Math.min(PREFIX_CHARACTERS, prompt.length()));
		long hash = 31L * prefix.hashCode() + loadable.hashCode();
		return new ModelCall(loadable, body, body.path("stream").asBoolean(false), estimate, maximum, hash);
	}

	private static String promptOf(ObjectNode body) {
		if (body.has("messages")) {
			JsonNode messages = body.path("messages");
			if (!messages.isArray() || messages.isEmpty()) {
				throw new MalformedRequestException("messages must be a list that is not empty");
			}
			return messages.toString();
		}
		JsonNode prompt = body.path("prompt");
		if (prompt.isMissingNode() || prompt.isNull()) {
			throw new MalformedRequestException("messages or prompt is missing");
		}
		return prompt.isTextual() ? prompt.asText() : prompt.toString();
	}

	private static long maximumOf(ObjectNode body) {
		JsonNode asked = body.has("max_completion_tokens") ? body.path("max_completion_tokens")
				: body.path("max_tokens");
		if (asked.isMissingNode() || asked.isNull()) {
			return DEFAULT_MAXIMUM_TOKENS;
		}
		if (!asked.isIntegralNumber() || asked.asLong() < 1 || asked.asLong() > HIGHEST_MAXIMUM_TOKENS) {
			throw new MalformedRequestException(
					"max_tokens must be a whole number from 1 to " + HIGHEST_MAXIMUM_TOKENS);
		}
		return asked.asLong();
	}

	/**
	 * Returns the cost that is reserved for the call.
	 * @return tokens of the prompt and the most to generate
	 */
	public long costTokens() {
		return this.promptTokens + this.maximumTokens;
	}

	/**
	 * Creates the body that the engine gets.
	 * @return a copy with the engine's name of the model and an explicit bound on tokens
	 */
	public ObjectNode toEngineBody() {
		ObjectNode copy = this.body.deepCopy();
		copy.remove("max_completion_tokens");
		copy.put("model", this.loadable.engineName());
		copy.put("max_tokens", this.maximumTokens);
		if (this.stream) {
			copy.putObject("stream_options").put("include_usage", true);
		}
		return copy;
	}

	/** The headers of a whole answer. */
	static final Map<String, String> JSON_HEADERS = Map.of("content-type", "application/json");

}

package org.masticshelf.daemon.request;

import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

import org.masticshelf.kernel.configuration.Loadable;

/**
 * A validated call to a model and its cost. Immutable, though its body is a mutable tree
 * that must not be changed.
 *
 * @param loadable the model or adapter that the call needs
 * @param body the caller's body
 * @param stream whether the answer is streamed
 * @param promptTokens an estimate of the prompt's tokens that is not too low
 * @param maximumTokens the maximum number of tokens to generate
 * @param prefixHash the hash of the prompt's prefix and the loadable
 */
public record ModelCall(Loadable loadable, ObjectNode body, boolean stream, long promptTokens, long maximumTokens,
		long prefixHash) {

	private static final long DEFAULT_MAXIMUM_TOKENS = 256;

	private static final long MAXIMUM_TOKENS_LIMIT = 32_768;

	private static final int PREFIX_CHARACTERS = 256;

	private static final int CHARACTERS_PER_TOKEN = 2;

	/**
	 * Validates a body and estimates its cost.
	 * @param loadable the model or adapter that the call needs
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
		JsonNode requested = body.has("max_completion_tokens") ? body.path("max_completion_tokens")
				: body.path("max_tokens");
		if (requested.isMissingNode() || requested.isNull()) {
			return DEFAULT_MAXIMUM_TOKENS;
		}
		if (!requested.isIntegralNumber() || requested.asLong() < 1 || requested.asLong() > MAXIMUM_TOKENS_LIMIT) {
			throw new MalformedRequestException("max_tokens must be a whole number from 1 to " + MAXIMUM_TOKENS_LIMIT);
		}
		return requested.asLong();
	}

	/**
	 * Returns the cost to reserve for the call.
	 * @return the prompt tokens plus the maximum of generated tokens
	 */
	public long costTokens() {
		return this.promptTokens + this.maximumTokens;
	}

	/**
	 * Creates the body to send to the engine.
	 * @return a copy with the engine's name of the model and an explicit limit on tokens
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

	/** The headers of an answer that is not streamed. */
	static final Map<String, String> JSON_HEADERS = Map.of("content-type", "application/json");

}

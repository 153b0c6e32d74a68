package org.masticshelf.serving.peer;

import java.util.HashMap;
import java.util.Map;

/**
 * The keys of the rates that daemons send to the placing daemon in one map.
 * <p>
 * The key of a model's requests is {@code pool/model}, that of its prompt tokens
 * {@code /pool/model}. The name of a pool is not empty, so a daemon that knows only the
 * former ignores the latter.
 */
public final class RateKeys {

	private static final String PROMPT_TOKENS_PREFIX = "/";

	private RateKeys() {
	}

	/**
	 * Returns the key of the request rate of a model.
	 * @param pool the pool
	 * @param model the model
	 * @return the key
	 */
	public static String ofRequests(String pool, String model) {
		return pool + "/" + model;
	}

	/**
	 * Returns the key of the prompt tokens per second of a model.
	 * @param ofRequests the key of the model's request rate
	 * @return the key
	 */
	public static String ofPromptTokens(String ofRequests) {
		return PROMPT_TOKENS_PREFIX + ofRequests;
	}

	/**
	 * Selects the request rates of a pool.
	 * @param rates the rates by key
	 * @param pool the pool
	 * @return requests per second by model
	 */
	public static Map<String, Double> selectRequests(Map<String, Double> rates, String pool) {
		return withPrefix(rates, ofRequests(pool, ""));
	}

	/**
	 * Selects the rates of prompt tokens of a pool.
	 * @param rates the rates by key
	 * @param pool the pool
	 * @return prompt tokens per second by model
	 */
	public static Map<String, Double> selectPromptTokens(Map<String, Double> rates, String pool) {
		return withPrefix(rates, ofPromptTokens(ofRequests(pool, "")));
	}

	private static Map<String, Double> withPrefix(Map<String, Double> rates, String prefix) {
		Map<String, Double> selected = new HashMap<>();
		rates.forEach((key, rate) -> {
			if (key.startsWith(prefix)) {
				selected.put(key.substring(prefix.length()), rate);
			}
		});
		return selected;
	}

}

package org.masticshelf.kernel.configuration;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;

/**
 * The canonical JSON form of configuration values: members in declared order, maps in the
 * order of their keys, no blanks and no {@code null} members, so that equal values have
 * equal digests.
 * <p>
 * Stateless and therefore safe for use by several threads.
 */
final class ConfigurationJson {

	/** Reads and writes the canonical form. */
	static final ObjectMapper MAPPER = JsonMapper.builder()
		.serializationInclusion(JsonInclude.Include.NON_NULL)
		.enable(SerializationFeature.ORDER_MAP_ENTRIES_BY_KEYS)
		.enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
		.enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
		.build();

	private ConfigurationJson() {
	}

	/**
	 * Renders a value.
	 * @param value the value
	 * @return its canonical JSON
	 */
	static String write(Object value) {
		try {
			return MAPPER.writeValueAsString(value);
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException("configuration values can always be written as JSON", ex);
		}
	}

	/**
	 * Parses a value.
	 * @param text the JSON text
	 * @param type the type of the value
	 * @param <T> the type of the value
	 * @return the value
	 * @throws IllegalArgumentException if the text has another form
	 */
	static <T> T read(String text, Class<T> type) {
		try {
			T value = MAPPER.readValue(text, type);
			if (value == null) {
				throw new IllegalArgumentException("expected " + type.getSimpleName() + " but found null");
			}
			return value;
		}
		catch (JsonProcessingException ex) {
			throw new IllegalArgumentException("malformed " + type.getSimpleName() + ": " + ex.getOriginalMessage(),
					ex);
		}
	}

	/**
	 * Computes the digest of a text.
	 * @param text the text
	 * @return its SHA-256 digest in hexadecimal
	 */
	static String digestOf(String text) {
		try {
			MessageDigest digest = MessageDigest.getInstance("SHA-256");
			return HexFormat.of().formatHex(digest.digest(text.getBytes(StandardCharsets.UTF_8)));
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException("every Java platform has SHA-256", ex);
		}
	}

}

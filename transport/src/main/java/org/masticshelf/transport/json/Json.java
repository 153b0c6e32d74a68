package org.masticshelf.transport.json;

import java.io.IOException;
import java.io.UncheckedIOException;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;

/**
 * Encodes and decodes JSON for all processes. Stateless and thread-safe.
 */
public final class Json {

	private static final ObjectMapper MAPPER = JsonMapper.builder()
		.enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
		.disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
		.build();

	private Json() {
	}

	/**
	 * Returns the shared mapper. Callers must not change its configuration.
	 * @return the shared mapper
	 */
	public static ObjectMapper mapper() {
		return MAPPER;
	}

	/**
	 * Encodes a value.
	 * @param value the value to encode
	 * @return the value as JSON in UTF-8
	 */
	public static byte[] toBytes(Object value) {
		try {
			return MAPPER.writeValueAsBytes(value);
		}
		catch (JsonProcessingException ex) {
			throw new IllegalArgumentException("no JSON form of " + value.getClass(), ex);
		}
	}

	/**
	 * Decodes JSON to a tree.
	 * @param bytes one JSON value in UTF-8
	 * @return the tree
	 * @throws UncheckedIOException if the bytes are not exactly one JSON value
	 */
	public static JsonNode toTree(byte[] bytes) {
		try {
			return MAPPER.readTree(bytes);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	/**
	 * Decodes JSON to a value of the given type.
	 * @param bytes one JSON value in UTF-8
	 * @param type the type to decode to
	 * @param <T> the type of the value
	 * @return the decoded value
	 * @throws UncheckedIOException if the bytes cannot be decoded to the type
	 */
	public static <T> T toValue(byte[] bytes, Class<T> type) {
		try {
			return MAPPER.readValue(bytes, type);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

}

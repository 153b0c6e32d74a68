package org.masticshelf.standins.keyvalue.gateway;

import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.List;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import com.fasterxml.jackson.databind.json.JsonMapper;
import org.jspecify.annotations.Nullable;

import org.masticshelf.kernel.port.KeyValueStore;

/**
 * The messages that the gateway takes and sends: keys and values in base64, 64-bit
 * numbers as strings, fields left out when they hold their default.
 * <p>
 * Immutable values.
 */
final class GatewayMessages {

	static final ObjectMapper MAPPER = JsonMapper.builder()
		.propertyNamingStrategy(PropertyNamingStrategies.SNAKE_CASE)
		.serializationInclusion(JsonInclude.Include.NON_DEFAULT)
		.disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
		.withConfigOverride(long.class,
				(override) -> override.setFormat(JsonFormat.Value.forShape(JsonFormat.Shape.STRING)))
		.build();

	private GatewayMessages() {
	}

	static String encode(String text) {
		return Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8));
	}

	static String decode(@Nullable String encoded) {
		return (encoded != null) ? new String(Base64.getDecoder().decode(encoded), StandardCharsets.UTF_8) : "";
	}

	/**
	 * Returns the end of the range of all keys with a prefix.
	 * @param prefix the prefix in base64
	 * @return the first key after the range in base64
	 */
	static String rangeEndOf(String prefix) {
		byte[] end = Base64.getDecoder().decode(prefix);
		end[end.length - 1]++;
		return Base64.getEncoder().encodeToString(end);
	}

	record Header(long revision) {
	}

	record KeyValue(String key, @Nullable String value, long createRevision, long modRevision, long lease) {

		static KeyValue of(KeyValueStore.Entry entry) {
			String value = (entry.value() != null) ? encode(entry.value()) : null;
			return new KeyValue(encode(entry.key()), value, entry.createRevision(), entry.modifyRevision(),
					entry.lease());
		}

	}

	record RangeRequest(String key, @Nullable String rangeEnd) {
	}

	record RangeResponse(Header header, List<KeyValue> kvs, long count) {

		static RangeResponse of(List<KeyValueStore.Entry> entries, long revision) {
			List<KeyValue> present = entries.stream()
				.filter((entry) -> entry.value() != null)
				.map(KeyValue::of)
				.toList();
			return new RangeResponse(new Header(revision), present, present.size());
		}

	}

	record PutRequest(String key, @Nullable String value, long lease) {
	}

	record WriteResponse(Header header, long deleted) {
	}

	record Compare(String key, String target, @Nullable String result, long modRevision, long createRevision) {
	}

	record RequestOperation(@Nullable PutRequest requestPut, @Nullable RangeRequest requestDeleteRange,
			@Nullable RangeRequest requestRange) {
	}

	record TransactionRequest(@Nullable List<Compare> compare, @Nullable List<RequestOperation> success,
			@Nullable List<RequestOperation> failure) {
	}

	record ResponseOperation(RangeResponse responseRange) {
	}

	record TransactionResponse(Header header, boolean succeeded, List<ResponseOperation> responses) {
	}

	record LeaseRequest(@JsonProperty("ID") long identifier, @JsonProperty("TTL") long timeToLiveSeconds) {
	}

	record LeaseResponse(Header header, @JsonProperty("ID") long identifier,
			@JsonProperty("TTL") long timeToLiveSeconds) {
	}

	record Streamed(Object result) {
	}

	record WatchRequest(WatchCreation createRequest) {
	}

	record WatchCreation(String key, @Nullable String rangeEnd, long startRevision) {
	}

	record WatchResponse(Header header, boolean created, boolean canceled, long compactRevision,
			@Nullable String cancelReason, List<WatchEvent> events) {
	}

	record WatchEvent(@Nullable String type, KeyValue kv) {
	}

	record Failure(int code, String message) {
	}

}

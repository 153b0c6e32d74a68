package org.masticshelf.adapters.etcd;

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

/**
 * The messages of the gateway. The service leaves a field out when it holds its default,
 * sends keys and values in base64 and 64-bit numbers as strings.
 * <p>
 * Immutable values.
 */
final class EtcdMessages {

	static final ObjectMapper MAPPER = JsonMapper.builder()
		.propertyNamingStrategy(PropertyNamingStrategies.SNAKE_CASE)
		.serializationInclusion(JsonInclude.Include.NON_DEFAULT)
		.disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
		.enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
		.withConfigOverride(long.class,
				(override) -> override.setFormat(JsonFormat.Value.forShape(JsonFormat.Shape.STRING)))
		.build();

	private EtcdMessages() {
	}

	static String encode(String text) {
		return Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8));
	}

	static String decode(@Nullable String encoded) {
		return (encoded != null) ? new String(Base64.getDecoder().decode(encoded), StandardCharsets.UTF_8) : "";
	}

	/**
	 * Returns the end of the range of all keys with a prefix.
	 * @param prefix the prefix, not empty and in ASCII
	 * @return the first key after the range in base64
	 */
	static String rangeEnd(String prefix) {
		byte[] end = prefix.getBytes(StandardCharsets.UTF_8);
		end[end.length - 1]++;
		return Base64.getEncoder().encodeToString(end);
	}

	record Header(long revision) {
	}

	record KeyValue(@Nullable String key, @Nullable String value, long createRevision, long modRevision, long lease) {
	}

	record RangeRequest(String key, @Nullable String rangeEnd) {
	}

	record RangeResponse(@Nullable Header header, @Nullable List<KeyValue> kvs) {
	}

	record Compare(String key, String target, String result, @Nullable String modRevision,
			@Nullable String createRevision) {
	}

	record PutRequest(String key, String value, long lease) {
	}

	record RequestOperation(@Nullable PutRequest requestPut, @Nullable RangeRequest requestDeleteRange,
			@Nullable RangeRequest requestRange) {
	}

	record TransactionRequest(List<Compare> compare, List<RequestOperation> success, List<RequestOperation> failure) {
	}

	record ResponseOperation(@Nullable RangeResponse responseRange) {
	}

	record TransactionResponse(@Nullable Header header, boolean succeeded,
			@Nullable List<ResponseOperation> responses) {
	}

	record LeaseRequest(@JsonProperty("ID") long identifier, @JsonProperty("TTL") long timeToLiveSeconds) {
	}

	record LeaseResponse(@JsonProperty("ID") long identifier, @JsonProperty("TTL") long timeToLiveSeconds) {
	}

	record StreamedLease(@Nullable LeaseResponse result) {
	}

	record WatchRequest(WatchCreation createRequest) {
	}

	record WatchCreation(String key, String rangeEnd, long startRevision) {
	}

	record StreamedWatch(@Nullable WatchResponse result, @Nullable Refusal error) {
	}

	record WatchResponse(@Nullable Header header, boolean canceled, long compactRevision, @Nullable String cancelReason,
			@Nullable List<WatchEvent> events) {
	}

	record WatchEvent(@Nullable String type, @Nullable KeyValue kv) {
	}

	record Refusal(int code, @Nullable String message) {
	}

}

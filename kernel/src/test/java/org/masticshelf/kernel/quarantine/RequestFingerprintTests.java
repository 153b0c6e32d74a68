package org.masticshelf.kernel.quarantine;

import java.nio.charset.StandardCharsets;
import java.util.List;

import com.google.common.truth.Truth;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.masticshelf.kernel.serving.ServedRequest;

/**
 * Tests {@link RequestFingerprint}.
 */
class RequestFingerprintTests {

	private static String fingerprint(String identifier, String method, String target, @Nullable String key,
			String body) {
		return RequestFingerprint
			.of(new ServedRequest(identifier, method, target, "host", key, 2_000, null, -1, -1, "", List.of(), null,
					List.of(new ServedRequest.Header("Id", identifier)), body.getBytes(StandardCharsets.UTF_8)));
	}

	@Test
	void repeatedRequestHasTheSameFingerprint() {
		String first = fingerprint("r1", "POST", "/a", "key", "body");
		Truth.assertThat(fingerprint("r2", "POST", "/a", "key", "body")).isEqualTo(first);
		Truth.assertThat(RequestFingerprint.isOfWholeRequest(first)).isTrue();
		Truth.assertThat(RequestFingerprint.isOfWholeRequest("5c1e07a2")).isFalse();
	}

	@ParameterizedTest
	@CsvSource(nullValues = "null",
			value = { "GET, /a, key, body", "POST, /a?b, key, body", "POST, /a, other, body", "POST, /a, null, body",
					"POST, /a, key, ''", "POST, /akey, '', body", "POST, /a, ke, ybody", "POST, /a, keybody, ''" })
	void differentRequestHasAnother(String method, String target, @Nullable String key, String body) {
		Truth.assertThat(fingerprint("r1", method, target, key, body))
			.isNotEqualTo(fingerprint("r1", "POST", "/a", "key", "body"));
	}

}

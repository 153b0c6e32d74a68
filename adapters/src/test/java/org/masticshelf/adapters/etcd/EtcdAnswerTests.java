package org.masticshelf.adapters.etcd;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;

import com.google.common.truth.Truth;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.masticshelf.kernel.port.KeyValueFailure;
import org.masticshelf.kernel.port.KeyValueStore;
import org.masticshelf.transport.http.HttpResponse;

/**
 * Answers that no service should send, and random ones.
 */
class EtcdAnswerTests {

	/** The key {@code a/k} with the value {@code v}. */
	private static final String GOOD = "{\"header\":{\"revision\":\"7\"},\"kvs\":[{\"key\":\"YS9r\","
			+ "\"create_revision\":\"3\",\"mod_revision\":\"4\",\"version\":\"1\",\"value\":\"dg==\"}],\"count\":\"1\"}";

	private static final KeyValueStore.Transaction TRANSACTION = new KeyValueStore.Transaction(
			List.of(new KeyValueStore.Condition.ModifiedAt("a/k", 1)), List.of());

	@ParameterizedTest
	@CsvSource(delimiter = '|', quoteCharacter = '`',
			value = { "`a/k`|``|``|ok", "`a/k`|`YS9r`|`YS94`|not the key", "`a/k`|`YS9r`|`***`|no base64",
					"`a/k`|`\"7\"`|`\"x\"`|malformed", "`a/k`|`\"revision\":\"7\"`|`\"revision\":\"0\"`|no revision",
					"`a/k`|`\"header\"`|`\"head\"`|no header", "`a/k`|`\"4\"`|`\"2\"`|impossible revisions",
					"`a/k`|`\"3\"`|`\"99999999999999999999\"`|malformed", "`a/k`|`],`|`,null],`|not the key",
					"`a/k`|`]`|`] x`|malformed", "`a/k`|`\"kvs\":[`|`\"kvs\":[null,`|an entry is null" })
	void namesWhatIsWrong(String key, String from, String to, String complaint) {
		byte[] body = GOOD.replace(from, to).getBytes(StandardCharsets.UTF_8);
		String seen = "ok";
		try {
			Truth.assertThat(EtcdAnswer.toEntry(key, body).value()).isEqualTo("v");
		}
		catch (KeyValueFailure ex) {
			seen = ex.getMessage();
		}
		Truth.assertThat(seen).contains(complaint);
	}

	@ParameterizedTest
	@CsvSource(delimiter = '|', quoteCharacter = '`',
			value = { "400|`{\"code\":3}`|false", "404|`{\"code\":5}`|false", "429|`{\"code\":8}`|false",
					"503|`{\"code\":14}`|true", "500|`{\"code\":13}`|true", "504|`{\"code\":4}`|true",
					"502|`<html>`|true", "200|`{}`|true", "500|`null`|true" })
	void refusalOfAWriteTellsWhetherItMayHaveBeenApplied(int status, String body, boolean maybeApplied) {
		EtcdRequest request = EtcdRequest.transact(TRANSACTION);
		HttpResponse answer = new HttpResponse(status, Map.of(), body.getBytes(StandardCharsets.UTF_8));
		boolean seen = false;
		try {
			EtcdAnswer.toOutcome(TRANSACTION, EtcdAnswer.body(request, answer));
		}
		catch (KeyValueFailure ex) {
			seen = ex.maybeApplied();
		}
		Truth.assertThat(seen).isEqualTo(maybeApplied);
	}

	@Property(tries = 500, seed = "11")
	void randomBytesNeverThrowAnythingElse(@ForAll byte[] body) {
		readAll(body);
	}

	@Property(tries = 2000, seed = "12")
	void mutatedAnswersNeverThrowAnythingElse(@ForAll @IntRange(max = 130) int position,
			@ForAll @IntRange(max = 12) int length, @ForAll("replacements") String replacement) {
		int start = Math.min(position, GOOD.length());
		int end = Math.min(start + length, GOOD.length());
		String mutated = GOOD.substring(0, start) + replacement + GOOD.substring(end);
		readAll(mutated.getBytes(StandardCharsets.UTF_8));
	}

	@Provide
	Arbitrary<String> replacements() {
		return Arbitraries.of("", "null", "\"\"", "{", "}", "[", "]", "0", "-1", "\"-1\"", "1e999", ",", "\"result\":",
				"{}", "\u0000", "true");
	}

	private static void readAll(byte[] body) {
		attempt(() -> EtcdAnswer.toEntry("a/k", body));
		attempt(() -> EtcdAnswer.toSnapshot("a/", body));
		attempt(() -> EtcdAnswer.toOutcome(TRANSACTION, body));
		attempt(() -> EtcdAnswer.toLease(body));
		attempt(() -> EtcdAnswer.toRemaining(1, body));
		attempt(() -> EtcdAnswer.toBatch("a/", body));
		attempt(() -> EtcdAnswer.body(EtcdRequest.get("a/k"), new HttpResponse(500, Map.of(), body)));
	}

	private static void attempt(Runnable reading) {
		try {
			reading.run();
		}
		catch (KeyValueFailure ex) {
			Truth.assertThat(ex).hasMessageThat().isNotEmpty();
		}
	}

}

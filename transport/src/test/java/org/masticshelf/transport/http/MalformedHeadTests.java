package org.masticshelf.transport.http;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.function.IntPredicate;

import com.google.common.truth.Truth;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests that {@link HttpConnection} takes only what RFC 9110 and RFC 9112 call a response
 * for an answer.
 */
class MalformedHeadTests {

	private static final int TIMEOUT_MILLISECONDS = 20_000;

	private static final String TOKEN_PUNCTUATION = "!#$%&'*+-.^_`|~";

	/**
	 * Guards against an answer with a spoilt byte that is passed on as a success (MIXED).
	 * @param place where each byte is tried
	 */
	@ParameterizedTest
	@Timeout(120)
	@EnumSource(Place.class)
	void byteIsAcceptedOnlyWhereHttpAllowsIt(Place place) throws IOException {
		for (int value = 0; value < 256; value++) {
			if (value != '\n' && value != place.delimiter) {
				String answer = place.template.replace("~", "\r\n").replace('?', (char) value);
				Truth.assertWithMessage("%s, byte 0x%s", place, Integer.toHexString(value))
					.that(readHead(answer) != null)
					.isEqualTo(place.allowed.test(value));
			}
		}
	}

	@ParameterizedTest
	@ValueSource(strings = { "", "HTTP/1.1", "HTTP/1.1 ", "HTTP/1.1 20", "HTTP/1.1 2000", "HTTP/1.1 2x0 OK",
			"HTTP/1.1 -20 OK", "HTTP/1.1  200 OK", "HTTP/1.1\t200 OK", "HTTP/1.1 200\tOK", "HTTP/1. 200 OK",
			"HTTP/1.11 200 OK", "HTTP/2.0 200 OK", "http/1.1 200 OK", "HTTP/1.1 OK", "HTTP/1.1 000", "HTTP/1.1 000 OK",
			"HTTP/1.1 099 OK", "HTTP/1.1 101 Other", "HTTP/1.1 600 OK", "HTTP/1.1 999", "HTTP/1.1 999 OK" })
	void malformedStatusLineIsNoAnswer(String line) throws IOException {
		Truth.assertThat(readHead(line + "\r\nContent-Length: 0\r\n\r\n")).isNull();
	}

	@ParameterizedTest
	@ValueSource(ints = { 200, 204, 299, 304, 399, 418, 499, 500, 599 })
	void statusOfEachClassIsAnAnswer(int status) throws IOException {
		AnswerHead head = readHead("HTTP/1.1 " + status + "\r\nContent-Length: 0\r\n\r\n");
		Truth.assertThat((head != null) ? head.status() : 0).isEqualTo(status);
	}

	@ParameterizedTest
	@ValueSource(strings = { " X: indented", "\tX: indented", "X: y~ folded", "X: y~\tfolded", ": no name",
			" : no name", "no colon", "X Y: z", "X\r: y", "X: y\r", "\r", "Content-Length: 1~Content-Length: 2",
			"Content-Length: +1", "Content-Length : 1~Content-Length: 2", "Transfer-Encoding: gzip" })
	void malformedHeadersAreNoAnswer(String headers) throws IOException {
		Truth.assertThat(readHead("HTTP/1.1 200 OK\r\n" + headers.replace("~", "\r\n") + "\r\n\r\n")).isNull();
	}

	@ParameterizedTest
	@CsvSource(delimiter = '|', ignoreLeadingAndTrailingWhitespace = false, value = { "X: y|y", "X:y|y", "X: \t y \t|y",
			"X \t: y|y", "X:|''", "X: a\tb  c|a\tb  c", "X: \u00e9\u00ff|\u00e9\u00ff", "X: a:b|a:b" })
	void headerKeepsItsValueWithoutTheWhitespaceAround(String header, String value) throws IOException {
		AnswerHead head = readHead("HTTP/1.1 200\r\n" + header + "\r\nContent-Length: 0\r\n\r\n");
		Truth.assertThat((head != null) ? head.header("x") : null).isEqualTo(value);
	}

	/** Returns the head, {@code null} if the answer was refused. */
	private static @Nullable AnswerHead readHead(String answer) throws IOException {
		try (ServerSocket listening = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
				HttpConnection connection = HttpConnection.open("127.0.0.1", listening.getLocalPort(),
						TIMEOUT_MILLISECONDS)) {
			try (Socket endpoint = listening.accept()) {
				endpoint.getOutputStream().write(answer.getBytes(StandardCharsets.ISO_8859_1));
			}
			AnswerHead head = connection.readHead(TIMEOUT_MILLISECONDS);
			byte[] buffer = new byte[8];
			while (connection.read(buffer, TIMEOUT_MILLISECONDS) >= 0) {
				Truth.assertThat(head.framing()).isNotEqualTo(AnswerHead.Framing.NONE);
			}
			return head;
		}
		catch (UpstreamException ex) {
			Truth.assertWithMessage("refused, not taken for a lost connection").that(ex.isDisconnected()).isFalse();
			return null;
		}
	}

	private static boolean isTokenCharacter(int value) {
		return (value < 128 && Character.isLetterOrDigit(value)) || TOKEN_PUNCTUATION.indexOf(value) >= 0;
	}

	private static boolean isTextCharacter(int value) {
		return value == '\t' || (value >= ' ' && value != 0x7f);
	}

	/** Where a byte of an answer stands, written as a question mark. */
	enum Place {

		VERSION("HTTP/1.? 200 OK~Content-Length: 0~~", Character::isDigit),

		REASON_PHRASE("HTTP/1.1 200 O?K~Content-Length: 0~~", MalformedHeadTests::isTextCharacter),

		NAME("HTTP/1.1 200 OK~X?Y: z~Content-Length: 0~~", ':', MalformedHeadTests::isTokenCharacter),

		VALUE("HTTP/1.1 200 OK~X: y?z~Content-Length: 0~~", MalformedHeadTests::isTextCharacter),

		INTERIM_NAME("HTTP/1.1 103 Soon~X?Y: z~~HTTP/1.1 200 OK~Content-Length: 0~~", ':',
				MalformedHeadTests::isTokenCharacter),

		CHUNK_EXTENSION("HTTP/1.1 200 OK~Transfer-Encoding: chunked~~1;x?y~z~0~~", MalformedHeadTests::isTextCharacter),

		TRAILER_NAME("HTTP/1.1 200 OK~Transfer-Encoding: chunked~~0~X?Y: z~~", ':',
				MalformedHeadTests::isTokenCharacter),

		TRAILER_VALUE("HTTP/1.1 200 OK~Transfer-Encoding: chunked~~0~X: y?z~~", MalformedHeadTests::isTextCharacter);

		private final String template;

		private final int delimiter;

		private final IntPredicate allowed;

		Place(String template, IntPredicate allowed) {
			this(template, -1, allowed);
		}

		Place(String template, int delimiter, IntPredicate allowed) {
			this.template = template;
			this.delimiter = delimiter;
			this.allowed = allowed;
		}

	}

}

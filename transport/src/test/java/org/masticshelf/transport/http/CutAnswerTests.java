package org.masticshelf.transport.http;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

import com.google.common.truth.Truth;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Tests that {@link HttpConnection} takes no answer for complete that was cut, at
 * whichever byte.
 */
class CutAnswerTests {

	private static final int TIMEOUT_MILLISECONDS = 20_000;

	private static final String KEPT = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst";

	/**
	 * Cuts an answer after each of its bytes.
	 * @param name the case
	 * @param head the head of the answer
	 * @param body the body as it is sent
	 * @param atEnd whether the end of the connection is the end of the body
	 */
	@ParameterizedTest(name = "{0}")
	@Timeout(60)
	@CsvSource(delimiter = '|', emptyValue = "",
			value = { "length | HTTP/1.1 200 OK~Content-Type: a/b~Content-Length: 4~Mark: e~~ | body | false",
					"chunks | HTTP/1.1 200 OK~Transfer-Encoding: chunked~~ | 2;x=y~bo~2~dy~0~X: y~~ | false",
					"until close | HTTP/1.1 200 OK~Content-Type: a/b~Mark: e~~ | body | true",
					"stream until close | HTTP/1.1 200 OK~Content-Type: text/event-stream~~ | id: 1~~ | true",
					"empty | HTTP/1.1 200 OK~Mark: e~Content-Length: 0~~ | '' | false",
					"none | HTTP/1.1 204 Done~Mark: e~~ | '' | false",
					"interim first | HTTP/1.1 103 Soon~X: y~~HTTP/1.1 200 OK~Content-Length: 2~~ | ok | false",
					"bare line feeds | HTTP/1.1 200 OK%Content-Length: 2%% | ok | false" })
	void answerCutAtAnyByteIsNotTakenForComplete(String name, String head, String body, boolean atEnd)
			throws IOException {
		String encodedHead = encode(head);
		String whole = encodedHead + encode(body);
		for (boolean kept : new boolean[] { false, true }) {
			for (boolean reset : new boolean[] { false, true }) {
				for (int end = 0; end < whole.length(); end++) {
					boolean complete = atEnd && !reset && end >= encodedHead.length();
					Truth
						.assertWithMessage("%s cut at %s of %s, reset: %s, kept: %s", name, end, whole.length(), reset,
								kept)
						.that(readCut(whole.substring(0, end), reset, kept) != null)
						.isEqualTo(complete);
				}
			}
			Truth.assertThat(readCut(whole, false, kept)).isNotNull();
		}
	}

	private static String encode(String text) {
		return text.replace("~", "\r\n").replace("%", "\n");
	}

	/** Returns the body if it is taken for complete. */
	private static @Nullable String readCut(String sent, boolean reset, boolean kept) throws IOException {
		try (ServerSocket listening = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
				HttpConnection connection = HttpConnection.open("127.0.0.1", listening.getLocalPort(),
						TIMEOUT_MILLISECONDS)) {
			try (Socket endpoint = listening.accept()) {
				if (kept) {
					endpoint.getOutputStream().write(KEPT.getBytes(StandardCharsets.ISO_8859_1));
					Truth.assertThat(read(connection)).isEqualTo("first");
					Truth.assertThat(connection.isReusable()).isTrue();
				}
				endpoint.getOutputStream().write(sent.getBytes(StandardCharsets.ISO_8859_1));
				endpoint.setSoLinger(reset, 0);
			}
			return read(connection);
		}
	}

	private static @Nullable String read(HttpConnection connection) {
		try {
			connection.readHead(TIMEOUT_MILLISECONDS);
			ByteArrayOutputStream body = new ByteArrayOutputStream();
			byte[] buffer = new byte[3];
			int count = connection.read(buffer, TIMEOUT_MILLISECONDS);
			while (count >= 0) {
				body.write(buffer, 0, count);
				count = connection.read(buffer, TIMEOUT_MILLISECONDS);
			}
			return body.toString(StandardCharsets.ISO_8859_1);
		}
		catch (IOException ex) {
			return null;
		}
	}

}

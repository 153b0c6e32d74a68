package org.masticshelf.transport.http;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;

import com.google.common.truth.Truth;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Tests {@link HttpConnection}.
 */
class HttpConnectionTests {

	private static final int CONNECT_MILLISECONDS = 20_000;

	/** More than the sockets of both sides buffer if nothing is read. */
	private static final int UNBUFFERED_BYTES = 32 * 1024 * 1024;

	/** Guards against a request that is never answered because its server hangs. */
	@Test
	@Timeout(60)
	void requestThatIsNotReadEndsInTimeout() throws IOException {
		try (ServerSocket hanging = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
				HttpConnection connection = HttpConnection.open("127.0.0.1", hanging.getLocalPort(),
						CONNECT_MILLISECONDS)) {
			IOException failure = null;
			try {
				connection.send(new byte[10], new byte[UNBUFFERED_BYTES], 100);
			}
			catch (IOException ex) {
				failure = ex;
			}
			Truth.assertThat(failure).isInstanceOf(SocketTimeoutException.class);
		}
	}

	/**
	 * Guards against the rest of an answer that is taken for the answer to the next
	 * request.
	 * @param answer what has arrived of the answer
	 * @param reads how often its body is read
	 * @param reusable whether the connection may carry another exchange then
	 */
	@ParameterizedTest
	@CsvSource({ "Content-Length: 4~~, 0, false", "Content-Length: 4~~bod, 1, false",
			"Content-Length: 4~~body, 2, true", "Content-Length: 0~~, 0, true",
			"Transfer-Encoding: chunked~~, 0, false", "Transfer-Encoding: chunked~~2~bo, 1, false",
			"Transfer-Encoding: chunked~~2~bo~0~~, 2, true" })
	void isReusableOnlyAfterItsAnswerWasReadCompletely(String answer, int reads, boolean reusable) throws IOException {
		try (ServerSocket listening = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
				HttpConnection connection = HttpConnection.open("127.0.0.1", listening.getLocalPort(),
						CONNECT_MILLISECONDS);
				Socket server = listening.accept()) {
			connection.send(new byte[1], new byte[0], CONNECT_MILLISECONDS);
			Truth.assertThat(connection.isReusable()).isFalse();
			byte[] bytes = ("HTTP/1.1 200 OK\r\n" + answer.replace("~", "\r\n")).getBytes(StandardCharsets.ISO_8859_1);
			server.getOutputStream().write(bytes);
			connection.readHead(CONNECT_MILLISECONDS);
			byte[] buffer = new byte[3];
			for (int read = 0; read < reads; read++) {
				connection.read(buffer, CONNECT_MILLISECONDS);
			}
			Truth.assertThat(connection.isReusable()).isEqualTo(reusable);
		}
	}

}

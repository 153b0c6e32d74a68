package org.masticshelf.transport.http;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.SocketTimeoutException;

import com.google.common.truth.Truth;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

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

}

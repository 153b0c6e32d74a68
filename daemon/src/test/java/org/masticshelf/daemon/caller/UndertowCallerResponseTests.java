package org.masticshelf.daemon.caller;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;

import com.google.common.truth.Truth;
import io.undertow.Undertow;
import io.undertow.server.HttpServerExchange;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class UndertowCallerResponseTests {

	private static final int TIMEOUT_MILLISECONDS = 20_000;

	/**
	 * Guards against a response that goes out without the rest of its head, because
	 * building it has failed.
	 * @param status the status
	 * @param name the name of a header
	 */
	@ParameterizedTest
	@CsvSource({ "200, X\rY", "70000, X" })
	void responseThatCannotBeBuiltIsNotSent(int status, String name) throws IOException {
		Undertow server = Undertow.builder()
			.addHttpListener(0, "127.0.0.1", (exchange) -> respond(exchange, status, name))
			.setIoThreads(1)
			.setWorkerThreads(1)
			.build();
		server.start();
		try (Socket socket = new Socket()) {
			socket.connect(server.getListenerInfo().getFirst().getAddress());
			socket.setSoTimeout(TIMEOUT_MILLISECONDS);
			socket.getOutputStream().write("GET / HTTP/1.1\r\nHost: h\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
			Truth.assertThat(socket.getInputStream().readAllBytes()).isEmpty();
		}
		finally {
			server.stop();
		}
	}

	private static void respond(HttpServerExchange exchange, int status, String name) {
		exchange.dispatch(exchange.getIoThread(), () -> new UndertowCallerResponse(exchange, "r").respond(status,
				Map.of(name, "z"), "ok".getBytes(StandardCharsets.US_ASCII)));
	}

}

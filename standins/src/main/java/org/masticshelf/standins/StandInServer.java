package org.masticshelf.standins;

import java.io.IOException;
import java.net.InetSocketAddress;

import io.undertow.Undertow;
import io.undertow.server.HttpHandler;

/**
 * An HTTP server of a stand-in.
 * <p>
 * Safe for use by several threads.
 */
public final class StandInServer implements StandInCommand.Running {

	private static final int INPUT_OUTPUT_THREADS = 2;

	private static final int WORKER_THREADS = 8;

	private final Undertow server;

	private StandInServer(Undertow server) {
		this.server = server;
	}

	/**
	 * Starts a server.
	 * @param host the IP number to listen on
	 * @param port the port, 0 for any
	 * @param handler answers the requests
	 * @return the running server
	 * @throws IOException if it cannot listen
	 */
	public static StandInServer start(String host, int port, HttpHandler handler) throws IOException {
		Undertow server = Undertow.builder()
			.addHttpListener(port, host)
			.setIoThreads(INPUT_OUTPUT_THREADS)
			.setWorkerThreads(WORKER_THREADS)
			.setHandler(handler)
			.build();
		try {
			server.start();
		}
		catch (RuntimeException ex) {
			throw new IOException("no listener on " + host + ":" + port + ": " + ex.getMessage(), ex);
		}
		return new StandInServer(server);
	}

	@Override
	public String address() {
		InetSocketAddress address = (InetSocketAddress) this.server.getListenerInfo().get(0).getAddress();
		return address.getAddress().getHostAddress() + ":" + address.getPort();
	}

	@Override
	public void close() {
		this.server.stop();
	}

}

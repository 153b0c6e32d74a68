package org.masticshelf.standins.web;

import java.net.InetSocketAddress;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.server.HttpHandler;

/**
 * An Undertow server whose handler may block, because each exchange runs on a virtual
 * thread of its own.
 * <p>
 * Invariant: the server listens from its creation until it is closed. Safe for use by
 * several threads.
 */
public final class WebServer implements AutoCloseable {

	private static final int INPUT_OUTPUT_THREADS = 2;

	private static final long MAXIMUM_BODY_BYTES = 16L * 1024 * 1024;

	private final Undertow server;

	private final ExecutorService executor;

	private WebServer(Undertow server, ExecutorService executor) {
		this.server = server;
		this.executor = executor;
	}

	/**
	 * Starts a server.
	 * @param host the IP number to listen on
	 * @param port the port, 0 for any free one
	 * @param handler answers the exchanges and may block
	 * @return the listening server
	 */
	public static WebServer start(String host, int port, HttpHandler handler) {
		ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor();
		Undertow server = Undertow.builder()
			.addHttpListener(port, host)
			.setIoThreads(INPUT_OUTPUT_THREADS)
			.setWorkerThreads(1)
			.setServerOption(UndertowOptions.MAX_ENTITY_SIZE, MAXIMUM_BODY_BYTES)
			.setHandler((exchange) -> exchange.dispatch(executor, (dispatched) -> {
				dispatched.startBlocking();
				handler.handleRequest(dispatched);
			}))
			.build();
		server.start();
		return new WebServer(server, executor);
	}

	/**
	 * Returns where the server listens.
	 * @return the IP number and port, for example {@code 127.0.0.1:9001}
	 */
	public String address() {
		InetSocketAddress address = (InetSocketAddress) this.server.getListenerInfo().get(0).getAddress();
		return address.getAddress().getHostAddress() + ":" + address.getPort();
	}

	@Override
	public void close() {
		this.server.stop();
		this.executor.shutdownNow();
	}

}

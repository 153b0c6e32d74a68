package org.masticshelf.standins.faultproxy;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.HashSet;
import java.util.Set;

import org.masticshelf.standins.StandInCommand;

/**
 * Forwards TCP connections to one target and brings about the faults of a network.
 * <p>
 * Invariant: a change of the mode holds for every byte that has not yet been forwarded,
 * on open connections too. Safe for use by several threads.
 */
public final class FaultProxy implements StandInCommand.Running {

	private static final int CONNECT_TIMEOUT_MILLISECONDS = 2_000;

	private static final int BUFFER_BYTES = 8_192;

	private final ServerSocket listener;

	private final InetSocketAddress target;

	private final Set<Socket> open = new HashSet<>();

	private Mode mode = Mode.FORWARD;

	private boolean closed;

	private FaultProxy(ServerSocket listener, InetSocketAddress target) {
		this.listener = listener;
		this.target = target;
	}

	/**
	 * Starts a proxy that forwards.
	 * @param host the IP number to listen on
	 * @param port the port, 0 for any
	 * @param target the IP number and port of the target
	 * @return the running proxy
	 * @throws IOException if it cannot listen
	 */
	public static FaultProxy start(String host, int port, String target) throws IOException {
		int colon = target.lastIndexOf(':');
		InetSocketAddress address = new InetSocketAddress(target.substring(0, colon),
				Integer.parseInt(target.substring(colon + 1)));
		ServerSocket listener = new ServerSocket();
		listener.setReuseAddress(true);
		listener.bind(new InetSocketAddress(InetAddress.getByName(host), port));
		FaultProxy proxy = new FaultProxy(listener, address);
		Thread.ofPlatform().name("fault-proxy").start(proxy::accept);
		return proxy;
	}

	/**
	 * Changes the mode, on open connections too.
	 * @param value the mode from now on
	 */
	public synchronized void setMode(Mode value) {
		this.mode = value;
		if (value == Mode.CUT) {
			closeOpen();
		}
		notifyAll();
	}

	/**
	 * Returns how many connections are open, those to the target included.
	 * @return the number of open connections
	 */
	public synchronized int openCount() {
		return this.open.size();
	}

	@Override
	public String address() {
		return this.listener.getInetAddress().getHostAddress() + ":" + this.listener.getLocalPort();
	}

	@Override
	public synchronized void close() {
		this.closed = true;
		closeQuietly(this.listener);
		closeOpen();
		notifyAll();
	}

	private void accept() {
		while (true) {
			try {
				Socket caller = this.listener.accept();
				Thread.ofVirtual().start(() -> connect(caller));
			}
			catch (IOException ex) {
				return;
			}
		}
	}

	private void connect(Socket caller) {
		Socket forwarded = new Socket();
		if (!register(caller, forwarded)) {
			closeQuietly(caller);
			return;
		}
		try {
			forwarded.connect(this.target, CONNECT_TIMEOUT_MILLISECONDS);
			forwarded.setTcpNoDelay(true);
			caller.setTcpNoDelay(true);
			Thread.ofVirtual().start(() -> pump(forwarded, caller, Direction.ANSWER));
			pump(caller, forwarded, Direction.REQUEST);
		}
		catch (IOException ex) {
			end(caller, forwarded);
		}
	}

	private synchronized boolean register(Socket caller, Socket forwarded) {
		if (this.closed || this.mode == Mode.CUT) {
			return false;
		}
		this.open.add(caller);
		this.open.add(forwarded);
		return true;
	}

	private void pump(Socket from, Socket to, Direction direction) {
		byte[] buffer = new byte[BUFFER_BYTES];
		try {
			InputStream input = from.getInputStream();
			OutputStream output = to.getOutputStream();
			int count = input.read(buffer);
			while (count >= 0) {
				if (!forward(output, buffer, count, direction)) {
					break;
				}
				count = input.read(buffer);
			}
		}
		catch (IOException ex) {
			// One side has closed; both ends are closed below.
		}
		finally {
			end(from, to);
		}
	}

	private boolean forward(OutputStream output, byte[] buffer, int count, Direction direction) throws IOException {
		Mode current = awaitPassage();
		boolean answer = direction == Direction.ANSWER;
		int forwarded = switch (current) {
			case FORWARD, HOLD -> count;
			case CUT -> 0;
			case LOSE_ANSWERS -> answer ? 0 : count;
			case CLOSE_IN_ANSWER -> answer ? count / 2 : count;
			case CLOSE_IN_REQUEST -> answer ? count : count / 2;
		};
		output.write(buffer, 0, forwarded);
		output.flush();
		return forwarded == count;
	}

	private synchronized Mode awaitPassage() throws IOException {
		while (this.mode == Mode.HOLD && !this.closed) {
			try {
				wait();
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
				throw new IOException("interrupted", ex);
			}
		}
		return this.closed ? Mode.CUT : this.mode;
	}

	private void end(Socket first, Socket second) {
		closeQuietly(first);
		closeQuietly(second);
		synchronized (this) {
			this.open.remove(first);
			this.open.remove(second);
		}
	}

	private synchronized void closeOpen() {
		this.open.forEach(FaultProxy::closeQuietly);
		this.open.clear();
	}

	private static void closeQuietly(AutoCloseable closeable) {
		try {
			closeable.close();
		}
		catch (Exception ex) {
			// Nothing is left to be done with a socket that fails to close.
		}
	}

	private enum Direction {

		REQUEST, ANSWER

	}

	/** What the proxy does. */
	public enum Mode {

		/** Forwards everything. */
		FORWARD,

		/** Closes open connections and each new one. */
		CUT,

		/** Keeps connections open and forwards nothing until the mode changes. */
		HOLD,

		/**
		 * Forwards requests and closes the connection instead of forwarding an answer.
		 */
		LOSE_ANSWERS,

		/** Closes the connection in the middle of the next bytes of an answer. */
		CLOSE_IN_ANSWER,

		/** Closes the connection in the middle of the next bytes of a request. */
		CLOSE_IN_REQUEST

	}

}

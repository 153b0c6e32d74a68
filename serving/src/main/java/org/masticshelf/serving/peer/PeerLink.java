package org.masticshelf.serving.peer;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;

import org.masticshelf.kernel.event.Event;
import org.masticshelf.transport.json.Json;

/**
 * Exchanges messages with peers as JSON in UDP datagrams.
 * <p>
 * Invariant: messages of one incarnation are delivered in the order of their numbers;
 * late and duplicate ones are dropped. Thread-safe; the receiver is called by a single
 * thread.
 */
public final class PeerLink implements AutoCloseable {

	private static final int MAXIMUM_DATAGRAM_BYTES = 60_000;

	private final DatagramSocket socket;

	private final Consumer<PeerMessage> receiver;

	private final Consumer<Event> log;

	private final Map<String, Long> lastNumbers = new HashMap<>();

	private volatile boolean closed;

	private PeerLink(DatagramSocket socket, Consumer<PeerMessage> receiver, Consumer<Event> log) {
		this.socket = socket;
		this.receiver = receiver;
		this.log = log;
	}

	/**
	 * Opens a link and starts to receive.
	 * @param host the IP number to receive on
	 * @param port the port to receive on
	 * @param receiver called with each message
	 * @param log receives the events
	 * @return the open link
	 */
	public static PeerLink open(String host, int port, Consumer<PeerMessage> receiver, Consumer<Event> log) {
		try {
			PeerLink link = new PeerLink(new DatagramSocket(new InetSocketAddress(host, port)), receiver, log);
			Thread.ofPlatform().daemon(true).name("peers").start(link::receive);
			return link;
		}
		catch (IOException ex) {
			throw new UncheckedIOException("cannot listen for peers on " + host + ":" + port, ex);
		}
	}

	/**
	 * Sends a message to a peer. Failures are logged.
	 * @param address the IP number and port of the peer
	 * @param bytes the encoded message
	 */
	public void send(String address, byte[] bytes) {
		if (bytes.length > MAXIMUM_DATAGRAM_BYTES) {
			this.log.accept(Event.named("peer.message_too_long").with("bytes", bytes.length));
			return;
		}
		int colon = address.lastIndexOf(':');
		try {
			InetAddress host = InetAddress.getByName(address.substring(0, colon));
			this.socket
				.send(new DatagramPacket(bytes, bytes.length, host, Integer.parseInt(address.substring(colon + 1))));
		}
		catch (IOException | IllegalArgumentException ex) {
			this.log.accept(Event.named("peer.unreachable").with("peer", address).with("cause", ex.getMessage()));
		}
	}

	private void receive() {
		byte[] buffer = new byte[MAXIMUM_DATAGRAM_BYTES + 1];
		while (!this.closed) {
			DatagramPacket packet = new DatagramPacket(buffer, buffer.length);
			try {
				this.socket.receive(packet);
				deliver(Json.toValue(Arrays.copyOf(buffer, packet.getLength()), PeerMessage.class));
			}
			catch (IOException | RuntimeException ex) {
				if (!this.closed) {
					this.log.accept(Event.named("peer.message_dropped").with("cause", String.valueOf(ex.getMessage())));
				}
			}
		}
	}

	private void deliver(PeerMessage message) {
		long last = this.lastNumbers.getOrDefault(message.incarnation(), -1L);
		if (message.number() <= last) {
			return;
		}
		this.lastNumbers.put(message.incarnation(), message.number());
		this.receiver.accept(message);
	}

	@Override
	public void close() {
		this.closed = true;
		this.socket.close();
	}

}

package org.masticshelf.standins.peer;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.BiPredicate;
import java.util.function.Function;

import com.fasterxml.jackson.databind.JsonNode;

import org.masticshelf.kernel.port.ExchangeFailure;
import org.masticshelf.kernel.port.PeerChannel;

/**
 * A network between daemons of one process, with cuts that tests switch.
 * <p>
 * Without a cut a call is answered on the caller's thread. Calls and the bytes of their
 * JSON bodies are counted at the daemon that answers. Safe for use by several threads.
 */
public final class InMemoryPeers {

	private final Map<String, Peer> peers = new ConcurrentHashMap<>();

	private volatile BiPredicate<String, String> cut = (from, to) -> false;

	private volatile boolean counting;

	/**
	 * Adds a daemon, in place of an earlier one of the same address.
	 * @param address the address of the daemon
	 * @return the channel of the daemon
	 */
	public Peer join(String address) {
		Peer peer = new Peer(this, address);
		this.peers.put(address, peer);
		return peer;
	}

	/**
	 * Removes a daemon.
	 * @param address the address of the daemon
	 */
	public void leave(String address) {
		this.peers.remove(address);
	}

	/**
	 * Cuts daemons off from each other from now on.
	 * @param value whether a call from the first address to the second is cut
	 */
	public void setCut(BiPredicate<String, String> value) {
		this.cut = value;
	}

	/**
	 * Counts the bytes of calls from now on or no longer. Counting renders each body once
	 * more.
	 * @param value whether to count
	 */
	public void countBytes(boolean value) {
		this.counting = value;
	}

	/**
	 * The channel of one daemon.
	 * <p>
	 * Safe for use by several threads.
	 */
	public static final class Peer implements PeerChannel {

		private final InMemoryPeers network;

		private final String address;

		private final Map<String, Function<JsonNode, CompletableFuture<JsonNode>>> handlers = new ConcurrentHashMap<>();

		private final LongAdder messages = new LongAdder();

		private final LongAdder bytes = new LongAdder();

		private Peer(InMemoryPeers network, String address) {
			this.network = network;
			this.address = address;
		}

		/**
		 * Returns how many messages this daemon sent or received.
		 * @return the number of messages
		 */
		public long messages() {
			return this.messages.sum();
		}

		/**
		 * Returns how many bytes of JSON this daemon sent or received.
		 * @return the number of bytes, 0 unless they are counted
		 */
		public long bytes() {
			return this.bytes.sum();
		}

		@Override
		public CompletableFuture<JsonNode> call(String to, String operation, JsonNode body, Duration timeout) {
			Peer peer = this.network.peers.get(to);
			if (peer == null || this.network.cut.test(this.address, to)) {
				return CompletableFuture
					.failedFuture(new ExchangeFailure(ExchangeFailure.Point.BEFORE_CONNECT, "cannot connect to " + to));
			}
			Function<JsonNode, CompletableFuture<JsonNode>> handler = peer.handlers.get(operation);
			if (handler == null) {
				return CompletableFuture.failedFuture(new ExchangeFailure(ExchangeFailure.Point.REFUSED_BY_ENDPOINT,
						to + " has no operation " + operation));
			}
			count(peer, body);
			return handler.apply(body).thenApply((answer) -> {
				count(peer, answer);
				return answer;
			});
		}

		private void count(Peer peer, JsonNode message) {
			this.messages.increment();
			peer.messages.increment();
			if (this.network.counting) {
				int length = message.toString().getBytes(StandardCharsets.UTF_8).length;
				this.bytes.add(length);
				peer.bytes.add(length);
			}
		}

		@Override
		public void registerHandler(String operation, Function<JsonNode, CompletableFuture<JsonNode>> handler) {
			this.handlers.put(operation, handler);
		}

	}

}

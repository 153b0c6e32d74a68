package org.masticshelf.kernel.port;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Calls between daemons: one JSON value to a named operation of a peer, one back.
 * <p>
 * Implementations are safe for use by several threads.
 */
public interface PeerChannel {

	/**
	 * Calls a peer.
	 * @param address the IP number and port of the peer's control listener
	 * @param operation the operation, such as {@code grant/take}
	 * @param body the value to send
	 * @param timeout how long to wait
	 * @return the answer of the peer; the future fails with an {@link ExchangeFailure} if
	 * there was none
	 */
	CompletableFuture<JsonNode> call(String address, String operation, JsonNode body, Duration timeout);

	/**
	 * Registers the handler of an operation on this daemon's control listener.
	 * @param operation the operation
	 * @param handler computes the answer
	 */
	void registerHandler(String operation, Function<JsonNode, CompletableFuture<JsonNode>> handler);

	/**
	 * A channel of a daemon that makes no calls to peers and answers none.
	 */
	enum Disabled implements PeerChannel {

		/** The only instance. */
		INSTANCE;

		@Override
		public CompletableFuture<JsonNode> call(String address, String operation, JsonNode body, Duration timeout) {
			return CompletableFuture
				.failedFuture(new ExchangeFailure(ExchangeFailure.Point.BEFORE_CONNECT, "no calls to peers"));
		}

		@Override
		public void registerHandler(String operation, Function<JsonNode, CompletableFuture<JsonNode>> handler) {
			// No call can arrive.
		}

	}

}

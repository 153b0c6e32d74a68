package org.masticshelf.control.placement;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

import org.masticshelf.kernel.placement.EndpointRecord;
import org.masticshelf.kernel.port.PeerChannel;

/**
 * Finds out whether a former holder of the placement duty can still send an order.
 * <p>
 * Implementations are safe for use by several threads.
 */
@FunctionalInterface
public interface SenderStatus {

	/**
	 * Asks about a former holder.
	 * @param sender the former holder
	 * @return whether certainly no order of the former holder will follow; the future may
	 * fail if that cannot be found out
	 */
	CompletableFuture<Boolean> isSettled(EndpointRecord.Sender sender);

	/**
	 * Asks the daemon itself. An answer from another incarnation at the same address
	 * proves that the former one has ended, because only one process at a time can listen
	 * there.
	 */
	final class OfPeers implements SenderStatus {

		/** The operation that former holders answer. */
		static final String OPERATION = "placement/settled";

		private static final Duration TIMEOUT = Duration.ofSeconds(1);

		private final PeerChannel peers;

		/**
		 * Creates a status that asks peers.
		 * @param peers the channel to the other daemons
		 */
		public OfPeers(PeerChannel peers) {
			this.peers = peers;
		}

		@Override
		public CompletableFuture<Boolean> isSettled(EndpointRecord.Sender sender) {
			ObjectNode body = JsonNodeFactory.instance.objectNode()
				.put("incarnation", sender.incarnation())
				.put("fencing", sender.fencing());
			return this.peers.call(sender.address(), OPERATION, body, TIMEOUT)
				.thenApply((answer) -> answer.path("settled").asBoolean()
						|| !answer.path("incarnation").asText(sender.incarnation()).equals(sender.incarnation()));
		}

	}

}

package org.masticshelf.transport.http;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

import io.undertow.client.ClientConnection;
import org.jspecify.annotations.Nullable;
import org.xnio.IoUtils;

/**
 * Idle client connections by address.
 * <p>
 * Invariant: at most {@value #MAXIMUM_IDLE_PER_ADDRESS} stay idle for an address. Each
 * address is a shard under its own lock. Safe for use by several threads.
 */
final class IdleConnections {

	private static final int MAXIMUM_IDLE_PER_ADDRESS = 512;

	private static final long MAXIMUM_IDLE_NANOSECONDS = 20_000_000_000L;

	private final Map<String, Shard> shards = new ConcurrentHashMap<>();

	/**
	 * Takes the connection that was used last.
	 * @param address the address
	 * @return an open connection or {@code null} if there is none
	 */
	@Nullable ClientConnection take(String address) {
		return shard(address).take();
	}

	/**
	 * Keeps a connection that was left clean, or closes it when there are enough.
	 * @param address the address
	 * @param connection the connection
	 */
	void give(String address, ClientConnection connection) {
		shard(address).give(connection);
	}

	/** Closes all idle connections. */
	void close() {
		this.shards.values().forEach(Shard::close);
	}

	private Shard shard(String address) {
		return this.shards.computeIfAbsent(address, (key) -> new Shard());
	}

	/**
	 * An idle connection.
	 *
	 * @param connection the connection
	 * @param sinceNanoseconds the system's monotonic time when it became idle
	 */
	private record Idle(ClientConnection connection, long sinceNanoseconds) {
	}

	/** The idle connections of one address, guarded by its own lock. */
	private static final class Shard {

		private final Deque<Idle> idle = new ArrayDeque<>();

		synchronized @Nullable ClientConnection take() {
			while (!this.idle.isEmpty()) {
				Idle candidate = this.idle.removeLast();
				boolean young = System.nanoTime() - candidate.sinceNanoseconds() < MAXIMUM_IDLE_NANOSECONDS;
				if (young && candidate.connection().isOpen()) {
					return candidate.connection();
				}
				IoUtils.safeClose(candidate.connection());
			}
			return null;
		}

		synchronized void give(ClientConnection connection) {
			if (!connection.isOpen() || this.idle.size() >= MAXIMUM_IDLE_PER_ADDRESS) {
				IoUtils.safeClose(connection);
				return;
			}
			this.idle.addLast(new Idle(connection, System.nanoTime()));
		}

		synchronized void close() {
			this.idle.forEach((candidate) -> IoUtils.safeClose(candidate.connection()));
			this.idle.clear();
		}

	}

}

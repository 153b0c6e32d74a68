package org.masticshelf.transport.http;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

import org.jspecify.annotations.Nullable;

/**
 * Pools idle client connections by address.
 * <p>
 * Invariants: at most {@value #MAXIMUM_IDLE_PER_ADDRESS} connections are idle for an
 * address; none of them was already idle when an exchange with the address last went
 * unanswered. Each address has its own pool and lock. Thread-safe.
 */
final class IdleConnections {

	private static final int MAXIMUM_IDLE_PER_ADDRESS = 512;

	private static final long MAXIMUM_IDLE_NANOSECONDS = 20_000_000_000L;

	private final Map<String, AddressPool> pools = new ConcurrentHashMap<>();

	private volatile boolean closed;

	/**
	 * Takes the most recently used connection out of the pool.
	 * @param address the IP address and port
	 * @return a connection that passed a liveness check, or {@code null} if there is none
	 */
	@Nullable HttpConnection acquire(String address) {
		return pool(address).acquire();
	}

	/**
	 * Returns a reusable connection to the pool, or closes it when the pool is full.
	 * @param address the IP address and port
	 * @param connection a connection without a running exchange
	 */
	void release(String address, HttpConnection connection) {
		pool(address).release(connection);
		if (this.closed) {
			close();
		}
	}

	/**
	 * Closes the idle connections of an address, of which nothing tells whether they
	 * still transmit.
	 * @param address the IP address and port
	 * @return the number of connections that were closed
	 */
	int discard(String address) {
		return pool(address).close();
	}

	/** Closes all idle connections, and those that are released later. */
	void close() {
		this.closed = true;
		this.pools.values().forEach(AddressPool::close);
	}

	private AddressPool pool(String address) {
		return this.pools.computeIfAbsent(address, (key) -> new AddressPool());
	}

	/**
	 * An idle connection.
	 *
	 * @param connection the connection, which has no running exchange
	 * @param sinceNanoseconds the {@link System#nanoTime()} at which it became idle
	 */
	private record IdleConnection(HttpConnection connection, long sinceNanoseconds) {
	}

	/** Holds the idle connections of one address, guarded by its own lock. */
	private static final class AddressPool {

		private final Deque<IdleConnection> idle = new ArrayDeque<>();

		synchronized @Nullable HttpConnection acquire() {
			while (!this.idle.isEmpty()) {
				IdleConnection candidate = this.idle.removeLast();
				boolean fresh = System.nanoTime() - candidate.sinceNanoseconds() < MAXIMUM_IDLE_NANOSECONDS;
				if (fresh && !candidate.connection().isStale()) {
					return candidate.connection();
				}
				candidate.connection().close();
			}
			return null;
		}

		synchronized void release(HttpConnection connection) {
			if (this.idle.size() >= MAXIMUM_IDLE_PER_ADDRESS) {
				connection.close();
				return;
			}
			this.idle.addLast(new IdleConnection(connection, System.nanoTime()));
		}

		synchronized int close() {
			int count = this.idle.size();
			this.idle.forEach((candidate) -> candidate.connection().close());
			this.idle.clear();
			return count;
		}

	}

}

package org.masticshelf.serving.upstream;

import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

import org.jspecify.annotations.Nullable;

import org.masticshelf.kernel.serving.ServedEndpoint;
import org.masticshelf.kernel.time.MonotonicClock;

/**
 * Idle connections to endpoints.
 * <p>
 * Invariants: an idle connection is used only for the run of the endpoint that it was
 * opened to, and not after three quarters of the time for which the endpoint said that it
 * keeps it. The connections of each endpoint are a shard under its own lock. Safe for use
 * by several threads.
 */
public final class EndpointConnections {

	/** Connecting takes a round trip; longer means lost packets or a dead instance. */
	private static final int CONNECT_TIMEOUT_MILLISECONDS = 400;

	private static final int DOUBTFUL_TIMEOUT_MILLISECONDS = 150;

	private static final int MAXIMUM_IDLE = 64;

	private static final long DEFAULT_IDLE_MILLISECONDS = 4_000;

	private static final double USED_SHARE_OF_KEEP_ALIVE = 0.75;

	private final Map<String, IdleConnections> shards = new ConcurrentHashMap<>();

	private final MonotonicClock clock;

	/**
	 * Creates an empty set of connections.
	 * @param clock the clock
	 */
	public EndpointConnections(MonotonicClock clock) {
		this.clock = clock;
	}

	/**
	 * Takes an idle connection.
	 * @param endpoint the endpoint
	 * @return a connection that looked alive just now, {@code null} if there is none
	 */
	public @Nullable EndpointConnection takeIdle(ServedEndpoint endpoint) {
		IdleConnections shard = this.shards.get(keyOf(endpoint));
		while (shard != null) {
			EndpointConnection connection = shard.take(this.clock.milliseconds());
			if (connection == null) {
				return null;
			}
			if (!connection.isStale()) {
				return connection;
			}
			connection.close();
		}
		return null;
	}

	/**
	 * Opens a connection.
	 * @param endpoint the endpoint
	 * @param doubtful whether the endpoint may be cut off
	 * @return the connection
	 * @throws IOException if none stands in time
	 */
	public EndpointConnection open(ServedEndpoint endpoint, boolean doubtful) throws IOException {
		return EndpointConnection.open(endpoint.host(), endpoint.port(),
				doubtful ? DOUBTFUL_TIMEOUT_MILLISECONDS : CONNECT_TIMEOUT_MILLISECONDS);
	}

	/**
	 * Keeps a connection after an exchange, or closes it if it is not fit for another.
	 * @param endpoint the endpoint
	 * @param connection the connection
	 * @param keepAliveSeconds how long the endpoint keeps it, negative if it did not say
	 */
	public void release(ServedEndpoint endpoint, EndpointConnection connection, int keepAliveSeconds) {
		if (!connection.isReusable() || keepAliveSeconds == 0) {
			connection.close();
			return;
		}
		long keep = (keepAliveSeconds > 0) ? (long) (keepAliveSeconds * 1_000 * USED_SHARE_OF_KEEP_ALIVE)
				: DEFAULT_IDLE_MILLISECONDS;
		this.shards.computeIfAbsent(keyOf(endpoint), (key) -> new IdleConnections())
			.add(new IdleConnection(connection, this.clock.milliseconds() + keep));
	}

	/**
	 * Closes the idle connections of an endpoint that is gone.
	 * @param endpoint the endpoint
	 */
	public void closeIdle(ServedEndpoint endpoint) {
		IdleConnections shard = this.shards.remove(keyOf(endpoint));
		if (shard != null) {
			shard.close();
		}
	}

	private static String keyOf(ServedEndpoint endpoint) {
		return endpoint.identifier() + "@" + endpoint.address() + "/" + endpoint.startedAt();
	}

	/**
	 * An idle connection.
	 *
	 * @param connection the connection
	 * @param until when it must no longer be used, monotonic milliseconds
	 */
	private record IdleConnection(EndpointConnection connection, long until) {
	}

	/** The idle connections of one endpoint, guarded by its own lock. */
	private static final class IdleConnections {

		private final Deque<IdleConnection> idle = new ArrayDeque<>();

		synchronized @Nullable EndpointConnection take(long now) {
			while (!this.idle.isEmpty()) {
				IdleConnection candidate = this.idle.removeLast();
				if (now < candidate.until()) {
					return candidate.connection();
				}
				candidate.connection().close();
			}
			return null;
		}

		synchronized void add(IdleConnection fresh) {
			if (this.idle.size() >= MAXIMUM_IDLE) {
				fresh.connection().close();
				return;
			}
			this.idle.addLast(fresh);
		}

		synchronized void close() {
			this.idle.forEach((one) -> one.connection().close());
			this.idle.clear();
		}

	}

}

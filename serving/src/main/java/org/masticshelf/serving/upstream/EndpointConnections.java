package org.masticshelf.serving.upstream;

import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

import org.jspecify.annotations.Nullable;

import org.masticshelf.kernel.serving.ServedEndpoint;
import org.masticshelf.kernel.time.MonotonicClock;
import org.masticshelf.transport.http.HttpConnection;

/**
 * A pool of idle connections to endpoints.
 * <p>
 * Invariants: a connection is not reused after the endpoint has restarted, nor after
 * three quarters of the keep-alive time that the endpoint announced, nor if it has been
 * idle since before a request that went unanswered. The connections of each endpoint are
 * guarded by their own lock. Thread-safe.
 */
public final class EndpointConnections {

	/**
	 * Connecting takes one round trip; a longer time means lost packets or a dead
	 * instance.
	 */
	private static final int CONNECT_TIMEOUT_MILLISECONDS = 400;

	private static final int SUSPECT_CONNECT_TIMEOUT_MILLISECONDS = 150;

	private static final int MAXIMUM_IDLE_PER_ENDPOINT = 64;

	private static final long DEFAULT_IDLE_TIMEOUT_MILLISECONDS = 4_000;

	private static final double USED_SHARE_OF_KEEP_ALIVE = 0.75;

	private final Map<String, IdleConnections> idleConnections = new ConcurrentHashMap<>();

	private final MonotonicClock clock;

	/**
	 * Creates an empty pool.
	 * @param clock the clock
	 */
	public EndpointConnections(MonotonicClock clock) {
		this.clock = clock;
	}

	/**
	 * Takes an idle connection from the pool.
	 * @param endpoint the endpoint
	 * @return a connection that passed a liveness check, {@code null} if there is none
	 */
	public @Nullable HttpConnection takeIdle(ServedEndpoint endpoint) {
		IdleConnections idle = this.idleConnections.get(keyOf(endpoint));
		while (idle != null) {
			HttpConnection connection = idle.take(this.clock.milliseconds());
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
	 * @param suspect whether the endpoint may be partitioned off, which shortens the
	 * timeout
	 * @return the connection
	 * @throws IOException if the connection could not be established in time
	 */
	public HttpConnection open(ServedEndpoint endpoint, boolean suspect) throws IOException {
		return HttpConnection.open(endpoint.host(), endpoint.port(),
				suspect ? SUSPECT_CONNECT_TIMEOUT_MILLISECONDS : CONNECT_TIMEOUT_MILLISECONDS);
	}

	/**
	 * Returns a connection to the pool after an exchange, or closes it if it cannot be
	 * reused.
	 * @param endpoint the endpoint
	 * @param connection the connection
	 * @param keepAliveSeconds how long the endpoint keeps it open, 0 to close it,
	 * negative if unknown
	 */
	public void release(ServedEndpoint endpoint, HttpConnection connection, int keepAliveSeconds) {
		if (!connection.isReusable() || keepAliveSeconds == 0) {
			connection.close();
			return;
		}
		long keep = (keepAliveSeconds > 0) ? (long) (keepAliveSeconds * 1_000 * USED_SHARE_OF_KEEP_ALIVE)
				: DEFAULT_IDLE_TIMEOUT_MILLISECONDS;
		this.idleConnections.computeIfAbsent(keyOf(endpoint), (key) -> new IdleConnections())
			.add(new IdleConnection(connection, this.clock.milliseconds(), this.clock.milliseconds() + keep));
	}

	/**
	 * Returns the time by which exchanges are compared with idle connections.
	 * @return monotonic milliseconds
	 */
	public long now() {
		return this.clock.milliseconds();
	}

	/**
	 * Closes the idle connections of an endpoint that may have gone silent together with
	 * one on which a request went unanswered.
	 * @param endpoint the endpoint
	 * @param sentAt when that request was sent, monotonic milliseconds; connections that
	 * have carried an answer since are kept
	 * @return the number of connections that were closed
	 */
	public int discardIdleSinceBefore(ServedEndpoint endpoint, long sentAt) {
		IdleConnections idle = this.idleConnections.get(keyOf(endpoint));
		return (idle != null) ? idle.discardSinceBefore(sentAt) : 0;
	}

	/**
	 * Closes the idle connections of an endpoint that was removed or restarted.
	 * @param endpoint the endpoint
	 */
	public void closeIdle(ServedEndpoint endpoint) {
		IdleConnections idle = this.idleConnections.remove(keyOf(endpoint));
		if (idle != null) {
			idle.close();
		}
	}

	private static String keyOf(ServedEndpoint endpoint) {
		return endpoint.identifier() + "@" + endpoint.address() + "/" + endpoint.startedAt();
	}

	/**
	 * An idle connection.
	 *
	 * @param connection the connection
	 * @param since when it became idle, monotonic milliseconds
	 * @param until when it expires, monotonic milliseconds
	 */
	private record IdleConnection(HttpConnection connection, long since, long until) {
	}

	/** The idle connections of one endpoint. Thread-safe. */
	private static final class IdleConnections {

		private final Deque<IdleConnection> idle = new ArrayDeque<>();

		synchronized @Nullable HttpConnection take(long now) {
			while (!this.idle.isEmpty()) {
				IdleConnection candidate = this.idle.removeLast();
				if (now < candidate.until()) {
					return candidate.connection();
				}
				candidate.connection().close();
			}
			return null;
		}

		synchronized void add(IdleConnection added) {
			if (this.idle.size() >= MAXIMUM_IDLE_PER_ENDPOINT) {
				added.connection().close();
				return;
			}
			this.idle.addLast(added);
		}

		synchronized int discardSinceBefore(long time) {
			int before = this.idle.size();
			this.idle.removeIf((candidate) -> {
				boolean doubtful = candidate.since() < time;
				if (doubtful) {
					candidate.connection().close();
				}
				return doubtful;
			});
			return before - this.idle.size();
		}

		synchronized void close() {
			this.idle.forEach((one) -> one.connection().close());
			this.idle.clear();
		}

	}

}

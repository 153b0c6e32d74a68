package org.masticshelf.serving.request;

import org.jspecify.annotations.Nullable;

import org.masticshelf.transport.http.HttpConnection;

/**
 * The right of one exchange to have its connection closed from outside, while it uses the
 * connection.
 * <p>
 * A pooled connection may carry the next request before those who can end the last one
 * have learnt that it has ended. Invariant: once {@link #end()} has returned,
 * {@link #abort()} does nothing. Thread-safe.
 */
final class ConnectionHold {

	private @Nullable HttpConnection connection;

	/**
	 * Creates a hold.
	 * @param connection the connection of the exchange that begins
	 */
	ConnectionHold(HttpConnection connection) {
		this.connection = connection;
	}

	/** Closes the connection if the exchange still uses it. */
	synchronized void abort() {
		if (this.connection != null) {
			this.connection.close();
		}
	}

	/** Ends the hold, before the connection is given back. */
	synchronized void end() {
		this.connection = null;
	}

}

package org.masticshelf.transport.http;

import java.io.IOException;
import java.nio.ByteBuffer;

import io.undertow.connector.PooledByteBuffer;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpServerConnection;
import org.xnio.IoUtils;
import org.xnio.conduits.ConduitStreamSourceChannel;

/**
 * Detects that a caller closes its connection while it waits for a response.
 * <p>
 * Invariant: bytes of a pipelined request that arrive meanwhile are returned to the
 * connection. Stateless; called on the I/O thread of the connection.
 */
public final class DisconnectListener {

	private DisconnectListener() {
	}

	/**
	 * Watches the connection of an exchange. Does nothing unless the request has been
	 * read completely.
	 * @param exchange the exchange that waits for a response
	 */
	public static void install(HttpServerExchange exchange) {
		if (!(exchange.getConnection() instanceof HttpServerConnection connection) || !exchange.isRequestComplete()) {
			return;
		}
		ConduitStreamSourceChannel source = connection.getChannel().getSourceChannel();
		// The conduit of a completely read body no longer reports events.
		source.setConduit(connection.getOriginalSourceConduit());
		source.setReadListener((readable) -> read(connection, readable));
		source.resumeReads();
	}

	private static void read(HttpServerConnection connection, ConduitStreamSourceChannel source) {
		PooledByteBuffer pooled = connection.getByteBufferPool().allocate();
		boolean kept = false;
		try {
			ByteBuffer buffer = pooled.getBuffer();
			int count = source.read(buffer);
			if (count < 0) {
				IoUtils.safeClose(connection);
				return;
			}
			if (count > 0) {
				buffer.flip();
				source.suspendReads();
				connection.ungetRequestBytes(pooled);
				kept = true;
			}
		}
		catch (IOException ex) {
			IoUtils.safeClose(connection);
		}
		finally {
			if (!kept) {
				pooled.close();
			}
		}
	}

}

package org.masticshelf.transport.http;

import java.nio.channels.Channel;

import io.undertow.server.HttpServerExchange;
import org.xnio.ChannelListener;
import org.xnio.IoUtils;

import org.masticshelf.kernel.event.Event;
import org.masticshelf.transport.log.EventLog;

/**
 * Runs the steps that build the response of one exchange on its I/O thread.
 * <p>
 * Undertow logs what a step throws and carries on with the next one, so that a response
 * could go out without a part of its head or never end. Invariant: once a step has
 * failed, no further one runs, and the connection is closed unless the response is
 * complete. Thread-safe, unless said otherwise.
 */
public final class ResponseSteps {

	private final HttpServerExchange exchange;

	private final String identifier;

	/** Accessed by the I/O thread only. */
	private boolean failed;

	/**
	 * Creates the steps of a response of which nothing has been built.
	 * @param exchange the exchange
	 * @param identifier identifies the request in the log
	 */
	public ResponseSteps(HttpServerExchange exchange, String identifier) {
		this.exchange = exchange;
		this.identifier = identifier;
	}

	/**
	 * Schedules a step. May be called by any thread.
	 * @param step the step
	 */
	public void execute(Runnable step) {
		this.exchange.getIoThread().execute(() -> run(step));
	}

	/**
	 * Returns a listener that runs a step whenever it is notified.
	 * @param step the step
	 * @param <T> the type of the channel
	 * @return the listener
	 */
	public <T extends Channel> ChannelListener<T> listener(Runnable step) {
		return (channel) -> run(step);
	}

	private void run(Runnable step) {
		if (this.failed) {
			return;
		}
		try {
			step.run();
		}
		catch (RuntimeException | Error ex) {
			this.failed = true;
			closeConnection();
			EventLog.severe(Event.named("response.failed").with("id", this.identifier), ex);
		}
	}

	/**
	 * Closes the connection unless the exchange is complete: it may carry the next one
	 * then. To be called on the I/O thread.
	 */
	public void closeConnection() {
		if (!this.exchange.isComplete()) {
			IoUtils.safeClose(this.exchange.getConnection());
		}
	}

}

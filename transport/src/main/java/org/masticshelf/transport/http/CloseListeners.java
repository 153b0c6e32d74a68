package org.masticshelf.transport.http;

import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

import io.undertow.server.HttpServerExchange;
import io.undertow.server.ServerConnection;
import io.undertow.util.AttachmentKey;

/**
 * Tells the exchanges of a caller's connection that it closes.
 * <p>
 * Undertow keeps the close listeners of a connection until its end, and what they refer
 * to. Invariant: a connection has one such listener, however many exchanges it carries,
 * and refers to the actions of unfinished exchanges only. Thread-safe.
 */
public final class CloseListeners {

	private static final AttachmentKey<CloseListeners> KEY = AttachmentKey.create(CloseListeners.class);

	private final Set<Runnable> actions = ConcurrentHashMap.newKeySet();

	private CloseListeners() {
	}

	/**
	 * Adds an action that runs if the connection closes before the exchange is complete.
	 * To be called on the I/O thread of the connection.
	 * @param exchange the exchange
	 * @param action the action
	 */
	public static void add(HttpServerExchange exchange, Runnable action) {
		CloseListeners listeners = of(exchange.getConnection());
		listeners.actions.add(action);
		exchange.addExchangeCompleteListener((completed, next) -> {
			listeners.actions.remove(action);
			next.proceed();
		});
	}

	private static CloseListeners of(ServerConnection connection) {
		CloseListeners known = connection.getAttachment(KEY);
		if (known != null) {
			return known;
		}
		CloseListeners created = new CloseListeners();
		connection.putAttachment(KEY, created);
		connection.addCloseListener((closed) -> created.run());
		return created;
	}

	private void run() {
		List.copyOf(this.actions).forEach(Runnable::run);
	}

}

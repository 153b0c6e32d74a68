package org.masticshelf.adapters.engine;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;

import org.masticshelf.kernel.port.ExchangeFailure;

/**
 * Splits a body of server-sent events into the data of its events.
 * <p>
 * Invariants: the data handed on are those of complete events only, in order; a line and
 * the data of an event are bounded. Used by one thread at a time.
 */
final class EventStreamParser {

	private static final int MAXIMUM_LINE_BYTES = 1024 * 1024;

	private static final int MAXIMUM_DATA_CHARACTERS = 1024 * 1024;

	private static final String DATA_FIELD = "data:";

	private final Consumer<String> events;

	private final ByteArrayOutputStream line = new ByteArrayOutputStream();

	private final StringBuilder data = new StringBuilder();

	/**
	 * Creates a parser.
	 * @param events receives the data of each event
	 */
	EventStreamParser(Consumer<String> events) {
		this.events = events;
	}

	/**
	 * Takes a piece of the body.
	 * @param piece the bytes
	 * @throws ExchangeFailure if a line or an event is longer than any may be
	 */
	void take(ByteBuffer piece) {
		while (piece.hasRemaining()) {
			byte next = piece.get();
			if (next == '\n') {
				endLine();
				continue;
			}
			if (this.line.size() >= MAXIMUM_LINE_BYTES) {
				throw new ExchangeFailure(ExchangeFailure.Point.INVALID_ANSWER,
						"event line above " + MAXIMUM_LINE_BYTES + " bytes");
			}
			this.line.write(next);
		}
	}

	private void endLine() {
		String text = this.line.toString(StandardCharsets.UTF_8).stripTrailing();
		this.line.reset();
		if (text.isEmpty()) {
			endEvent();
			return;
		}
		if (!text.startsWith(DATA_FIELD)) {
			return;
		}
		if (!this.data.isEmpty()) {
			this.data.append('\n');
		}
		this.data.append(text.substring(DATA_FIELD.length()).stripLeading());
		if (this.data.length() > MAXIMUM_DATA_CHARACTERS) {
			throw new ExchangeFailure(ExchangeFailure.Point.INVALID_ANSWER,
					"event above " + MAXIMUM_DATA_CHARACTERS + " characters");
		}
	}

	private void endEvent() {
		if (this.data.isEmpty()) {
			return;
		}
		String complete = this.data.toString();
		this.data.setLength(0);
		this.events.accept(complete);
	}

}

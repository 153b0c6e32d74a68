package org.masticshelf.serving.request;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

import org.jspecify.annotations.Nullable;

/**
 * Cuts the bytes of a stream into whole events, each with the empty line that ends it.
 * <p>
 * Invariant: the events and the rest together are the bytes that went in. Not safe for
 * use by several threads.
 */
final class EventSplitter {

	private static final String IDENTIFIER_FIELD = "id:";

	private final ByteArrayOutputStream open = new ByteArrayOutputStream();

	private int lineBytes;

	/**
	 * Takes in bytes.
	 * @param bytes the bytes
	 * @param count how many of them
	 * @return the events that are whole now
	 */
	List<StreamEvent> add(byte[] bytes, int count) {
		List<StreamEvent> events = new ArrayList<>();
		for (int index = 0; index < count; index++) {
			byte next = bytes[index];
			this.open.write(next);
			if (next == '\n') {
				if (this.lineBytes == 0 && this.open.size() > 2) {
					events.add(StreamEvent.of(this.open.toByteArray()));
					this.open.reset();
				}
				this.lineBytes = 0;
			}
			else if (next != '\r') {
				this.lineBytes++;
			}
		}
		return events;
	}

	/**
	 * Returns whether an event has begun and not ended.
	 * @return whether bytes are left
	 */
	boolean hasPartialEvent() {
		return this.open.size() > 0;
	}

	/**
	 * A whole event. Immutable.
	 *
	 * @param bytes the event as it arrived
	 * @param identifier its identifier, {@code null} if it has none
	 */
	record StreamEvent(byte[] bytes, @Nullable String identifier) {

		private static StreamEvent of(byte[] bytes) {
			for (String line : new String(bytes, StandardCharsets.UTF_8).split("\r?\n")) {
				if (line.startsWith(IDENTIFIER_FIELD)) {
					return new StreamEvent(bytes, line.substring(IDENTIFIER_FIELD.length()).strip());
				}
			}
			return new StreamEvent(bytes, null);
		}

	}

}

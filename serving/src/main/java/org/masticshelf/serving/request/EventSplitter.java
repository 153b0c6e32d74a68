package org.masticshelf.serving.request;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

import org.jspecify.annotations.Nullable;

/**
 * Splits the bytes of a stream into complete events, each including its terminating empty
 * line.
 * <p>
 * Invariant: the returned events and the buffered remainder together are exactly the
 * bytes that were added. Not thread-safe.
 */
final class EventSplitter {

	private static final String IDENTIFIER_FIELD = "id:";

	private final ByteArrayOutputStream partialEvent = new ByteArrayOutputStream();

	private int lineBytes;

	/**
	 * Adds bytes and returns the events that they complete.
	 * @param bytes a buffer with bytes of the stream
	 * @param count the number of bytes to add
	 * @return the completed events
	 */
	List<StreamEvent> add(byte[] bytes, int count) {
		List<StreamEvent> events = new ArrayList<>();
		for (int index = 0; index < count; index++) {
			byte next = bytes[index];
			this.partialEvent.write(next);
			if (next == '\n') {
				if (this.lineBytes == 0 && this.partialEvent.size() > 2) {
					events.add(StreamEvent.of(this.partialEvent.toByteArray()));
					this.partialEvent.reset();
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
	 * Returns whether the stream has stopped within an event.
	 * @return whether bytes of an incomplete event are buffered
	 */
	boolean hasPartialEvent() {
		return this.partialEvent.size() > 0;
	}

	/**
	 * A complete event. Immutable.
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

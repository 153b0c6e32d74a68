package org.masticshelf.serving.request;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

import org.jspecify.annotations.Nullable;

/**
 * Splits the bytes of a stream into complete events, each including its terminating empty
 * line.
 * <p>
 * Invariants: the returned events and the buffered remainder together are exactly the
 * bytes that were added; the remainder is bounded. Not thread-safe.
 */
final class EventSplitter {

	private static final String IDENTIFIER_FIELD = "id:";

	private static final String COMMENT = ":";

	private static final int MAXIMUM_EVENT_BYTES = 1024 * 1024;

	private final ByteArrayOutputStream partialEvent = new ByteArrayOutputStream();

	private int lineBytes;

	/**
	 * Adds bytes and returns the events that they complete.
	 * @param bytes a buffer with bytes of the stream
	 * @param count the number of bytes to add
	 * @return the completed events
	 * @throws IOException if an event is longer than any that endpoints send
	 */
	List<StreamEvent> add(byte[] bytes, int count) throws IOException {
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
		if (this.partialEvent.size() > MAXIMUM_EVENT_BYTES) {
			throw new IOException("an event above " + MAXIMUM_EVENT_BYTES + " bytes");
		}
		return events;
	}

	/**
	 * Returns whether the stream has stopped within an event.
	 * @return whether bytes of an incomplete event are buffered
	 */
	boolean hasPartialEvent() {
		return partialBytes() > 0;
	}

	/**
	 * Returns how much of an incomplete event is buffered.
	 * @return the number of bytes
	 */
	int partialBytes() {
		return this.partialEvent.size();
	}

	/**
	 * A complete event. Immutable.
	 *
	 * @param bytes the event as it arrived
	 * @param identifier its identifier, {@code null} if it has none
	 * @param hasField whether it has a field; an event of comments only keeps a
	 * connection open
	 */
	record StreamEvent(byte[] bytes, @Nullable String identifier, boolean hasField) {

		private static StreamEvent of(byte[] bytes) {
			String identifier = null;
			boolean hasField = false;
			for (String line : new String(bytes, StandardCharsets.UTF_8).split("\r?\n")) {
				hasField |= !line.isEmpty() && !line.startsWith(COMMENT);
				if (identifier == null && line.startsWith(IDENTIFIER_FIELD)) {
					identifier = line.substring(IDENTIFIER_FIELD.length()).strip();
				}
			}
			return new StreamEvent(bytes, identifier, hasField);
		}

	}

}

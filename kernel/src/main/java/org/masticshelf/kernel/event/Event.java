package org.masticshelf.kernel.event;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.Map;

import org.jspecify.annotations.Nullable;

/**
 * One structured log event, rendered as a line of {@code key=value} pairs.
 * <p>
 * Invariant: the rendered line holds no line break, and a value with blanks, quotes or
 * equal signs is quoted. Immutable and therefore safe for use by several threads.
 */
public final class Event {

	private final String name;

	private final @Nullable Field last;

	private Event(String name, @Nullable Field last) {
		this.name = name;
		this.last = last;
	}

	/**
	 * Creates an event without fields.
	 * @param name the dotted name of the event, for example {@code route.chosen}
	 * @return the event
	 */
	public static Event named(String name) {
		return new Event(name, null);
	}

	/**
	 * Returns a copy of this event with one more field. It shares the fields of this one,
	 * so that its cost does not grow with their number.
	 * @param key the name of the field; a field of the same name is replaced
	 * @param value the value; {@code null} is rendered as {@code none}
	 * @return the extended event
	 */
	public Event with(String key, @Nullable Object value) {
		return new Event(this.name, new Field(this.last, key, (value != null) ? value.toString() : "none"));
	}

	/**
	 * Returns the name of this event.
	 * @return the dotted name
	 */
	public String name() {
		return this.name;
	}

	/**
	 * Returns the value of a field.
	 * @param key the name of the field
	 * @return the value or {@code null} if the event has no such field
	 */
	public @Nullable String field(String key) {
		for (Field field = this.last; field != null; field = field.previous()) {
			if (field.key().equals(key)) {
				return field.value();
			}
		}
		return null;
	}

	/**
	 * Renders this event.
	 * @return one line of {@code key=value} pairs that begins with {@code event=}
	 */
	public String toLine() {
		StringBuilder line = new StringBuilder("event=").append(this.name);
		fields().forEach((key, value) -> line.append(' ').append(key).append('=').append(quoteIfNeeded(value)));
		return line.toString();
	}

	private Map<String, String> fields() {
		Deque<Field> ordered = new ArrayDeque<>();
		for (Field field = this.last; field != null; field = field.previous()) {
			ordered.push(field);
		}
		Map<String, String> fields = new LinkedHashMap<>();
		ordered.forEach((field) -> fields.put(field.key(), field.value()));
		return fields;
	}

	@Override
	public String toString() {
		return toLine();
	}

	private static String quoteIfNeeded(String value) {
		if (!value.isEmpty() && value.chars().noneMatch(Event::needsQuotes)) {
			return value;
		}
		StringBuilder quoted = new StringBuilder("\"");
		value.chars().forEach((character) -> appendEscaped(quoted, (char) character));
		return quoted.append('"').toString();
	}

	private static boolean needsQuotes(int character) {
		return character <= ' ' || character == '"' || character == '=' || character == '\\' || character == 0x7f;
	}

	private static void appendEscaped(StringBuilder target, char character) {
		switch (character) {
			case '"' -> target.append("\\\"");
			case '\\' -> target.append("\\\\");
			case '\n' -> target.append("\\n");
			case '\r' -> target.append("\\r");
			default -> target.append((character < ' ' || character == 0x7f) ? '?' : character);
		}
	}

	/**
	 * A field and those before it.
	 *
	 * @param previous the field before, or {@code null} for the first
	 * @param key the name
	 * @param value the rendered value without quotes
	 */
	private record Field(@Nullable Field previous, String key, String value) {
	}

}

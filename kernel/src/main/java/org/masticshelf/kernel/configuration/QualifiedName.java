package org.masticshelf.kernel.configuration;

import java.util.Comparator;
import java.util.regex.Pattern;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * A name together with the workshop that it belongs to, so that equal names of two
 * workshops stay apart.
 * <p>
 * Invariant: both parts consist of lower-case letters, digits, dots, underscores and
 * hyphens, 1 to 120 characters. Immutable.
 *
 * @param workshop the workshop, for example {@code sofia}
 * @param name the name within the workshop
 */
public record QualifiedName(String workshop, String name) implements Comparable<QualifiedName> {

	private static final Pattern PART = Pattern.compile("[a-z0-9][a-z0-9._-]{0,119}");

	private static final Comparator<QualifiedName> ORDER = Comparator.comparing(QualifiedName::workshop)
		.thenComparing(QualifiedName::name);

	/**
	 * Creates a qualified name.
	 * @param workshop the workshop
	 * @param name the name within the workshop
	 */
	public QualifiedName {
		if (!PART.matcher(workshop).matches() || !PART.matcher(name).matches()) {
			throw new IllegalArgumentException("malformed qualified name '" + workshop + "/" + name + "'");
		}
	}

	/**
	 * Parses the form {@code workshop/name}.
	 * @param text the text to parse
	 * @return the qualified name
	 * @throws IllegalArgumentException if the text has another form
	 */
	@JsonCreator
	public static QualifiedName of(String text) {
		int slash = text.indexOf('/');
		if (slash < 0) {
			throw new IllegalArgumentException("'" + text + "' is not of the form workshop/name");
		}
		return new QualifiedName(text.substring(0, slash), text.substring(slash + 1));
	}

	@Override
	public int compareTo(QualifiedName other) {
		return ORDER.compare(this, other);
	}

	@Override
	@JsonValue
	public String toString() {
		return this.workshop + "/" + this.name;
	}

}

package org.masticshelf.kernel.configuration;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JavaType;

/**
 * A named page of rows of one table and workshop, stored as one value under its digest.
 * <p>
 * Invariant: the text is the canonical JSON of the rows in the order of their keys and
 * the digest is its SHA-256. Immutable.
 */
public final class Page {

	/** The text length in bytes above which a page is split. */
	public static final int SPLIT_THRESHOLD_BYTES = 8 * 1024;

	/** The text length in bytes above which a page is refused. */
	public static final int MAXIMUM_BYTES = 1_000_000;

	private final String name;

	private final String text;

	private final String digest;

	private final List<Row> rows;

	private Page(String name, String text, List<Row> rows) {
		this.name = name;
		this.text = text;
		this.digest = ConfigurationJson.digestOf(text);
		this.rows = rows;
	}

	/**
	 * Creates a page from rows.
	 * @param name the name of the page
	 * @param rows the rows in any order
	 * @return the page
	 */
	static Page of(String name, List<Row> rows) {
		List<Row> sorted = new ArrayList<>(rows);
		sorted.sort(Comparator.comparing(Row::key));
		return new Page(name, ConfigurationJson.write(sorted), List.copyOf(sorted));
	}

	/**
	 * Parses a stored page.
	 * @param name the name of the page, of which the part up to the first slash names the
	 * table
	 * @param text the stored text
	 * @return the page
	 * @throws IllegalArgumentException if the name or the text is malformed
	 */
	public static Page parse(String name, String text) {
		Row.Table table = tableOf(name);
		JavaType type = ConfigurationJson.MAPPER.getTypeFactory()
			.constructCollectionType(ArrayList.class, table.rowType());
		try {
			List<Row> rows = ConfigurationJson.MAPPER.readValue(text, type);
			return new Page(name, text, List.copyOf(rows));
		}
		catch (JsonProcessingException ex) {
			throw new IllegalArgumentException("malformed page " + name + ": " + ex.getOriginalMessage(), ex);
		}
	}

	private static Row.Table tableOf(String name) {
		int slash = name.indexOf('/');
		if (slash < 0) {
			throw new IllegalArgumentException("malformed page name '" + name + "'");
		}
		return Row.Table.valueOf(name.substring(0, slash).toUpperCase(Locale.ROOT));
	}

	/**
	 * Returns the name of the page.
	 * @return for example {@code routes/sofia/011}
	 */
	public String name() {
		return this.name;
	}

	/**
	 * Returns the stored text.
	 * @return canonical JSON
	 */
	public String text() {
		return this.text;
	}

	/**
	 * Returns the digest of the text.
	 * @return the SHA-256 digest in hexadecimal
	 */
	public String digest() {
		return this.digest;
	}

	/**
	 * Returns the length of the stored text.
	 * @return the length in bytes
	 */
	public int sizeBytes() {
		return this.text.getBytes(StandardCharsets.UTF_8).length;
	}

	/**
	 * Returns the rows.
	 * @return the rows in the order of their keys
	 */
	List<Row> rows() {
		return this.rows;
	}

}

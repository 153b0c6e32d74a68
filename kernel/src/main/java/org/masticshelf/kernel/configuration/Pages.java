package org.masticshelf.kernel.configuration;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * Tables cut into pages, so that a change writes and moves only the pages that it
 * touches.
 * <p>
 * Rows are spread over pages by the first binary digits of the digest of their key, and a
 * page is split by one more digit when it grows past {@link Page#SPLIT_THRESHOLD_BYTES}.
 * A row therefore never moves because an unrelated row came or went, except when its page
 * is split or joined. Equal tables always give equal pages. Immutable.
 */
public final class Pages {

	private static final int DIGEST_BITS = 256;

	private final SortedMap<String, Page> byName;

	private Pages(SortedMap<String, Page> byName) {
		this.byName = Collections.unmodifiableSortedMap(byName);
	}

	/**
	 * Splits tables into pages.
	 * @param tables the validated tables
	 * @return the pages
	 */
	public static Pages of(Tables tables) {
		Map<String, List<Row>> groups = new TreeMap<>();
		for (Row row : rowsOf(tables)) {
			String group = row.table().name().toLowerCase(Locale.ROOT) + "/" + row.workshop();
			groups.computeIfAbsent(group, (name) -> new ArrayList<>()).add(row);
		}
		SortedMap<String, Page> pages = new TreeMap<>();
		groups.forEach((group, rows) -> split(group + "/", "", rows, pages));
		return new Pages(pages);
	}

	/**
	 * Creates the set of given pages.
	 * @param pages the pages, each with another name
	 * @return the pages
	 */
	public static Pages collect(Collection<Page> pages) {
		SortedMap<String, Page> byName = new TreeMap<>();
		pages.forEach((page) -> byName.put(page.name(), page));
		return new Pages(byName);
	}

	private static List<Row> rowsOf(Tables tables) {
		List<Row> rows = new ArrayList<>();
		tables.routes().forEach((route) -> rows.add(new Row.OfRoute(route)));
		for (Pool pool : tables.pools()) {
			rows.add(new Row.OfPool(pool.name(), pool.kind(), pool.store()));
			pool.endpoints().forEach((endpoint) -> rows.add(new Row.OfEndpoint(pool.name(), endpoint)));
			pool.models().forEach((model) -> rows.add(new Row.OfModel(pool.name(), model)));
		}
		tables.organisations().forEach((organisation) -> rows.add(new Row.OfOrganisation(organisation)));
		tables.keys().forEach((key) -> rows.add(new Row.OfKey(key)));
		return rows;
	}

	private static void split(String group, String digits, List<Row> rows, SortedMap<String, Page> pages) {
		Page page = Page.of(group + digits, rows);
		if (rows.size() == 1 || digits.length() == DIGEST_BITS || page.sizeBytes() <= Page.SPLIT_THRESHOLD_BYTES) {
			pages.put(page.name(), page);
			return;
		}
		Map<String, List<Row>> parts = new TreeMap<>();
		for (Row row : rows) {
			String longer = digits + bitAt(digestOf(row), digits.length());
			parts.computeIfAbsent(longer, (name) -> new ArrayList<>()).add(row);
		}
		parts.forEach((longer, part) -> split(group, longer, part, pages));
	}

	private static int bitAt(String digest, int index) {
		int hexadecimalDigit = Character.digit(digest.charAt(index / 4), 16);
		return (hexadecimalDigit >> (3 - index % 4)) & 1;
	}

	private static String digestOf(Row row) {
		return (row instanceof Row.OfKey) ? row.key() : ConfigurationJson.digestOf(row.key());
	}

	/**
	 * Returns the pages by name.
	 * @return the pages, unmodifiable
	 */
	public SortedMap<String, Page> byName() {
		return this.byName;
	}

	/**
	 * Returns the names and digests of these pages.
	 * @return the manifest
	 */
	public Manifest toManifest() {
		SortedMap<String, String> digests = new TreeMap<>();
		this.byName.forEach((name, page) -> digests.put(name, page.digest()));
		return new Manifest(digests);
	}

	/**
	 * Joins the pages to tables. The rows, endpoints and models are in the order of their
	 * names.
	 * @return the tables
	 * @throws IllegalArgumentException if an endpoint or model stands without its pool
	 */
	public Tables toTables() {
		TablesBuilder assembly = new TablesBuilder();
		this.byName.values().forEach((page) -> page.rows().forEach(assembly::add));
		return assembly.build();
	}

	/**
	 * Returns why the service cannot hold these pages.
	 * @return the mistakes, empty if it can
	 */
	public List<Mistake> findMistakes() {
		List<Mistake> mistakes = new ArrayList<>();
		for (Page page : this.byName.values()) {
			int bytes = page.sizeBytes();
			if (bytes > Page.MAXIMUM_BYTES) {
				mistakes.add(new Mistake("$", "page " + page.name() + " has " + bytes + " bytes, more than "
						+ Page.MAXIMUM_BYTES + ", and cannot be split"));
			}
		}
		return mistakes;
	}

}

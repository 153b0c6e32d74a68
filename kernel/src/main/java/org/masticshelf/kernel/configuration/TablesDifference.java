package org.masticshelf.kernel.configuration;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Function;

import org.jspecify.annotations.Nullable;

/**
 * The rows in which two sets of tables differ.
 * <p>
 * Immutable.
 *
 * @param changes the differing rows, by table and then by name
 */
public record TablesDifference(List<Change> changes) {

	/**
	 * Creates a difference.
	 */
	public TablesDifference {
		changes = List.copyOf(changes);
	}

	/**
	 * Compares tables.
	 * @param before the earlier tables
	 * @param after the later tables
	 * @return the difference
	 */
	public static TablesDifference between(Tables before, Tables after) {
		List<Change> changes = new ArrayList<>();
		compare("routes", before.routes(), after.routes(), (route) -> route.name().toString(), changes);
		compare("pools", before.pools(), after.pools(), (pool) -> pool.name().toString(), changes);
		compare("organisations", before.organisations(), after.organisations(),
				(organisation) -> organisation.name().toString(), changes);
		compare("keys", before.keys(), after.keys(), OrganisationKey::digest, changes);
		return new TablesDifference(changes);
	}

	private static <T> void compare(String table, List<T> before, List<T> after, Function<T, String> name,
			List<Change> changes) {
		Map<String, T> earlier = index(before, name);
		Map<String, T> later = index(after, name);
		SortedSet<String> names = new TreeSet<>(earlier.keySet());
		names.addAll(later.keySet());
		for (String row : names) {
			T old = earlier.get(row);
			T current = later.get(row);
			if (!Objects.equals(old, current)) {
				changes.add(new Change(table, row, toJson(old), toJson(current)));
			}
		}
	}

	private static <T> Map<String, T> index(List<T> rows, Function<T, String> name) {
		Map<String, T> index = new TreeMap<>();
		rows.forEach((row) -> index.put(name.apply(row), row));
		return index;
	}

	private static @Nullable String toJson(@Nullable Object row) {
		return (row != null) ? ConfigurationJson.write(row) : null;
	}

	/**
	 * Returns whether the tables are equal.
	 * @return whether there is no change
	 */
	public boolean isEmpty() {
		return this.changes.isEmpty();
	}

	/** What happened to a row. */
	public enum Kind {

		/** The row is new. */
		ADDED,

		/** The row is gone. */
		REMOVED,

		/** The row has the same name and other content. */
		CHANGED

	}

	/**
	 * A row that differs.
	 *
	 * @param table the table
	 * @param name the name of the row, or the digest of a key
	 * @param before the row as JSON before, {@code null} if it is new
	 * @param after the row as JSON after, {@code null} if it is gone
	 */
	public record Change(String table, String name, @Nullable String before, @Nullable String after) {

		/**
		 * Returns what happened to the row.
		 * @return the kind of change
		 */
		public Kind kind() {
			if (this.before == null) {
				return Kind.ADDED;
			}
			return (this.after == null) ? Kind.REMOVED : Kind.CHANGED;
		}

	}

}

package org.masticshelf.control.placement;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

import org.masticshelf.kernel.configuration.Loadable;
import org.masticshelf.kernel.placement.LoadableCodec;

/**
 * What is loaded where, with a version for each change, so that daemons are told only
 * what changed.
 * <p>
 * Invariant: the version increases with each change within one tenure. Guarded by the
 * lock of the store's keeper.
 */
final class VersionedView {

	private final Map<Loadable, Row> rows = new HashMap<>();

	private final Map<String, Set<Loadable>> byEndpoint = new HashMap<>();

	private long version;

	private long removalVersion;

	/**
	 * Returns whether something was taken away since a version.
	 * @param since the version
	 * @return whether daemons have to stop sending requests somewhere
	 */
	boolean removed(long since) {
		return this.removalVersion > since;
	}

	/**
	 * Returns the version.
	 * @return the version of the newest change, 0 before any
	 */
	long version() {
		return this.version;
	}

	/**
	 * Takes what one endpoint serves.
	 * @param endpoint the identifier of the endpoint
	 * @param serving everything that it serves
	 */
	void update(String endpoint, Set<Loadable> serving) {
		Set<Loadable> former = this.byEndpoint.getOrDefault(endpoint, Set.of());
		if (former.equals(serving)) {
			return;
		}
		this.version++;
		Set<Loadable> changed = new HashSet<>(former);
		changed.addAll(serving);
		for (Loadable loadable : changed) {
			boolean serves = serving.contains(loadable);
			if (serves != former.contains(loadable)) {
				Row row = this.rows.computeIfAbsent(loadable, (key) -> new Row());
				row.change(endpoint, serves, this.version);
				this.removalVersion = serves ? this.removalVersion : this.version;
			}
		}
		this.byEndpoint.put(endpoint, Set.copyOf(serving));
	}

	/**
	 * Returns whether one of some loadables changed since a version.
	 * @param loadables the loadables
	 * @param since the version
	 * @return whether any row is newer
	 */
	boolean changed(Collection<Loadable> loadables, long since) {
		for (Loadable loadable : loadables) {
			Row row = this.rows.get(loadable);
			if (row != null && row.version > since) {
				return true;
			}
		}
		return false;
	}

	/**
	 * Writes the rows that changed since a version.
	 * @param since the version, 0 for all rows
	 * @param target receives the rows
	 */
	void writeChanges(long since, ArrayNode target) {
		List<Map.Entry<Loadable, Row>> newer = new ArrayList<>();
		for (Map.Entry<Loadable, Row> row : this.rows.entrySet()) {
			if (row.getValue().version > since) {
				newer.add(row);
			}
		}
		newer.forEach((row) -> {
			ObjectNode node = LoadableCodec.write(row.getKey(), target.addObject());
			ArrayNode endpoints = node.putArray("endpoints");
			row.getValue().endpoints.forEach(endpoints::add);
		});
	}

	/** Where one loadable is served. Guarded as its book. */
	private static final class Row {

		private final Set<String> endpoints = new TreeSet<>();

		private long version;

		private void change(String endpoint, boolean serves, long newVersion) {
			this.version = newVersion;
			if (serves) {
				this.endpoints.add(endpoint);
			}
			else {
				this.endpoints.remove(endpoint);
			}
		}

	}

}

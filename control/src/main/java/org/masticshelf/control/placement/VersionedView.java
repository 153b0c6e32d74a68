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
 * What is loaded where, with a version per change, so that daemons receive only what has
 * changed.
 * <p>
 * Invariant: within one tenure the version increases with each change. Guarded by the
 * lock of the store's controller.
 */
final class VersionedView {

	private final Map<Loadable, Row> rows = new HashMap<>();

	private final Map<String, Set<Loadable>> loadablesByEndpoint = new HashMap<>();

	private long version;

	private long lastRemovalVersion;

	/**
	 * Returns whether an endpoint has stopped serving a loadable since a version.
	 * @param since the version
	 * @return whether daemons have to stop sending requests to an endpoint
	 */
	boolean hasRemovalsSince(long since) {
		return this.lastRemovalVersion > since;
	}

	/**
	 * Returns the version of the newest change.
	 * @return the version, 0 before the first change
	 */
	long version() {
		return this.version;
	}

	/**
	 * Replaces what one endpoint serves.
	 * @param endpoint the identifier of the endpoint
	 * @param served all loadables that it serves
	 */
	void update(String endpoint, Set<Loadable> served) {
		Set<Loadable> previous = this.loadablesByEndpoint.getOrDefault(endpoint, Set.of());
		if (previous.equals(served)) {
			return;
		}
		this.version++;
		Set<Loadable> changed = new HashSet<>(previous);
		changed.addAll(served);
		for (Loadable loadable : changed) {
			boolean serves = served.contains(loadable);
			if (serves != previous.contains(loadable)) {
				Row row = this.rows.computeIfAbsent(loadable, (key) -> new Row());
				row.setServes(endpoint, serves, this.version);
				this.lastRemovalVersion = serves ? this.lastRemovalVersion : this.version;
			}
		}
		this.loadablesByEndpoint.put(endpoint, Set.copyOf(served));
	}

	/**
	 * Returns whether any of the given loadables has changed since a version.
	 * @param loadables the loadables to look at
	 * @param since the version
	 * @return whether the row of one is newer
	 */
	boolean hasChangesSince(Collection<Loadable> loadables, long since) {
		for (Loadable loadable : loadables) {
			Row row = this.rows.get(loadable);
			if (row != null && row.version > since) {
				return true;
			}
		}
		return false;
	}

	/**
	 * Writes the rows that have changed since a version.
	 * @param since the version, 0 for all rows
	 * @param target receives the rows
	 */
	void writeChanges(long since, ArrayNode target) {
		List<Map.Entry<Loadable, Row>> changedRows = new ArrayList<>();
		for (Map.Entry<Loadable, Row> row : this.rows.entrySet()) {
			if (row.getValue().version > since) {
				changedRows.add(row);
			}
		}
		changedRows.forEach((row) -> {
			ObjectNode node = LoadableCodec.write(row.getKey(), target.addObject());
			ArrayNode endpoints = node.putArray("endpoints");
			row.getValue().endpoints.forEach(endpoints::add);
		});
	}

	/**
	 * The endpoints that serve one loadable. Guarded by the lock of the store's
	 * controller.
	 */
	private static final class Row {

		private final Set<String> endpoints = new TreeSet<>();

		private long version;

		private void setServes(String endpoint, boolean serves, long newVersion) {
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

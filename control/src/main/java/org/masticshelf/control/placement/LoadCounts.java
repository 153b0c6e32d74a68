package org.masticshelf.control.placement;

import java.util.HashMap;
import java.util.Map;

import org.jspecify.annotations.Nullable;

import org.masticshelf.kernel.configuration.Loadable;
import org.masticshelf.kernel.configuration.QualifiedName;
import org.masticshelf.kernel.placement.StoreGate;
import org.masticshelf.kernel.port.Engine;

/**
 * Counts the loads under way at all endpoints of a store.
 * <p>
 * Used by one thread.
 */
final class LoadCounts {

	private final Map<QualifiedName, Integer> organisations = new HashMap<>();

	private int models;

	private int adapters;

	/**
	 * Counts a load.
	 * @param loadable what is loaded
	 * @param level where its weights lie
	 * @param organisation the organisation that it is for, or {@code null}
	 */
	void add(Loadable loadable, Engine.CacheLevel level, @Nullable QualifiedName organisation) {
		this.adapters += loadable.isAdapter() ? 1 : 0;
		this.models += (!loadable.isAdapter() && level == Engine.CacheLevel.REMOTE) ? 1 : 0;
		if (organisation != null) {
			this.organisations.merge(organisation, 1, Integer::sum);
		}
	}

	/**
	 * Returns the loads under way for each organisation.
	 * @return the counts
	 */
	Map<QualifiedName, Integer> organisations() {
		return this.organisations;
	}

	/**
	 * Returns a gate with these counts.
	 * @param gate the gate
	 * @return the changed gate
	 */
	StoreGate applyTo(StoreGate gate) {
		return gate.withInFlight(this.models, this.adapters);
	}

}

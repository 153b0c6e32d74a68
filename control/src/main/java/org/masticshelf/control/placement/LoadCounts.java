package org.masticshelf.control.placement;

import java.util.HashMap;
import java.util.Map;

import org.jspecify.annotations.Nullable;

import org.masticshelf.kernel.configuration.Loadable;
import org.masticshelf.kernel.configuration.QualifiedName;
import org.masticshelf.kernel.placement.StoreGate;
import org.masticshelf.kernel.port.Engine;

/**
 * Counts the loads in progress at all endpoints of a store.
 * <p>
 * Not thread-safe.
 */
final class LoadCounts {

	private final Map<QualifiedName, Integer> organisations = new HashMap<>();

	private int models;

	private int adapters;

	/**
	 * Counts a load.
	 * @param loadable the model or adapter that is loaded
	 * @param level where its weights are; a model counts as a load from the store only if
	 * they are remote
	 * @param organisation the organisation that it is for, or {@code null} if unknown
	 */
	void add(Loadable loadable, Engine.CacheLevel level, @Nullable QualifiedName organisation) {
		this.adapters += loadable.isAdapter() ? 1 : 0;
		this.models += (!loadable.isAdapter() && level == Engine.CacheLevel.REMOTE) ? 1 : 0;
		if (organisation != null) {
			this.organisations.merge(organisation, 1, Integer::sum);
		}
	}

	/**
	 * Returns the loads in progress by organisation.
	 * @return the counts, without loads whose organisation is unknown
	 */
	Map<QualifiedName, Integer> organisations() {
		return this.organisations;
	}

	/**
	 * Returns a gate with these counts of loads in flight.
	 * @param gate the gate to start from
	 * @return the new gate
	 */
	StoreGate applyTo(StoreGate gate) {
		return gate.withInFlight(this.models, this.adapters);
	}

}

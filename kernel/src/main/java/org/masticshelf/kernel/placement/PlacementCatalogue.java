package org.masticshelf.kernel.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.jspecify.annotations.Nullable;

import org.masticshelf.kernel.configuration.Configuration;
import org.masticshelf.kernel.configuration.Loadable;
import org.masticshelf.kernel.configuration.Pool;
import org.masticshelf.kernel.configuration.Route;

/**
 * Lists what the pools of one weight store can load.
 * <p>
 * Immutable.
 */
public final class PlacementCatalogue {

	private final Map<Loadable, Row> rows = new HashMap<>();

	private final List<Loadable> modelsWithMinimumReplicas = new ArrayList<>();

	private final List<Pool> pools;

	private PlacementCatalogue(List<Pool> pools) {
		this.pools = pools;
		pools.forEach((pool) -> pool.models().forEach((model) -> add(pool, model)));
	}

	/**
	 * Creates the catalogue of one weight store.
	 * @param configuration the configuration
	 * @param store the weight store
	 * @return the catalogue
	 */
	public static PlacementCatalogue of(Configuration configuration, String store) {
		return new PlacementCatalogue(configuration.tables()
			.pools()
			.stream()
			.filter((pool) -> pool.kind() == Route.Kind.MODEL && pool.store().equals(store))
			.toList());
	}

	private void add(Pool pool, Pool.Model model) {
		Loadable baseModel = new Loadable(pool.name(), model.name(), null);
		this.rows.put(baseModel, new Row(model.memoryBytes(), model));
		if (model.minimumReplicas() > 0) {
			this.modelsWithMinimumReplicas.add(baseModel);
		}
		for (Pool.Adapter adapter : model.adapters()) {
			this.rows.put(new Loadable(pool.name(), model.name(), adapter.name()),
					new Row(adapter.memoryBytes(), model));
		}
	}

	/**
	 * Finds a loadable.
	 * @param loadable the loadable
	 * @return its row or {@code null} if no pool of the store has it
	 */
	public @Nullable Row row(Loadable loadable) {
		return this.rows.get(loadable);
	}

	/**
	 * Returns the models of which a minimum number of replicas stays loaded when idle.
	 * @return the models
	 */
	public List<Loadable> modelsWithMinimumReplicas() {
		return this.modelsWithMinimumReplicas;
	}

	/**
	 * Returns the pools of the store.
	 * @return the pools
	 */
	public List<Pool> pools() {
		return this.pools;
	}

	/**
	 * Describes a loadable.
	 *
	 * @param memoryBytes the memory that it needs
	 * @param model the model, or for an adapter its base model
	 */
	public record Row(long memoryBytes, Pool.Model model) {
	}

}

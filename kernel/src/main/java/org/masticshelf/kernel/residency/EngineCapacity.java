package org.masticshelf.kernel.residency;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

import org.jspecify.annotations.Nullable;

import org.masticshelf.kernel.serving.ModelProfile;

/**
 * Computes the free memory of engines, the number of replicas that models need, and which
 * models to evict.
 * <p>
 * Invariant: a model that is being loaded occupies its memory from the moment its load is
 * planned. Reads the planner's replica counts; not thread-safe.
 */
final class EngineCapacity {

	/** Requests per second for each replica, low enough that prompts are read in time. */
	static final double REPLICA_REQUESTS_PER_SECOND = 6;

	/**
	 * Request rate from which a model gets a second replica to survive the loss of one.
	 */
	static final double SPARE_REPLICA_REQUESTS_PER_SECOND = 1.5;

	/**
	 * Request rate from which a model is busy: more than one request arrives while it is
	 * loaded from disk and waits for that load.
	 */
	static final double BUSY_MODEL_REQUESTS_PER_SECOND = 1;

	private static final double SPARE_REPLICA_VALUE_FACTOR = 0.01;

	private final ResidencyInput input;

	private final Map<String, Integer> replicas;

	private final Set<String> awaitedModels;

	EngineCapacity(ResidencyInput input, Map<String, Integer> replicas, Set<String> awaitedModels) {
		this.input = input;
		this.replicas = replicas;
		this.awaitedModels = awaitedModels;
	}

	/**
	 * Returns the recent request rate of a model.
	 * @param model the name of the model
	 * @return requests per second
	 */
	double requestsPerSecond(String model) {
		return this.input.requestsPerSecond().getOrDefault(model, 0.0);
	}

	/**
	 * Returns whether a model is busy.
	 * @param model the name of the model
	 * @return whether its request rate reaches {@link #BUSY_MODEL_REQUESTS_PER_SECOND}
	 */
	boolean isBusy(String model) {
		return requestsPerSecond(model) >= BUSY_MODEL_REQUESTS_PER_SECOND;
	}

	/**
	 * Returns how many replicas a model needs for its request rate.
	 * @param model the name of the model
	 * @return the number of replicas, 0 for a model without requests
	 */
	int targetReplicas(String model) {
		double rate = requestsPerSecond(model);
		int needed = (int) Math.ceil(rate / REPLICA_REQUESTS_PER_SECOND);
		int withSpare = (rate >= SPARE_REPLICA_REQUESTS_PER_SECOND) ? Math.max(2, needed) : needed;
		return Math.min(withSpare, maximumReplicas());
	}

	/**
	 * Returns how many replicas a model may have at most.
	 * @return half of the engines, rounded up
	 */
	int maximumReplicas() {
		return (this.input.engines().size() + 1) / 2;
	}

	/**
	 * Chooses the models to unload so that a model fits, the least valuable first.
	 * @param engine the engine
	 * @param profile the model to fit
	 * @param maximumLoss an upper bound, exclusive, on the total value of the unloaded
	 * models
	 * @param evictable whether a model may be unloaded
	 * @return the models to unload, {@code null} if the model cannot be made to fit
	 */
	@Nullable Eviction chooseEviction(EngineSnapshot engine, ModelProfile profile, double maximumLoss,
			Predicate<String> evictable) {
		double free = freeMegabytes(engine);
		List<String> models = new ArrayList<>();
		double loss = 0;
		while (free < profile.megabytes()) {
			String victim = null;
			double leastValue = Double.MAX_VALUE;
			for (Map.Entry<String, EngineSnapshot.LoadedModel> replica : engine.loaded().entrySet()) {
				String model = replica.getKey();
				double value = (!models.contains(model) && evictable.test(model))
						? retentionValue(engine, model, replica.getValue()) : Double.MAX_VALUE;
				if (value < leastValue) {
					leastValue = value;
					victim = model;
				}
			}
			if (victim == null) {
				return null;
			}
			models.add(victim);
			loss += leastValue;
			free += megabytes(engine, victim);
		}
		return (loss < maximumLoss) ? new Eviction(models, loss) : null;
	}

	/**
	 * Returns the value of keeping a replica loaded.
	 * @param engine the engine that holds it
	 * @param model the name of the model
	 * @param replica the replica
	 * @return the value in requests per second, {@link Double#MAX_VALUE} if it must stay
	 */
	private double retentionValue(EngineSnapshot engine, String model, EngineSnapshot.LoadedModel replica) {
		int count = this.replicas.getOrDefault(model, 1);
		boolean spare = count > Math.max(1, targetReplicas(model));
		if (replica.running() > 0 || (this.awaitedModels.contains(model) && !spare)) {
			return Double.MAX_VALUE;
		}
		double replicaRate = requestsPerSecond(model) / count;
		boolean cached = engine.onDisk().contains(model) || engine.inMemory().contains(model);
		double idleSeconds = 1 + replica.idleMilliseconds() / 1_000.0;
		return (spare ? SPARE_REPLICA_VALUE_FACTOR : 1) * (replicaRate + 1 / idleSeconds) * (cached ? 1 : 2);
	}

	/**
	 * Returns the memory that is neither occupied nor reserved for the current load.
	 * @param engine the engine
	 * @return megabytes
	 */
	double freeMegabytes(EngineSnapshot engine) {
		double used = 0;
		for (String model : engine.loaded().keySet()) {
			used += megabytes(engine, model);
		}
		ModelProfile loading = this.input.models().get(engine.loading());
		return engine.megabytes() - used - ((loading != null) ? loading.megabytes() : 0);
	}

	// A model without a profile is no longer served. Until it is unloaded, it counts as
	// occupying the whole engine, so that nothing is loaded beside it.
	private double megabytes(EngineSnapshot engine, String model) {
		ModelProfile profile = this.input.models().get(model);
		EngineSnapshot.LoadedModel replica = engine.loaded().get(model);
		if (profile == null || replica == null) {
			return engine.megabytes();
		}
		return profile.megabytes() + replica.adapters().size() * profile.adapterMegabytes();
	}

	/**
	 * Models to unload.
	 *
	 * @param models the names of the models
	 * @param loss the total value of keeping them loaded
	 */
	record Eviction(List<String> models, double loss) {
	}

}

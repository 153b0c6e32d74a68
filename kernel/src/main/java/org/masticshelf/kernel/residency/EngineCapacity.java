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

	/**
	 * Replicas per replica that the request rate needs, up to which prompts are spread
	 * over further ones. Bounds the memory that they take from rare models.
	 */
	static final int MAXIMUM_SPREAD = 2;

	/**
	 * The share of the rate that a replica was loaded for down to which it is kept, if
	 * prompts are spread. Demand that swings by half of its mean within 13 s swings by a
	 * quarter in the smoothed rates, whose lowest value is 0.6 of the highest.
	 */
	static final double RELEASE_SHARE = 0.6;

	private static final double SPARE_REPLICA_VALUE_FACTOR = 0.01;

	private final ResidencyInput input;

	private final Map<String, Integer> replicas;

	private final Set<String> awaitedModels;

	private final double meanPromptTokens;

	private final double replicaWork;

	EngineCapacity(ResidencyInput input, Map<String, Integer> replicas, Set<String> awaitedModels) {
		this.input = input;
		this.replicas = replicas;
		this.awaitedModels = awaitedModels;
		this.meanPromptTokens = input.promptReading().meanTokens(input.requestsPerSecond());
		this.replicaWork = (this.meanPromptTokens > 0)
				? Math.min(REPLICA_REQUESTS_PER_SECOND, input.promptReading().requestsPerSecond(this.meanPromptTokens))
				: REPLICA_REQUESTS_PER_SECOND;
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
	 * Returns the recent load of a model: its requests, weighted by the length of their
	 * prompts relative to the pool's mean where that makes them more.
	 * @param model the name of the model
	 * @return requests per second, at least the request rate
	 */
	double loadPerSecond(String model) {
		return Math.max(requestsPerSecond(model), workPerSecond(model));
	}

	private double workPerSecond(String model) {
		Double tokens = this.input.promptReading().tokensPerSecond().get(model);
		return (tokens != null && this.meanPromptTokens > 0) ? tokens / this.meanPromptTokens
				: requestsPerSecond(model);
	}

	/**
	 * Returns how many replicas a model needs for its request rate.
	 * @param model the name of the model
	 * @return the number of replicas, 0 for a model without requests
	 */
	int targetReplicas(String model) {
		return targetReplicas(requestsPerSecond(model));
	}

	private int targetReplicas(double rate) {
		int needed = (int) Math.ceil(rate / REPLICA_REQUESTS_PER_SECOND);
		int withSpare = (rate >= SPARE_REPLICA_REQUESTS_PER_SECOND) ? Math.max(2, needed) : needed;
		return Math.min(withSpare, maximumReplicas());
	}

	/**
	 * Returns over how many replicas the prompts for a model should be spread so that
	 * streams pause no longer than allowed.
	 * @param model the name of the model
	 * @return the number of replicas, at least those that it needs
	 */
	int spreadReplicas(String model) {
		return spreadReplicas(model, 1);
	}

	private int spreadReplicas(String model, double scale) {
		if (this.meanPromptTokens == 0) {
			return targetReplicas(model);
		}
		double rate = scale * requestsPerSecond(model);
		int target = targetReplicas(rate);
		int spread = (rate >= SPARE_REPLICA_REQUESTS_PER_SECOND)
				? (int) Math.ceil(scale * workPerSecond(model) / this.replicaWork) : 0;
		return Math.min(Math.max(target, spread), Math.min(MAXIMUM_SPREAD * target, maximumReplicas()));
	}

	/**
	 * Returns whether a model has more replicas than are kept for it.
	 * @param model the name of the model
	 * @return whether one of them is spare
	 */
	boolean hasSpareReplica(String model) {
		return this.replicas.getOrDefault(model, 1) > Math.max(1, spreadReplicas(model, 1 / RELEASE_SHARE));
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
		boolean spare = hasSpareReplica(model);
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

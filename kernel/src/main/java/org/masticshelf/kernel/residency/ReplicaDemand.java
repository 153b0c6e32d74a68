package org.masticshelf.kernel.residency;

import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

import org.masticshelf.kernel.serving.ModelProfile;

/**
 * The loaded models that need further replicas: overloaded ones, ones that lack replicas
 * for their request rate, and unprotected ones.
 * <p>
 * Designed for demand that moves to a model with few replicas, and for the loss of the
 * engine that has the only copy of a busy model. Its callers are then refused until the
 * weight store has delivered it, which takes as long as several loads when the store is
 * in use. A model is unprotected while it is busy enough for a spare replica and only one
 * engine has its weights, loaded or cached.
 * <p>
 * Reads the planner's replica counts, which change while it plans. Not thread-safe.
 */
final class ReplicaDemand {

	/**
	 * Requests per second that a replica carries before another one is worth a load from
	 * the weight store.
	 */
	static final double STORE_LOAD_REQUESTS_PER_SECOND = 9;

	/** Requests per second and replica from which a model is overloaded. */
	static final double OVERLOADED_REQUESTS_PER_SECOND = 9;

	/**
	 * Requests that wait for a loaded model, because all of its replicas are full, from
	 * which it is overloaded.
	 */
	static final int OVERLOADED_WAITING_REQUESTS = 3;

	/**
	 * The share of its callers that a model without a second copy is expected to lose in
	 * the time of a load from the weight store: engines are lost an eighth of them at a
	 * time or more.
	 */
	static final double UNPROTECTED_LOSS_SHARE = 1 / 8.0;

	private final ResidencyInput input;

	private final EngineCapacity capacity;

	private final Map<String, Integer> replicas;

	private final Map<String, Integer> waiting = new HashMap<>();

	private final Set<String> singleCopies = new HashSet<>();

	ReplicaDemand(ResidencyInput input, EngineCapacity capacity, Map<String, Integer> replicas) {
		this.input = input;
		this.capacity = capacity;
		this.replicas = replicas;
		for (WaitingDemand demand : input.waiting()) {
			if (demand.loadable().adapter() == null) {
				this.waiting.merge(demand.loadable().model(), demand.count(), Integer::sum);
			}
		}
		Set<String> several = new HashSet<>();
		for (EngineSnapshot engine : input.engines()) {
			for (String model : copies(engine)) {
				if (!this.singleCopies.add(model)) {
					several.add(model);
				}
			}
		}
		this.singleCopies.removeAll(several);
	}

	private static Set<String> copies(EngineSnapshot engine) {
		Set<String> copies = new HashSet<>(engine.loaded().keySet());
		copies.addAll(engine.inMemory());
		copies.addAll(engine.onDisk());
		copies.add(engine.loading());
		return copies;
	}

	/**
	 * Returns the models whose replicas refuse requests, or are about to.
	 * @return the names of the models, the one with the highest request rate at the head
	 */
	List<String> overloadedModels() {
		return byRate(this::isOverloaded);
	}

	/**
	 * Returns the models that have fewer replicas than their request rate needs.
	 * @return the names of the models, the one with the highest request rate at the head
	 */
	List<String> modelsLackingReplicas() {
		return byRate((model) -> this.replicas.getOrDefault(model, 0) < this.capacity.targetReplicas(model));
	}

	/**
	 * Returns the models whose prompts should be spread over further replicas.
	 * @return the names of the models, the one with the highest request rate at the head
	 */
	List<String> modelsToSpread() {
		return byRate((model) -> this.replicas.getOrDefault(model, 0) < this.capacity.spreadReplicas(model));
	}

	/**
	 * Returns the busy models of which only one engine has a copy. Engines that have not
	 * been read yet may have further ones, so there are none until all are known.
	 * @return the names of the models, the one with the highest request rate at the head
	 */
	List<String> unprotectedModels() {
		return byRate(this::isUnprotected);
	}

	/**
	 * Returns the callers per second that a further replica from the weight store is
	 * expected to serve or to save from refusal.
	 * @param model the name of the model
	 * @return the callers per second of store time, 0 if it is not worth such a load
	 */
	double callersPerStoreSecond(String model) {
		ModelProfile profile = this.input.models().get(model);
		if (profile == null) {
			return 0;
		}
		double excess = excessRequestsPerSecond(model);
		double waitingPerSecond = this.waiting.getOrDefault(model, 0) * 1_000.0
				/ Math.max(1, profile.storeMilliseconds());
		double beyond = (excess > 0) ? excess + waitingPerSecond : 0;
		double unprotected = isUnprotected(model) ? this.capacity.requestsPerSecond(model) * UNPROTECTED_LOSS_SHARE : 0;
		return beyond + unprotected;
	}

	/**
	 * Returns whether the replicas of a model have more requests than they carry.
	 * @param model the name of the model
	 * @return whether requests are left for a further replica from the weight store
	 */
	boolean isBeyondReplicas(String model) {
		return excessRequestsPerSecond(model) >= 0;
	}

	private double excessRequestsPerSecond(String model) {
		return this.capacity.loadPerSecond(model)
				- STORE_LOAD_REQUESTS_PER_SECOND * this.replicas.getOrDefault(model, 1);
	}

	private boolean isOverloaded(String model) {
		double rate = this.capacity.loadPerSecond(model);
		int count = this.replicas.getOrDefault(model, 0);
		return count < this.capacity.maximumReplicas() && rate >= EngineCapacity.SPARE_REPLICA_REQUESTS_PER_SECOND
				&& (rate / count >= OVERLOADED_REQUESTS_PER_SECOND
						|| this.waiting.getOrDefault(model, 0) >= OVERLOADED_WAITING_REQUESTS);
	}

	private boolean isUnprotected(String model) {
		return this.input.complete() && this.singleCopies.contains(model)
				&& this.capacity.requestsPerSecond(model) >= EngineCapacity.SPARE_REPLICA_REQUESTS_PER_SECOND
				&& this.replicas.getOrDefault(model, 0) == 1 && this.capacity.targetReplicas(model) > 1;
	}

	private List<String> byRate(Predicate<String> predicate) {
		return this.input.requestsPerSecond()
			.keySet()
			.stream()
			.filter((model) -> this.replicas.getOrDefault(model, 0) > 0 && this.input.models().containsKey(model)
					&& predicate.test(model))
			.sorted(Comparator.<String>comparingDouble((model) -> -this.capacity.requestsPerSecond(model))
				.thenComparing((model) -> model))
			.toList();
	}

}

package org.masticshelf.kernel.residency;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The order in which the weight store delivers missing models and replicas of overloaded
 * or unprotected ones: by the callers that a load is expected to serve or to save from
 * refusal per second of store time.
 * <p>
 * Designed for a busy model that needs a replica which no engine has a copy for, while
 * more rare models are asked for, by few callers each, than the weight store can deliver.
 * The age of the requests for a missing model counts in {@link MissingModels}. So that
 * replicas cannot keep missing models from the store altogether, they leave one load to
 * them whenever another one is in progress. Immutable.
 */
final class StoreLoadOrder {

	private final List<MissingModels.Missing> missing;

	private final Map<String, Double> replicaCallersPerSecond = new HashMap<>();

	private final int freeLoads;

	private final boolean reserved;

	StoreLoadOrder(ResidencyInput input, ReplicaDemand demand, List<MissingModels.Missing> missing,
			Map<String, Integer> replicas) {
		this.missing = missing.stream().filter((model) -> model.callersPerStoreSecond() > 0).toList();
		demand.overloadedModels().forEach((model) -> add(model, demand));
		demand.unprotectedModels().forEach((model) -> add(model, demand));
		this.freeLoads = input.maximumStoreLoads() - input.storeLoads();
		this.reserved = !this.missing.isEmpty() && input.storeLoads() > 0
				&& input.engines().stream().noneMatch((engine) -> isLoadingMissingModel(engine, replicas));
	}

	private void add(String model, ReplicaDemand demand) {
		this.replicaCallersPerSecond.put(model, demand.callersPerStoreSecond(model));
	}

	private static boolean isLoadingMissingModel(EngineSnapshot engine, Map<String, Integer> replicas) {
		String model = engine.loading();
		return replicas.getOrDefault(model, 0) == 1 && !engine.inMemory().contains(model)
				&& !engine.onDisk().contains(model);
	}

	/**
	 * Returns whether the weight store delivers a replica before missing models. If the
	 * store is in use, this tells whether its next load is for the replica.
	 * @param model the name of the replica's model
	 * @return whether the replica comes first
	 */
	boolean isReplicaNext(String model) {
		double callers = this.replicaCallersPerSecond.getOrDefault(model, 0.0);
		if (callers <= 0 || this.reserved) {
			return false;
		}
		long before = this.missing.stream().filter((other) -> other.callersPerStoreSecond() >= callers).count();
		long replicasBefore = this.replicaCallersPerSecond.values().stream().filter((other) -> other > callers).count();
		return before + replicasBefore < Math.max(1, this.freeLoads);
	}

}

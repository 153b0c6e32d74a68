package org.masticshelf.kernel.residency;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.jspecify.annotations.Nullable;

import org.masticshelf.kernel.residency.UnservedDemand.Requests;
import org.masticshelf.kernel.serving.LoadableName;
import org.masticshelf.kernel.serving.ModelProfile;

/**
 * The requested models that no engine holds, in the order in which they are loaded.
 * <p>
 * Designed for the loss of an engine with a busy model, and for more requests for rare
 * models than can be loaded in time. Busy models come first, even while no request waits
 * for them, because callers with a short latency objective are refused as long as no
 * replica is expected. The others follow: models that some engine has before those that
 * only the weight store has. Within each group, loading the oldest first would make all
 * of them late, so models that can still meet their objective come first, in order of
 * urgency, and those that have missed it follow by age.
 * <p>
 * Callers whose model cannot be loaded within their patience are refused at once and wait
 * for nothing, so refused requests count as well. Models on engines that were refused
 * long and often enough to be starved come before those that requests wait for. The
 * weight store delivers fewer models than are asked for, and demand moves on while it
 * loads. Models that only the weight store has are therefore ordered by the callers that
 * their load is expected to serve, and left out once their callers have stopped asking.
 * <p>
 * Reads its inputs without changing them. Not thread-safe.
 */
final class MissingModels {

	/** Time from the end of a load to the first part of an answer. */
	private static final long FIRST_OUTPUT_MILLISECONDS = 150;

	private final ResidencyInput input;

	private final EngineCapacity capacity;

	private final Set<String> heldModels;

	private final Set<String> modelsOnEngines;

	MissingModels(ResidencyInput input, EngineCapacity capacity, Set<String> heldModels, Set<String> modelsOnEngines) {
		this.input = input;
		this.capacity = capacity;
		this.heldModels = heldModels;
		this.modelsOnEngines = modelsOnEngines;
	}

	/**
	 * Returns the missing models in load order.
	 * @return the models, the first to load at the head
	 */
	List<Missing> loadOrder() {
		List<Missing> ordered = new ArrayList<>();
		Map<String, Requests> refused = refusedModels();
		demands(refused).forEach((model, demand) -> {
			Requests requests = refused.get(model);
			boolean onEngine = this.modelsOnEngines.contains(model);
			long starved = (onEngine && requests != null && requests.areStarved()) ? requests.sinceMilliseconds() : 0;
			double callers = onEngine ? 0 : callersPerStoreSecond(model, demand, requests);
			ordered.add(new Missing(model, demand, slack(model, demand), starved, callers));
		});
		ordered.sort(Comparator.<Missing>comparingDouble((missing) -> -busyRate(missing.model()))
			.thenComparingInt((missing) -> this.modelsOnEngines.contains(missing.model()) ? 0 : 1)
			.thenComparingLong((missing) -> -missing.starvedMilliseconds())
			.thenComparingDouble((missing) -> -missing.callersPerStoreSecond())
			.thenComparingInt((missing) -> (missing.demand().count() > 0) ? 0 : 1)
			.thenComparingLong(Missing::slack)
			.thenComparingLong((missing) -> -missing.demand().oldestMilliseconds())
			.thenComparing(Missing::model));
		return ordered;
	}

	private Map<String, Requests> refusedModels() {
		Map<String, Requests> refused = new HashMap<>();
		this.input.unserved().forEach((loadable, requests) -> {
			if (isMissing(loadable.model())) {
				refused.merge(loadable.model(), requests, Requests::mergeWith);
			}
		});
		return refused;
	}

	private Map<String, WaitingDemand> demands(Map<String, Requests> refused) {
		Map<String, WaitingDemand> demands = new HashMap<>();
		for (WaitingDemand demand : this.input.waiting()) {
			String model = demand.loadable().model();
			if (isMissing(model)) {
				demands.merge(model, demand, (left, right) -> left.mergeWith(right, LoadableName.ofModel(model)));
			}
		}
		for (String model : this.input.requestsPerSecond().keySet()) {
			if (this.capacity.isBusy(model) && isMissing(model)) {
				demands.putIfAbsent(model, WaitingDemand.none(LoadableName.ofModel(model)));
			}
		}
		refused.forEach((model, requests) -> {
			boolean needed = this.modelsOnEngines.contains(model) ? requests.areStarved()
					: requests.areExpectedAgain(2 * storeMilliseconds(model));
			if (needed) {
				demands.putIfAbsent(model, WaitingDemand.none(LoadableName.ofModel(model)));
			}
		});
		return demands;
	}

	private boolean isMissing(String model) {
		return !this.heldModels.contains(model) && this.input.models().containsKey(model);
	}

	private long storeMilliseconds(String model) {
		ModelProfile profile = this.input.models().get(model);
		return (profile != null) ? profile.storeMilliseconds() : 0;
	}

	// The callers that a load begun now is expected to serve: those that wait, those
	// refused in the time of a load, and for a busy model those that arrive in that time.
	// It grows with the time in which none was served, so that no model that callers go
	// on asking for is put off for ever.
	private double callersPerStoreSecond(String model, WaitingDemand demand, @Nullable Requests requests) {
		double load = Math.max(1, storeMilliseconds(model));
		long refusing = (requests != null) ? requests.sinceMilliseconds() : 0;
		double refused = (requests != null) ? requests.count() * load / (load + refusing) : 0;
		double age = Math.max(demand.oldestMilliseconds(), refusing) / load;
		return (demand.count() + refused) * (1 + age) * 1_000 / load + busyRate(model);
	}

	private double busyRate(String model) {
		return this.capacity.isBusy(model) ? this.capacity.requestsPerSecond(model) : 0;
	}

	// Returns how long a load can be delayed and still meet the objective. A load that is
	// already too late sorts last.
	private long slack(String model, WaitingDemand demand) {
		ModelProfile profile = this.input.models().get(model);
		long loadMilliseconds = (profile != null) ? profile.diskMilliseconds() : 0;
		long remaining = demand.objectiveMilliseconds() - loadMilliseconds - FIRST_OUTPUT_MILLISECONDS;
		return (remaining >= 0) ? remaining : Long.MAX_VALUE;
	}

	/**
	 * A model that no engine holds.
	 *
	 * @param model the name of the model
	 * @param demand the requests that wait for it
	 * @param slack how long its load can be delayed, in milliseconds
	 * @param starvedMilliseconds how long it has been starved, 0 if it is not or if only
	 * the weight store has it
	 * @param callersPerStoreSecond the callers that a load from the weight store is
	 * expected to serve per second of its duration, 0 if an engine has it
	 */
	record Missing(String model, WaitingDemand demand, long slack, long starvedMilliseconds,
			double callersPerStoreSecond) {
	}

}

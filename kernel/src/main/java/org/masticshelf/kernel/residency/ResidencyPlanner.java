package org.masticshelf.kernel.residency;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

import org.jspecify.annotations.Nullable;

import org.masticshelf.kernel.serving.LoadableName;
import org.masticshelf.kernel.serving.ModelProfile;

/**
 * Plans the loading and unloading of models and adapters for one pool of engines.
 * <p>
 * Designed for a few busy models that take most requests and change over the day, and for
 * many rare models with evenly spread requests, each requested so seldom that it has
 * usually been unloaded in between. Loads from the weight store are slow and limited in
 * number; loads from an engine's own disk or memory are fast. Each engine executes one
 * model order at a time and accepts no adapter order meanwhile.
 * <p>
 * Adapters that requests wait for come first, because they load at once (see
 * {@link AdapterPlanner}). Replicas of overloaded models follow: when demand moves to a
 * model that has few of them, it refuses far more requests than one rare model, and the
 * many rare ones would take every engine that becomes free. Where only the weight store
 * can deliver them, {@link StoreLoadOrder} decides, also on a second copy of busy models
 * that only one engine has. Models that no engine holds come next, in the order of
 * {@link MissingModels}, and then further replicas of busy models, in failure domains
 * that have none. Last, while there are no requests, models that no engine has are
 * fetched ahead of demand, so that they are on a disk, and may take the place of one that
 * is expected to be rare and stays on its engine's disk. Room is made by evicting the
 * models that have been idle longest, never a model with running or waiting requests
 * unless it has spare replicas, and never the only replica of a busy model for one that
 * is not busy. Slow loads avoid engines whose adapters are requested.
 * <p>
 * An instance computes a single plan. Not thread-safe.
 */
public final class ResidencyPlanner {

	/**
	 * Penalty for placing a further replica in a failure domain that already has one: the
	 * time of a load from disk, which is how long a place in another domain is waited
	 * for.
	 */
	static final long SAME_DOMAIN_PENALTY_MILLISECONDS = 2_000;

	/**
	 * Request rate of an engine's models with adapters from which the penalty for
	 * blocking their adapter orders is the whole time of the load, so that slow loads
	 * avoid the engine.
	 */
	static final double FULL_PENALTY_ADAPTER_REQUESTS_PER_SECOND = 2;

	/** One engine in this many may load a model that no request has asked for. */
	static final int ENGINES_PER_PREFETCH = 8;

	/**
	 * One engine in this many may load a model only to spread its prompts, and as many
	 * rare models may wait for an engine meanwhile.
	 */
	static final int ENGINES_PER_SPREADING = 8;

	/**
	 * The idle time from which a model may be unloaded to spread the prompts of another:
	 * the time over which request rates are smoothed.
	 */
	static final long SPREADING_IDLE_MILLISECONDS = 4_000;

	private static final long UNLOAD_MILLISECONDS = 100;

	private final ResidencyInput input;

	private final List<ResidencyStep> steps = new ArrayList<>();

	private final Map<String, Long> readyIn = new HashMap<>();

	private final Map<String, Integer> replicas = new HashMap<>();

	private final Set<String> modelsOnEngines = new HashSet<>();

	private final Set<String> awaitedModels = new HashSet<>();

	private final EngineCapacity capacity;

	private final ReplicaDemand replicaDemand;

	private final List<MissingModels.Missing> missing;

	private final StoreLoadOrder storeOrder;

	private final Set<String> assignedEngines = new HashSet<>();

	private final Map<String, Long> freeInMilliseconds = new HashMap<>();

	private final Map<String, List<EngineSnapshot>> enginesWithCopy = new HashMap<>();

	private final Map<String, Double> adapterRequestsPerSecond = new HashMap<>();

	private int storeLoads;

	private long nextStoreLoadMilliseconds;

	private ResidencyPlanner(ResidencyInput input) {
		this.input = input;
		this.capacity = new EngineCapacity(input, this.replicas, this.awaitedModels);
		this.storeLoads = input.storeLoads();
		this.nextStoreLoadMilliseconds = input.nextStoreLoadMilliseconds();
		Map<String, Long> loading = new HashMap<>();
		for (EngineSnapshot engine : input.engines()) {
			engine.loaded().keySet().forEach((model) -> this.replicas.merge(model, 1, Integer::sum));
			this.freeInMilliseconds.put(engine.identifier(), engine.freeInMilliseconds());
			engine.inMemory().forEach((model) -> addCopy(model, engine));
			for (String model : engine.onDisk()) {
				if (!engine.inMemory().contains(model)) {
					addCopy(model, engine);
				}
			}
			this.modelsOnEngines.addAll(engine.loaded().keySet());
			if (!engine.loading().isEmpty()) {
				loading.merge(engine.loading(), engine.freeInMilliseconds(), Math::min);
			}
		}
		this.modelsOnEngines.addAll(this.enginesWithCopy.keySet());
		loading.forEach((model, readyIn) -> {
			if (!this.replicas.containsKey(model)) {
				this.readyIn.put(model, readyIn);
			}
		});
		for (EngineSnapshot engine : input.engines()) {
			if (!engine.loading().isEmpty()) {
				this.replicas.merge(engine.loading(), 1, Integer::sum);
				this.modelsOnEngines.add(engine.loading());
			}
		}
		input.waiting().forEach((demand) -> this.awaitedModels.add(demand.loadable().model()));
		this.replicaDemand = new ReplicaDemand(input, this.capacity, this.replicas);
		this.missing = new MissingModels(input, this.capacity, this.replicas.keySet(), this.modelsOnEngines)
			.loadOrder();
		this.storeOrder = new StoreLoadOrder(input, this.replicaDemand, this.missing, this.replicas);
	}

	/**
	 * Computes a plan.
	 * @param input the state to plan from
	 * @return the plan
	 */
	public static ResidencyPlan plan(ResidencyInput input) {
		ResidencyPlanner planner = new ResidencyPlanner(input);
		new AdapterPlanner(input, planner.capacity, planner.assignedEngines).planSteps(planner.steps, planner.readyIn);
		planner.replicaDemand.overloadedModels()
			.forEach((model) -> planner.planLoad(planner.profile(model), LoadReason.OVERLOADED));
		planner.planUnprotectedModels(planner.storeOrder::isReplicaNext);
		planner.planMissingModels();
		planner.estimateAdapterReadiness();
		planner.replicaDemand.modelsLackingReplicas()
			.forEach((model) -> planner.planLoad(planner.profile(model), LoadReason.BUSY));
		planner.planUnprotectedModels((model) -> planner.storeLoads < input.maximumStoreLoads());
		planner.planSpreading();
		planner.planPrefetches();
		return new ResidencyPlan(planner.steps, planner.readyIn);
	}

	private void planUnprotectedModels(Predicate<String> storeHasRoom) {
		this.replicaDemand.unprotectedModels().forEach((model) -> {
			if (storeHasRoom.test(model)) {
				planLoad(profile(model), LoadReason.UNPROTECTED);
			}
		});
	}

	private void planMissingModels() {
		for (MissingModels.Missing missing : this.missing) {
			boolean expected = this.awaitedModels.contains(missing.model()) || this.capacity.isBusy(missing.model());
			planLoad(profile(missing.model()), expected ? LoadReason.WAITED_FOR : LoadReason.REFUSED);
		}
	}

	// Loads for spreading leave most engines to rare models, and begin only while few of
	// those wait for an engine.
	private void planSpreading() {
		int maximum = Math.max(1, this.input.engines().size() / ENGINES_PER_SPREADING);
		Set<String> begun = new HashSet<>();
		this.steps.forEach((step) -> begun.add(step.loadable().model()));
		long unplanned = this.missing.stream()
			.filter((missing) -> missing.demand().count() > 0 && this.enginesWithCopy.containsKey(missing.model())
					&& !begun.contains(missing.model()))
			.count();
		long loads = this.input.engines()
			.stream()
			.filter((engine) -> this.replicas.getOrDefault(engine.loading(), 0) > 1)
			.count();
		for (String model : this.replicaDemand.modelsToSpread()) {
			if (unplanned >= maximum || loads >= maximum) {
				return;
			}
			int before = this.steps.size();
			planLoad(profile(model), LoadReason.SPREAD);
			loads += this.steps.size() - before;
		}
	}

	// Adapters of a model that is not loaded yet are ready shortly after the model.
	private void estimateAdapterReadiness() {
		for (WaitingDemand demand : this.input.waiting()) {
			Long model = this.readyIn.get(demand.loadable().model());
			if (demand.loadable().adapter() != null && model != null) {
				this.readyIn.putIfAbsent(demand.loadable().toString(), model + AdapterPlanner.LOAD_MILLISECONDS);
			}
		}
	}

	// While there are no requests, models that no engine has are fetched once, those with
	// the most adapters first because requests may use any of them. Once there are
	// requests, a slow load would keep an engine from the fast loads that they need, so
	// most engines are left free for the moment at which they begin.
	private void planPrefetches() {
		boolean hasRequests = !this.input.waiting().isEmpty() || !this.input.requestsPerSecond().isEmpty();
		if (!this.input.complete() || hasRequests) {
			return;
		}
		List<ModelProfile> absent = new ArrayList<>();
		this.input.models().values().forEach((profile) -> {
			if (!this.modelsOnEngines.contains(profile.name()) && !this.input.fetched().contains(profile.name())) {
				absent.add(profile);
			}
		});
		absent.sort(Comparator.<ModelProfile>comparingInt((profile) -> -profile.adapters())
			.thenComparing(ModelProfile::name));
		int maximum = Math.max(1, this.input.engines().size() / ENGINES_PER_PREFETCH);
		for (ModelProfile profile : absent) {
			if (this.storeLoads >= Math.min(maximum, this.input.maximumStoreLoads())) {
				return;
			}
			planLoad(profile, LoadReason.ANTICIPATED);
		}
	}

	private ModelProfile profile(String model) {
		ModelProfile profile = this.input.models().get(model);
		if (profile == null) {
			throw new IllegalArgumentException("no profile of model " + model);
		}
		return profile;
	}

	private void addCopy(String model, EngineSnapshot engine) {
		this.enginesWithCopy.computeIfAbsent(model, (key) -> new ArrayList<>()).add(engine);
	}

	private void planLoad(ModelProfile profile, LoadReason reason) {
		List<EngineSnapshot> withCopy = this.enginesWithCopy.getOrDefault(profile.name(), List.of());
		if (reason.isForMissingModel() && withCopy.isEmpty() && this.storeLoads >= this.input.maximumStoreLoads()) {
			awaitStore(profile, reason);
			return;
		}
		// A slow load would block an engine for many fast ones, so what lies on a disk is
		// not
		// loaded elsewhere.
		boolean onlyWithCopy = reason.isForMissingModel() && !withCopy.isEmpty();
		List<EngineSnapshot> engines = onlyWithCopy ? withCopy : this.input.engines();
		LoadCandidate best = null;
		for (EngineSnapshot engine : engines) {
			boolean eligible = !engine.holdsOrLoads(profile.name())
					&& (reason == LoadReason.WAITED_FOR || reason == LoadReason.OVERLOADED || isFree(engine));
			LoadCandidate candidate = eligible ? candidate(engine, profile, reason) : null;
			if (candidate != null && (best == null || candidate.isPreferredTo(best))) {
				best = candidate;
			}
		}
		if (best == null) {
			return;
		}
		boolean fromStore = best.source() == ResidencyStep.Source.STORE;
		if (reason == LoadReason.WAITED_FOR) {
			this.readyIn.merge(profile.name(), best.readyIn(), Math::min);
		}
		if (fromStore && this.storeLoads >= this.input.maximumStoreLoads()) {
			this.nextStoreLoadMilliseconds += profile.storeMilliseconds() / this.input.maximumStoreLoads();
			return;
		}
		boolean startsNow = isFree(best.engine());
		this.assignedEngines.add(best.engine().identifier());
		this.freeInMilliseconds.put(best.engine().identifier(), best.readyIn());
		this.replicas.merge(profile.name(), 1, Integer::sum);
		this.storeLoads += fromStore ? 1 : 0;
		if (startsNow) {
			best.victims().forEach((victim) -> this.replicas.merge(victim, -1, Integer::sum));
			this.steps.add(new ResidencyStep.Load(best.engine().identifier(), LoadableName.ofModel(profile.name()),
					best.source(), loadMilliseconds(profile, best.source()), best.victims()));
		}
	}

	private void awaitStore(ModelProfile profile, LoadReason reason) {
		if (reason == LoadReason.WAITED_FOR) {
			this.readyIn.merge(profile.name(), this.nextStoreLoadMilliseconds + profile.storeMilliseconds(), Math::min);
		}
		this.nextStoreLoadMilliseconds += profile.storeMilliseconds() / this.input.maximumStoreLoads();
	}

	private boolean isFree(EngineSnapshot engine) {
		return engine.freeInMilliseconds() == 0 && !this.assignedEngines.contains(engine.identifier());
	}

	private @Nullable LoadCandidate candidate(EngineSnapshot engine, ModelProfile profile, LoadReason reason) {
		ResidencyStep.Source source = sourceOf(engine, profile.name());
		if (reason.isForReplica() && source == ResidencyStep.Source.STORE
				&& !isWorthStoreLoad(profile.name(), reason)) {
			return null;
		}
		long loadMilliseconds = loadMilliseconds(profile, source);
		long readyIn = this.freeInMilliseconds.getOrDefault(engine.identifier(), 0L) + loadMilliseconds;
		if (source == ResidencyStep.Source.STORE && this.storeLoads >= this.input.maximumStoreLoads()) {
			readyIn = Math.max(readyIn, this.nextStoreLoadMilliseconds + loadMilliseconds);
		}
		long adapterPenalty = (long) (loadMilliseconds
				* Math.min(1, this.adapterRequestsPerSecond.computeIfAbsent(engine.identifier(),
						(key) -> adapterRequestsPerSecond(engine)) / FULL_PENALTY_ADAPTER_REQUESTS_PER_SECOND));
		EngineCapacity.Eviction eviction = this.capacity.chooseEviction(engine, profile, maximumLoss(profile, reason),
				(victim) -> isEvictable(engine, victim, profile, reason));
		if (eviction == null) {
			return null;
		}
		readyIn += eviction.models().isEmpty() ? 0 : UNLOAD_MILLISECONDS;
		long domainPenalty = (reason.isForReplica() && hasReplicaIn(engine.failureDomain(), profile.name()))
				? SAME_DOMAIN_PENALTY_MILLISECONDS : 0;
		return new LoadCandidate(engine, source, eviction.models(), eviction.loss(), readyIn,
				readyIn + adapterPenalty + domainPenalty);
	}

	// A replica that does not come before the missing models takes what they have left.
	private boolean isWorthStoreLoad(String model, LoadReason reason) {
		return switch (reason) {
			case OVERLOADED -> this.storeOrder.isReplicaNext(model);
			case BUSY -> this.replicaDemand.isBeyondReplicas(model);
			case SPREAD -> false;
			case UNPROTECTED, WAITED_FOR, REFUSED, ANTICIPATED -> true;
		};
	}

	private boolean hasReplicaIn(String failureDomain, String model) {
		return this.input.engines()
			.stream()
			.anyMatch((engine) -> engine.failureDomain().equals(failureDomain) && engine.holdsOrLoads(model));
	}

	private boolean isEvictable(EngineSnapshot engine, String victim, ModelProfile profile, LoadReason reason) {
		if (reason == LoadReason.ANTICIPATED) {
			return isExpectedToBeRare(victim) && sourceOf(engine, victim) != ResidencyStep.Source.STORE;
		}
		if (reason == LoadReason.SPREAD) {
			EngineSnapshot.LoadedModel replica = engine.loaded().get(victim);
			return this.capacity.hasSpareReplica(victim) || (replica != null && !this.capacity.isBusy(victim)
					&& replica.idleMilliseconds() >= SPREADING_IDLE_MILLISECONDS);
		}
		boolean mayReplaceBusyModel = reason != LoadReason.UNPROTECTED && this.capacity.isBusy(profile.name());
		return !this.capacity.isBusy(victim) || mayReplaceBusyModel || this.replicas.getOrDefault(victim, 1) > 1;
	}

	// Before any request, the replicas alone tell which models are busy, and they do only
	// if some model has several.
	private boolean isExpectedToBeRare(String model) {
		return this.replicas.getOrDefault(model, 0) == 1
				&& this.replicas.values().stream().anyMatch((count) -> count > 1);
	}

	private double maximumLoss(ModelProfile profile, LoadReason reason) {
		return switch (reason) {
			case WAITED_FOR, REFUSED, ANTICIPATED -> Double.MAX_VALUE;
			case BUSY, OVERLOADED, UNPROTECTED, SPREAD ->
				this.capacity.requestsPerSecond(profile.name()) / (this.replicas.getOrDefault(profile.name(), 0) + 1);
		};
	}

	private double adapterRequestsPerSecond(EngineSnapshot engine) {
		double sum = 0;
		for (String model : engine.loaded().keySet()) {
			ModelProfile profile = this.input.models().get(model);
			if (profile != null && profile.adapters() > 0) {
				sum += this.capacity.requestsPerSecond(model) / Math.max(1, this.replicas.getOrDefault(model, 1));
			}
		}
		return sum;
	}

	private static ResidencyStep.Source sourceOf(EngineSnapshot engine, String model) {
		if (engine.inMemory().contains(model)) {
			return ResidencyStep.Source.MEMORY;
		}
		return engine.onDisk().contains(model) ? ResidencyStep.Source.DISK : ResidencyStep.Source.STORE;
	}

	private static long loadMilliseconds(ModelProfile profile, ResidencyStep.Source source) {
		return switch (source) {
			case MEMORY -> profile.memoryMilliseconds();
			case DISK -> profile.diskMilliseconds();
			case STORE -> profile.storeMilliseconds();
		};
	}

}

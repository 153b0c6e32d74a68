package org.masticshelf.kernel.residency;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.jspecify.annotations.Nullable;

import org.masticshelf.kernel.serving.LoadableName;
import org.masticshelf.kernel.serving.ModelProfile;

/**
 * Plans loads and unloads for one pool of engines.
 * <p>
 * Load pattern: a few busy models take most requests and move on through the day, while
 * many rare models are asked for evenly, each so seldom that it has mostly been unloaded
 * in between. Loads from the weight store are slow and few can run at once; loads from an
 * engine's own disk or memory are fast. Each engine carries out one model order at a
 * time, and takes no order for an adapter meanwhile.
 * <p>
 * Adapters that somebody waits for come first ({@link AdapterPlanner}), as they load at
 * once; then models that no engine holds, in the order of {@link MissingModels}. Further
 * copies of busy models come next, in failure domains that have none, and last, while
 * nobody asks for anything, copies on disk of models that no engine has at hand. Room is
 * made by unloading what has been idle for longest, never a model that has requests
 * running or waiting unless it has copies to spare, and never the only copy of a busy
 * model for one that is not. Slow loads keep away from engines whose adapters are asked
 * for.
 * <p>
 * One planner makes one plan and is then thrown away. Not safe for use by several
 * threads.
 */
public final class ResidencyPlanner {

	/**
	 * Requests a second on one copy above which another is worth a load from the store.
	 */
	static final double REQUESTS_FOR_STORE_LOAD = 9;

	/**
	 * What a further copy in a failure domain that has one counts: the time of a load
	 * from disk, for which one in another domain is waited for.
	 */
	static final long SAME_DOMAIN_MILLISECONDS = 2_000;

	/** Adapter models' requests a second that keep slow loads away from an engine. */
	static final double REQUESTS_KEPT_FREE = 2;

	private static final long UNLOAD_MILLISECONDS = 100;

	private final ResidencyInput facts;

	private final List<ResidencyStep> steps = new ArrayList<>();

	private final Map<String, Long> readyIn = new HashMap<>();

	private final Map<String, Integer> copies = new HashMap<>();

	private final Set<String> atHand = new HashSet<>();

	private final Set<String> waitedFor = new HashSet<>();

	private final EngineCapacity room;

	private final Set<String> taken = new HashSet<>();

	private final Map<String, Long> freeIn = new HashMap<>();

	private final Set<String> onSomeEngine = new HashSet<>();

	private int storeLoads;

	private long nextStoreLoad;

	private ResidencyPlanner(ResidencyInput facts) {
		this.facts = facts;
		this.room = new EngineCapacity(facts, this.copies, this.waitedFor);
		this.storeLoads = facts.storeLoads();
		this.nextStoreLoad = facts.nextStoreLoadMilliseconds();
		Map<String, Long> loading = new HashMap<>();
		for (EngineSnapshot engine : facts.engines()) {
			engine.loaded().keySet().forEach((model) -> this.copies.merge(model, 1, Integer::sum));
			this.freeIn.put(engine.identifier(), engine.freeInMilliseconds());
			this.onSomeEngine.addAll(engine.inMemory());
			this.onSomeEngine.addAll(engine.onDisk());
			this.atHand.addAll(engine.loaded().keySet());
			if (!engine.loading().isEmpty()) {
				loading.merge(engine.loading(), engine.freeInMilliseconds(), Math::min);
			}
		}
		this.atHand.addAll(this.onSomeEngine);
		loading.forEach((model, ready) -> {
			if (!this.copies.containsKey(model)) {
				this.readyIn.put(model, ready);
			}
		});
		for (EngineSnapshot engine : facts.engines()) {
			if (!engine.loading().isEmpty()) {
				this.copies.merge(engine.loading(), 1, Integer::sum);
				this.atHand.add(engine.loading());
			}
		}
		facts.waiting().forEach((demand) -> this.waitedFor.add(demand.loadable().model()));
	}

	/**
	 * Makes a plan.
	 * @param facts what it is made from
	 * @return the plan
	 */
	public static ResidencyPlan plan(ResidencyInput facts) {
		ResidencyPlanner planner = new ResidencyPlanner(facts);
		new AdapterPlanner(facts, planner.room, planner.taken).planSteps(planner.steps, planner.readyIn);
		planner.planMissingModels();
		planner.estimateAdaptersOfMissingModels();
		planner.planCopies();
		planner.planCopiesOnDisk();
		return new ResidencyPlan(planner.steps, planner.readyIn);
	}

	private void planMissingModels() {
		for (String model : new MissingModels(this.facts, this.room, this.copies.keySet(), this.atHand).loadOrder()) {
			place(profile(model), Reason.WAITED_FOR);
		}
	}

	// Adapters of a model that is not loaded yet are ready soon after it.
	private void estimateAdaptersOfMissingModels() {
		for (WaitingDemand demand : this.facts.waiting()) {
			Long model = this.readyIn.get(demand.loadable().model());
			if (demand.loadable().adapter() != null && model != null) {
				this.readyIn.putIfAbsent(demand.loadable().toString(), model + AdapterPlanner.LOAD_MILLISECONDS);
			}
		}
	}

	private void planCopies() {
		List<String> busy = new ArrayList<>(this.facts.requestsPerSecond().keySet());
		busy.sort(Comparator.<String>comparingDouble((model) -> -this.room.requestsPerSecond(model))
			.thenComparing((model) -> model));
		for (String model : busy) {
			int held = this.copies.getOrDefault(model, 0);
			if (held > 0 && held < this.room.targetReplicas(model) && this.facts.models().containsKey(model)) {
				place(profile(model), Reason.BUSY);
			}
		}
	}

	// While nobody asks for anything, models that no engine has at hand are fetched once,
	// those that requests with adapters may ask for first. Once there are requests, a
	// slow load would keep an engine from the fast ones that they need.
	private void planCopiesOnDisk() {
		boolean anybodyAsks = !this.facts.waiting().isEmpty() || !this.facts.requestsPerSecond().isEmpty();
		if (!this.facts.complete() || anybodyAsks) {
			return;
		}
		List<ModelProfile> absent = new ArrayList<>();
		this.facts.models().values().forEach((profile) -> {
			if (!this.atHand.contains(profile.name())) {
				absent.add(profile);
			}
		});
		absent.sort(Comparator.<ModelProfile>comparingInt((profile) -> -profile.adapters())
			.thenComparing(ModelProfile::name));
		for (ModelProfile profile : absent) {
			if (this.storeLoads >= this.facts.storeLoadsAtOnce()) {
				return;
			}
			place(profile, Reason.ANTICIPATED);
		}
	}

	private ModelProfile profile(String model) {
		ModelProfile profile = this.facts.models().get(model);
		if (profile == null) {
			throw new IllegalArgumentException("no profile of model " + model);
		}
		return profile;
	}

	private void place(ModelProfile profile, Reason reason) {
		Option best = null;
		for (EngineSnapshot engine : this.facts.engines()) {
			boolean open = !engine.loaded().containsKey(profile.name())
					&& (reason == Reason.WAITED_FOR || isFree(engine));
			Option option = open ? option(engine, profile, reason) : null;
			if (option != null && (best == null || option.isBetterThan(best))) {
				best = option;
			}
		}
		if (best == null) {
			return;
		}
		boolean fromStore = best.source == ResidencyStep.Source.STORE;
		if (reason == Reason.WAITED_FOR) {
			this.readyIn.merge(profile.name(), best.readyIn, Math::min);
		}
		if (fromStore && this.storeLoads >= this.facts.storeLoadsAtOnce()) {
			this.nextStoreLoad += profile.storeMilliseconds() / this.facts.storeLoadsAtOnce();
			return;
		}
		boolean now = isFree(best.engine);
		this.taken.add(best.engine.identifier());
		this.freeIn.put(best.engine.identifier(), best.readyIn);
		this.copies.merge(profile.name(), 1, Integer::sum);
		this.storeLoads += fromStore ? 1 : 0;
		if (now) {
			best.victims.forEach((victim) -> this.copies.merge(victim, -1, Integer::sum));
			this.steps.add(new ResidencyStep.Load(best.engine.identifier(), LoadableName.ofModel(profile.name()),
					best.source, loadMilliseconds(profile, best.source), best.victims));
		}
	}

	private boolean isFree(EngineSnapshot engine) {
		return engine.freeInMilliseconds() == 0 && !this.taken.contains(engine.identifier());
	}

	private @Nullable Option option(EngineSnapshot engine, ModelProfile profile, Reason reason) {
		ResidencyStep.Source source = sourceOf(engine, profile.name());
		// A slow load keeps an engine from many fast ones.
		if (reason == Reason.WAITED_FOR && source == ResidencyStep.Source.STORE
				&& this.onSomeEngine.contains(profile.name())) {
			return null;
		}
		if (reason == Reason.BUSY && source == ResidencyStep.Source.STORE && this.room.requestsPerSecond(profile.name())
				/ this.copies.getOrDefault(profile.name(), 1) < REQUESTS_FOR_STORE_LOAD) {
			return null;
		}
		long load = loadMilliseconds(profile, source);
		long ready = this.freeIn.getOrDefault(engine.identifier(), 0L) + load;
		if (source == ResidencyStep.Source.STORE && this.storeLoads >= this.facts.storeLoadsAtOnce()) {
			ready = Math.max(ready, this.nextStoreLoad + load);
		}
		long blocked = (long) (load * Math.min(1, adapterRate(engine) / REQUESTS_KEPT_FREE));
		EngineCapacity.Eviction victims = this.room.chooseEviction(engine, profile, highestLoss(profile, reason),
				(victim) -> mayMakeRoom(victim, profile, reason));
		if (victims == null) {
			return null;
		}
		ready += victims.models().isEmpty() ? 0 : UNLOAD_MILLISECONDS;
		long crowded = (reason == Reason.BUSY && isHeldIn(engine.failureDomain(), profile.name()))
				? SAME_DOMAIN_MILLISECONDS : 0;
		return new Option(engine, source, victims.models(), victims.loss(), ready, ready + blocked + crowded);
	}

	private boolean isHeldIn(String failureDomain, String model) {
		return this.facts.engines()
			.stream()
			.anyMatch((engine) -> engine.failureDomain().equals(failureDomain) && engine.holdsOrLoads(model));
	}

	private boolean mayMakeRoom(String victim, ModelProfile profile, Reason reason) {
		if (reason == Reason.ANTICIPATED) {
			return false;
		}
		return !this.room.isBusy(victim) || this.room.isBusy(profile.name()) || this.copies.getOrDefault(victim, 1) > 1;
	}

	private double highestLoss(ModelProfile profile, Reason reason) {
		return switch (reason) {
			case WAITED_FOR, ANTICIPATED -> Double.MAX_VALUE;
			case BUSY ->
				this.room.requestsPerSecond(profile.name()) / (this.copies.getOrDefault(profile.name(), 0) + 1);
		};
	}

	private double adapterRate(EngineSnapshot engine) {
		double sum = 0;
		for (String model : engine.loaded().keySet()) {
			ModelProfile profile = this.facts.models().get(model);
			if (profile != null && profile.adapters() > 0) {
				sum += this.room.requestsPerSecond(model) / Math.max(1, this.copies.getOrDefault(model, 1));
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

	/** Why a model is to be loaded. */
	private enum Reason {

		/** Requests wait for it. */
		WAITED_FOR,

		/** It is asked for more than its copies can serve well. */
		BUSY,

		/** It may be asked for, and nothing else is to be done. */
		ANTICIPATED

	}

	/**
	 * A way to load a model.
	 *
	 * @param engine where
	 * @param source where its weights come from
	 * @param victims the models to unload first
	 * @param loss what holding the victims is worth
	 * @param readyIn when it would be ready, milliseconds
	 * @param charge when it would be ready, with what the engine cannot do meanwhile and
	 * what a copy is worth less beside another one
	 */
	private record Option(EngineSnapshot engine, ResidencyStep.Source source, List<String> victims, double loss,
			long readyIn, long charge) {

		private static final long SAME_MILLISECONDS = 300;

		private boolean isBetterThan(Option other) {
			if (Math.abs(this.charge - other.charge) > SAME_MILLISECONDS) {
				return this.charge < other.charge;
			}
			return this.loss < other.loss;
		}

	}

}

package org.masticshelf.kernel.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.jspecify.annotations.Nullable;

import org.masticshelf.kernel.configuration.Loadable;
import org.masticshelf.kernel.configuration.QualifiedName;
import org.masticshelf.kernel.placement.PlacementDecision.Reason;
import org.masticshelf.kernel.port.Engine;

/**
 * Represents one run of the planner. It collects the decisions and the resources that
 * they reserve, so that no two decisions of a run use the same memory, replica or
 * admission.
 * <p>
 * Confined to one thread.
 */
final class PlacementRound {

	private final List<PlacementDecision> decisions = new ArrayList<>();

	private final Set<Loadable> demanded = new HashSet<>();

	private final Set<Loadable> loading = new HashSet<>();

	private final Map<String, Long> plannedBytes = new HashMap<>();

	private final Map<String, Long> freeingBytes = new HashMap<>();

	private final Map<String, Set<Loadable>> unloading = new HashMap<>();

	private final PlacementState state;

	private final PlacementCatalogue catalogue;

	private final EvictionPolicy eviction;

	private final PlacementPolicy policy;

	private StoreGate gate;

	private int queuedForStore;

	PlacementRound(PlacementState state, PlacementCatalogue catalogue, PlacementPolicy policy) {
		this.state = state;
		this.catalogue = catalogue;
		this.policy = policy;
		this.gate = state.gate();
		this.eviction = new EvictionPolicy(state, catalogue, policy, this);
	}

	/**
	 * Returns what requests wait for, including the models of wanted adapters.
	 * @return the set, which the caller fills before it requests decisions
	 */
	Set<Loadable> demanded() {
		return this.demanded;
	}

	/**
	 * Returns the decisions of this run.
	 * @return the decisions in order
	 */
	List<PlacementDecision> decisions() {
		return this.decisions;
	}

	/**
	 * Decides on one demand.
	 * @param demand the demand
	 */
	void placeDemand(Demand demand) {
		Loadable loadable = demand.loadable();
		if (this.catalogue.row(loadable) == null) {
			addWait(loadable, Reason.NOT_CONFIGURED);
			return;
		}
		ReplicaCount replicas = countReplicas(loadable);
		if (replicas.serving() == 0) {
			place(demand, loadable, replicas, Reason.WAKE);
		}
		else if (waitedMilliseconds(demand) >= this.policy.scaleUpWaitMilliseconds()
				&& youngestReplicaAgeMilliseconds(loadable) >= this.policy.scaleUpWaitMilliseconds()) {
			place(demand, loadable, replicas, Reason.SCALE_UP);
		}
		else {
			this.decisions.add(new PlacementDecision.Keep(loadable, replicas.serving()));
		}
	}

	private long waitedMilliseconds(Demand demand) {
		return this.state.nowMilliseconds() - demand.sinceMilliseconds();
	}

	private long youngestReplicaAgeMilliseconds(Loadable loadable) {
		long youngest = Long.MAX_VALUE;
		for (EndpointState endpoint : endpointsOf(loadable.pool())) {
			EndpointState.Use use = endpoint.uses().get(loadable);
			if (use != null && serves(endpoint, loadable)) {
				youngest = Math.min(youngest, this.state.nowMilliseconds() - use.loadedMilliseconds());
			}
		}
		return youngest;
	}

	/**
	 * Loads a replica of a model that has fewer than its minimum, if no eviction is
	 * needed.
	 * @param loadable the model
	 */
	void ensureMinimumReplicas(Loadable loadable) {
		PlacementCatalogue.Row row = this.catalogue.row(loadable);
		ReplicaCount replicas = countReplicas(loadable);
		if (row == null || replicas.loading() > 0 || replicas.total() >= row.model().minimumReplicas()) {
			return;
		}
		EndpointChoice choice = chooseEndpoint(loadable, row, Eviction.NONE);
		if (choice != null && choice.isImmediate()) {
			load(loadable, row, choice, null, Reason.MINIMUM_REPLICAS);
		}
	}

	private void place(Demand demand, Loadable loadable, ReplicaCount replicas, Reason reason) {
		PlacementCatalogue.Row row = this.catalogue.row(loadable);
		if (row == null) {
			addWait(loadable, Reason.NOT_CONFIGURED);
		}
		else if (replicas.loading() > 0 || this.loading.contains(loadable)) {
			addWait(loadable, Reason.LOADING);
		}
		else if (replicas.total() >= row.model().maximumReplicas()) {
			addWait(loadable, Reason.MAXIMUM_REPLICAS);
		}
		else if (loadable.isAdapter() && countReplicas(loadable.withoutAdapter()).serving() == 0) {
			placeModelOf(demand, loadable, reason);
		}
		else {
			placeAtEndpoint(demand, loadable, row, reason);
		}
	}

	private void placeModelOf(Demand demand, Loadable adapter, Reason reason) {
		Loadable model = adapter.withoutAdapter();
		place(demand, model, countReplicas(model), reason);
		addWait(adapter, Reason.MODEL_LOADING);
	}

	private void placeAtEndpoint(Demand demand, Loadable loadable, PlacementCatalogue.Row row, Reason reason) {
		EndpointChoice choice = chooseForDemand(demand, loadable, row);
		if (choice == null) {
			boolean hasServingEndpoint = endpointsOf(loadable.pool()).stream()
				.anyMatch((endpoint) -> endpoint.presence().isServing());
			addWait(loadable, hasServingEndpoint ? Reason.NO_MEMORY : Reason.NO_ENDPOINT);
			return;
		}
		String identifier = choice.endpoint().endpoint().identifier();
		if (choice.isImmediate() && admits(loadable, choice)) {
			load(loadable, row, choice, demand.organisation(), reason);
			return;
		}
		this.plannedBytes.merge(identifier, row.memoryBytes(), Long::sum);
		if (choice.isImmediate()) {
			addWait(loadable, Reason.STORE_BUSY);
		}
		else {
			choice.victims().forEach((victim) -> unload(choice.endpoint(), victim, Reason.EVICTED));
			addWait(loadable, Reason.MEMORY_BEING_FREED);
		}
	}

	private void load(Loadable loadable, PlacementCatalogue.Row row, EndpointChoice choice,
			@Nullable QualifiedName organisation, Reason reason) {
		if (!admits(loadable, choice)) {
			return;
		}
		if (loadable.isAdapter()) {
			this.gate = this.gate.withStartedAdapter();
		}
		else if (choice.level() == Engine.CacheLevel.REMOTE) {
			this.gate = this.gate.withStartedModel(this.state.nowMilliseconds());
		}
		String identifier = choice.endpoint().endpoint().identifier();
		this.plannedBytes.merge(identifier, row.memoryBytes(), Long::sum);
		this.loading.add(loadable);
		this.decisions.add(new PlacementDecision.Load(loadable, identifier, row.memoryBytes(), choice.level(),
				organisation, reason));
	}

	private boolean admits(Loadable loadable, EndpointChoice choice) {
		if (loadable.isAdapter()) {
			return this.gate.admitsAdapter();
		}
		return choice.level() != Engine.CacheLevel.REMOTE || this.gate.admitsModel(this.state.nowMilliseconds());
	}

	/**
	 * Adds a decision to unload, at most one for each loadable and endpoint; the caller
	 * adds adapters before their model.
	 * @param endpoint the endpoint
	 * @param entry the entry
	 * @param reason the reason
	 */
	void unload(EndpointState endpoint, EndpointRecord.Entry entry, Reason reason) {
		String identifier = endpoint.endpoint().identifier();
		if (this.unloading.computeIfAbsent(identifier, (key) -> new HashSet<>()).add(entry.loadable())) {
			this.freeingBytes.merge(identifier, entry.memoryBytes(), Long::sum);
			this.decisions.add(new PlacementDecision.Unload(entry.loadable(), identifier, reason));
		}
	}

	/**
	 * Returns whether this run has already decided to unload a loadable.
	 * @param endpoint the endpoint
	 * @param loadable the loadable
	 * @return whether it is to be unloaded
	 */
	boolean isUnloading(EndpointState endpoint, Loadable loadable) {
		return this.unloading.getOrDefault(endpoint.endpoint().identifier(), Set.of()).contains(loadable);
	}

	private void addWait(Loadable loadable, Reason reason) {
		long loadMilliseconds = this.state.times().expectedMilliseconds(loadable, Engine.CacheLevel.REMOTE);
		long estimate = switch (reason) {
			case NOT_CONFIGURED, NO_ENDPOINT, NO_MEMORY, MAXIMUM_REPLICAS ->
				PlacementDecision.Wait.UNKNOWN_MILLISECONDS;
			case STORE_BUSY -> loadMilliseconds + storeQueueMilliseconds();
			case MEMORY_BEING_FREED -> loadMilliseconds + this.policy.evictionMilliseconds();
			default -> loadMilliseconds;
		};
		this.decisions.add(new PlacementDecision.Wait(loadable, reason, estimate));
	}

	private long storeQueueMilliseconds() {
		this.queuedForStore++;
		long rateWaitMilliseconds = this.gate.rateWaitMilliseconds(this.state.nowMilliseconds());
		long batches = (this.queuedForStore + this.gate.models()) / StoreGate.MAXIMUM_MODELS_IN_FLIGHT;
		return rateWaitMilliseconds + batches * (long) this.state.times().remoteMilliseconds();
	}

	private @Nullable EndpointChoice chooseForDemand(Demand demand, Loadable loadable, PlacementCatalogue.Row row) {
		EndpointChoice choice = chooseEndpoint(loadable, row, Eviction.IDLE);
		boolean isPressing = waitedMilliseconds(demand) >= this.policy.pressingWaitMilliseconds();
		return (choice == null && isPressing) ? chooseEndpoint(loadable, row, Eviction.DRAIN) : choice;
	}

	private @Nullable EndpointChoice chooseEndpoint(Loadable loadable, PlacementCatalogue.Row row, Eviction mode) {
		EndpointChoice best = null;
		for (EndpointState endpoint : endpointsOf(loadable.pool())) {
			EndpointChoice choice = canHold(endpoint, loadable) ? evaluate(endpoint, loadable, row, mode) : null;
			if (choice != null && (best == null || EndpointChoice.BEST_FIRST.compare(choice, best) < 0)) {
				best = choice;
			}
		}
		return best;
	}

	private boolean canHold(EndpointState endpoint, Loadable loadable) {
		if (endpoint.presence() != EndpointState.Presence.LIVE || endpoint.avoided().contains(loadable)) {
			return false;
		}
		return endpoint.record().entry(loadable) == null
				&& (!loadable.isAdapter() || serves(endpoint, loadable.withoutAdapter()));
	}

	private boolean serves(EndpointState endpoint, Loadable loadable) {
		EndpointRecord.Entry entry = endpoint.record().entry(loadable);
		return endpoint.presence().isServing() && entry != null && entry.state() == EndpointRecord.State.LOADED
				&& !isUnloading(endpoint, loadable);
	}

	private @Nullable EndpointChoice evaluate(EndpointState endpoint, Loadable loadable, PlacementCatalogue.Row row,
			Eviction mode) {
		String identifier = endpoint.endpoint().identifier();
		Engine.CacheLevel level = endpoint.cacheLevel(loadable);
		long free = endpoint.endpoint().memoryBytes() - endpoint.record().reservedBytes()
				- this.plannedBytes.getOrDefault(identifier, 0L);
		long expected = this.state.times().expectedMilliseconds(loadable, level);
		if (row.memoryBytes() <= free) {
			return new EndpointChoice(endpoint, level, expected, free - row.memoryBytes(), true, List.of());
		}
		long freeAfterUnloads = free + endpoint.unloadingBytes() + this.freeingBytes.getOrDefault(identifier, 0L);
		long cost = expected + this.policy.evictionMilliseconds();
		if (row.memoryBytes() <= freeAfterUnloads) {
			return new EndpointChoice(endpoint, level, cost, freeAfterUnloads - row.memoryBytes(), false, List.of());
		}
		List<EndpointRecord.Entry> victims = (mode != Eviction.NONE)
				? this.eviction.chooseVictims(endpoint, loadable, row.memoryBytes() - freeAfterUnloads, mode)
				: List.of();
		return victims.isEmpty() ? null
				: new EndpointChoice(endpoint, level, cost + this.policy.evictionMilliseconds(), 0, false, victims);
	}

	/**
	 * Counts the replicas of a loadable.
	 * @param loadable the loadable
	 * @return the counts; the total includes replicas that are being unloaded or in doubt
	 */
	ReplicaCount countReplicas(Loadable loadable) {
		int total = this.loading.contains(loadable) ? 1 : 0;
		int loading = total;
		int serving = 0;
		for (EndpointState endpoint : endpointsOf(loadable.pool())) {
			EndpointRecord.Entry entry = endpoint.record().entry(loadable);
			total += (entry != null) ? 1 : 0;
			boolean serves = endpoint.presence().isServing();
			loading += (entry != null && serves && entry.state().isLoading()) ? 1 : 0;
			serving += serves(endpoint, loadable) ? 1 : 0;
		}
		return new ReplicaCount(total, loading, serving);
	}

	private List<EndpointState> endpointsOf(QualifiedName pool) {
		return this.state.endpoints().getOrDefault(pool, List.of());
	}

	/** What may be unloaded to make room. */
	enum Eviction {

		/** Nothing. */
		NONE,

		/** What is idle and not waited for. */
		IDLE,

		/** Also what is in use, once its running requests have ended. */
		DRAIN

	}

	/**
	 * Counts the replicas of a loadable.
	 *
	 * @param total the replicas that exist or may come to exist
	 * @param loading the replicas that are being loaded at an endpoint in service
	 * @param serving the replicas that accept requests
	 */
	record ReplicaCount(int total, int loading, int serving) {
	}

}

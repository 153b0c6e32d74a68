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
 * One run of the planner: collects decisions and what they already speak for, so that
 * later decisions of the run do not use the same memory, replica or admission twice.
 * <p>
 * Used by one thread.
 */
final class PlacementRound {

	private final List<PlacementDecision> decisions = new ArrayList<>();

	private final Set<Loadable> demanded = new HashSet<>();

	private final Set<Loadable> loading = new HashSet<>();

	private final Map<String, Long> promisedBytes = new HashMap<>();

	private final Map<String, Long> freeingBytes = new HashMap<>();

	private final Map<String, Set<Loadable>> leaving = new HashMap<>();

	private final PlacementState state;

	private final PlacementCatalogue catalogue;

	private final EvictionChoice eviction;

	private final PlacementPolicy policy;

	private StoreGate gate;

	private int queuedForStore;

	PlacementRound(PlacementState state, PlacementCatalogue catalogue, PlacementPolicy policy) {
		this.state = state;
		this.catalogue = catalogue;
		this.policy = policy;
		this.gate = state.gate();
		this.eviction = new EvictionChoice(state, catalogue, policy, this);
	}

	/**
	 * Returns what requests wait for, models of wanted adapters included.
	 * @return the set, which the caller fills before it asks for decisions
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
	 * Decides upon one demand.
	 * @param demand the demand
	 */
	void wake(Demand demand) {
		Loadable loadable = demand.loadable();
		if (this.catalogue.row(loadable) == null) {
			await(loadable, Reason.NOT_CONFIGURED);
			return;
		}
		ReplicaCount replicas = count(loadable);
		if (replicas.serving() == 0) {
			place(demand, loadable, replicas, Reason.WAKE);
		}
		else if (waited(demand) >= this.policy.scaleUpWaitMilliseconds()
				&& sinceYoungestReplica(loadable) >= this.policy.scaleUpWaitMilliseconds()) {
			place(demand, loadable, replicas, Reason.SCALE_UP);
		}
		else {
			this.decisions.add(new PlacementDecision.Keep(loadable, replicas.serving()));
		}
	}

	private long waited(Demand demand) {
		return this.state.nowMilliseconds() - demand.sinceMilliseconds();
	}

	private long sinceYoungestReplica(Loadable loadable) {
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
	 * Loads a replica of a model that has fewer than are to be kept, if this needs no
	 * eviction.
	 * @param loadable the model
	 */
	void keepMinimum(Loadable loadable) {
		PlacementCatalogue.Row row = this.catalogue.row(loadable);
		ReplicaCount replicas = count(loadable);
		if (row == null || replicas.loading() > 0 || replicas.total() >= row.model().minimumReplicas()) {
			return;
		}
		EndpointChoice choice = choose(loadable, row, Eviction.NONE);
		if (choice != null && choice.isImmediate()) {
			load(loadable, row, choice, null, Reason.MINIMUM_REPLICAS);
		}
	}

	private void place(Demand demand, Loadable loadable, ReplicaCount replicas, Reason reason) {
		PlacementCatalogue.Row row = this.catalogue.row(loadable);
		if (row == null) {
			await(loadable, Reason.NOT_CONFIGURED);
		}
		else if (replicas.loading() > 0 || this.loading.contains(loadable)) {
			await(loadable, Reason.LOADING);
		}
		else if (replicas.total() >= row.model().maximumReplicas()) {
			await(loadable, Reason.MAXIMUM_REPLICAS);
		}
		else if (loadable.isAdapter() && count(loadable.withoutAdapter()).serving() == 0) {
			placeModelOf(demand, loadable, reason);
		}
		else {
			placeAt(demand, loadable, row, reason);
		}
	}

	private void placeModelOf(Demand demand, Loadable adapter, Reason reason) {
		Loadable model = adapter.withoutAdapter();
		place(demand, model, count(model), reason);
		await(adapter, Reason.MODEL_LOADING);
	}

	private void placeAt(Demand demand, Loadable loadable, PlacementCatalogue.Row row, Reason reason) {
		EndpointChoice choice = chooseFor(demand, loadable, row);
		if (choice == null) {
			boolean anywhere = endpointsOf(loadable.pool()).stream()
				.anyMatch((endpoint) -> endpoint.presence().isServing());
			await(loadable, anywhere ? Reason.NO_MEMORY : Reason.NO_ENDPOINT);
			return;
		}
		String identifier = choice.endpoint().endpoint().identifier();
		if (choice.isImmediate() && admits(loadable, choice)) {
			load(loadable, row, choice, demand.organisation(), reason);
			return;
		}
		this.promisedBytes.merge(identifier, row.memoryBytes(), Long::sum);
		if (choice.isImmediate()) {
			await(loadable, Reason.STORE_BUSY);
		}
		else {
			choice.victims().forEach((victim) -> unload(choice.endpoint(), victim, Reason.EVICTED));
			await(loadable, Reason.MEMORY_BEING_FREED);
		}
	}

	private void load(Loadable loadable, PlacementCatalogue.Row row, EndpointChoice choice,
			@Nullable QualifiedName organisation, Reason reason) {
		if (!admits(loadable, choice)) {
			return;
		}
		if (loadable.isAdapter()) {
			this.gate = this.gate.withAdapter();
		}
		else if (choice.level() == Engine.CacheLevel.REMOTE) {
			this.gate = this.gate.withModel(this.state.nowMilliseconds());
		}
		String identifier = choice.endpoint().endpoint().identifier();
		this.promisedBytes.merge(identifier, row.memoryBytes(), Long::sum);
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
	 * Decides to unload, once a loadable and endpoint, adapters before their model.
	 * @param endpoint the endpoint
	 * @param entry the entry
	 * @param reason the reason
	 */
	void unload(EndpointState endpoint, EndpointRecord.Entry entry, Reason reason) {
		String identifier = endpoint.endpoint().identifier();
		if (this.leaving.computeIfAbsent(identifier, (key) -> new HashSet<>()).add(entry.loadable())) {
			this.freeingBytes.merge(identifier, entry.memoryBytes(), Long::sum);
			this.decisions.add(new PlacementDecision.Unload(entry.loadable(), identifier, reason));
		}
	}

	/**
	 * Returns whether this run already decided to unload.
	 * @param endpoint the endpoint
	 * @param loadable the loadable
	 * @return whether it leaves
	 */
	boolean isLeaving(EndpointState endpoint, Loadable loadable) {
		return this.leaving.getOrDefault(endpoint.endpoint().identifier(), Set.of()).contains(loadable);
	}

	private void await(Loadable loadable, Reason reason) {
		long times = this.state.times().expected(loadable, Engine.CacheLevel.REMOTE);
		long estimate = switch (reason) {
			case NOT_CONFIGURED, NO_ENDPOINT, NO_MEMORY, MAXIMUM_REPLICAS ->
				PlacementDecision.Wait.UNKNOWN_MILLISECONDS;
			case STORE_BUSY -> times + storeQueueMilliseconds();
			case MEMORY_BEING_FREED -> times + this.policy.evictionMilliseconds();
			default -> times;
		};
		this.decisions.add(new PlacementDecision.Wait(loadable, reason, estimate));
	}

	private long storeQueueMilliseconds() {
		this.queuedForStore++;
		long rate = this.gate.rateWaitMilliseconds(this.state.nowMilliseconds());
		long batches = (this.queuedForStore + this.gate.models()) / StoreGate.MODELS_IN_FLIGHT;
		return rate + batches * (long) this.state.times().remoteMilliseconds();
	}

	private @Nullable EndpointChoice chooseFor(Demand demand, Loadable loadable, PlacementCatalogue.Row row) {
		EndpointChoice choice = choose(loadable, row, Eviction.IDLE);
		boolean isPressing = waited(demand) >= this.policy.pressingWaitMilliseconds();
		return (choice == null && isPressing) ? choose(loadable, row, Eviction.DRAIN) : choice;
	}

	private @Nullable EndpointChoice choose(Loadable loadable, PlacementCatalogue.Row row, Eviction mode) {
		EndpointChoice best = null;
		for (EndpointState endpoint : endpointsOf(loadable.pool())) {
			EndpointChoice choice = canHold(endpoint, loadable) ? option(endpoint, loadable, row, mode) : null;
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
				&& !isLeaving(endpoint, loadable);
	}

	private @Nullable EndpointChoice option(EndpointState endpoint, Loadable loadable, PlacementCatalogue.Row row,
			Eviction mode) {
		String identifier = endpoint.endpoint().identifier();
		Engine.CacheLevel level = endpoint.level(loadable);
		long free = endpoint.endpoint().memoryBytes() - endpoint.record().reservedBytes()
				- this.promisedBytes.getOrDefault(identifier, 0L);
		long expected = this.state.times().expected(loadable, level);
		if (row.memoryBytes() <= free) {
			return new EndpointChoice(endpoint, level, expected, free - row.memoryBytes(), true, List.of());
		}
		long coming = free + endpoint.unloadingBytes() + this.freeingBytes.getOrDefault(identifier, 0L);
		long cost = expected + this.policy.evictionMilliseconds();
		if (row.memoryBytes() <= coming) {
			return new EndpointChoice(endpoint, level, cost, coming - row.memoryBytes(), false, List.of());
		}
		List<EndpointRecord.Entry> victims = (mode != Eviction.NONE)
				? this.eviction.victims(endpoint, loadable, row.memoryBytes() - coming, mode) : List.of();
		return victims.isEmpty() ? null
				: new EndpointChoice(endpoint, level, cost + this.policy.evictionMilliseconds(), 0, false, victims);
	}

	/**
	 * Counts the replicas of a loadable.
	 * @param loadable the loadable
	 * @return the counts, unloading and doubtful ones included in the total
	 */
	ReplicaCount count(Loadable loadable) {
		int total = this.loading.contains(loadable) ? 1 : 0;
		int underWay = total;
		int serving = 0;
		for (EndpointState endpoint : endpointsOf(loadable.pool())) {
			EndpointRecord.Entry entry = endpoint.record().entry(loadable);
			total += (entry != null) ? 1 : 0;
			boolean serves = endpoint.presence().isServing();
			underWay += (entry != null && serves && entry.state().isLoading()) ? 1 : 0;
			serving += serves(endpoint, loadable) ? 1 : 0;
		}
		return new ReplicaCount(total, underWay, serving);
	}

	private List<EndpointState> endpointsOf(QualifiedName pool) {
		return this.state.endpoints().getOrDefault(pool, List.of());
	}

	/** What may be unloaded to make room. */
	enum Eviction {

		/** Nothing. */
		NONE,

		/** What is idle and nobody waits for. */
		IDLE,

		/** Also what is in use, once its running requests have ended. */
		DRAIN

	}

	/**
	 * The replicas of a loadable.
	 *
	 * @param total all that exist or may come to exist
	 * @param loading those whose load is under way at a live endpoint
	 * @param serving those that take requests
	 */
	record ReplicaCount(int total, int loading, int serving) {
	}

}

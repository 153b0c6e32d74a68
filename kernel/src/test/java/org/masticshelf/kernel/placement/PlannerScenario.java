package org.masticshelf.kernel.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.masticshelf.kernel.configuration.Configuration;
import org.masticshelf.kernel.configuration.Loadable;
import org.masticshelf.kernel.configuration.Pool;
import org.masticshelf.kernel.configuration.QualifiedName;
import org.masticshelf.kernel.configuration.Route;
import org.masticshelf.kernel.configuration.Tables;
import org.masticshelf.kernel.placement.EndpointRecord.State;
import org.masticshelf.kernel.port.Engine;

/** Builds the state of one pool for planner tests and runs the planner on it. */
final class PlannerScenario {

	static final QualifiedName POOL = QualifiedName.of("sofia/pool");

	static final EndpointRecord.Sender SENDER = new EndpointRecord.Sender("incarnation", "127.0.0.1:1", 1);

	private final List<Pool.Model> models = new ArrayList<>();

	private final Map<String, EndpointState> endpoints = new HashMap<>();

	private final List<Demand> demands = new ArrayList<>();

	private final Map<QualifiedName, Integer> loading = new HashMap<>();

	private StoreGate gate = new StoreGate(0, 0, List.of());

	private long now = 100_000;

	PlannerScenario model(String name, long bytes, int maximumReplicas) {
		this.models.add(new Pool.Model(name, bytes, maximumReplicas, 0, 60_000,
				List.of(new Pool.Adapter("a", 5), new Pool.Adapter("b", 5))));
		return this;
	}

	PlannerScenario modelWithMinimum(String name, long bytes, int minimumReplicas) {
		this.models.add(new Pool.Model(name, bytes, 4, minimumReplicas, 60_000, List.of()));
		return this;
	}

	PlannerScenario endpoint(String identifier, long bytes) {
		Pool.Endpoint endpoint = new Pool.Endpoint(identifier, "127.0.0.1:9", "domain", bytes, 4, true);
		this.endpoints.put(identifier, new EndpointState(endpoint, EndpointState.Presence.LIVE,
				EndpointRecord.empty(identifier), Map.of(), Map.of(), Set.of()));
		return this;
	}

	PlannerScenario holds(String identifier, String name, State state, long bytes, long idleMilliseconds,
			int inFlight) {
		return holds(identifier, entry(name, state, bytes), idleMilliseconds, inFlight);
	}

	PlannerScenario holds(String identifier, EndpointRecord.Entry entry, long idleMilliseconds, int inFlight) {
		EndpointState state = stateOf(identifier);
		Map<Loadable, EndpointState.Use> uses = new HashMap<>(state.uses());
		uses.put(entry.loadable(),
				new EndpointState.Use(this.now - idleMilliseconds, this.now - idleMilliseconds, inFlight));
		this.endpoints.put(identifier, new EndpointState(state.endpoint(), state.presence(), state.record().with(entry),
				state.cached(), uses, state.avoided()));
		return this;
	}

	PlannerScenario caches(String identifier, String name, Engine.CacheLevel level) {
		EndpointState state = stateOf(identifier);
		this.endpoints.put(identifier, new EndpointState(state.endpoint(), state.presence(), state.record(),
				Map.of(loadable(name), level), state.uses(), state.avoided()));
		return this;
	}

	PlannerScenario presence(String identifier, EndpointState.Presence presence) {
		EndpointState state = stateOf(identifier);
		this.endpoints.put(identifier, new EndpointState(state.endpoint(), presence, state.record(), state.cached(),
				state.uses(), state.avoided()));
		return this;
	}

	PlannerScenario wants(String organisation, String name, long waitedMilliseconds) {
		this.demands.add(new Demand(loadable(name), QualifiedName.of("sofia/" + organisation), 1,
				this.now - waitedMilliseconds));
		return this;
	}

	PlannerScenario loadingFor(String organisation, int loads) {
		this.loading.put(QualifiedName.of("sofia/" + organisation), loads);
		return this;
	}

	PlannerScenario gate(int models, int adapters, int startsNow) {
		List<Long> starts = new ArrayList<>();
		for (int start = 0; start < startsNow; start++) {
			starts.add(this.now);
		}
		this.gate = new StoreGate(models, adapters, starts);
		return this;
	}

	List<String> planDemands() {
		return describe(planner().planDemands(state()));
	}

	List<String> planSweep() {
		return describe(planner().planSweep(state()));
	}

	PlacementPlanner planner() {
		Pool pool = new Pool(POOL, Route.Kind.MODEL, "store",
				this.endpoints.values().stream().map(EndpointState::endpoint).toList(), this.models);
		Configuration configuration = new Configuration(1, new Tables(List.of(), List.of(pool), List.of(), List.of()));
		return new PlacementPlanner(PlacementCatalogue.of(configuration, "store"), PlacementPolicy.DEFAULT);
	}

	PlacementState state() {
		return new PlacementState(this.now, Map.of(POOL, List.copyOf(this.endpoints.values())), this.demands, this.gate,
				LoadTimes.INITIAL, this.loading);
	}

	static Loadable loadable(String name) {
		return LoadableCodec.ofEngineName(POOL, name);
	}

	static EndpointRecord.Entry entry(String name, State state, long bytes) {
		return new EndpointRecord.Entry(loadable(name), state, bytes, SENDER, "order", List.of());
	}

	private EndpointState stateOf(String identifier) {
		EndpointState state = this.endpoints.get(identifier);
		if (state == null) {
			throw new IllegalArgumentException(identifier);
		}
		return state;
	}

	private static List<String> describe(List<PlacementDecision> decisions) {
		return decisions.stream().map((decision) -> switch (decision) {
			case PlacementDecision.Load load ->
				"load " + load.loadable().engineName() + " at " + load.endpoint() + " " + load.reason();
			case PlacementDecision.Unload unload ->
				"unload " + unload.loadable().engineName() + " at " + unload.endpoint() + " " + unload.reason();
			case PlacementDecision.Keep keep -> "keep " + keep.loadable().engineName();
			case PlacementDecision.Wait wait -> "wait " + wait.loadable().engineName() + " " + wait.reason();
		}).toList();
	}

}

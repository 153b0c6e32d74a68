package org.masticshelf.bench.replay;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;

import org.masticshelf.kernel.configuration.Loadable;
import org.masticshelf.kernel.configuration.QualifiedName;
import org.masticshelf.kernel.placement.Demand;
import org.masticshelf.kernel.placement.EndpointRecord;
import org.masticshelf.kernel.placement.EndpointState;
import org.masticshelf.kernel.placement.LoadTimes;
import org.masticshelf.kernel.placement.PlacementCatalogue;
import org.masticshelf.kernel.placement.PlacementDecision;
import org.masticshelf.kernel.placement.PlacementPlanner;
import org.masticshelf.kernel.placement.PlacementPolicy;
import org.masticshelf.kernel.placement.PlacementState;
import org.masticshelf.kernel.placement.StoreGate;
import org.masticshelf.kernel.port.Engine;

/**
 * Carries out the decisions of the placement planner on a fake fleet.
 * <p>
 * Used by one thread.
 */
final class PlacementDriver {

	private static final long WAKE_NANOSECONDS = 50_000_000L;

	private static final long SWEEP_NANOSECONDS = 1_000_000_000L;

	private static final EndpointRecord.Sender SENDER = new EndpointRecord.Sender("placer", "127.0.0.1:1", 1);

	private final Fleet fleet;

	private final PlacementCatalogue catalogue;

	private final PlacementPlanner planner;

	private final Supplier<List<Demand>> demands;

	private final Runnable changed;

	private final Map<Loadable, QualifiedName> loadingFor = new HashMap<>();

	private StoreGate gate = new StoreGate(0, 0, List.of());

	private LoadTimes times = LoadTimes.INITIAL;

	/**
	 * Creates a driver.
	 * @param fleet the fleet
	 * @param demands what requests wait for
	 * @param changed told when something was loaded
	 */
	PlacementDriver(Fleet fleet, Supplier<List<Demand>> demands, Runnable changed) {
		this.fleet = fleet;
		this.catalogue = PlacementCatalogue.of(fleet.configuration(), "store");
		this.planner = new PlacementPlanner(this.catalogue, PlacementPolicy.DEFAULT);
		this.demands = demands;
		this.changed = changed;
	}

	void start(long end) {
		this.fleet.time().every(WAKE_NANOSECONDS, end, this::wake);
		this.fleet.time().every(SWEEP_NANOSECONDS, end, () -> carryOut(this.planner.planSweep(state())));
	}

	private void wake() {
		PlacementState state = state();
		if (!state.demands().isEmpty()) {
			carryOut(this.planner.planDemands(state));
		}
	}

	/**
	 * Estimates how long it takes until a loadable serves.
	 * @param loadable the loadable
	 * @return nanoseconds, by the cheapest place of its weights
	 */
	long wakeNanoseconds(Loadable loadable) {
		long best = Long.MAX_VALUE;
		for (FleetEndpoint endpoint : this.fleet.endpoints()) {
			best = Math.min(best, this.times.expectedMilliseconds(loadable.withoutAdapter(),
					endpoint.level(loadable.withoutAdapter())));
		}
		return best * VirtualTime.NANOSECONDS_PER_MILLISECOND;
	}

	private void carryOut(List<PlacementDecision> decisions) {
		for (PlacementDecision decision : decisions) {
			switch (decision) {
				case PlacementDecision.Load load -> load(load);
				case PlacementDecision.Unload unload ->
					this.fleet.endpoint(unload.endpoint()).unload(unload.loadable(), () -> {
					});
				case PlacementDecision.Keep keep -> {
				}
				case PlacementDecision.Wait wait -> {
				}
			}
		}
	}

	private void load(PlacementDecision.Load load) {
		long now = this.fleet.time().milliseconds();
		if (!load.loadable().isAdapter() && load.level() == Engine.CacheLevel.REMOTE) {
			this.gate = this.gate.withStartedModel(now);
		}
		QualifiedName organisation = load.organisation();
		if (organisation != null) {
			this.loadingFor.put(load.loadable(), organisation);
		}
		this.fleet.endpoint(load.endpoint()).load(load.loadable(), load.memoryBytes(), (residence) -> {
			this.loadingFor.remove(load.loadable());
			long took = this.fleet.time().milliseconds() - now;
			this.times = this.times.withObserved(load.loadable(), load.level(), took);
			this.changed.run();
		});
	}

	private PlacementState state() {
		List<EndpointState> states = new ArrayList<>();
		this.fleet.endpoints().forEach((endpoint) -> states.add(state(endpoint)));
		this.gate = this.gate.withInFlight(this.fleet.store().remoteLoads(), this.fleet.store().adapterLoads());
		Map<QualifiedName, Integer> loading = new HashMap<>();
		this.loadingFor.values().forEach((organisation) -> loading.merge(organisation, 1, Integer::sum));
		return new PlacementState(this.fleet.time().milliseconds(), Map.of(this.fleet.pool().name(), states),
				this.demands.get(), this.gate, this.times, loading);
	}

	private EndpointState state(FleetEndpoint endpoint) {
		EndpointRecord record = EndpointRecord.empty(endpoint.endpoint().identifier());
		Map<Loadable, EndpointState.Use> uses = new HashMap<>();
		for (Residence residence : endpoint.residents().values()) {
			record = record.with(new EndpointRecord.Entry(residence.loadable, stateOf(residence), residence.bytes,
					SENDER, "order", List.of()));
			if (residence.state != Residence.State.LOADING) {
				uses.put(residence.loadable, new EndpointState.Use(milliseconds(residence.loadedAt),
						milliseconds(residence.usedAt), residence.running));
			}
		}
		EndpointState.Presence presence = endpoint.isLive() ? EndpointState.Presence.LIVE
				: EndpointState.Presence.UNREACHABLE;
		return new EndpointState(endpoint.endpoint(), presence, record, levels(endpoint), uses, Set.of());
	}

	private static EndpointRecord.State stateOf(Residence residence) {
		return switch (residence.state) {
			case LOADING -> EndpointRecord.State.INTENDED;
			case LOADED -> EndpointRecord.State.LOADED;
			case UNLOADING -> EndpointRecord.State.UNLOADING;
		};
	}

	private static Map<Loadable, Engine.CacheLevel> levels(FleetEndpoint endpoint) {
		Map<Loadable, Engine.CacheLevel> levels = new HashMap<>();
		endpoint.onDisk().forEach((loadable) -> levels.put(loadable, endpoint.level(loadable)));
		return levels;
	}

	private static long milliseconds(long nanoseconds) {
		return nanoseconds / VirtualTime.NANOSECONDS_PER_MILLISECOND;
	}

}

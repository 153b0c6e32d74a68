package org.masticshelf.control.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import org.jspecify.annotations.Nullable;

import org.masticshelf.control.configuration.ConfigurationSource;
import org.masticshelf.control.duty.Duty;
import org.masticshelf.control.membership.Members;
import org.masticshelf.kernel.configuration.Configuration;
import org.masticshelf.kernel.configuration.Loadable;
import org.masticshelf.kernel.configuration.Pool;
import org.masticshelf.kernel.configuration.QualifiedName;
import org.masticshelf.kernel.event.Event;
import org.masticshelf.kernel.placement.Demand;
import org.masticshelf.kernel.placement.EndpointRecord;
import org.masticshelf.kernel.placement.EndpointState;
import org.masticshelf.kernel.placement.PlacementCatalogue;
import org.masticshelf.kernel.placement.PlacementDecision;
import org.masticshelf.kernel.placement.PlacementPlanner;
import org.masticshelf.kernel.placement.PlacementState;
import org.masticshelf.kernel.placement.StoreGate;
import org.masticshelf.kernel.port.KeyValueStore;

/**
 * Places all models of one weight store while this daemon holds the duty
 * {@code place/<store>}.
 * <p>
 * Invariants: no decision is made before the records of all endpoints were read during
 * the tenure and each endpoint has reported, has failed to report or has taken too long.
 * The state of an earlier tenure is discarded. Safe for use by several threads under its
 * own lock, which its collaborators share.
 */
public final class PlacementController {

	/** How often {@link #readReport()} is to be called. */
	public static final long TICK_MILLISECONDS = 50;

	/**
	 * The shortest interval between sweeps; a store with many endpoints is swept less
	 * often.
	 */
	private static final long SWEEP_INTERVAL_MILLISECONDS = 1_000;

	private static final long LIST_RETRY_DELAY_MILLISECONDS = 500;

	private final Object lock = new Object();

	private final Map<String, EndpointController> endpoints = new TreeMap<>();

	private final Map<Loadable, String> loggedDecisions = new HashMap<>();

	private final ViewLongPolls viewPolls = new ViewLongPolls();

	private final PlacementServices services;

	private final Duty duty;

	private final String store;

	private final Members members;

	private final ConfigurationSource configuration;

	private DemandAggregator demandAggregator = new DemandAggregator();

	private VersionedView view = new VersionedView();

	private StoreGate gate = new StoreGate(0, 0, List.of());

	private @Nullable PlacementContext context;

	private @Nullable Configuration appliedConfiguration;

	private @Nullable PlacementPlanner planner;

	private boolean recordsListed;

	private boolean listingRecords;

	private long nextListAt;

	private long nextSweepAt;

	private int writesOfEarlierTenures;

	/**
	 * Creates a controller.
	 * @param store the weight store
	 * @param duty the duty {@code place/<store>} that this daemon competes for
	 * @param services the services that the controller uses
	 * @param members identifies this daemon
	 * @param configuration the source of the current configuration
	 */
	public PlacementController(String store, Duty duty, PlacementServices services, Members members,
			ConfigurationSource configuration) {
		this.store = store;
		this.duty = duty;
		this.services = services;
		this.members = members;
		this.configuration = configuration;
	}

	/** Takes every step that is due. */
	public void tick() {
		Runnable answers;
		synchronized (this.lock) {
			answers = tickLocked(this.services.clock().milliseconds());
		}
		answers.run();
	}

	private Runnable tickLocked(long now) {
		Duty.Tenure tenure = this.duty.tenure();
		if (tenure == null) {
			return endTenure();
		}
		PlacementContext current = this.context;
		if (current == null || current.tenure().fencing() != tenure.fencing()) {
			Runnable abandoned = endTenure();
			beginTenure(tenure, now);
			return abandoned;
		}
		configure(current);
		if (!this.recordsListed) {
			listRecords(current, now);
			return () -> {
			};
		}
		this.endpoints.values().forEach(EndpointController::advance);
		this.endpoints.values().removeIf(EndpointController::isDone);
		boolean probed = this.endpoints.values().stream().allMatch(EndpointController::isProbed);
		updateView();
		if (!probed) {
			return () -> {
			};
		}
		plan(current, now);
		return this.viewPolls.takeDue(this.view, tenure.fencing(), now);
	}

	private void beginTenure(Duty.Tenure tenure, long now) {
		Members.Member self = this.members.self();
		EndpointRecord.Sender sender = new EndpointRecord.Sender(self.incarnation(), self.address(), tenure.fencing());
		this.demandAggregator = new DemandAggregator();
		this.context = new PlacementContext(this.services, this.duty, tenure, sender, this.demandAggregator, this.lock);
		this.gate = StoreGate.afterTakeover(now);
		this.nextSweepAt = now + SWEEP_INTERVAL_MILLISECONDS;
		this.nextListAt = now;
		log(Event.named("placement.tenure_began").with("fencing", tenure.fencing()));
	}

	private Runnable endTenure() {
		if (this.context == null) {
			return this.viewPolls.abandonAll();
		}
		log(Event.named("placement.tenure_ended").with("fencing", this.context.tenure().fencing()));
		this.writesOfEarlierTenures = keyValueWrites();
		this.context = null;
		this.appliedConfiguration = null;
		this.recordsListed = false;
		this.listingRecords = false;
		this.view = new VersionedView();
		this.endpoints.clear();
		this.loggedDecisions.clear();
		return this.viewPolls.abandonAll();
	}

	private void configure(PlacementContext current) {
		Configuration newest = this.configuration.current();
		if (newest == this.appliedConfiguration) {
			return;
		}
		this.appliedConfiguration = newest;
		PlacementCatalogue catalogue = PlacementCatalogue.of(newest, this.store);
		this.planner = new PlacementPlanner(catalogue, this.services.policy());
		Map<String, Pool.Endpoint> rows = new HashMap<>();
		for (Pool pool : catalogue.pools()) {
			for (Pool.Endpoint row : pool.endpoints()) {
				rows.put(row.identifier(), row);
				this.endpoints.computeIfAbsent(row.identifier(),
						(key) -> new EndpointController(current, pool.name(), row));
			}
		}
		this.endpoints.forEach((identifier, controller) -> controller.configure(rows.get(identifier)));
		current.setEndpointCount(this.endpoints.size());
	}

	private void listRecords(PlacementContext current, long now) {
		if (this.listingRecords || now < this.nextListAt) {
			return;
		}
		this.listingRecords = true;
		this.nextListAt = now + LIST_RETRY_DELAY_MILLISECONDS;
		this.services.keyValue().list(EndpointRecordAccess.PREFIX).whenComplete((snapshot, failure) -> {
			synchronized (this.lock) {
				if (this.context == current) {
					this.listingRecords = false;
					if (failure == null) {
						adoptRecords(snapshot);
					}
				}
			}
		});
	}

	private void adoptRecords(KeyValueStore.Snapshot snapshot) {
		Map<String, KeyValueStore.Entry> byKey = new HashMap<>();
		snapshot.entries().forEach((entry) -> byKey.put(entry.key(), entry));
		this.endpoints.forEach((identifier, controller) -> {
			String key = EndpointRecordAccess.PREFIX + identifier;
			controller.recordAccess().readFrom(byKey.getOrDefault(key, KeyValueStore.Entry.absent(key)));
		});
		this.recordsListed = true;
	}

	private void plan(PlacementContext current, long now) {
		this.demandAggregator.expire(now);
		List<Demand> demands = this.demandAggregator.demands(now);
		boolean sweepIsDue = now >= this.nextSweepAt;
		PlacementPlanner currentPlanner = this.planner;
		if (currentPlanner == null || (demands.isEmpty() && !sweepIsDue)) {
			return;
		}
		LoadCounts counts = new LoadCounts();
		this.endpoints.values().forEach((endpoint) -> endpoint.countLoads(counts));
		this.gate = counts.applyTo(this.gate);
		PlacementState placementState = new PlacementState(now, endpointStates(demands, sweepIsDue), demands, this.gate,
				current.loadTimes(), counts.organisations());
		forgetLoggedDecisions(demands);
		execute(currentPlanner.planDemands(placementState), now);
		if (sweepIsDue) {
			this.nextSweepAt = now + Math.max(SWEEP_INTERVAL_MILLISECONDS, this.endpoints.size());
			execute(currentPlanner.planSweep(placementState), now);
		}
	}

	private Map<QualifiedName, List<EndpointState>> endpointStates(List<Demand> demands, boolean allPools) {
		Set<QualifiedName> pools = new HashSet<>();
		demands.forEach((demand) -> pools.add(demand.loadable().pool()));
		Map<QualifiedName, List<EndpointState>> statesByPool = new HashMap<>();
		for (EndpointController endpoint : this.endpoints.values()) {
			if (allPools || pools.contains(endpoint.pool())) {
				statesByPool.computeIfAbsent(endpoint.pool(), (key) -> new ArrayList<>()).add(endpoint.endpointState());
			}
		}
		return statesByPool;
	}

	private void forgetLoggedDecisions(List<Demand> demands) {
		Set<Loadable> demanded = new HashSet<>();
		demands.forEach((demand) -> demanded.add(demand.loadable()));
		demands.forEach((demand) -> demanded.add(demand.loadable().withoutAdapter()));
		this.loggedDecisions.keySet().retainAll(demanded);
		this.viewPolls.retainEstimates(demanded);
	}

	private void execute(List<PlacementDecision> decisions, long now) {
		Map<String, List<PlacementDecision>> byEndpoint = new TreeMap<>();
		for (PlacementDecision decision : decisions) {
			switch (decision) {
				case PlacementDecision.Load load -> addDecision(byEndpoint, load.endpoint(), load);
				case PlacementDecision.Unload unload -> addDecision(byEndpoint, unload.endpoint(), unload);
				case PlacementDecision.Keep keep -> logOnce(keep);
				case PlacementDecision.Wait wait -> {
					logOnce(wait);
					this.viewPolls.setEstimate(wait.loadable(), wait.readyInMilliseconds(), now);
				}
			}
		}
		byEndpoint.forEach((identifier, endpointDecisions) -> recordIntents(identifier, endpointDecisions, now));
	}

	private static void addDecision(Map<String, List<PlacementDecision>> byEndpoint, String endpoint,
			PlacementDecision decision) {
		byEndpoint.computeIfAbsent(endpoint, (key) -> new ArrayList<>()).add(decision);
	}

	private void recordIntents(String identifier, List<PlacementDecision> endpointDecisions, long now) {
		EndpointController endpoint = this.endpoints.get(identifier);
		if (endpoint == null || !endpoint.recordAccess().isStable()) {
			return;
		}
		endpointDecisions.forEach((decision) -> log(decision.toEvent()));
		for (PlacementDecision decision : endpointDecisions) {
			if (decision instanceof PlacementDecision.Load load && load.isFromStore()) {
				this.gate = this.gate.withStartedModel(now);
			}
		}
		endpoint.recordIntents(endpointDecisions);
	}

	private void logOnce(PlacementDecision decision) {
		String summary = switch (decision) {
			case PlacementDecision.Wait wait -> wait.reason().name();
			default -> decision.getClass().getSimpleName();
		};
		if (!summary.equals(this.loggedDecisions.put(decision.loadable(), summary))) {
			log(decision.toEvent());
		}
	}

	private void updateView() {
		for (EndpointController endpoint : this.endpoints.values()) {
			if (endpoint.consumeViewChange()) {
				this.view.update(endpoint.endpoint().identifier(), endpoint.servedLoadables());
			}
		}
	}

	/**
	 * Receives the demand report of a daemon.
	 * @param body the message of the operation {@code placement/demand}
	 * @return an answer that tells whether this daemon holds the duty
	 */
	public JsonNode receiveDemand(JsonNode body) {
		DemandReport report = DemandReport.fromJson(body);
		synchronized (this.lock) {
			if (this.context == null) {
				return ViewLongPolls.notHeld();
			}
			this.demandAggregator.receive(report, this.services.clock().milliseconds());
		}
		return JsonNodeFactory.instance.objectNode().put("held", true);
	}

	/**
	 * Receives a daemon's poll for the view.
	 * @param body the message of the operation {@code placement/view}
	 * @return the answer, which completes when the view has changed or the requested wait
	 * has passed
	 */
	public CompletableFuture<JsonNode> pollView(JsonNode body) {
		synchronized (this.lock) {
			if (this.context == null) {
				return CompletableFuture.completedFuture(ViewLongPolls.notHeld());
			}
			return this.viewPolls.add(body, this.services.clock().milliseconds());
		}
	}

	/**
	 * Returns whether this daemon still holds a tenure.
	 * @param fencing the fencing number of the tenure
	 * @return whether new orders may still be sent under it
	 */
	boolean isActiveUnder(long fencing) {
		Duty.Tenure tenure = this.duty.tenure();
		return tenure != null && tenure.fencing() == fencing;
	}

	/**
	 * Returns how many writes to the key-value service this controller has sent.
	 * @return the count over all tenures
	 */
	public int keyValueWrites() {
		synchronized (this.lock) {
			int total = this.writesOfEarlierTenures;
			for (EndpointController endpoint : this.endpoints.values()) {
				total += endpoint.recordAccess().writeCount();
			}
			return total;
		}
	}

	private void log(Event event) {
		this.services.log().accept(event.with("store", this.store));
	}

}

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
 * Invariants: nothing is decided before the records of all endpoints were read under the
 * tenure and each endpoint was heard of or given up; what was learnt under a former
 * tenure is dropped. Safe for use by several threads under its own lock, which its parts
 * share.
 */
public final class PlacementKeeper {

	/** How often {@link #tick()} is to be called. */
	public static final long TICK_MILLISECONDS = 50;

	/**
	 * The shortest time between sweeps; a store with many endpoints is swept less often.
	 */
	private static final long SWEEP_MILLISECONDS = 1_000;

	private static final long LIST_RETRY_MILLISECONDS = 500;

	private final Object lock = new Object();

	private final Map<String, EndpointKeeper> endpoints = new TreeMap<>();

	private final Map<Loadable, String> announced = new HashMap<>();

	private final ViewPolls polls = new ViewPolls();

	private final PlacementServices services;

	private final Duty duty;

	private final String store;

	private final Members members;

	private final ConfigurationSource configuration;

	private DemandBook book = new DemandBook();

	private ViewBook view = new ViewBook();

	private StoreGate gate = new StoreGate(0, 0, List.of());

	private @Nullable Tenancy tenancy;

	private @Nullable Configuration configured;

	private @Nullable PlacementPlanner planner;

	private boolean listed;

	private boolean listing;

	private long nextListAt;

	private long nextSweepAt;

	private int writesBefore;

	/**
	 * Creates a keeper.
	 * @param store the weight store
	 * @param duty the duty {@code place/<store>} that this daemon competes for
	 * @param services what the keeper works with
	 * @param members knows this daemon
	 * @param configuration the configuration in force
	 */
	public PlacementKeeper(String store, Duty duty, PlacementServices services, Members members,
			ConfigurationSource configuration) {
		this.store = store;
		this.duty = duty;
		this.services = services;
		this.members = members;
		this.configuration = configuration;
	}

	/** Does whatever is due now. */
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
			return end();
		}
		Tenancy current = this.tenancy;
		if (current == null || current.tenure().fencing() != tenure.fencing()) {
			Runnable abandoned = end();
			begin(tenure, now);
			return abandoned;
		}
		configure(current);
		if (!this.listed) {
			list(current, now);
			return () -> {
			};
		}
		this.endpoints.values().forEach(EndpointKeeper::drive);
		this.endpoints.values().removeIf(EndpointKeeper::isDone);
		boolean explored = this.endpoints.values().stream().allMatch(EndpointKeeper::isExplored);
		updateView();
		if (!explored) {
			return () -> {
			};
		}
		plan(current, now);
		return this.polls.due(this.view, tenure.fencing(), now);
	}

	private void begin(Duty.Tenure tenure, long now) {
		Members.Member self = this.members.self();
		EndpointRecord.Sender sender = new EndpointRecord.Sender(self.incarnation(), self.address(), tenure.fencing());
		this.book = new DemandBook();
		this.tenancy = new Tenancy(this.services, this.duty, tenure, sender, this.book, this.lock);
		this.gate = StoreGate.afterTakeover(now);
		this.nextSweepAt = now + SWEEP_MILLISECONDS;
		this.nextListAt = now;
		log(Event.named("placement.tenure_began").with("fencing", tenure.fencing()));
	}

	private Runnable end() {
		if (this.tenancy == null) {
			return this.polls.abandon();
		}
		log(Event.named("placement.tenure_ended").with("fencing", this.tenancy.tenure().fencing()));
		this.writesBefore = keyValueWrites();
		this.tenancy = null;
		this.configured = null;
		this.listed = false;
		this.listing = false;
		this.view = new ViewBook();
		this.endpoints.clear();
		this.announced.clear();
		return this.polls.abandon();
	}

	private void configure(Tenancy current) {
		Configuration newest = this.configuration.current();
		if (newest == this.configured) {
			return;
		}
		this.configured = newest;
		PlacementCatalogue catalogue = PlacementCatalogue.of(newest, this.store);
		this.planner = new PlacementPlanner(catalogue, this.services.policy());
		Map<String, Pool.Endpoint> rows = new HashMap<>();
		for (Pool pool : catalogue.pools()) {
			for (Pool.Endpoint row : pool.endpoints()) {
				rows.put(row.identifier(), row);
				this.endpoints.computeIfAbsent(row.identifier(),
						(key) -> new EndpointKeeper(current, pool.name(), row));
			}
		}
		this.endpoints.forEach((identifier, keeper) -> keeper.configure(rows.get(identifier)));
		current.setEndpoints(this.endpoints.size());
	}

	private void list(Tenancy current, long now) {
		if (this.listing || now < this.nextListAt) {
			return;
		}
		this.listing = true;
		this.nextListAt = now + LIST_RETRY_MILLISECONDS;
		this.services.keyValue().list(RecordAccess.PREFIX).whenComplete((snapshot, failure) -> {
			synchronized (this.lock) {
				if (this.tenancy == current) {
					this.listing = false;
					if (failure == null) {
						adopt(snapshot);
					}
				}
			}
		});
	}

	private void adopt(KeyValueStore.Snapshot snapshot) {
		Map<String, KeyValueStore.Entry> byKey = new HashMap<>();
		snapshot.entries().forEach((entry) -> byKey.put(entry.key(), entry));
		this.endpoints.forEach((identifier, keeper) -> {
			String key = RecordAccess.PREFIX + identifier;
			keeper.access().adopt(byKey.getOrDefault(key, KeyValueStore.Entry.absent(key)));
		});
		this.listed = true;
	}

	private void plan(Tenancy current, long now) {
		this.book.expire(now);
		List<Demand> demands = this.book.demands(now);
		boolean sweeps = now >= this.nextSweepAt;
		PlacementPlanner known = this.planner;
		if (known == null || (demands.isEmpty() && !sweeps)) {
			return;
		}
		LoadCounts counts = new LoadCounts();
		this.endpoints.values().forEach((endpoint) -> endpoint.countLoading(counts));
		this.gate = counts.applyTo(this.gate);
		PlacementState state = new PlacementState(now, states(demands, sweeps), demands, this.gate, current.times(),
				counts.organisations());
		forgetAnnouncements(demands);
		carryOut(known.wake(state), now);
		if (sweeps) {
			this.nextSweepAt = now + Math.max(SWEEP_MILLISECONDS, this.endpoints.size());
			carryOut(known.sweep(state), now);
		}
	}

	private Map<QualifiedName, List<EndpointState>> states(List<Demand> demands, boolean all) {
		Set<QualifiedName> pools = new HashSet<>();
		demands.forEach((demand) -> pools.add(demand.loadable().pool()));
		Map<QualifiedName, List<EndpointState>> states = new HashMap<>();
		for (EndpointKeeper endpoint : this.endpoints.values()) {
			if (all || pools.contains(endpoint.pool())) {
				states.computeIfAbsent(endpoint.pool(), (key) -> new ArrayList<>()).add(endpoint.state());
			}
		}
		return states;
	}

	private void forgetAnnouncements(List<Demand> demands) {
		Set<Loadable> demanded = new HashSet<>();
		demands.forEach((demand) -> demanded.add(demand.loadable()));
		demands.forEach((demand) -> demanded.add(demand.loadable().withoutAdapter()));
		this.announced.keySet().retainAll(demanded);
		this.polls.retainEstimates(demanded);
	}

	private void carryOut(List<PlacementDecision> decisions, long now) {
		Map<String, List<PlacementDecision>> byEndpoint = new TreeMap<>();
		for (PlacementDecision decision : decisions) {
			switch (decision) {
				case PlacementDecision.Load load -> add(byEndpoint, load.endpoint(), load);
				case PlacementDecision.Unload unload -> add(byEndpoint, unload.endpoint(), unload);
				case PlacementDecision.Keep keep -> announceOnce(keep);
				case PlacementDecision.Wait wait -> {
					announceOnce(wait);
					this.polls.expect(wait.loadable(), wait.readyInMilliseconds(), now);
				}
			}
		}
		byEndpoint.forEach((identifier, decided) -> intend(identifier, decided, now));
	}

	private static void add(Map<String, List<PlacementDecision>> byEndpoint, String endpoint,
			PlacementDecision decision) {
		byEndpoint.computeIfAbsent(endpoint, (key) -> new ArrayList<>()).add(decision);
	}

	private void intend(String identifier, List<PlacementDecision> decided, long now) {
		EndpointKeeper endpoint = this.endpoints.get(identifier);
		if (endpoint == null || !endpoint.access().isSteady()) {
			return;
		}
		decided.forEach((decision) -> log(decision.toEvent()));
		for (PlacementDecision decision : decided) {
			if (decision instanceof PlacementDecision.Load load && load.isFromStore()) {
				this.gate = this.gate.withModel(now);
			}
		}
		endpoint.intend(decided);
	}

	private void announceOnce(PlacementDecision decision) {
		String line = switch (decision) {
			case PlacementDecision.Wait wait -> wait.reason().name();
			default -> decision.getClass().getSimpleName();
		};
		if (!line.equals(this.announced.put(decision.loadable(), line))) {
			log(decision.toEvent());
		}
	}

	private void updateView() {
		for (EndpointKeeper endpoint : this.endpoints.values()) {
			if (endpoint.takeViewChange()) {
				this.view.update(endpoint.endpoint().identifier(), endpoint.serving());
			}
		}
	}

	/**
	 * Takes what a daemon reports.
	 * @param body the message of the operation {@code placement/demand}
	 * @return whether this daemon holds the duty
	 */
	public JsonNode demand(JsonNode body) {
		DemandReport report = DemandReport.of(body);
		synchronized (this.lock) {
			if (this.tenancy == null) {
				return ViewPolls.notHeld();
			}
			this.book.take(report, this.services.clock().milliseconds());
		}
		return JsonNodeFactory.instance.objectNode().put("held", true);
	}

	/**
	 * Takes a daemon's question for the view.
	 * @param body the message of the operation {@code placement/view}
	 * @return the answer, which comes when something changed or the given time is over
	 */
	public CompletableFuture<JsonNode> view(JsonNode body) {
		synchronized (this.lock) {
			if (this.tenancy == null) {
				return CompletableFuture.completedFuture(ViewPolls.notHeld());
			}
			return this.polls.add(body, this.services.clock().milliseconds());
		}
	}

	/**
	 * Returns whether this daemon acts under a tenure.
	 * @param fencing the fencing number of the tenure
	 * @return whether orders may still be begun under it
	 */
	boolean actsUnder(long fencing) {
		Duty.Tenure tenure = this.duty.tenure();
		return tenure != null && tenure.fencing() == fencing;
	}

	/**
	 * Returns how many writes to the key-value service this keeper began.
	 * @return the count over all tenures
	 */
	public int keyValueWrites() {
		synchronized (this.lock) {
			int writes = this.writesBefore;
			for (EndpointKeeper endpoint : this.endpoints.values()) {
				writes += endpoint.access().writes();
			}
			return writes;
		}
	}

	private void log(Event event) {
		this.services.log().accept(event.with("store", this.store));
	}

}

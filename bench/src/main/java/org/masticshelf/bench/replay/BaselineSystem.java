package org.masticshelf.bench.replay;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

import org.jspecify.annotations.Nullable;

import org.masticshelf.kernel.configuration.Loadable;
import org.masticshelf.kernel.configuration.Organisation;
import org.masticshelf.kernel.configuration.QualifiedName;
import org.masticshelf.kernel.port.ExchangeFailure;
import org.masticshelf.kernel.refusal.Refusal;

/**
 * The usual way: each entry instance holds an equal part of each grant, sends to the
 * endpoint with the fewest of its own requests outstanding, and waits first in first out;
 * models are loaded when asked for, evicted by least recent use when memory is needed,
 * and never unloaded otherwise.
 * <p>
 * It knows at once what is loaded anywhere, and loads nothing twice, which is kinder than
 * the usual. Used by one thread.
 */
final class BaselineSystem implements ServingSystem {

	private static final long RETRY_LOAD_NANOSECONDS = 200_000_000L;

	private final Fleet fleet;

	private final Ledger ledger;

	private final Map<QualifiedName, List<TokenBucket>> grants = new HashMap<>();

	private final List<Map<String, Integer>> outstanding = new ArrayList<>();

	private final Map<Loadable, Deque<Flight>> waiting = new LinkedHashMap<>();

	private final Map<Flight, Boolean> open = new HashMap<>();

	private final Set<Loadable> wanted = new HashSet<>();

	BaselineSystem(Fleet fleet, Ledger ledger) {
		this.fleet = fleet;
		this.ledger = ledger;
		for (Organisation organisation : fleet.configuration().tables().organisations()) {
			List<TokenBucket> parts = new ArrayList<>();
			for (int router = 0; router < Deployment.ROUTERS; router++) {
				parts.add(new TokenBucket((double) organisation.tokensPerSecond() / Deployment.ROUTERS,
						(double) organisation.burstTokens() / Deployment.ROUTERS));
			}
			this.grants.put(organisation.name(), parts);
		}
		for (int router = 0; router < Deployment.ROUTERS; router++) {
			this.outstanding.add(new TreeMap<>());
		}
	}

	@Override
	public String name() {
		return "baseline";
	}

	@Override
	public void start(long end) {
		this.fleet.time().every(RETRY_LOAD_NANOSECONDS, end, this::loadWanted);
	}

	@Override
	public void arrive(Flight flight) {
		this.open.put(flight, false);
		if (!grant(flight).tryTake(flight.request.costTokens(), now())) {
			refuse(flight, Refusal.Reason.RATE_EXCEEDED);
			return;
		}
		this.fleet.time().at(flight.deadline(), () -> refuse(flight, Refusal.Reason.DEADLINE_EXCEEDED));
		serveOrWait(flight);
	}

	private TokenBucket grant(Flight flight) {
		List<TokenBucket> parts = this.grants.get(flight.organisation);
		if (parts == null) {
			throw new IllegalStateException(flight.organisation + " has no grant");
		}
		return parts.get(flight.request.router());
	}

	private void serveOrWait(Flight flight) {
		Set<String> holders = this.fleet.holders(flight.loadable);
		if (holders.isEmpty()) {
			this.waiting.computeIfAbsent(flight.loadable, (key) -> new ArrayDeque<>()).add(flight);
			this.wanted.add(flight.loadable);
			loadWanted();
			return;
		}
		Map<String, Integer> own = this.outstanding.get(flight.request.router());
		String least = holders.stream()
			.min(Comparator.comparingInt((identifier) -> own.getOrDefault(identifier, 0)))
			.orElseThrow(() -> new IllegalStateException("no holder"));
		if (holders.stream().allMatch(this::isFull)) {
			this.wanted.add(flight.loadable.withoutAdapter());
		}
		send(flight, least, own);
	}

	private boolean isFull(String identifier) {
		FleetEndpoint endpoint = this.fleet.endpoint(identifier);
		return endpoint.runningCount() >= endpoint.endpoint().slots();
	}

	private void send(Flight flight, String identifier, Map<String, Integer> own) {
		FleetEndpoint endpoint = this.fleet.endpoint(identifier);
		long distance = this.fleet.distance(flight.request.router(), endpoint.endpoint());
		own.merge(identifier, 1, Integer::sum);
		this.fleet.time().after(distance, () -> endpoint.take(flight, () -> {
			this.open.computeIfPresent(flight, (key, started) -> true);
			this.ledger.started(flight);
		}, (failure) -> this.fleet.time().after(distance, () -> {
			own.merge(identifier, -1, Integer::sum);
			ended(flight, failure);
		})));
	}

	private void ended(Flight flight, ExchangeFailure.@Nullable Point failure) {
		if (failure == ExchangeFailure.Point.REFUSED_BY_ENDPOINT && this.open.containsKey(flight)) {
			serveOrWait(flight);
		}
		else if (failure != null) {
			refuse(flight, Refusal.Reason.EXCHANGE_BROKEN);
		}
		else {
			grant(flight).giveBack(flight.request.costTokens() - flight.request.usedTokens(), now());
			if (this.open.remove(flight) != null) {
				this.fleet.time().after(Deployment.CLIENT_DISTANCE_NANOSECONDS, () -> this.ledger.answered(flight));
			}
		}
	}

	private void refuse(Flight flight, Refusal.Reason reason) {
		Boolean started = this.open.remove(flight);
		if (started != null) {
			this.ledger.refused(flight, reason.code(), started);
		}
		this.waiting.getOrDefault(flight.loadable, new ArrayDeque<>()).remove(flight);
	}

	private void loadWanted() {
		List<Loadable> inOrder = new ArrayList<>(this.wanted);
		inOrder.sort(Comparator.comparingLong(this::waitingSince).thenComparing(Loadable::toString));
		inOrder.forEach(this::load);
	}

	private long waitingSince(Loadable loadable) {
		Deque<Flight> flights = this.waiting.get(loadable);
		return (flights != null && !flights.isEmpty()) ? flights.getFirst().arrived : Long.MAX_VALUE;
	}

	private void load(Loadable loadable) {
		long replicas = this.fleet.endpoints()
			.stream()
			.filter((each) -> each.residents().containsKey(loadable))
			.count();
		boolean loading = this.fleet.endpoints()
			.stream()
			.map((each) -> each.residents().get(loadable))
			.anyMatch((residence) -> residence != null && residence.state == Residence.State.LOADING);
		if (loading || replicas >= Fleet.MAXIMUM_REPLICAS) {
			this.wanted.remove(loadable);
			return;
		}
		if (loadable.isAdapter() && this.fleet.holders(loadable.withoutAdapter()).isEmpty()) {
			load(loadable.withoutAdapter());
			return;
		}
		FleetEndpoint target = target(loadable);
		if (target != null) {
			this.wanted.remove(loadable);
			target.load(loadable, this.fleet.bytes(loadable), (residence) -> loaded(loadable));
		}
	}

	private @Nullable FleetEndpoint target(Loadable loadable) {
		List<FleetEndpoint> able = this.fleet.endpoints()
			.stream()
			.filter(FleetEndpoint::isLive)
			.filter((each) -> !each.residents().containsKey(loadable))
			.filter((each) -> !loadable.isAdapter() || each.holds(loadable.withoutAdapter()))
			.sorted(Comparator.comparingLong(BaselineSystem::freeBytes).reversed())
			.toList();
		for (FleetEndpoint endpoint : able) {
			if (freeBytes(endpoint) >= this.fleet.bytes(loadable)) {
				return endpoint;
			}
		}
		able.stream()
			.flatMap((endpoint) -> endpoint.residents().values().stream())
			.filter((residence) -> isEvictable(residence, loadable))
			.min(Comparator.comparingLong((residence) -> residence.usedAt))
			.ifPresent((residence) -> evict(able, residence));
		return null;
	}

	private static long freeBytes(FleetEndpoint endpoint) {
		return endpoint.endpoint().memoryBytes() - endpoint.usedBytes();
	}

	private static boolean isEvictable(Residence residence, Loadable wanted) {
		return residence.serves() && residence.running == 0 && !residence.loadable.isAdapter()
				&& !residence.loadable.equals(wanted.withoutAdapter());
	}

	private static void evict(List<FleetEndpoint> able, Residence victim) {
		for (FleetEndpoint endpoint : able) {
			if (endpoint.residents().containsValue(victim)) {
				List.copyOf(endpoint.residents().keySet())
					.stream()
					.filter((loadable) -> loadable.withoutAdapter().equals(victim.loadable))
					.forEach((loadable) -> endpoint.unload(loadable, () -> {
					}));
			}
		}
	}

	private void loaded(Loadable loadable) {
		Deque<Flight> flights = this.waiting.remove(loadable);
		if (flights != null) {
			flights.forEach(this::serveOrWait);
		}
		loadWanted();
	}

	private long now() {
		return this.fleet.time().now();
	}

}

package org.masticshelf.serving.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

import org.masticshelf.kernel.serving.ServedEndpoint;
import org.masticshelf.kernel.serving.ServedEndpoint.Holdings;

/**
 * In-memory engines that accept one model order at a time, check the number of orders,
 * and, with injected faults, lose answers or execute orders late. Thread-safe.
 */
final class FakeEngineOrders implements EngineOrders {

	private static final long LOAD_MILLISECONDS = 5;

	private final Map<String, Engine> engines = new HashMap<>();

	private final Map<String, Double> megabytes;

	private final double capacityMegabytes;

	private final Random random;

	private final List<EngineOrder> lateOrders = new ArrayList<>();

	private final List<String> lateOrderEndpoints = new ArrayList<>();

	private final Set<String> violations = new HashSet<>();

	private final List<EngineOrder> acceptedOrders = new ArrayList<>();

	private double unansweredShare;

	private int reportCount;

	private int conflictCount;

	private long unloadMilliseconds = LOAD_MILLISECONDS;

	FakeEngineOrders(Map<String, Double> megabytes, double capacityMegabytes, long seed) {
		this.megabytes = megabytes;
		this.capacityMegabytes = capacityMegabytes;
		this.random = new Random(seed);
	}

	/** Sets the share of orders that get no answer; half of those are executed later. */
	synchronized void setUnansweredShare(double share) {
		this.unansweredShare = share;
	}

	/** Sets how long an engine is busy with an unload. */
	synchronized void setUnloadMilliseconds(long milliseconds) {
		this.unloadMilliseconds = milliseconds;
	}

	/** Makes an engine unreachable for reports. */
	synchronized void cutOff(String endpoint) {
		engine(endpoint).cutOff = true;
	}

	/** Makes an engine stop reporting once it has accepted a load. */
	synchronized void crashAfterLoad(String endpoint) {
		engine(endpoint).crashes = true;
	}

	@Override
	public synchronized CompletableFuture<OrderAnswer> order(ServedEndpoint endpoint, EngineOrder order) {
		if (!this.lateOrders.isEmpty() && this.random.nextBoolean()) {
			apply(this.lateOrderEndpoints.removeFirst(), this.lateOrders.removeFirst());
		}
		if (this.random.nextDouble() < this.unansweredShare) {
			if (this.random.nextBoolean()) {
				this.lateOrders.add(order);
				this.lateOrderEndpoints.add(endpoint.identifier());
			}
			return CompletableFuture.failedFuture(new IllegalStateException("no answer"));
		}
		return CompletableFuture.completedFuture(apply(endpoint.identifier(), order));
	}

	private OrderAnswer apply(String endpoint, EngineOrder order) {
		Engine engine = engine(endpoint);
		engine.settle();
		if (engine.busyUntil > 0 || order.ordersTaken() != engine.orders) {
			this.conflictCount++;
			return OrderAnswer.CONFLICT;
		}
		String model = order.loadable().model();
		boolean holds = engine.loaded.contains(model);
		if (holds == order.load()) {
			return OrderAnswer.HOLDS;
		}
		engine.orders++;
		this.acceptedOrders.add(order);
		engine.busyUntil = System.nanoTime() + (order.load() ? LOAD_MILLISECONDS : this.unloadMilliseconds) * 1_000_000;
		if (!order.load()) {
			engine.loaded.remove(model);
			return OrderAnswer.ACCEPTED;
		}
		engine.loaded.add(model);
		double used = engine.loaded.stream().mapToDouble((name) -> this.megabytes.getOrDefault(name, 0.0)).sum();
		if (used > this.capacityMegabytes) {
			this.violations.add(endpoint + " was ordered to hold " + engine.loaded);
		}
		return OrderAnswer.ACCEPTED;
	}

	@Override
	public synchronized CompletableFuture<EngineReport> report(ServedEndpoint endpoint) {
		Engine engine = engine(endpoint.identifier());
		this.reportCount++;
		if (engine.cutOff || (engine.crashes && engine.orders > 0)) {
			return CompletableFuture.failedFuture(new IllegalStateException("connection refused"));
		}
		engine.settle();
		Map<String, Set<String>> loaded = new HashMap<>();
		engine.loaded.forEach((model) -> loaded.put(model, Set.of()));
		return CompletableFuture.completedFuture(new EngineReport(engine.busyUntil > 0, engine.orders,
				new Holdings(loaded, Set.of(), this.megabytes.keySet())));
	}

	private Engine engine(String endpoint) {
		return this.engines.computeIfAbsent(endpoint, (key) -> new Engine());
	}

	synchronized boolean holds(String model) {
		return this.engines.values()
			.stream()
			.anyMatch((engine) -> engine.loaded.contains(model) && !(engine.crashes && engine.orders > 0));
	}

	/** Returns how many orders were refused with a conflict. */
	synchronized int conflictCount() {
		return this.conflictCount;
	}

	synchronized int reportCount() {
		return this.reportCount;
	}

	/** Returns descriptions of the orders that overcommitted an engine's memory. */
	synchronized Set<String> violations() {
		return Set.copyOf(this.violations);
	}

	synchronized List<EngineOrder> acceptedOrders() {
		return List.copyOf(this.acceptedOrders);
	}

	/** One engine, guarded by the lock of the enclosing instance. */
	private static final class Engine {

		private final Set<String> loaded = new HashSet<>();

		private long orders;

		private long busyUntil;

		private boolean crashes;

		private boolean cutOff;

		private void settle() {
			if (this.busyUntil > 0 && System.nanoTime() - this.busyUntil >= 0) {
				this.busyUntil = 0;
			}
		}

	}

}

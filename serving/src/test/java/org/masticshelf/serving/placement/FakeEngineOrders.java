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
 * Engines in memory that take one model order at a time, check the number of orders, and
 * lose answers or carry orders out late as their faults say. Safe for use by several
 * threads.
 */
final class FakeEngineOrders implements EngineOrders {

	private static final long LOAD_MILLISECONDS = 5;

	private final Map<String, Engine> engines = new HashMap<>();

	private final Map<String, Double> megabytes;

	private final double capacity;

	private final Random random;

	private final List<EngineOrder> late = new ArrayList<>();

	private final List<String> lateAt = new ArrayList<>();

	private final Set<String> mistakes = new HashSet<>();

	private final List<EngineOrder> taken = new ArrayList<>();

	private double unanswered;

	private int reports;

	FakeEngineOrders(Map<String, Double> megabytes, double capacity, long seed) {
		this.megabytes = megabytes;
		this.capacity = capacity;
		this.random = new Random(seed);
	}

	/** Has a share of the orders go unanswered; half of those are carried out later. */
	synchronized void setUnansweredShare(double share) {
		this.unanswered = share;
	}

	/** Has an engine answer nothing any more. */
	synchronized void cutOff(String endpoint) {
		engine(endpoint).cutOff = true;
	}

	/** Has an engine answer nothing any more once it has taken a load. */
	synchronized void crashAfterLoad(String endpoint) {
		engine(endpoint).crashes = true;
	}

	@Override
	public synchronized CompletableFuture<OrderAnswer> order(ServedEndpoint endpoint, EngineOrder order) {
		if (!this.late.isEmpty() && this.random.nextBoolean()) {
			apply(this.lateAt.removeFirst(), this.late.removeFirst());
		}
		if (this.random.nextDouble() < this.unanswered) {
			if (this.random.nextBoolean()) {
				this.late.add(order);
				this.lateAt.add(endpoint.identifier());
			}
			return CompletableFuture.failedFuture(new IllegalStateException("no answer"));
		}
		return CompletableFuture.completedFuture(apply(endpoint.identifier(), order));
	}

	private OrderAnswer apply(String endpoint, EngineOrder order) {
		Engine engine = engine(endpoint);
		engine.settle();
		if (engine.busyUntil > 0 || order.ordersTaken() != engine.orders) {
			return OrderAnswer.CONFLICT;
		}
		String model = order.loadable().model();
		boolean holds = engine.loaded.contains(model);
		if (holds == order.load()) {
			return OrderAnswer.HOLDS;
		}
		engine.orders++;
		this.taken.add(order);
		engine.busyUntil = System.nanoTime() + LOAD_MILLISECONDS * 1_000_000;
		if (!order.load()) {
			engine.loaded.remove(model);
			return OrderAnswer.ACCEPTED;
		}
		engine.loaded.add(model);
		double used = engine.loaded.stream().mapToDouble((name) -> this.megabytes.getOrDefault(name, 0.0)).sum();
		if (used > this.capacity) {
			this.mistakes.add(endpoint + " was ordered to hold " + engine.loaded);
		}
		return OrderAnswer.ACCEPTED;
	}

	@Override
	public synchronized CompletableFuture<EngineReport> report(ServedEndpoint endpoint) {
		Engine engine = engine(endpoint.identifier());
		this.reports++;
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

	synchronized int reports() {
		return this.reports;
	}

	/** Returns what no engine should have been ordered. */
	synchronized Set<String> violations() {
		return Set.copyOf(this.mistakes);
	}

	synchronized List<EngineOrder> taken() {
		return List.copyOf(this.taken);
	}

	/** One engine, guarded by the lock of all. */
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

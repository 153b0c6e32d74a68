package org.masticshelf.control.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;

import org.masticshelf.kernel.configuration.Pool;
import org.masticshelf.kernel.port.Engine;
import org.masticshelf.kernel.port.ExchangeFailure;
import org.masticshelf.kernel.time.MonotonicClock;

/**
 * Engines in one process that check memory and replica limits independently of placement.
 * A load takes {@link #loadMilliseconds} by the test's clock. Not thread-safe.
 */
final class FakeEngines {

	private static final long ORDER_DELAY_MILLISECONDS = 25_000;

	final List<String> violations = new ArrayList<>();

	final Map<String, Integer> loadCounts = new TreeMap<>();

	final Set<String> down = new HashSet<>();

	private final Map<String, FakeEngine> engines = new TreeMap<>();

	private final Map<String, Integer> maximumReplicas;

	private final List<DelayedOrder> delayed = new ArrayList<>();

	private final MonotonicClock clock;

	long loadMilliseconds = 1_000;

	FakeEngines(MonotonicClock clock, Map<String, Integer> maximumReplicas) {
		this.clock = clock;
		this.maximumReplicas = maximumReplicas;
	}

	/**
	 * Returns an engine port for one daemon, which can hold or delay orders and lose
	 * orders or their answers.
	 */
	Port port() {
		return new Port();
	}

	/** Delivers the delayed orders that are due. */
	void deliverDue() {
		List<DelayedOrder> due = new ArrayList<>(this.delayed);
		due.removeIf((each) -> each.at() > this.clock.milliseconds());
		this.delayed.removeAll(due);
		due.forEach((each) -> each.delivery().run());
	}

	/** Restarts an engine, which keeps nothing but its highest fencing number. */
	void restart(String endpoint) {
		FakeEngine engine = this.engines.get(endpoint);
		if (engine != null) {
			engine.items.clear();
		}
	}

	Set<String> namesAt(String endpoint) {
		FakeEngine engine = this.engines.get(endpoint);
		return (engine != null) ? engine.items.keySet() : Set.of();
	}

	private FakeEngine engine(Pool.Endpoint endpoint) {
		return this.engines.computeIfAbsent(endpoint.identifier(), (key) -> new FakeEngine(endpoint.memoryBytes()));
	}

	private Engine.OrderAnswer execute(Pool.Endpoint endpoint, Engine.Order order) {
		FakeEngine engine = engine(endpoint);
		if (endpoint.checksFencing() && order.fencing() < engine.highestFencing) {
			return new Engine.OrderAnswer(false, "old_fencing");
		}
		engine.highestFencing = Math.max(engine.highestFencing, order.fencing());
		if (order.action() == Engine.Action.UNLOAD) {
			engine.items.keySet().removeIf((name) -> name.equals(order.name()) || name.startsWith(order.name() + ":"));
			return new Engine.OrderAnswer(true, null);
		}
		if (engine.items.containsKey(order.name())) {
			return new Engine.OrderAnswer(true, null);
		}
		int colon = order.name().indexOf(':');
		if (colon > 0 && !engine.isLoaded(order.name().substring(0, colon))) {
			return new Engine.OrderAnswer(false, "model_not_loaded");
		}
		engine.items.put(order.name(),
				new Item(order.memoryBytes(), this.clock.milliseconds() + this.loadMilliseconds));
		this.loadCounts.merge(order.name(), 1, Integer::sum);
		checkLimits(endpoint, engine, order.name());
		return new Engine.OrderAnswer(true, null);
	}

	private void checkLimits(Pool.Endpoint endpoint, FakeEngine engine, String name) {
		long used = engine.items.values().stream().mapToLong(Item::bytes).sum();
		if (used > engine.memoryBytes) {
			this.violations.add("memory of " + endpoint.identifier() + " overcommitted by " + name);
		}
		long replicas = this.engines.values().stream().filter((each) -> each.items.containsKey(name)).count();
		if (replicas > this.maximumReplicas.getOrDefault(name, Integer.MAX_VALUE)) {
			this.violations.add(replicas + " replicas of " + name);
		}
	}

	private Engine.Report report(Pool.Endpoint endpoint) {
		FakeEngine engine = engine(endpoint);
		List<Engine.Item> items = new ArrayList<>();
		engine.items.forEach((name, item) -> items.add(new Engine.Item(name,
				engine.isLoaded(name) ? Engine.ItemState.LOADED : Engine.ItemState.LOADING, item.bytes())));
		return new Engine.Report(items, List.of(), 0, 0, engine.memoryBytes, engine.highestFencing);
	}

	private record DelayedOrder(long at, Runnable delivery) {
	}

	private record Item(long bytes, long readyAt) {
	}

	private final class FakeEngine {

		private final Map<String, Item> items = new LinkedHashMap<>();

		private final long memoryBytes;

		private long highestFencing;

		private FakeEngine(long memoryBytes) {
			this.memoryBytes = memoryBytes;
		}

		private boolean isLoaded(String name) {
			Item item = this.items.get(name);
			return item != null && FakeEngines.this.clock.milliseconds() >= item.readyAt();
		}

	}

	/** The engine port of one daemon. */
	final class Port implements Engine {

		private final List<Runnable> heldOrders = new ArrayList<>();

		private final Map<String, Integer> orderCounts = new HashMap<>();

		boolean holdsOrders;

		boolean losesOrders;

		int ordersToDelay;

		int answersToLose;

		@Override
		public CompletableFuture<OrderAnswer> sendOrder(Pool.Endpoint endpoint, Order order) {
			CompletableFuture<OrderAnswer> answer = new CompletableFuture<>();
			this.orderCounts.merge(order.action() + " " + order.name(), 1, Integer::sum);
			Runnable delivery = () -> deliver(endpoint, order, answer);
			if (this.losesOrders) {
				answer.completeExceptionally(new ExchangeFailure(ExchangeFailure.Point.AWAITING_ANSWER, "lost"));
			}
			else if (this.ordersToDelay > 0) {
				this.ordersToDelay--;
				FakeEngines.this.delayed
					.add(new DelayedOrder(FakeEngines.this.clock.milliseconds() + ORDER_DELAY_MILLISECONDS, delivery));
				answer.completeExceptionally(new ExchangeFailure(ExchangeFailure.Point.AWAITING_ANSWER, "slow"));
			}
			else if (this.holdsOrders) {
				this.heldOrders.add(delivery);
			}
			else {
				delivery.run();
			}
			return answer;
		}

		private void deliver(Pool.Endpoint endpoint, Order order, CompletableFuture<OrderAnswer> answer) {
			if (FakeEngines.this.down.contains(endpoint.identifier())) {
				answer.completeExceptionally(new ExchangeFailure(ExchangeFailure.Point.BEFORE_CONNECT, "down"));
				return;
			}
			OrderAnswer executed = execute(endpoint, order);
			if (this.answersToLose > 0) {
				this.answersToLose--;
				answer.completeExceptionally(new ExchangeFailure(ExchangeFailure.Point.AWAITING_ANSWER, "cut"));
				return;
			}
			answer.complete(executed);
		}

		/** Delivers the held orders, as a daemon does when it resumes after a pause. */
		void release() {
			this.holdsOrders = false;
			List<Runnable> released = List.copyOf(this.heldOrders);
			this.heldOrders.clear();
			released.forEach(Runnable::run);
		}

		int orderCount(String action, String name) {
			return this.orderCounts.getOrDefault(action + " " + name, 0);
		}

		@Override
		public CompletableFuture<Report> readReport(Pool.Endpoint endpoint) {
			if (FakeEngines.this.down.contains(endpoint.identifier())) {
				return CompletableFuture
					.failedFuture(new ExchangeFailure(ExchangeFailure.Point.BEFORE_CONNECT, "down"));
			}
			return CompletableFuture.completedFuture(FakeEngines.this.report(endpoint));
		}

		@Override
		public Cancellation generate(Pool.Endpoint endpoint, Generation generation, AnswerSink sink) {
			throw new UnsupportedOperationException("placement does not generate");
		}

		@Override
		public void close() {
			this.heldOrders.clear();
		}

	}

}

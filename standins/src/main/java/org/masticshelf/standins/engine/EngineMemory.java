package org.masticshelf.standins.engine;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.masticshelf.kernel.port.Engine;

/**
 * What an engine holds in its memory and in its caches, counted by the engine itself.
 * <p>
 * Invariant: the bytes of all items, loading or loaded, never exceed the memory, and an
 * adapter is held only beside its model. Safe for use by several threads under its own
 * lock.
 */
final class EngineMemory {

	private static final int HOST_MEMORY_ENTRIES = 4;

	private static final int DISK_ENTRIES = 16;

	private final Object lock = new Object();

	private final Map<String, Engine.Item> items = new LinkedHashMap<>();

	private final Map<String, Long> generations = new HashMap<>();

	private final LinkedHashMap<String, Engine.CacheLevel> cache = new LinkedHashMap<>();

	private final Map<String, Integer> running = new HashMap<>();

	private final long memoryBytes;

	private final boolean checksFencing;

	private final EngineTally tally;

	private long highestFencing;

	private long generation;

	/**
	 * Creates an empty memory.
	 * @param memoryBytes the memory for models and adapters in bytes
	 * @param checksFencing whether orders with an old fencing number are refused
	 * @param tally counts what happens
	 */
	EngineMemory(long memoryBytes, boolean checksFencing, EngineTally tally) {
		this.memoryBytes = memoryBytes;
		this.checksFencing = checksFencing;
		this.tally = tally;
	}

	/**
	 * Takes an order.
	 * @param order the order
	 * @return whether it was taken, and whether a load has to begin
	 */
	Taken take(Engine.Order order) {
		synchronized (this.lock) {
			if (this.checksFencing && order.fencing() < this.highestFencing) {
				return refused("old_fencing");
			}
			this.highestFencing = Math.max(this.highestFencing, order.fencing());
			return switch (order.action()) {
				case LOAD -> takeLoad(order);
				case UNLOAD -> takeUnload(order.name());
			};
		}
	}

	private Taken takeLoad(Engine.Order order) {
		String name = order.name();
		if (this.items.containsKey(name)) {
			return new Taken(new Engine.OrderAnswer(true, null), 0, Engine.CacheLevel.MEMORY);
		}
		Engine.Item model = this.items.get(modelOf(name));
		if (isAdapter(name) && (model == null || model.state() != Engine.ItemState.LOADED)) {
			return refused("model_not_loaded");
		}
		if (usedBytes() + order.memoryBytes() > this.memoryBytes) {
			this.tally.overcommitted();
			return refused("memory");
		}
		int loading = (int) this.items.values()
			.stream()
			.filter((item) -> item.state() == Engine.ItemState.LOADING)
			.count();
		this.items.put(name, new Engine.Item(name, Engine.ItemState.LOADING, order.memoryBytes()));
		this.generations.put(name, ++this.generation);
		this.tally.loadBegan(name, usedBytes(), loading);
		Engine.CacheLevel level = this.cache.getOrDefault(name, Engine.CacheLevel.REMOTE);
		return new Taken(new Engine.OrderAnswer(true, null), this.generation, level);
	}

	private Taken takeUnload(String name) {
		List<String> leaving = new ArrayList<>();
		for (String held : this.items.keySet()) {
			if (held.equals(name) || (!isAdapter(name) && isAdapter(held) && modelOf(held).equals(name))) {
				leaving.add(held);
			}
		}
		leaving.forEach(this::remove);
		return new Taken(new Engine.OrderAnswer(true, null), 0, Engine.CacheLevel.MEMORY);
	}

	private void remove(String name) {
		Engine.Item item = this.items.remove(name);
		this.generations.remove(name);
		if (item != null && item.state() == Engine.ItemState.LOADED) {
			remember(name);
		}
		this.tally.left(name, this.running.getOrDefault(name, 0) > 0);
	}

	private void remember(String name) {
		this.cache.remove(name);
		this.cache.put(name, Engine.CacheLevel.MEMORY);
		List<String> oldestFirst = new ArrayList<>(this.cache.keySet());
		int excess = oldestFirst.size() - HOST_MEMORY_ENTRIES;
		for (int index = 0; index < excess; index++) {
			this.cache.replace(oldestFirst.get(index), Engine.CacheLevel.DISK);
		}
		if (oldestFirst.size() > HOST_MEMORY_ENTRIES + DISK_ENTRIES) {
			this.cache.remove(oldestFirst.get(0));
		}
	}

	/**
	 * Ends a load.
	 * @param name what was loaded
	 * @param ended the generation of the load; one that was unloaded meanwhile is ignored
	 * @param successful whether the weights are there
	 */
	void loadEnded(String name, long ended, boolean successful) {
		synchronized (this.lock) {
			Engine.Item item = this.items.get(name);
			if (item == null || this.generations.getOrDefault(name, 0L) != ended) {
				return;
			}
			if (successful) {
				this.items.put(name, new Engine.Item(name, Engine.ItemState.LOADED, item.memoryBytes()));
			}
			else {
				remove(name);
			}
		}
	}

	/**
	 * Begins a request on a loaded model or adapter.
	 * @param name the model or {@code model:adapter}
	 * @return whether it is loaded
	 */
	boolean beginRequest(String name) {
		synchronized (this.lock) {
			Engine.Item item = this.items.get(name);
			if (item == null || item.state() != Engine.ItemState.LOADED) {
				return false;
			}
			this.running.merge(name, 1, Integer::sum);
			return true;
		}
	}

	/**
	 * Ends a request.
	 * @param name the model or {@code model:adapter}
	 */
	void endRequest(String name) {
		synchronized (this.lock) {
			this.running.merge(name, -1, Integer::sum);
		}
	}

	/**
	 * Reports what is held.
	 * @param running how many requests run
	 * @param waiting how many requests wait
	 * @return the report
	 */
	Engine.Report report(int running, int waiting) {
		synchronized (this.lock) {
			List<Engine.Cached> cached = this.cache.entrySet()
				.stream()
				.map((entry) -> new Engine.Cached(entry.getKey(), entry.getValue()))
				.toList();
			return new Engine.Report(List.copyOf(this.items.values()), cached, running, waiting, this.memoryBytes,
					this.highestFencing);
		}
	}

	private long usedBytes() {
		return this.items.values().stream().mapToLong(Engine.Item::memoryBytes).sum();
	}

	private Taken refused(String reason) {
		this.tally.refused(reason);
		return new Taken(new Engine.OrderAnswer(false, reason), 0, Engine.CacheLevel.REMOTE);
	}

	private static boolean isAdapter(String name) {
		return name.indexOf(':') >= 0;
	}

	private static String modelOf(String name) {
		int colon = name.indexOf(':');
		return (colon >= 0) ? name.substring(0, colon) : name;
	}

	/**
	 * The outcome of an order.
	 *
	 * @param answer the answer
	 * @param load the generation of the load that has to begin, 0 for none
	 * @param level where the weights lie
	 */
	record Taken(Engine.OrderAnswer answer, long load, Engine.CacheLevel level) {
	}

}

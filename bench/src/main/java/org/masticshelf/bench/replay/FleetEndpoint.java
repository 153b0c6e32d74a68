package org.masticshelf.bench.replay;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

import org.jspecify.annotations.Nullable;

import org.masticshelf.kernel.configuration.Loadable;
import org.masticshelf.kernel.configuration.Pool;
import org.masticshelf.kernel.port.Engine;
import org.masticshelf.kernel.port.ExchangeFailure;

/**
 * A fake of one endpoint: memory, loads, a bounded number of running requests and a queue
 * in order of arrival.
 * <p>
 * Invariant: what is resident never takes more than the memory; a violation ends the
 * replay. Used by one thread.
 */
final class FleetEndpoint {

	private static final long UNLOAD_NANOSECONDS = 200_000_000L;

	private static final double PROMPT_TOKENS_PER_SECOND = 5_000;

	private static final double OUTPUT_TOKENS_PER_SECOND = 50;

	private static final double NANOSECONDS_PER_SECOND = 1e9;

	private static final int MODELS_IN_HOST_MEMORY = 3;

	private final VirtualTime time;

	private final WeightStore store;

	private final Pool.Endpoint endpoint;

	private final Set<Loadable> onDisk;

	private final LinkedHashSet<Loadable> inHostMemory = new LinkedHashSet<>();

	private final Map<Loadable, Residence> residents = new LinkedHashMap<>();

	private final Set<Work> running = new HashSet<>();

	private final Deque<Work> waiting = new ArrayDeque<>();

	private final Map<Loadable, List<Runnable>> whenFree = new HashMap<>();

	private boolean live = true;

	private int generation;

	private double idleGigabyteSeconds;

	FleetEndpoint(VirtualTime time, WeightStore store, Pool.Endpoint endpoint, Set<Loadable> onDisk) {
		this.time = time;
		this.store = store;
		this.endpoint = endpoint;
		this.onDisk = new HashSet<>(onDisk);
	}

	void load(Loadable loadable, long bytes, Consumer<Residence> loaded) {
		Engine.CacheLevel level = level(loadable);
		Residence residence = new Residence(loadable, bytes, level, this.time.now());
		if (this.residents.putIfAbsent(loadable, residence) != null) {
			throw new IllegalStateException(loadable + " was loaded twice at " + this.endpoint.identifier());
		}
		if (usedBytes() > this.endpoint.memoryBytes()) {
			throw new IllegalStateException("the memory of " + this.endpoint.identifier() + " is overcommitted");
		}
		long duration = loadable.isAdapter() ? this.store.startAdapter()
				: this.store.startModel(bytes / (double) Fleet.GIGABYTE, level, this.time.now());
		int started = this.generation;
		this.time.after(duration, () -> {
			endLoad(loadable, level);
			if (this.generation == started) {
				becomeLoaded(residence);
				loaded.accept(residence);
			}
		});
	}

	private void endLoad(Loadable loadable, Engine.CacheLevel level) {
		if (loadable.isAdapter()) {
			this.store.endAdapter();
		}
		else {
			this.store.endModel(level);
		}
	}

	private void becomeLoaded(Residence residence) {
		residence.state = Residence.State.LOADED;
		residence.loadedAt = this.time.now();
		residence.usedAt = residence.loadedAt;
		residence.idleSince = residence.loadedAt;
		if (!residence.loadable.isAdapter()) {
			this.onDisk.add(residence.loadable);
		}
	}

	/**
	 * Unloads once nothing runs on it.
	 * @param loadable what to unload
	 * @param unloaded told when its memory is free
	 */
	void unload(Loadable loadable, Runnable unloaded) {
		Residence residence = this.residents.get(loadable);
		if (residence == null || residence.state != Residence.State.LOADED) {
			return;
		}
		residence.state = Residence.State.UNLOADING;
		if (residence.running == 0) {
			free(residence, unloaded);
		}
		else {
			this.whenFree.computeIfAbsent(loadable, (key) -> new ArrayList<>()).add(() -> free(residence, unloaded));
		}
	}

	private void free(Residence residence, Runnable unloaded) {
		int started = this.generation;
		this.time.after(UNLOAD_NANOSECONDS, () -> {
			if (this.generation == started) {
				countIdle(residence);
				this.residents.remove(residence.loadable);
				remember(residence.loadable);
				unloaded.run();
			}
		});
	}

	private void remember(Loadable loadable) {
		if (!loadable.isAdapter()) {
			this.inHostMemory.remove(loadable);
			this.inHostMemory.add(loadable);
			if (this.inHostMemory.size() > MODELS_IN_HOST_MEMORY) {
				this.inHostMemory.remove(this.inHostMemory.iterator().next());
			}
		}
	}

	/**
	 * Takes a request that has arrived.
	 * @param flight the request
	 * @param started told when it starts to run
	 * @param ended told when it has ended, with how it failed or {@code null}
	 */
	void take(Flight flight, Runnable started, Consumer<ExchangeFailure.@Nullable Point> ended) {
		if (!this.live) {
			ended.accept(ExchangeFailure.Point.BEFORE_CONNECT);
			return;
		}
		if (!holds(flight.loadable)) {
			ended.accept(ExchangeFailure.Point.REFUSED_BY_ENDPOINT);
			return;
		}
		Work work = new Work(flight, started, ended);
		use(flight.loadable, 1);
		if (this.running.size() < this.endpoint.slots()) {
			run(work);
		}
		else {
			this.waiting.add(work);
		}
	}

	private void run(Work work) {
		this.running.add(work);
		work.started().run();
		TraceEvent.Request request = work.flight().request;
		double seconds = request.promptTokens() / PROMPT_TOKENS_PER_SECOND
				+ request.outputTokens() / OUTPUT_TOKENS_PER_SECOND;
		this.time.after((long) (seconds * NANOSECONDS_PER_SECOND), () -> {
			if (this.running.remove(work)) {
				use(work.flight().loadable, -1);
				startNext();
				work.ended().accept(null);
			}
		});
	}

	private void startNext() {
		Work next = this.waiting.pollFirst();
		if (next != null) {
			run(next);
		}
	}

	private void use(Loadable loadable, int change) {
		count(loadable, change);
		if (loadable.isAdapter()) {
			count(loadable.withoutAdapter(), change);
		}
	}

	private void count(Loadable loadable, int change) {
		Residence residence = this.residents.get(loadable);
		if (residence == null) {
			return;
		}
		if (residence.running == 0) {
			countIdle(residence);
		}
		residence.running += change;
		residence.usedAt = this.time.now();
		residence.idleSince = this.time.now();
		if (residence.running == 0) {
			this.whenFree.getOrDefault(loadable, List.of()).forEach(Runnable::run);
			this.whenFree.remove(loadable);
		}
	}

	private void countIdle(Residence residence) {
		if (residence.running == 0 && residence.state != Residence.State.LOADING) {
			double seconds = (this.time.now() - residence.idleSince) / NANOSECONDS_PER_SECOND;
			this.idleGigabyteSeconds += seconds * residence.bytes / Fleet.GIGABYTE;
			residence.idleSince = this.time.now();
		}
	}

	void lose() {
		this.live = false;
		this.generation++;
		this.residents.values().forEach(this::countIdle);
		this.residents.clear();
		this.inHostMemory.clear();
		this.whenFree.clear();
		List<Work> lost = new ArrayList<>(this.running);
		lost.addAll(this.waiting);
		this.running.clear();
		this.waiting.clear();
		lost.sort((first, second) -> Long.compare(first.flight().request.identifier(),
				second.flight().request.identifier()));
		lost.forEach((work) -> work.ended().accept(ExchangeFailure.Point.AWAITING_ANSWER));
	}

	void comeBack() {
		this.live = true;
	}

	/**
	 * Returns the accelerator time that went to what nobody used.
	 * @return accelerator hours, a replica counted by its share of the memory
	 */
	double idleAcceleratorHours() {
		this.residents.values().forEach(this::countIdle);
		double gigabytes = this.endpoint.memoryBytes() / (double) Fleet.GIGABYTE;
		return this.idleGigabyteSeconds / gigabytes / 3_600;
	}

	boolean holds(Loadable loadable) {
		Residence residence = this.residents.get(loadable);
		return this.live && residence != null && residence.serves()
				&& (!loadable.isAdapter() || holds(loadable.withoutAdapter()));
	}

	Engine.CacheLevel level(Loadable loadable) {
		if (this.inHostMemory.contains(loadable)) {
			return Engine.CacheLevel.MEMORY;
		}
		return this.onDisk.contains(loadable) ? Engine.CacheLevel.DISK : Engine.CacheLevel.REMOTE;
	}

	long usedBytes() {
		return this.residents.values().stream().mapToLong((residence) -> residence.bytes).sum();
	}

	Map<Loadable, Residence> residents() {
		return this.residents;
	}

	Set<Loadable> onDisk() {
		return this.onDisk;
	}

	int runningCount() {
		return this.running.size();
	}

	int waitingCount() {
		return this.waiting.size();
	}

	boolean isLive() {
		return this.live;
	}

	Pool.Endpoint endpoint() {
		return this.endpoint;
	}

	private record Work(Flight flight, Runnable started, Consumer<ExchangeFailure.@Nullable Point> ended) {
	}

}

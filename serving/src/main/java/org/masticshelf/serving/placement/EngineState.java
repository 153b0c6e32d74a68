package org.masticshelf.serving.placement;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

import org.jspecify.annotations.Nullable;

import org.masticshelf.kernel.residency.Engine;
import org.masticshelf.kernel.residency.Step;
import org.masticshelf.kernel.serving.EngineProfile;
import org.masticshelf.kernel.serving.Loadable;
import org.masticshelf.kernel.serving.ServedEndpoint;
import org.masticshelf.kernel.serving.ServedEndpoint.Holdings;
import org.masticshelf.serving.placement.EngineOrders.EngineReport;

/**
 * What the placing daemon knows of one engine.
 * <p>
 * Invariant: {@link #ordersTaken()} never decreases within a run of the engine, and a
 * report from before the last order does not change what is held. Not safe for use by
 * several threads; guarded by the lock of the placement.
 */
final class EngineState {

	/** Reports are some hundred milliseconds old; after this they show the last order. */
	private static final long REPORT_LAG_MILLISECONDS = 1_000;

	private static final long UNLOADING_MILLISECONDS = 350;

	/** An adapter on its way holds its place for this long. */
	private static final long COMING_MILLISECONDS = 1_000;

	private final ServedEndpoint endpoint;

	private final Map<String, Set<String>> loaded = new HashMap<>();

	private final Set<String> inMemory = new HashSet<>();

	private final Set<String> onDisk = new HashSet<>();

	private final Map<Loadable, Long> coming = new HashMap<>();

	private final Map<String, Long> usedAt = new HashMap<>();

	private Map<String, Integer> running = Map.of();

	private long ordersTaken;

	private boolean known;

	private boolean orderOpen;

	private Step.@Nullable Load modelStep;

	private long modelStepEndsAt;

	private long reportAskedAt = Long.MIN_VALUE;

	private long orderedAt;

	private boolean changed = true;

	private volatile boolean reportMissed;

	EngineState(ServedEndpoint endpoint) {
		this.endpoint = endpoint;
	}

	ServedEndpoint endpoint() {
		return this.endpoint;
	}

	long ordersTaken() {
		return this.ordersTaken;
	}

	/**
	 * Returns whether what the engine holds is known well enough to give it orders.
	 * @return whether a report was read since the last doubt
	 */
	boolean isKnown() {
		return this.known;
	}

	/**
	 * Notes that a report was not answered.
	 * @return whether the one before was
	 */
	boolean recordMissedReport() {
		boolean first = !this.reportMissed;
		this.reportMissed = true;
		return first;
	}

	/** Notes that a report was answered. */
	void recordAnsweredReport() {
		this.reportMissed = false;
	}

	/**
	 * Returns whether the last report that was asked for was not answered.
	 * @return whether it was missed
	 */
	boolean isReportMissed() {
		return this.reportMissed;
	}

	/** Notes that an order may or may not have been taken. */
	void markUnknown() {
		this.known = false;
	}

	boolean isReportDue(long now, long interval) {
		if (now - this.reportAskedAt < interval && this.reportAskedAt != Long.MIN_VALUE) {
			return false;
		}
		this.reportAskedAt = now;
		return true;
	}

	/**
	 * Takes in a report.
	 * @param report the report
	 * @param now the monotonic time in milliseconds
	 * @return whether it is at least as new as what is known
	 */
	boolean applyReport(EngineReport report, long now) {
		boolean settled = !this.known && now - this.orderedAt > REPORT_LAG_MILLISECONDS;
		if (report.ordersTaken() < this.ordersTaken && !settled) {
			return false;
		}
		this.ordersTaken = report.ordersTaken();
		Map<String, Set<String>> before = new HashMap<>(this.loaded);
		this.loaded.clear();
		report.holdings().loaded().forEach((model, adapters) -> {
			this.loaded.put(model, new HashSet<>(adapters));
			if (!before.containsKey(model)) {
				this.usedAt.put(model, now);
			}
		});
		this.inMemory.clear();
		this.inMemory.addAll(report.holdings().inMemory());
		this.onDisk.clear();
		this.onDisk.addAll(report.holdings().onDisk());
		this.changed |= !this.known || !before.equals(this.loaded);
		this.known = true;
		return true;
	}

	/**
	 * Notes that a step has begun.
	 * @param step the step
	 * @param now the monotonic time in milliseconds
	 */
	void beginStep(Step step, long now) {
		this.orderOpen = true;
		if (step instanceof Step.Load load && load.loadable().adapter() == null) {
			this.modelStep = load;
			this.modelStepEndsAt = now + load.milliseconds() + (load.victims().isEmpty() ? 0 : UNLOADING_MILLISECONDS);
		}
	}

	/**
	 * Notes that an order was taken.
	 * @param now the monotonic time in milliseconds
	 */
	void recordAcceptedOrder(long now) {
		this.ordersTaken++;
		this.orderedAt = now;
	}

	/**
	 * Notes that the weights of the model under way are being loaded.
	 * @param load the step
	 * @param now the monotonic time in milliseconds
	 */
	void recordLoadStarted(Step.Load load, long now) {
		this.modelStepEndsAt = now + load.milliseconds();
	}

	/**
	 * Notes that an adapter is on its way.
	 * @param loadable the adapter
	 * @param now the monotonic time in milliseconds
	 */
	void recordLoadingAdapter(Loadable loadable, long now) {
		this.coming.put(loadable, now + COMING_MILLISECONDS);
	}

	/**
	 * Notes that a loadable is loaded.
	 * @param loadable the model or adapter
	 * @param now the monotonic time in milliseconds
	 */
	void recordLoaded(Loadable loadable, long now) {
		Set<String> adapters = this.loaded.computeIfAbsent(loadable.model(), (key) -> new HashSet<>());
		if (loadable.adapter() != null) {
			adapters.add(loadable.adapter());
		}
		this.usedAt.put(loadable.toString(), now);
		this.coming.remove(loadable);
		this.changed = true;
	}

	/**
	 * Notes that a loadable is no longer held, or soon will not be.
	 * @param loadable the model or adapter
	 */
	void recordUnloaded(Loadable loadable) {
		this.changed = true;
		if (loadable.adapter() == null) {
			this.loaded.remove(loadable.model());
		}
		else if (this.loaded.containsKey(loadable.model())) {
			this.loaded.get(loadable.model()).remove(loadable.adapter());
		}
	}

	/**
	 * Returns whether what the engine holds has changed since this was last asked.
	 * @return whether it has
	 */
	boolean getAndClearChanged() {
		boolean taken = this.changed;
		this.changed = false;
		return taken;
	}

	Step.@Nullable Load modelStep() {
		return this.modelStep;
	}

	void endModelStep() {
		this.modelStep = null;
	}

	boolean isOrderOpen() {
		return this.orderOpen;
	}

	/** Notes that no order is open. */
	void endOrder() {
		this.orderOpen = false;
	}

	/**
	 * Sets what runs on the engine.
	 * @param counts requests by model or adapter over all daemons
	 * @param now the monotonic time in milliseconds
	 */
	void setRunning(Map<String, Integer> counts, long now) {
		this.running = counts;
		counts.keySet().forEach((loadable) -> {
			this.usedAt.put(loadable, now);
			this.usedAt.put(Loadable.parse(loadable).model(), now);
		});
	}

	Holdings holdings() {
		Map<String, Set<String>> copy = new HashMap<>();
		this.loaded.forEach((model, adapters) -> copy.put(model, Set.copyOf(adapters)));
		return new Holdings(copy, this.inMemory, this.onDisk);
	}

	/**
	 * Returns the engine as the planner sees it.
	 * @param profile what it can hold
	 * @param now the monotonic time in milliseconds
	 * @return the engine
	 */
	Engine toEngine(EngineProfile profile, long now) {
		Map<String, Engine.Resident> residents = new HashMap<>();
		this.loaded.forEach((model, adapters) -> {
			int count = this.running.entrySet()
				.stream()
				.filter((entry) -> Loadable.parse(entry.getKey()).model().equals(model))
				.mapToInt(Map.Entry::getValue)
				.sum();
			Map<String, Long> idle = new HashMap<>();
			adapters.forEach(
					(adapter) -> idle.put(adapter, idleMilliseconds(new Loadable(model, adapter).toString(), now)));
			this.coming.forEach((loadable, until) -> {
				if (loadable.model().equals(model) && loadable.adapter() != null && now < until) {
					idle.put(loadable.adapter(), 0L);
				}
			});
			residents.put(model, new Engine.Resident(count, (count > 0) ? 0 : idleMilliseconds(model, now), idle));
		});
		Step.Load step = this.modelStep;
		long freeIn = (step != null) ? Math.max(1, this.modelStepEndsAt - now) : 0;
		String loading = (step != null) ? step.loadable().model() : "";
		return new Engine(this.endpoint.identifier(), this.endpoint.failureDomain(), profile.megabytes(),
				profile.adapterSlots(), residents, this.inMemory, this.onDisk, freeIn, loading);
	}

	private long idleMilliseconds(String loadable, long now) {
		if (this.running.containsKey(loadable)) {
			return 0;
		}
		return Math.max(0, now - this.usedAt.getOrDefault(loadable, 0L));
	}

}

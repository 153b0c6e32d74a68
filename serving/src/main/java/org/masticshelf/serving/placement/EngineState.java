package org.masticshelf.serving.placement;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

import org.jspecify.annotations.Nullable;

import org.masticshelf.kernel.residency.EngineSnapshot;
import org.masticshelf.kernel.residency.HostMemory;
import org.masticshelf.kernel.residency.ResidencyStep;
import org.masticshelf.kernel.serving.EngineProfile;
import org.masticshelf.kernel.serving.LoadableName;
import org.masticshelf.kernel.serving.ServedEndpoint;
import org.masticshelf.kernel.serving.ServedEndpoint.Holdings;
import org.masticshelf.serving.placement.EngineOrders.EngineReport;

/**
 * The placing daemon's view of one engine.
 * <p>
 * Invariant: {@link #ordersTaken()} never decreases until the engine restarts, and a
 * report from before the last order does not change the known holdings. Not thread-safe;
 * guarded by the lock of the {@link Placement}.
 */
final class EngineState {

	/**
	 * Reports are a few hundred milliseconds old; after this delay they include the last
	 * order.
	 */
	private static final long MAXIMUM_REPORT_LAG_MILLISECONDS = 1_000;

	private static final long UNLOADING_MILLISECONDS = 350;

	/** How long an adapter that is being loaded reserves its slot. */
	private static final long ADAPTER_RESERVATION_MILLISECONDS = 1_000;

	private final ServedEndpoint endpoint;

	private final Map<String, Set<String>> loaded = new HashMap<>();

	private final HostMemory hostMemory = new HostMemory();

	private final Set<String> onDisk = new HashSet<>();

	private final Map<LoadableName, Long> loadingAdapters = new HashMap<>();

	private final Map<String, Long> lastUsedAt = new HashMap<>();

	private final Map<String, Integer> runningByModel = new HashMap<>();

	private Map<String, Integer> running = Map.of();

	private @Nullable EngineProfile profile;

	private long ordersTaken;

	private boolean known;

	private boolean orderPending;

	private ResidencyStep.@Nullable Load modelStep;

	private long modelStepEndsAtMilliseconds;

	private long reportRequestedAt = Long.MIN_VALUE;

	private long orderedAt;

	private boolean presumed;

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
	 * Returns whether the engine's holdings are known reliably enough to send it orders.
	 * @return whether a report was applied since the state was last marked unknown
	 */
	boolean isKnown() {
		return this.known;
	}

	/**
	 * Records that a report request was not answered.
	 * @return whether the previous report request was answered
	 */
	boolean recordMissedReport() {
		boolean first = !this.reportMissed;
		this.reportMissed = true;
		return first;
	}

	/** Records that a report request was answered. */
	void recordAnsweredReport() {
		this.reportMissed = false;
	}

	/**
	 * Returns whether the last report request was not answered.
	 * @return whether the report is missing
	 */
	boolean isReportMissed() {
		return this.reportMissed;
	}

	/**
	 * Marks the holdings as unknown because an order may or may not have been accepted.
	 */
	void markUnknown() {
		this.known = false;
	}

	boolean isReportDue(long now, long interval) {
		if (now - this.reportRequestedAt < interval && this.reportRequestedAt != Long.MIN_VALUE) {
			return false;
		}
		this.reportRequestedAt = now;
		return true;
	}

	/**
	 * Applies a report unless it is outdated.
	 * @param report the report
	 * @param now the monotonic time in milliseconds
	 * @return whether the report was at least as recent as the known state
	 */
	boolean applyReport(EngineReport report, long now) {
		boolean lagElapsed = !this.known && now - this.orderedAt > MAXIMUM_REPORT_LAG_MILLISECONDS;
		if (report.ordersTaken() < this.ordersTaken && !lagElapsed) {
			return false;
		}
		this.ordersTaken = report.ordersTaken();
		Map<String, Set<String>> previous = new HashMap<>(this.loaded);
		this.loaded.clear();
		report.holdings().loaded().forEach((model, adapters) -> {
			this.loaded.put(model, new HashSet<>(adapters));
			if (!previous.containsKey(model)) {
				this.lastUsedAt.put(model, now);
			}
		});
		this.hostMemory.applyReport(report.holdings().inMemory(), this::modelMegabytes);
		this.onDisk.clear();
		this.onDisk.addAll(report.holdings().onDisk());
		this.changed |= !this.known || !previous.equals(this.loaded);
		this.known = true;
		this.presumed = false;
		return true;
	}

	/**
	 * Records that a step has started.
	 * @param step the step
	 * @param now the monotonic time in milliseconds
	 */
	void beginStep(ResidencyStep step, long now) {
		this.orderPending = true;
		if (step instanceof ResidencyStep.Load load && load.loadable().adapter() == null) {
			this.modelStep = load;
			this.modelStepEndsAtMilliseconds = now + load.milliseconds()
					+ (load.victims().isEmpty() ? 0 : UNLOADING_MILLISECONDS);
		}
	}

	/**
	 * Records that the engine accepted an order.
	 * @param now the monotonic time in milliseconds
	 */
	void recordAcceptedOrder(long now) {
		this.ordersTaken++;
		this.orderedAt = now;
	}

	/**
	 * Records that the engine has started to load the weights of a model.
	 * @param expectedMilliseconds how long the load is expected to take
	 * @param now the monotonic time in milliseconds
	 */
	void recordLoadStarted(long expectedMilliseconds, long now) {
		this.modelStepEndsAtMilliseconds = now + expectedMilliseconds;
	}

	/**
	 * Records that an adapter is being loaded.
	 * @param loadable the adapter
	 * @param now the monotonic time in milliseconds
	 */
	void recordLoadingAdapter(LoadableName loadable, long now) {
		this.loadingAdapters.put(loadable, now + ADAPTER_RESERVATION_MILLISECONDS);
	}

	/**
	 * Records that a model or adapter is loaded.
	 * @param loadable the model or adapter
	 * @param now the monotonic time in milliseconds
	 */
	void recordLoaded(LoadableName loadable, long now) {
		Set<String> adapters = this.loaded.computeIfAbsent(loadable.model(), (key) -> new HashSet<>());
		if (loadable.adapter() != null) {
			adapters.add(loadable.adapter());
		}
		this.lastUsedAt.put(loadable.toString(), now);
		this.loadingAdapters.remove(loadable);
		this.changed = true;
	}

	/**
	 * Records that a model must be loaded by now, although no report shows it yet.
	 * @param loadable the model
	 * @param now the monotonic time in milliseconds
	 */
	void recordPresumedLoad(LoadableName loadable, long now) {
		recordLoaded(loadable, now);
		double capacity = (this.profile != null) ? this.profile.hostMegabytes() : 0;
		this.hostMemory.recordLoad(loadable.model(), modelMegabytes(loadable.model()), capacity);
		this.presumed = true;
	}

	/**
	 * Returns whether a load is presumed to have ended that no report has shown yet.
	 * @return whether the next report is needed soon
	 */
	boolean isPresumed() {
		return this.presumed;
	}

	/**
	 * Records that a model or adapter is unloaded or about to be.
	 * @param loadable the model or adapter
	 */
	void recordUnloaded(LoadableName loadable) {
		this.changed = true;
		if (loadable.adapter() == null) {
			this.loaded.remove(loadable.model());
		}
		else if (this.loaded.containsKey(loadable.model())) {
			this.loaded.get(loadable.model()).remove(loadable.adapter());
		}
	}

	/**
	 * Returns whether the holdings have changed since the last call.
	 * @return whether there was a change
	 */
	boolean getAndClearChanged() {
		boolean wasChanged = this.changed;
		this.changed = false;
		return wasChanged;
	}

	ResidencyStep.@Nullable Load modelStep() {
		return this.modelStep;
	}

	void endModelStep() {
		this.modelStep = null;
	}

	boolean isOrderPending() {
		return this.orderPending;
	}

	/** Records that no order is pending. */
	void endOrder() {
		this.orderPending = false;
	}

	/**
	 * Sets the requests that run on the engine.
	 * @param counts the number of requests of all daemons by model or adapter
	 * @param now the monotonic time in milliseconds
	 */
	void setRunning(Map<String, Integer> counts, long now) {
		this.running = counts;
		this.runningByModel.clear();
		counts.forEach((loadable, count) -> {
			String model = LoadableName.parse(loadable).model();
			this.runningByModel.merge(model, count, Integer::sum);
			this.lastUsedAt.put(loadable, now);
			this.lastUsedAt.put(model, now);
		});
	}

	Holdings holdings() {
		Map<String, Set<String>> copy = new HashMap<>();
		this.loaded.forEach((model, adapters) -> copy.put(model, Set.copyOf(adapters)));
		return new Holdings(copy, this.hostMemory.models(), this.onDisk);
	}

	/**
	 * Converts this state to the planner's model of an engine.
	 * @param profile the capacity of the engine
	 * @param now the monotonic time in milliseconds
	 * @return the engine for the planner
	 */
	EngineSnapshot toEngine(EngineProfile profile, long now) {
		this.profile = profile;
		Map<String, EngineSnapshot.LoadedModel> residents = new HashMap<>();
		this.loaded.forEach((model, adapters) -> {
			int count = this.runningByModel.getOrDefault(model, 0);
			Map<String, Long> idle = new HashMap<>();
			adapters.forEach(
					(adapter) -> idle.put(adapter, idleMilliseconds(new LoadableName(model, adapter).toString(), now)));
			this.loadingAdapters.forEach((loadable, until) -> {
				if (loadable.model().equals(model) && loadable.adapter() != null && now < until) {
					idle.put(loadable.adapter(), 0L);
				}
			});
			residents.put(model,
					new EngineSnapshot.LoadedModel(count, (count > 0) ? 0 : idleMilliseconds(model, now), idle));
		});
		ResidencyStep.Load step = this.modelStep;
		long freeIn = (step != null) ? Math.max(1, this.modelStepEndsAtMilliseconds - now) : 0;
		String loading = (step != null) ? step.loadable().model() : "";
		return new EngineSnapshot(this.endpoint.identifier(), this.endpoint.failureDomain(), profile.megabytes(),
				profile.adapterSlots(), residents, this.hostMemory.models(), this.onDisk, freeIn, loading);
	}

	private double modelMegabytes(String model) {
		return (this.profile != null) ? this.profile.modelMegabytes(model) : 0;
	}

	private long idleMilliseconds(String loadable, long now) {
		if (this.running.containsKey(loadable)) {
			return 0;
		}
		return Math.max(0, now - this.lastUsedAt.getOrDefault(loadable, 0L));
	}

}

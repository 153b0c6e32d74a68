package org.masticshelf.kernel.residency;

import java.util.List;
import java.util.Map;
import java.util.Set;

import org.jspecify.annotations.Nullable;

import org.masticshelf.kernel.serving.LoadableName;
import org.masticshelf.kernel.serving.ModelProfile;

/**
 * Plans the loading of adapters for models that engines already hold, and unloads idle
 * adapters to make room.
 * <p>
 * Designed for requests for many adapters of a few busy models, one after the other,
 * while engines load other models and accept no adapter orders. An adapter goes to the
 * engine that becomes free first; a full engine unloads its least recently used adapter.
 * <p>
 * Invariant: each engine gets at most one step, which marks it as assigned. Not
 * thread-safe.
 */
final class AdapterPlanner {

	/** Time until an adapter can serve, including the order and its answer. */
	static final long LOAD_MILLISECONDS = 50;

	/** Idle time below which an adapter is not unloaded to make room. */
	static final long MINIMUM_IDLE_MILLISECONDS = 300;

	private final ResidencyInput input;

	private final EngineCapacity capacity;

	private final Set<String> assignedEngines;

	AdapterPlanner(ResidencyInput input, EngineCapacity capacity, Set<String> assignedEngines) {
		this.input = input;
		this.capacity = capacity;
		this.assignedEngines = assignedEngines;
	}

	/**
	 * Adds the steps for all adapters that requests wait for.
	 * @param steps receives the steps
	 * @param readyIn receives the time until each adapter is ready, in milliseconds
	 */
	void planSteps(List<ResidencyStep> steps, Map<String, Long> readyIn) {
		for (WaitingDemand demand : this.input.waiting()) {
			String adapter = demand.loadable().adapter();
			if (adapter != null) {
				planStep(demand.loadable(), adapter, steps, readyIn);
			}
		}
	}

	private void planStep(LoadableName loadable, String adapter, List<ResidencyStep> steps, Map<String, Long> readyIn) {
		EngineSnapshot best = null;
		for (EngineSnapshot engine : this.input.engines()) {
			EngineSnapshot.LoadedModel model = engine.loaded().get(loadable.model());
			if (model == null) {
				continue;
			}
			if (model.adapters().containsKey(adapter)) {
				readyIn.put(loadable.toString(), LOAD_MILLISECONDS);
				return;
			}
			if (best == null || isPreferred(engine, best)) {
				best = engine;
			}
		}
		if (best == null) {
			return;
		}
		readyIn.put(loadable.toString(), best.freeInMilliseconds() + LOAD_MILLISECONDS);
		if (best.freeInMilliseconds() == 0 && this.assignedEngines.add(best.identifier())) {
			ResidencyStep step = createStep(best, loadable);
			if (step != null) {
				steps.add(step);
			}
		}
	}

	private static boolean isPreferred(EngineSnapshot engine, EngineSnapshot other) {
		return (engine.freeInMilliseconds() != other.freeInMilliseconds())
				? engine.freeInMilliseconds() < other.freeInMilliseconds()
				: engine.adapterCount() < other.adapterCount();
	}

	private @Nullable ResidencyStep createStep(EngineSnapshot engine, LoadableName loadable) {
		ModelProfile profile = this.input.models().get(loadable.model());
		double size = (profile != null) ? profile.adapterMegabytes() : 0;
		if (engine.adapterCount() < engine.adapterSlots() && this.capacity.freeMegabytes(engine) >= size) {
			return new ResidencyStep.Load(engine.identifier(), loadable, ResidencyStep.Source.STORE, LOAD_MILLISECONDS,
					List.of());
		}
		LoadableName idle = leastRecentlyUsed(engine);
		return (idle != null) ? new ResidencyStep.Unload(engine.identifier(), idle) : null;
	}

	private static @Nullable LoadableName leastRecentlyUsed(EngineSnapshot engine) {
		LoadableName leastRecentlyUsed = null;
		long longest = MINIMUM_IDLE_MILLISECONDS;
		for (Map.Entry<String, EngineSnapshot.LoadedModel> model : engine.loaded().entrySet()) {
			for (Map.Entry<String, Long> adapter : model.getValue().adapters().entrySet()) {
				if (adapter.getValue() > longest) {
					longest = adapter.getValue();
					leastRecentlyUsed = new LoadableName(model.getKey(), adapter.getKey());
				}
			}
		}
		return leastRecentlyUsed;
	}

}

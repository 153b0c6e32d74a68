package org.masticshelf.kernel.residency;

import java.util.List;
import java.util.Map;
import java.util.Set;

import org.jspecify.annotations.Nullable;

import org.masticshelf.kernel.serving.LoadableName;
import org.masticshelf.kernel.serving.ModelProfile;

/**
 * Plans loads of adapters whose models are held, and makes room for them.
 * <p>
 * Load pattern: many adapters of a few busy models are asked for one after the other,
 * while engines load other models and take no order for an adapter. An adapter goes to
 * the engine that is free soonest; a full engine gives up the adapter that has been idle
 * for longest.
 * <p>
 * Invariant: each engine gets one step at most, and is marked as taken by it. Not safe
 * for use by several threads.
 */
final class AdapterPlanner {

	/** How long an adapter takes until it serves, orders and their answers included. */
	static final long LOAD_MILLISECONDS = 50;

	/** An adapter that was used more recently than this makes no room, milliseconds. */
	static final long IN_USE_MILLISECONDS = 300;

	private final ResidencyInput facts;

	private final EngineCapacity room;

	private final Set<String> taken;

	AdapterPlanner(ResidencyInput facts, EngineCapacity room, Set<String> taken) {
		this.facts = facts;
		this.room = room;
		this.taken = taken;
	}

	/**
	 * Adds the steps for all adapters that somebody waits for.
	 * @param steps gets the steps
	 * @param readyIn gets when each adapter will be ready, milliseconds
	 */
	void planSteps(List<ResidencyStep> steps, Map<String, Long> readyIn) {
		for (WaitingDemand demand : this.facts.waiting()) {
			String adapter = demand.loadable().adapter();
			if (adapter != null) {
				add(demand.loadable(), adapter, steps, readyIn);
			}
		}
	}

	private void add(LoadableName loadable, String adapter, List<ResidencyStep> steps, Map<String, Long> readyIn) {
		EngineSnapshot best = null;
		for (EngineSnapshot engine : this.facts.engines()) {
			EngineSnapshot.LoadedModel resident = engine.loaded().get(loadable.model());
			if (resident == null) {
				continue;
			}
			if (resident.adapters().containsKey(adapter)) {
				readyIn.put(loadable.toString(), LOAD_MILLISECONDS);
				return;
			}
			if (best == null || isBetter(engine, best)) {
				best = engine;
			}
		}
		if (best == null) {
			return;
		}
		readyIn.put(loadable.toString(), best.freeInMilliseconds() + LOAD_MILLISECONDS);
		if (best.freeInMilliseconds() == 0 && this.taken.add(best.identifier())) {
			ResidencyStep step = step(best, loadable);
			if (step != null) {
				steps.add(step);
			}
		}
	}

	private static boolean isBetter(EngineSnapshot engine, EngineSnapshot other) {
		return (engine.freeInMilliseconds() != other.freeInMilliseconds())
				? engine.freeInMilliseconds() < other.freeInMilliseconds()
				: engine.adapterCount() < other.adapterCount();
	}

	private @Nullable ResidencyStep step(EngineSnapshot engine, LoadableName loadable) {
		ModelProfile profile = this.facts.models().get(loadable.model());
		double size = (profile != null) ? profile.adapterMegabytes() : 0;
		if (engine.adapterCount() < engine.adapterSlots() && this.room.freeMegabytes(engine) >= size) {
			return new ResidencyStep.Load(engine.identifier(), loadable, ResidencyStep.Source.STORE, LOAD_MILLISECONDS,
					List.of());
		}
		LoadableName idle = idlest(engine);
		return (idle != null) ? new ResidencyStep.Unload(engine.identifier(), idle) : null;
	}

	private static @Nullable LoadableName idlest(EngineSnapshot engine) {
		LoadableName idlest = null;
		long longest = IN_USE_MILLISECONDS;
		for (Map.Entry<String, EngineSnapshot.LoadedModel> resident : engine.loaded().entrySet()) {
			for (Map.Entry<String, Long> adapter : resident.getValue().adapters().entrySet()) {
				if (adapter.getValue() > longest) {
					longest = adapter.getValue();
					idlest = new LoadableName(resident.getKey(), adapter.getKey());
				}
			}
		}
		return idlest;
	}

}

package org.masticshelf.kernel.residency;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

import org.jspecify.annotations.Nullable;

import org.masticshelf.kernel.serving.ModelProfile;

/**
 * What engines have room for, and what holding a copy of a model is worth.
 * <p>
 * Invariant: what is loading takes its memory from the moment at which it was planned.
 * Reads the planner's counts of copies; not safe for use by several threads.
 */
final class EngineCapacity {

	/** Requests a second for which one copy is held, so that prompts are read in time. */
	static final double REQUESTS_PER_COPY = 6;

	/** Requests a second above which a model has a second copy to survive a loss. */
	static final double REQUESTS_FOR_SPARE = 1.5;

	/**
	 * Requests a second from which on a model is busy: within the time of a load from
	 * disk and its wait more than one caller asks for it.
	 */
	static final double REQUESTS_OF_BUSY_MODEL = 1;

	private static final double SPARE_COPY_VALUE = 0.01;

	private final ResidencyInput facts;

	private final Map<String, Integer> copies;

	private final Set<String> waitedFor;

	EngineCapacity(ResidencyInput facts, Map<String, Integer> copies, Set<String> waitedFor) {
		this.facts = facts;
		this.copies = copies;
		this.waitedFor = waitedFor;
	}

	/**
	 * Returns how often a model was asked for lately.
	 * @param model the model
	 * @return requests a second
	 */
	double requestsPerSecond(String model) {
		return this.facts.requestsPerSecond().getOrDefault(model, 0.0);
	}

	/**
	 * Returns whether a model is one of the busy ones.
	 * @param model the model
	 * @return whether it is asked for often
	 */
	boolean isBusy(String model) {
		return requestsPerSecond(model) >= REQUESTS_OF_BUSY_MODEL;
	}

	/**
	 * Returns how many copies of a model are wanted for the rate at which it is asked
	 * for.
	 * @param model the model
	 * @return the number of copies, 0 for a model that nobody asks for
	 */
	int targetReplicas(String model) {
		double rate = requestsPerSecond(model);
		int needed = (int) Math.ceil(rate / REQUESTS_PER_COPY);
		int spared = (rate >= REQUESTS_FOR_SPARE) ? Math.max(2, needed) : needed;
		return Math.min(spared, (this.facts.engines().size() + 1) / 2);
	}

	/**
	 * Chooses what to unload so that a model fits, what is held for least first.
	 * @param engine the engine
	 * @param profile the model
	 * @param highestLoss what the models to unload may be worth together at most
	 * @param mayGo whether a model may be unloaded
	 * @return the models to unload, {@code null} if it cannot be made to fit
	 */
	@Nullable Eviction chooseEviction(EngineSnapshot engine, ModelProfile profile, double highestLoss, Predicate<String> mayGo) {
		double free = freeMegabytes(engine);
		List<String> models = new ArrayList<>();
		double loss = 0;
		while (free < profile.megabytes()) {
			String victim = null;
			double least = Double.MAX_VALUE;
			for (Map.Entry<String, EngineSnapshot.LoadedModel> resident : engine.loaded().entrySet()) {
				String model = resident.getKey();
				double value = (!models.contains(model) && mayGo.test(model))
						? keepValue(engine, model, resident.getValue()) : Double.MAX_VALUE;
				if (value < least) {
					least = value;
					victim = model;
				}
			}
			if (victim == null) {
				return null;
			}
			models.add(victim);
			loss += least;
			free += megabytes(engine, victim);
		}
		return (loss < highestLoss) ? new Eviction(models, loss) : null;
	}

	/**
	 * Returns what holding a copy is worth.
	 * @param engine the engine that holds it
	 * @param model the model
	 * @param resident the copy
	 * @return requests a second that it is held for, {@link Double#MAX_VALUE} if it has
	 * to stay
	 */
	private double keepValue(EngineSnapshot engine, String model, EngineSnapshot.LoadedModel resident) {
		int held = this.copies.getOrDefault(model, 1);
		boolean spare = held > Math.max(1, targetReplicas(model));
		if (resident.running() > 0 || (this.waitedFor.contains(model) && !spare)) {
			return Double.MAX_VALUE;
		}
		double each = requestsPerSecond(model) / held;
		boolean copied = engine.onDisk().contains(model) || engine.inMemory().contains(model);
		double age = 1 + resident.idleMilliseconds() / 1_000.0;
		return (spare ? SPARE_COPY_VALUE : 1) * (each + 1 / age) * (copied ? 1 : 2);
	}

	/**
	 * Returns the memory that is neither taken nor about to be.
	 * @param engine the engine
	 * @return megabytes
	 */
	double freeMegabytes(EngineSnapshot engine) {
		double used = 0;
		for (String model : engine.loaded().keySet()) {
			used += megabytes(engine, model);
		}
		ModelProfile loading = this.facts.models().get(engine.loading());
		return engine.megabytes() - used - ((loading != null) ? loading.megabytes() : 0);
	}

	// A model without a profile is no longer served; until it has gone it takes the whole
	// engine, so that nothing is loaded beside it.
	private double megabytes(EngineSnapshot engine, String model) {
		ModelProfile profile = this.facts.models().get(model);
		EngineSnapshot.LoadedModel resident = engine.loaded().get(model);
		if (profile == null || resident == null) {
			return engine.megabytes();
		}
		return profile.megabytes() + resident.adapters().size() * profile.adapterMegabytes();
	}

	/**
	 * Models to unload.
	 *
	 * @param models the models
	 * @param loss what holding them is worth
	 */
	record Eviction(List<String> models, double loss) {
	}

}

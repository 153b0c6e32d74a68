package org.masticshelf.kernel.residency;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.masticshelf.kernel.serving.LoadableName;
import org.masticshelf.kernel.serving.ModelProfile;

/**
 * The models that are asked for and that no engine holds, in the order in which they are
 * to be loaded.
 * <p>
 * Load pattern: an engine with a busy model is lost, or more rare models are asked for
 * than can be loaded in time. Busy models come first and count also while nobody waits
 * for them, because callers with a short objective are refused for as long as no copy is
 * due. The others follow, first what an engine has at hand and last what only the weight
 * store has. Among these, oldest first would make all of them late: what can still meet
 * its objective goes first, the most urgent before the others, and what has missed it
 * follows by age.
 * <p>
 * Reads what it was made from and changes nothing. Not safe for use by several threads.
 */
final class MissingModels {

	/**
	 * How long an engine takes from the end of a load to the first piece of an answer.
	 */
	private static final long BEGIN_MILLISECONDS = 150;

	private final ResidencyInput facts;

	private final EngineCapacity room;

	private final Set<String> held;

	private final Set<String> atHand;

	MissingModels(ResidencyInput facts, EngineCapacity room, Set<String> held, Set<String> atHand) {
		this.facts = facts;
		this.room = room;
		this.held = held;
		this.atHand = atHand;
	}

	/**
	 * Returns the models.
	 * @return their names, the one to load first at the head
	 */
	List<String> loadOrder() {
		List<Missing> ordered = new ArrayList<>();
		demands().forEach((model, demand) -> ordered.add(new Missing(model, demand, slack(model, demand))));
		ordered.sort(Comparator.<Missing>comparingDouble((missing) -> -busyRate(missing.model()))
			.thenComparingInt((missing) -> this.atHand.contains(missing.model()) ? 0 : 1)
			.thenComparingLong(Missing::slack)
			.thenComparingLong((missing) -> -missing.demand().oldestMilliseconds())
			.thenComparing(Missing::model));
		return ordered.stream().map(Missing::model).toList();
	}

	private Map<String, WaitingDemand> demands() {
		Map<String, WaitingDemand> demands = new HashMap<>();
		for (WaitingDemand demand : this.facts.waiting()) {
			String model = demand.loadable().model();
			if (isMissing(model)) {
				demands.merge(model, demand, (left, right) -> left.mergeWith(right, LoadableName.ofModel(model)));
			}
		}
		for (String model : this.facts.requestsPerSecond().keySet()) {
			if (this.room.isBusy(model) && isMissing(model)) {
				demands.putIfAbsent(model, new WaitingDemand(LoadableName.ofModel(model), 0, 0, 0));
			}
		}
		return demands;
	}

	private boolean isMissing(String model) {
		return !this.held.contains(model) && this.facts.models().containsKey(model);
	}

	private double busyRate(String model) {
		return this.room.isBusy(model) ? this.room.requestsPerSecond(model) : 0;
	}

	// How much time a load has until it would come too late for the objective; what comes
	// too late anyway is last.
	private long slack(String model, WaitingDemand demand) {
		ModelProfile profile = this.facts.models().get(model);
		long load = (profile != null) ? profile.diskMilliseconds() : 0;
		long left = demand.objectiveMilliseconds() - load - BEGIN_MILLISECONDS;
		return (left >= 0) ? left : Long.MAX_VALUE;
	}

	/**
	 * A model that no engine holds.
	 *
	 * @param model its name
	 * @param demand who waits for it
	 * @param slack how long its load may wait, milliseconds
	 */
	private record Missing(String model, WaitingDemand demand, long slack) {
	}

}

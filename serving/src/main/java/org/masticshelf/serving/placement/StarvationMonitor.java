package org.masticshelf.serving.placement;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Consumer;

import org.masticshelf.kernel.event.Event;
import org.masticshelf.kernel.residency.EngineSnapshot;
import org.masticshelf.kernel.residency.UnservedDemand;
import org.masticshelf.kernel.serving.LoadableName;

/**
 * Tells operators which models and adapters are requested and never served, and which
 * models no engine has.
 * <p>
 * Events are logged when an entry begins or ends, not while it lasts. Known to the
 * placing daemon only; a monitor that observes nothing reports nothing. Thread-safe.
 */
public final class StarvationMonitor {

	private final Consumer<Event> log;

	private final Map<String, Set<String>> modelsWithoutCopy = new HashMap<>();

	private final Map<String, Set<LoadableName>> starved = new HashMap<>();

	StarvationMonitor(Consumer<Event> log) {
		this.log = log;
	}

	/**
	 * Observes a pool.
	 * @param observation its state
	 */
	synchronized void observe(Observation observation) {
		if (observation.complete()) {
			observeCopies(observation);
		}
		observeStarvation(observation);
	}

	private void observeCopies(Observation observation) {
		Set<String> without = new TreeSet<>(observation.models());
		for (EngineSnapshot engine : observation.engines()) {
			without.removeAll(engine.loaded().keySet());
			without.removeAll(engine.inMemory());
			without.removeAll(engine.onDisk());
			without.remove(engine.loading());
		}
		Set<String> before = this.modelsWithoutCopy.put(observation.pool(), without);
		if (!without.equals(before)) {
			Set<String> lost = new TreeSet<>(without);
			lost.removeAll((before != null) ? before : Set.of());
			this.log.accept(Event.named("placement.models_without_copy")
				.with("pool", observation.pool())
				.with("count", without.size())
				.with("before", (before != null) ? before.size() : "none")
				.with("lost", lost)
				.with("engines", observation.engines().size()));
		}
	}

	private void observeStarvation(Observation observation) {
		Set<LoadableName> found = new HashSet<>();
		observation.unserved().forEach((loadable, requests) -> {
			if (requests.areStarved()) {
				found.add(loadable);
			}
		});
		Set<LoadableName> before = this.starved.getOrDefault(observation.pool(), Set.of());
		for (LoadableName loadable : found) {
			if (!before.contains(loadable)) {
				logStarved(observation, loadable);
			}
		}
		for (LoadableName loadable : before) {
			if (!found.contains(loadable)) {
				this.log.accept(Event.named("placement.starvation_ended").with("loadable", loadable));
			}
		}
		this.starved.put(observation.pool(), found);
	}

	private void logStarved(Observation observation, LoadableName loadable) {
		UnservedDemand.Requests requests = observation.unserved().get(loadable);
		Collection<EngineSnapshot> engines = observation.engines();
		String model = loadable.model();
		this.log.accept(
				Event.named("placement.starved")
					.with("pool", observation.pool())
					.with("loadable", loadable)
					.with("requests", (requests != null) ? requests.count() : 0)
					.with("for_ms", (requests != null) ? requests.sinceMilliseconds() : 0)
					.with("loaded", engines.stream().filter((engine) -> engine.loaded().containsKey(model)).count())
					.with("loading", engines.stream().filter((engine) -> engine.loading().equals(model)).count())
					.with("cached", engines.stream()
						.filter((engine) -> engine.inMemory().contains(model) || engine.onDisk().contains(model))
						.count()));
	}

	/** Forgets what was observed, once another daemon places. */
	synchronized void clear() {
		this.modelsWithoutCopy.clear();
		this.starved.clear();
	}

	/**
	 * Returns how many models are starved.
	 * @return the number of models, without those of adapters
	 */
	public synchronized int starvedModels() {
		return countStarved(false);
	}

	/**
	 * Returns how many adapters are starved.
	 * @return the number of adapters
	 */
	public synchronized int starvedAdapters() {
		return countStarved(true);
	}

	private int countStarved(boolean adapters) {
		return (int) this.starved.values()
			.stream()
			.flatMap(Set::stream)
			.filter((loadable) -> (loadable.adapter() != null) == adapters)
			.count();
	}

	/**
	 * Returns how many models no known engine has, loaded or cached.
	 * @return the number of models
	 */
	public synchronized int modelsWithoutCopy() {
		return this.modelsWithoutCopy.values().stream().mapToInt(Set::size).sum();
	}

	/**
	 * The state of a pool. Immutable.
	 *
	 * @param pool the pool
	 * @param engines its engines, those that are not known yet without holdings
	 * @param models the models that are served
	 * @param unserved the requests that were not served
	 * @param complete whether all engines are known
	 */
	record Observation(String pool, List<EngineSnapshot> engines, Set<String> models,
			Map<LoadableName, UnservedDemand.Requests> unserved, boolean complete) {
	}

}

package org.masticshelf.kernel.residency;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.ToDoubleFunction;

/**
 * Tracks the models whose weights an engine keeps in its host memory between two of its
 * reports.
 * <p>
 * Designed for rare models that are loaded one after the other: the copies of a few of
 * them fill the memory, so each load evicts the copy that was loaded longest ago. A load
 * that is wrongly expected from memory takes as long as one from disk, and requests that
 * are sent at the expected end are rejected. Invariant: the known sizes of the copies
 * never exceed the capacity, unless a single one does or a report says so. Not
 * thread-safe.
 */
public final class HostMemory {

	/** The size of each copy in megabytes, the one loaded longest ago first. */
	private final Map<String, Double> copies = new LinkedHashMap<>();

	/**
	 * Records that a load has left a copy in memory.
	 * @param model the model
	 * @param megabytes the size of its weights
	 * @param capacityMegabytes the size of the memory, 0 if it is not known
	 */
	public void recordLoad(String model, double megabytes, double capacityMegabytes) {
		this.copies.remove(model);
		this.copies.put(model, megabytes);
		if (capacityMegabytes <= 0) {
			return;
		}
		double used = this.copies.values().stream().mapToDouble(Double::doubleValue).sum();
		Iterator<Double> oldest = this.copies.values().iterator();
		while (used > capacityMegabytes && this.copies.size() > 1) {
			used -= oldest.next();
			oldest.remove();
		}
	}

	/**
	 * Applies a report. Copies that were not known before are taken for those loaded
	 * longest ago.
	 * @param reported the models that the engine reports in memory
	 * @param megabytes returns the size of a model's weights
	 */
	public void applyReport(Set<String> reported, ToDoubleFunction<String> megabytes) {
		List<String> order = new ArrayList<>(reported);
		order.removeAll(this.copies.keySet());
		order.sort(null);
		this.copies.keySet().stream().filter(reported::contains).forEach(order::add);
		this.copies.clear();
		order.forEach((model) -> this.copies.put(model, megabytes.applyAsDouble(model)));
	}

	/**
	 * Returns the models with a copy in memory.
	 * @return the names of the models
	 */
	public Set<String> models() {
		return Set.copyOf(this.copies.keySet());
	}

}

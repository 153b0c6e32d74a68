package org.masticshelf.kernel.admission;

import java.util.HashMap;
import java.util.Map;

/**
 * Sums the work done for each organisation in the last seconds, so that one that sends
 * many times its usual rate does not delay the others. Counting requests instead would
 * favour those that send long ones.
 * <p>
 * Invariant: organisations for which nothing was done recently are forgotten. Not
 * thread-safe.
 */
public final class RecentWork {

	/** Organisations exceed their usual rate for 7 to 11 s; older work must not count. */
	private static final double HALF_LIFE_MILLISECONDS = 4_000;

	private static final double FORGOTTEN_WORK = 1;

	private final Map<String, Double> sums = new HashMap<>();

	private long decayedAt;

	/**
	 * Adds work.
	 * @param organisation the organisation
	 * @param work the work, in tokens
	 * @param now the current time in milliseconds
	 */
	public void add(String organisation, double work, long now) {
		decay(now);
		this.sums.merge(organisation, work, Double::sum);
	}

	/**
	 * Returns the work done for an organisation.
	 * @param organisation the organisation
	 * @return the work as of the last addition, comparable between organisations
	 */
	public double of(String organisation) {
		return this.sums.getOrDefault(organisation, 0.0);
	}

	private void decay(long now) {
		double remaining = Math.pow(0.5, Math.max(0, now - this.decayedAt) / HALF_LIFE_MILLISECONDS);
		this.decayedAt = now;
		this.sums.replaceAll((organisation, work) -> work * remaining);
		this.sums.values().removeIf((work) -> work < FORGOTTEN_WORK);
	}

}

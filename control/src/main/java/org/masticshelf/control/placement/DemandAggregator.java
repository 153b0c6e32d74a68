package org.masticshelf.control.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.masticshelf.kernel.configuration.Loadable;
import org.masticshelf.kernel.configuration.QualifiedName;
import org.masticshelf.kernel.placement.Demand;

/**
 * What daemons reported to the placing daemon of one store.
 * <p>
 * Invariant: a report replaces the daemon's former one, so a lost report does no lasting
 * harm. Guarded by the lock of the store's keeper.
 */
final class DemandAggregator {

	/** How long waiting requests count without being reported again. */
	static final long WAITING_LIFE_MILLISECONDS = 2_000;

	/** How long running requests count without being reported again. */
	static final long RUNNING_LIFE_MILLISECONDS = 10_000;

	private final Map<String, Daemon> daemons = new HashMap<>();

	private final Map<UseKey, Long> lastUses = new HashMap<>();

	private final Map<UseKey, Integer> running = new HashMap<>();

	/**
	 * Takes a report.
	 * @param report the report
	 * @param now the time in milliseconds
	 */
	void take(DemandReport report, long now) {
		Daemon daemon = this.daemons.computeIfAbsent(report.incarnation(), (key) -> new Daemon());
		daemon.waiting = report.waiting();
		daemon.waitingAt = now;
		if (report.uses() != null) {
			forget(daemon);
			daemon.runningAt = now;
			report.uses().forEach((used) -> take(daemon, used, now));
		}
	}

	private void take(Daemon daemon, DemandReport.Usage used, long now) {
		UseKey key = new UseKey(used.endpoint(), used.loadable());
		this.lastUses.merge(key, now - used.idleMilliseconds(), Math::max);
		if (used.inFlight() > 0) {
			daemon.running.merge(key, used.inFlight(), Integer::sum);
			this.running.merge(key, used.inFlight(), Integer::sum);
		}
	}

	private void forget(Daemon daemon) {
		daemon.running.forEach(
				(key, count) -> this.running.computeIfPresent(key, (same, sum) -> (sum > count) ? sum - count : null));
		daemon.running.clear();
	}

	/**
	 * Drops what was not reported again.
	 * @param now the time in milliseconds
	 */
	void expire(long now) {
		this.daemons.values().removeIf((daemon) -> {
			boolean gone = now - Math.max(daemon.waitingAt, daemon.runningAt) > RUNNING_LIFE_MILLISECONDS;
			if (gone) {
				forget(daemon);
			}
			return gone;
		});
	}

	/**
	 * Returns what waits at all daemons.
	 * @param now the time in milliseconds
	 * @return one demand for each loadable and organisation
	 */
	List<Demand> demands(long now) {
		Map<DemandKey, Demand> merged = new HashMap<>();
		for (Daemon daemon : this.daemons.values()) {
			if (now - daemon.waitingAt <= WAITING_LIFE_MILLISECONDS) {
				daemon.waiting.forEach((each) -> merged.merge(
						new DemandKey(each.loadable(), each.organisation()), new Demand(each.loadable(),
								each.organisation(), each.count(), daemon.waitingAt - each.ageMilliseconds()),
						DemandAggregator::sum));
			}
		}
		return new ArrayList<>(merged.values());
	}

	private static Demand sum(Demand first, Demand second) {
		return new Demand(first.loadable(), first.organisation(), first.waiting() + second.waiting(),
				Math.min(first.sinceMilliseconds(), second.sinceMilliseconds()));
	}

	/**
	 * Returns how many requests run on a loadable at an endpoint.
	 * @param endpoint the endpoint
	 * @param loadable the loadable
	 * @return the number of requests that daemons reported
	 */
	int inFlight(String endpoint, Loadable loadable) {
		return this.running.getOrDefault(new UseKey(endpoint, loadable), 0);
	}

	/**
	 * Returns when a loadable was last used at an endpoint.
	 * @param endpoint the endpoint
	 * @param loadable the loadable
	 * @return the time in milliseconds, {@link Long#MIN_VALUE} if it was not
	 */
	long lastUse(String endpoint, Loadable loadable) {
		return this.lastUses.getOrDefault(new UseKey(endpoint, loadable), Long.MIN_VALUE);
	}

	/**
	 * Drops the use of what is no longer at an endpoint.
	 * @param endpoint the endpoint
	 * @param loadable the loadable
	 */
	void forgetUse(String endpoint, Loadable loadable) {
		this.lastUses.remove(new UseKey(endpoint, loadable));
	}

	private record UseKey(String endpoint, Loadable loadable) {
	}

	private record DemandKey(Loadable loadable, QualifiedName organisation) {
	}

	/** What one daemon reported last. Guarded as its book. */
	private static final class Daemon {

		private final Map<UseKey, Integer> running = new HashMap<>();

		private List<DemandReport.WaitingRequests> waiting = List.of();

		private long waitingAt;

		private long runningAt;

	}

}

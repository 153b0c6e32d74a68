package org.masticshelf.control.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.masticshelf.kernel.configuration.Loadable;
import org.masticshelf.kernel.configuration.QualifiedName;
import org.masticshelf.kernel.placement.Demand;

/**
 * Aggregates the demand that daemons report to the holder of one store's placement duty.
 * <p>
 * Invariant: a report replaces the previous one of the same daemon, so the next report
 * makes up for a lost one. Guarded by the lock of the store's controller.
 */
final class DemandAggregator {

	/** How long waiting requests count after the last report. */
	static final long WAITING_EXPIRY_MILLISECONDS = 2_000;

	/** How long running requests count after the last report. */
	static final long RUNNING_EXPIRY_MILLISECONDS = 10_000;

	private final Map<String, DaemonDemand> daemons = new HashMap<>();

	private final Map<UsageKey, Long> lastUses = new HashMap<>();

	private final Map<UsageKey, Integer> running = new HashMap<>();

	/**
	 * Replaces what its daemon reported before. Running requests stay as they were if the
	 * report has no uses.
	 * @param report the report
	 * @param now the time in milliseconds
	 */
	void receive(DemandReport report, long now) {
		DaemonDemand daemon = this.daemons.computeIfAbsent(report.incarnation(), (key) -> new DaemonDemand());
		daemon.waiting = report.waiting();
		daemon.waitingAt = now;
		if (report.uses() != null) {
			removeRunning(daemon);
			daemon.runningAt = now;
			report.uses().forEach((usage) -> addUsage(daemon, usage, now));
		}
	}

	private void addUsage(DaemonDemand daemon, DemandReport.Usage usage, long now) {
		UsageKey key = new UsageKey(usage.endpoint(), usage.loadable());
		this.lastUses.merge(key, now - usage.idleMilliseconds(), Math::max);
		if (usage.inFlight() > 0) {
			daemon.running.merge(key, usage.inFlight(), Integer::sum);
			this.running.merge(key, usage.inFlight(), Integer::sum);
		}
	}

	private void removeRunning(DaemonDemand daemon) {
		daemon.running.forEach((key, count) -> this.running.computeIfPresent(key,
				(same, total) -> (total > count) ? total - count : null));
		daemon.running.clear();
	}

	/**
	 * Drops the demand of daemons whose last report has expired.
	 * @param now the time in milliseconds
	 */
	void expire(long now) {
		this.daemons.values().removeIf((daemon) -> {
			boolean expired = now - Math.max(daemon.waitingAt, daemon.runningAt) > RUNNING_EXPIRY_MILLISECONDS;
			if (expired) {
				removeRunning(daemon);
			}
			return expired;
		});
	}

	/**
	 * Returns the requests that wait at all daemons.
	 * @param now the time in milliseconds
	 * @return one demand per loadable and organisation
	 */
	List<Demand> demands(long now) {
		Map<DemandKey, Demand> merged = new HashMap<>();
		for (DaemonDemand daemon : this.daemons.values()) {
			if (now - daemon.waitingAt <= WAITING_EXPIRY_MILLISECONDS) {
				daemon.waiting.forEach((each) -> merged.merge(
						new DemandKey(each.loadable(), each.organisation()), new Demand(each.loadable(),
								each.organisation(), each.count(), daemon.waitingAt - each.ageMilliseconds()),
						DemandAggregator::add));
			}
		}
		return new ArrayList<>(merged.values());
	}

	private static Demand add(Demand first, Demand second) {
		return new Demand(first.loadable(), first.organisation(), first.waiting() + second.waiting(),
				Math.min(first.sinceMilliseconds(), second.sinceMilliseconds()));
	}

	/**
	 * Returns how many requests use a loadable at an endpoint.
	 * @param endpoint the identifier of the endpoint
	 * @param loadable the model or adapter
	 * @return the number of running requests over all daemons
	 */
	int inFlight(String endpoint, Loadable loadable) {
		return this.running.getOrDefault(new UsageKey(endpoint, loadable), 0);
	}

	/**
	 * Returns when a loadable was last used at an endpoint.
	 * @param endpoint the identifier of the endpoint
	 * @param loadable the model or adapter
	 * @return the time in milliseconds, {@link Long#MIN_VALUE} if it was never used
	 */
	long lastUse(String endpoint, Loadable loadable) {
		return this.lastUses.getOrDefault(new UsageKey(endpoint, loadable), Long.MIN_VALUE);
	}

	/**
	 * Forgets the last use of a loadable that is no longer at an endpoint.
	 * @param endpoint the identifier of the endpoint
	 * @param loadable the model or adapter
	 */
	void removeLastUse(String endpoint, Loadable loadable) {
		this.lastUses.remove(new UsageKey(endpoint, loadable));
	}

	private record UsageKey(String endpoint, Loadable loadable) {
	}

	private record DemandKey(Loadable loadable, QualifiedName organisation) {
	}

	/**
	 * The demand that one daemon reported last. Guarded by the lock of the store's
	 * controller.
	 */
	private static final class DaemonDemand {

		private final Map<UsageKey, Integer> running = new HashMap<>();

		private List<DemandReport.WaitingRequests> waiting = List.of();

		private long waitingAt;

		private long runningAt;

	}

}

package org.masticshelf.control.placement;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

import org.jspecify.annotations.Nullable;

import org.masticshelf.control.configuration.ConfigurationSource;
import org.masticshelf.kernel.configuration.Loadable;
import org.masticshelf.kernel.configuration.Pool;
import org.masticshelf.kernel.configuration.QualifiedName;
import org.masticshelf.kernel.time.MonotonicClock;

/**
 * Reports the waiting and running requests of this daemon to the holders of the placement
 * duties.
 * <p>
 * Invariant: while the holder answers, it is told within {@link #FLUSH_MILLISECONDS} that
 * requests begin or cease to wait for a loadable; a report that fails is sent again. Safe
 * for use by several threads; each store is a shard with its own lock.
 */
public final class DemandReporter {

	/** How often {@link #flush()} is to be called. */
	public static final long FLUSH_MILLISECONDS = 50;

	private static final long REFRESH_INTERVAL_MILLISECONDS = 500;

	private static final long USES_INTERVAL_MILLISECONDS = 1_000;

	private static final Duration CALL_TIMEOUT = Duration.ofSeconds(1);

	private final Map<String, Shard> shards = new ConcurrentHashMap<>();

	private final PlacementControllers controllers;

	private final ConfigurationSource configuration;

	private final MonotonicClock clock;

	private final String incarnation;

	/**
	 * Creates a reporter.
	 * @param controllers calls the holders of the placement duties
	 * @param configuration the source of each pool's weight store
	 * @param clock the clock of this daemon
	 * @param incarnation the incarnation of this daemon
	 */
	public DemandReporter(PlacementControllers controllers, ConfigurationSource configuration, MonotonicClock clock,
			String incarnation) {
		this.controllers = controllers;
		this.configuration = configuration;
		this.clock = clock;
		this.incarnation = incarnation;
	}

	/**
	 * Sets how many requests of an organisation wait for a loadable at this daemon.
	 * @param loadable the model or adapter that they need
	 * @param organisation the organisation that sent them
	 * @param count the number of waiting requests, 0 when none is left
	 * @param sinceMilliseconds when the oldest began to wait, by the clock of this daemon
	 */
	public void setWaiting(Loadable loadable, QualifiedName organisation, int count, long sinceMilliseconds) {
		Shard shard = shard(loadable);
		if (shard != null) {
			shard.setWaiting(new WaitingKey(loadable, organisation), count, sinceMilliseconds);
		}
	}

	/**
	 * Records that a request was sent to an endpoint.
	 * @param endpoint the identifier of the endpoint
	 * @param loadable the model or adapter that it uses
	 */
	public void requestStarted(String endpoint, Loadable loadable) {
		adjustInFlight(endpoint, loadable, 1);
	}

	/**
	 * Records that a request ended at an endpoint.
	 * @param endpoint the identifier of the endpoint
	 * @param loadable the model or adapter that it used
	 */
	public void requestEnded(String endpoint, Loadable loadable) {
		adjustInFlight(endpoint, loadable, -1);
	}

	private void adjustInFlight(String endpoint, Loadable loadable, int delta) {
		Shard shard = shard(loadable);
		if (shard != null) {
			shard.adjustInFlight(new UsageKey(endpoint, loadable), delta, this.clock.milliseconds());
		}
	}

	/**
	 * Returns the weight store of a loadable.
	 * @param loadable a model or adapter
	 * @return the store, or {@code null} if its pool is not configured
	 */
	@Nullable String storeOf(Loadable loadable) {
		Pool pool = this.configuration.current().findPool(loadable.pool());
		return (pool != null) ? pool.store() : null;
	}

	private @Nullable Shard shard(Loadable loadable) {
		String store = storeOf(loadable);
		return (store != null) ? this.shards.computeIfAbsent(store, (key) -> new Shard()) : null;
	}

	/**
	 * Returns the loadables that requests at this daemon wait for.
	 * @param store the weight store
	 * @return the models and adapters
	 */
	Set<Loadable> requestedLoadables(String store) {
		Shard shard = this.shards.get(store);
		return (shard != null) ? shard.requestedLoadables() : Set.of();
	}

	/**
	 * Sends the uses of a store with the next flush, because the holder may be waiting
	 * for running requests to end before it unloads.
	 * @param store the weight store
	 */
	void sendUsesSoon(String store) {
		Shard shard = this.shards.get(store);
		if (shard != null) {
			shard.sendUsesSoon();
		}
	}

	/** Sends the reports that are due. */
	public void flush() {
		long now = this.clock.milliseconds();
		this.shards.forEach((store, shard) -> {
			DemandReport report = shard.nextReport(this.incarnation, store, now);
			if (report != null) {
				this.controllers.callHolder(store, PlacementControllers.DEMAND_OPERATION, report.toJson(), CALL_TIMEOUT)
					.whenComplete((answer, failure) -> shard.reportCompleted(report,
							failure == null && answer.path("held").asBoolean()));
			}
		});
	}

	private record WaitingKey(Loadable loadable, QualifiedName organisation) {
	}

	private record UsageKey(String endpoint, Loadable loadable) {
	}

	private record WaitingCount(int count, long sinceMilliseconds) {
	}

	private record Use(int inFlight, long changedMilliseconds) {
	}

	/**
	 * The waiting and running requests of one store. Safe for use by several threads
	 * under its own lock.
	 */
	private static final class Shard {

		private final Map<WaitingKey, WaitingCount> waiting = new HashMap<>();

		private final Map<UsageKey, Use> uses = new HashMap<>();

		private boolean changed;

		private boolean sending;

		private long sentAt = Long.MIN_VALUE / 2;

		private long usesSentAt = Long.MIN_VALUE / 2;

		private synchronized void setWaiting(WaitingKey key, int count, long since) {
			WaitingCount previous = (count > 0) ? this.waiting.put(key, new WaitingCount(count, since))
					: this.waiting.remove(key);
			this.changed |= (previous != null) != (count > 0);
		}

		private synchronized void adjustInFlight(UsageKey key, int delta, long now) {
			Use previous = this.uses.getOrDefault(key, new Use(0, now));
			this.uses.put(key, new Use(Math.max(0, previous.inFlight() + delta), now));
		}

		private synchronized Set<Loadable> requestedLoadables() {
			Set<Loadable> loadables = new HashSet<>();
			this.waiting.keySet().forEach((key) -> loadables.add(key.loadable()));
			return loadables;
		}

		private synchronized void sendUsesSoon() {
			this.usesSentAt = Long.MIN_VALUE / 2;
		}

		private synchronized @Nullable DemandReport nextReport(String incarnation, String store, long now) {
			boolean usesAreDue = now - this.usesSentAt >= USES_INTERVAL_MILLISECONDS;
			boolean refreshIsDue = !this.waiting.isEmpty() && now - this.sentAt >= REFRESH_INTERVAL_MILLISECONDS;
			if (this.sending || !(this.changed || refreshIsDue || usesAreDue)) {
				return null;
			}
			this.sending = true;
			this.changed = false;
			this.sentAt = now;
			this.usesSentAt = usesAreDue ? now : this.usesSentAt;
			return new DemandReport(incarnation, store, waitingRequests(now), usesAreDue ? usages(now) : null);
		}

		private List<DemandReport.WaitingRequests> waitingRequests(long now) {
			List<DemandReport.WaitingRequests> list = new ArrayList<>();
			this.waiting.forEach((key, requests) -> list.add(new DemandReport.WaitingRequests(key.loadable(),
					key.organisation(), requests.count(), Math.max(0, now - requests.sinceMilliseconds()))));
			return list;
		}

		private List<DemandReport.Usage> usages(long now) {
			List<DemandReport.Usage> list = new ArrayList<>();
			this.uses.forEach((key, use) -> list.add(new DemandReport.Usage(key.endpoint(), key.loadable(),
					use.inFlight(), (use.inFlight() > 0) ? 0 : now - use.changedMilliseconds())));
			return list;
		}

		private synchronized void reportCompleted(DemandReport report, boolean accepted) {
			this.sending = false;
			this.changed |= !accepted;
			List<DemandReport.Usage> sentUses = report.uses();
			if (sentUses == null) {
				return;
			}
			if (!accepted) {
				this.usesSentAt = Long.MIN_VALUE / 2;
				return;
			}
			for (DemandReport.Usage usage : sentUses) {
				UsageKey key = new UsageKey(usage.endpoint(), usage.loadable());
				Use use = this.uses.get(key);
				if (use != null && use.inFlight() == 0 && usage.inFlight() == 0) {
					this.uses.remove(key);
				}
			}
		}

	}

}

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
 * Tells the placing daemons what waits and what runs at this daemon.
 * <p>
 * Invariant: a change of what waits is told within {@link #FLUSH_MILLISECONDS} while the
 * holder answers, and again until it does. Safe for use by several threads; each store is
 * a shard with its own lock.
 */
public final class DemandReporter {

	/** How often {@link #flush()} is to be called. */
	public static final long FLUSH_MILLISECONDS = 50;

	private static final long REFRESH_MILLISECONDS = 500;

	private static final long USES_MILLISECONDS = 1_000;

	private static final Duration TIMEOUT = Duration.ofSeconds(1);

	private final Map<String, Shard> shards = new ConcurrentHashMap<>();

	private final PlacementKeepers keepers;

	private final ConfigurationSource configuration;

	private final MonotonicClock clock;

	private final String incarnation;

	/**
	 * Creates a reporter.
	 * @param keepers the way to the placing daemons
	 * @param configuration tells the store of a pool
	 * @param clock the clock
	 * @param incarnation the incarnation of this daemon
	 */
	public DemandReporter(PlacementKeepers keepers, ConfigurationSource configuration, MonotonicClock clock,
			String incarnation) {
		this.keepers = keepers;
		this.configuration = configuration;
		this.clock = clock;
		this.incarnation = incarnation;
	}

	/**
	 * Sets how many requests of an organisation wait for a loadable at this daemon.
	 * @param loadable what they need
	 * @param organisation whose they are
	 * @param count how many wait, 0 when none does any more
	 * @param sinceMilliseconds since when the oldest waits, by the clock of this daemon
	 */
	public void waiting(Loadable loadable, QualifiedName organisation, int count, long sinceMilliseconds) {
		Shard shard = shard(loadable);
		if (shard != null) {
			shard.setWaiting(new WaitKey(loadable, organisation), count, sinceMilliseconds);
		}
	}

	/**
	 * Counts a request that was sent to an endpoint.
	 * @param endpoint the identifier of the endpoint
	 * @param loadable what it uses
	 */
	public void began(String endpoint, Loadable loadable) {
		change(endpoint, loadable, 1);
	}

	/**
	 * Counts a request that ended at an endpoint.
	 * @param endpoint the identifier of the endpoint
	 * @param loadable what it used
	 */
	public void ended(String endpoint, Loadable loadable) {
		change(endpoint, loadable, -1);
	}

	private void change(String endpoint, Loadable loadable, int step) {
		Shard shard = shard(loadable);
		if (shard != null) {
			shard.change(new UseKey(endpoint, loadable), step, this.clock.milliseconds());
		}
	}

	/**
	 * Returns the weight store of a loadable.
	 * @param loadable the loadable
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
	 * Returns what requests wait for.
	 * @param store the weight store
	 * @return the loadables
	 */
	Set<Loadable> wanted(String store) {
		Shard shard = this.shards.get(store);
		return (shard != null) ? shard.wanted() : Set.of();
	}

	/**
	 * Sends the uses of a store with the next flush, because the holder may wait for them
	 * to end.
	 * @param store the weight store
	 */
	void hastenUses(String store) {
		Shard shard = this.shards.get(store);
		if (shard != null) {
			shard.hasten();
		}
	}

	/** Sends what is due. */
	public void flush() {
		long now = this.clock.milliseconds();
		this.shards.forEach((store, shard) -> {
			DemandReport report = shard.due(this.incarnation, store, now);
			if (report != null) {
				this.keepers.callHolder(store, PlacementKeepers.DEMAND, report.toJson(), TIMEOUT)
					.whenComplete((answer, failure) -> shard.sent(report,
							failure == null && answer.path("held").asBoolean()));
			}
		});
	}

	private record WaitKey(Loadable loadable, QualifiedName organisation) {
	}

	private record UseKey(String endpoint, Loadable loadable) {
	}

	private record Waiters(int count, long sinceMilliseconds) {
	}

	private record Use(int inFlight, long changedMilliseconds) {
	}

	/**
	 * What waits and runs at one store. Safe for use by several threads under its own
	 * lock.
	 */
	private static final class Shard {

		private final Map<WaitKey, Waiters> waiting = new HashMap<>();

		private final Map<UseKey, Use> uses = new HashMap<>();

		private boolean changed;

		private boolean sending;

		private long sentAt = Long.MIN_VALUE / 2;

		private long usesSentAt = Long.MIN_VALUE / 2;

		private synchronized void setWaiting(WaitKey key, int count, long since) {
			Waiters former = (count > 0) ? this.waiting.put(key, new Waiters(count, since)) : this.waiting.remove(key);
			this.changed |= (former != null) != (count > 0);
		}

		private synchronized void change(UseKey key, int step, long now) {
			Use former = this.uses.getOrDefault(key, new Use(0, now));
			this.uses.put(key, new Use(Math.max(0, former.inFlight() + step), now));
		}

		private synchronized Set<Loadable> wanted() {
			Set<Loadable> wanted = new HashSet<>();
			this.waiting.keySet().forEach((key) -> wanted.add(key.loadable()));
			return wanted;
		}

		private synchronized void hasten() {
			this.usesSentAt = Long.MIN_VALUE / 2;
		}

		private synchronized @Nullable DemandReport due(String incarnation, String store, long now) {
			boolean usesAreDue = now - this.usesSentAt >= USES_MILLISECONDS;
			boolean refreshIsDue = !this.waiting.isEmpty() && now - this.sentAt >= REFRESH_MILLISECONDS;
			if (this.sending || !(this.changed || refreshIsDue || usesAreDue)) {
				return null;
			}
			this.sending = true;
			this.changed = false;
			this.sentAt = now;
			this.usesSentAt = usesAreDue ? now : this.usesSentAt;
			return new DemandReport(incarnation, store, waitingNow(now), usesAreDue ? usesNow(now) : null);
		}

		private List<DemandReport.Waiting> waitingNow(long now) {
			List<DemandReport.Waiting> list = new ArrayList<>();
			this.waiting.forEach((key, waiters) -> list.add(new DemandReport.Waiting(key.loadable(), key.organisation(),
					waiters.count(), Math.max(0, now - waiters.sinceMilliseconds()))));
			return list;
		}

		private List<DemandReport.Used> usesNow(long now) {
			List<DemandReport.Used> list = new ArrayList<>();
			this.uses.forEach((key, use) -> list.add(new DemandReport.Used(key.endpoint(), key.loadable(),
					use.inFlight(), (use.inFlight() > 0) ? 0 : now - use.changedMilliseconds())));
			return list;
		}

		private synchronized void sent(DemandReport report, boolean taken) {
			this.sending = false;
			this.changed |= !taken;
			List<DemandReport.Used> told = report.uses();
			if (told == null) {
				return;
			}
			if (!taken) {
				this.usesSentAt = Long.MIN_VALUE / 2;
				return;
			}
			for (DemandReport.Used used : told) {
				UseKey key = new UseKey(used.endpoint(), used.loadable());
				Use use = this.uses.get(key);
				if (use != null && use.inFlight() == 0 && used.inFlight() == 0) {
					this.uses.remove(key);
				}
			}
		}

	}

}

package org.masticshelf.control.membership;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import org.jspecify.annotations.Nullable;

import org.masticshelf.kernel.event.Event;
import org.masticshelf.kernel.port.InstanceList;

/**
 * Polls the platform's list of instances for endpoints that are leaving or no longer
 * listed.
 * <p>
 * Invariants: an endpoint that was listed as leaving counts as leaving until it is listed
 * as live again, also while the list cannot be read or no longer contains it. An endpoint
 * counts as unlisted only if it was listed once and was then missing from successive
 * lists. Safe for use by several threads.
 */
public final class InstanceListPoller implements AutoCloseable {

	private static final long POLL_INTERVAL_MILLISECONDS = 1_000;

	/** How many successive lists must omit an endpoint before it counts as unlisted. */
	private static final int MISSES_UNTIL_UNLISTED = 30;

	private final Map<String, Integer> misses = new HashMap<>();

	private final InstanceList list;

	private final Consumer<Event> log;

	private volatile Set<String> leaving = Set.of();

	private volatile Set<String> unlisted = Set.of();

	private volatile boolean readable = true;

	private @Nullable ScheduledFuture<?> schedule;

	/**
	 * Creates a poller.
	 * @param list the platform's list of instances
	 * @param log receives the events
	 */
	public InstanceListPoller(InstanceList list, Consumer<Event> log) {
		this.list = list;
		this.log = log;
	}

	/**
	 * Reads the list every second until closed.
	 * @param scheduler runs the reads
	 * @return this poller
	 */
	public synchronized InstanceListPoller start(ScheduledExecutorService scheduler) {
		this.schedule = scheduler.scheduleAtFixedRate(this::round, 0, POLL_INTERVAL_MILLISECONDS,
				TimeUnit.MILLISECONDS);
		return this;
	}

	/**
	 * Returns the endpoints that are leaving and get no new work.
	 * @return their identifiers
	 */
	public Set<String> leaving() {
		return this.leaving;
	}

	/**
	 * Returns the endpoints that were listed once and have since been missing for longer
	 * than the lag of the list can explain.
	 * @return their identifiers
	 */
	public Set<String> unlisted() {
		return this.unlisted;
	}

	/**
	 * Reads the list once.
	 * @return completed when the read has succeeded or failed
	 */
	public CompletableFuture<Void> round() {
		return this.list.read().thenAccept(this::update).exceptionally((failure) -> {
			if (this.readable) {
				this.log.accept(Event.named("instances.unreadable").with("reason", failure.getMessage()));
			}
			this.readable = false;
			return null;
		});
	}

	private synchronized void update(List<InstanceList.Instance> instances) {
		Set<String> updated = new TreeSet<>(this.leaving);
		for (InstanceList.Instance instance : instances) {
			switch (instance.state()) {
				case LIVE -> updated.remove(instance.identifier());
				case LEAVING -> updated.add(instance.identifier());
			}
		}
		if (!updated.equals(this.leaving)) {
			this.log.accept(Event.named("instances.leaving").with("endpoints", String.join(",", updated)));
		}
		this.readable = true;
		this.leaving = Set.copyOf(updated);
		countMisses(instances);
	}

	private void countMisses(List<InstanceList.Instance> instances) {
		if (instances.isEmpty()) {
			return;
		}
		this.misses.replaceAll((identifier, count) -> count + 1);
		instances.forEach((instance) -> this.misses.put(instance.identifier(), 0));
		Set<String> missing = new TreeSet<>();
		this.misses.forEach((identifier, count) -> {
			if (count >= MISSES_UNTIL_UNLISTED) {
				missing.add(identifier);
			}
		});
		if (!missing.equals(this.unlisted)) {
			this.log.accept(Event.named("instances.unlisted").with("endpoints", String.join(",", missing)));
		}
		this.unlisted = Set.copyOf(missing);
	}

	@Override
	public synchronized void close() {
		if (this.schedule != null) {
			this.schedule.cancel(false);
		}
	}

}

package org.masticshelf.bench.replay;

import java.time.Duration;
import java.util.Comparator;
import java.util.PriorityQueue;

import org.masticshelf.kernel.time.MonotonicClock;

/**
 * A clock together with what happens at later readings.
 * <p>
 * Invariant: what is due earlier runs earlier; what is due at once runs in the order in
 * which it was scheduled. Used by one thread.
 */
final class VirtualTime {

	static final long NANOSECONDS_PER_MILLISECOND = 1_000_000L;

	private final MonotonicClock.Manual clock = new MonotonicClock.Manual();

	private final PriorityQueue<Scheduled> scheduled = new PriorityQueue<>(
			Comparator.comparingLong(Scheduled::due).thenComparingLong(Scheduled::order));

	private long order;

	long now() {
		return this.clock.nanoseconds();
	}

	long milliseconds() {
		return this.clock.milliseconds();
	}

	void after(long nanoseconds, Runnable action) {
		at(now() + Math.max(nanoseconds, 0), action);
	}

	void at(long due, Runnable action) {
		this.scheduled.add(new Scheduled(due, this.order++, action));
	}

	/**
	 * Repeats an action until the end of the replay.
	 * @param nanoseconds the time between two runs
	 * @param end the reading after which it is not repeated
	 * @param action the action
	 */
	void every(long nanoseconds, long end, Runnable action) {
		after(nanoseconds, () -> {
			action.run();
			if (now() < end) {
				every(nanoseconds, end, action);
			}
		});
	}

	/** Runs everything that is scheduled, and what is scheduled meanwhile. */
	void run() {
		while (!this.scheduled.isEmpty()) {
			Scheduled next = this.scheduled.remove();
			this.clock.advance(Duration.ofNanos(Math.max(0, next.due() - now())));
			next.action().run();
		}
	}

	private record Scheduled(long due, long order, Runnable action) {
	}

}

package org.masticshelf.control.claim;

import java.time.Duration;
import java.util.Comparator;
import java.util.PriorityQueue;

import org.masticshelf.kernel.time.MonotonicClock;

/** Runs tasks when a test advances the clock. Not thread-safe. */
final class ManualDelayedExecutor implements DelayedExecutor {

	private final MonotonicClock.Manual clock;

	private final PriorityQueue<Task> tasks = new PriorityQueue<>(
			Comparator.comparingLong(Task::due).thenComparingLong(Task::order));

	private long order;

	ManualDelayedExecutor(MonotonicClock.Manual clock) {
		this.clock = clock;
	}

	@Override
	public void schedule(long nanoseconds, Runnable task) {
		this.tasks.add(new Task(this.clock.nanoseconds() + Math.max(nanoseconds, 0), this.order++, task));
	}

	void advance(Duration step) {
		long end = this.clock.nanoseconds() + step.toNanos();
		while (!this.tasks.isEmpty() && this.tasks.peek().due() <= end) {
			Task next = this.tasks.remove();
			moveTo(next.due());
			next.action().run();
		}
		moveTo(end);
	}

	private void moveTo(long reading) {
		this.clock.advance(Duration.ofNanos(Math.max(0, reading - this.clock.nanoseconds())));
	}

	private record Task(long due, long order, Runnable action) {
	}

}

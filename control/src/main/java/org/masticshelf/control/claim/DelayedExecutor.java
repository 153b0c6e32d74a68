package org.masticshelf.control.claim;

import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * Runs tasks after a delay.
 * <p>
 * Implementations are safe for use by several threads.
 */
@FunctionalInterface
public interface DelayedExecutor {

	/**
	 * Runs a task once after a delay.
	 * @param nanoseconds the delay, 0 or less to run the task as soon as possible
	 * @param task the task
	 */
	void schedule(long nanoseconds, Runnable task);

	/**
	 * Runs tasks on a scheduler.
	 *
	 * @param scheduler the scheduler
	 */
	record ForScheduler(ScheduledExecutorService scheduler) implements DelayedExecutor {

		@Override
		public void schedule(long nanoseconds, Runnable task) {
			this.scheduler.schedule(task, Math.max(nanoseconds, 0), TimeUnit.NANOSECONDS);
		}

	}

}

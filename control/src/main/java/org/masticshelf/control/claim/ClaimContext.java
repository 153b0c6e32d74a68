package org.masticshelf.control.claim;

import java.util.function.Predicate;

import org.masticshelf.kernel.port.KeyValueStore;
import org.masticshelf.kernel.time.MonotonicClock;

/**
 * What the parts of a {@link ClaimRegistry} share.
 * <p>
 * Safe for use by several threads, as its parts are.
 *
 * @param store the key-value service
 * @param commit writes to it
 * @param lease the lease of new claims
 * @param clock the clock of deadlines
 * @param delay runs tasks later
 * @param incarnation the incarnation of this daemon
 * @param isRunning tells whether a daemon is known to be running by its incarnation
 */
record ClaimContext(KeyValueStore store, GroupCommit commit, HourlyLease lease, MonotonicClock clock,
		DelayedExecutor delay, String incarnation, Predicate<String> isRunning) {

	private static final long FIRST_DELAY_NANOSECONDS = 100_000_000L;

	private static final long LONGEST_DELAY_NANOSECONDS = 2_000_000_000L;

	private static final int MAXIMUM_DOUBLINGS = 10;

	/**
	 * Runs a task after a delay that doubles with each try.
	 * @param tries how many tries were made, 1 or more
	 * @param task the task
	 */
	void runWithBackoff(int tries, Runnable task) {
		long delay = FIRST_DELAY_NANOSECONDS << Math.min(tries - 1, MAXIMUM_DOUBLINGS);
		this.delay.schedule(Math.min(delay, LONGEST_DELAY_NANOSECONDS), task);
	}

	boolean hasPassed(long deadline) {
		return this.clock.nanoseconds() - deadline >= 0;
	}

}

package org.masticshelf.control.claim;

import java.util.function.Predicate;

import org.masticshelf.kernel.port.KeyValueStore;
import org.masticshelf.kernel.time.MonotonicClock;

/**
 * The collaborators that the parts of a {@link ClaimRegistry} share.
 * <p>
 * Safe for use by several threads, as its parts are.
 *
 * @param store the key-value service
 * @param commit batches the writes to the service
 * @param lease the lease of new claims
 * @param clock the clock of deadlines
 * @param executor runs tasks after a delay
 * @param incarnation the incarnation of this daemon
 * @param isRunning tells whether a daemon is known to be running by its incarnation
 */
record ClaimContext(KeyValueStore store, GroupCommit commit, HourlyLease lease, MonotonicClock clock,
		DelayedExecutor executor, String incarnation, Predicate<String> isRunning) {

	private static final long INITIAL_DELAY_NANOSECONDS = 100_000_000L;

	private static final long MAXIMUM_DELAY_NANOSECONDS = 2_000_000_000L;

	private static final int MAXIMUM_DOUBLINGS = 10;

	/**
	 * Runs a task after a delay that doubles with each try, up to a maximum.
	 * @param tries how many tries were made, 1 or more
	 * @param task the task
	 */
	void runWithBackoff(int tries, Runnable task) {
		long delay = INITIAL_DELAY_NANOSECONDS << Math.min(tries - 1, MAXIMUM_DOUBLINGS);
		this.executor.schedule(Math.min(delay, MAXIMUM_DELAY_NANOSECONDS), task);
	}

	boolean hasPassed(long deadline) {
		return this.clock.nanoseconds() - deadline >= 0;
	}

}

package org.masticshelf.kernel.grant;

import java.time.Duration;

/**
 * Defines the durations and the reserve that keepers and daemons have in common.
 * <p>
 * Invariant: a daemon measures each lifetime from when it sent the request and the keeper
 * from when it answers, so anything expires at the daemon before it does at the keeper.
 */
public final class GrantParameters {

	/** How long a keeper counts a slice as outstanding, in nanoseconds. */
	public static final long SLICE_LIFETIME_NANOSECONDS = Duration.ofMillis(2_000).toNanos();

	/** How long a daemon may spend from a slice, in nanoseconds. */
	public static final long SLICE_USABLE_NANOSECONDS = Duration.ofMillis(1_900).toNanos();

	/** How long a keeper counts an allotment after its last answer, in nanoseconds. */
	public static final long ALLOTMENT_LIFETIME_NANOSECONDS = Duration.ofMinutes(60).toNanos();

	/** How long a daemon may use an allotment without an answer, in nanoseconds. */
	public static final long ALLOTMENT_USABLE_NANOSECONDS = Duration.ofMinutes(59).toNanos();

	/** How long an active daemon lends its allotment to the keeper, in milliseconds. */
	public static final long ACTIVE_LOAN_MILLISECONDS = 1_000;

	/** How long an idle daemon lends its allotment to the keeper, in milliseconds. */
	public static final long IDLE_LOAN_MILLISECONDS = 30_000;

	/** How long after the last demand a daemon counts as active, in nanoseconds. */
	public static final long ACTIVITY_TIMEOUT_NANOSECONDS = Duration.ofMillis(5_000).toNanos();

	/** The interval between exchanges of an active organisation, in nanoseconds. */
	public static final long ACTIVE_INTERVAL_NANOSECONDS = Duration.ofMillis(125).toNanos();

	/** The interval between exchanges of an idle organisation, in nanoseconds. */
	public static final long IDLE_INTERVAL_NANOSECONDS = Duration.ofMillis(10_000).toNanos();

	/** The interval after an exchange without an answer, in nanoseconds. */
	public static final long RETRY_INTERVAL_NANOSECONDS = Duration.ofMillis(500).toNanos();

	/** The shortest interval between exchanges while requests wait, in nanoseconds. */
	public static final long URGENT_INTERVAL_NANOSECONDS = Duration.ofMillis(10).toNanos();

	/**
	 * How long a waiting daemon keeps its place in the queue without asking again, in
	 * nanoseconds.
	 */
	public static final long WAIT_TIMEOUT_NANOSECONDS = Duration.ofMillis(400).toNanos();

	/** The share of rate and burst reserved for allotments, in parts per million. */
	public static final long RESERVE_PARTS_PER_MILLION = 500_000;

	private GrantParameters() {
	}

}

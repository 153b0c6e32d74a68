package org.masticshelf.serving.request;

import org.masticshelf.kernel.time.MonotonicClock;

/**
 * The planned stop of a daemon: its phase, when each phase ends, and how much time is
 * left for answers.
 * <p>
 * Invariant: phases follow each other in their order. Thread-safe.
 */
public final class PlannedStop {

	/**
	 * The platform needs two failed probes, one per second, before callers stop sending
	 * requests.
	 */
	private static final long PROBE_FAILURE_MILLISECONDS = 2_700;

	/** The time reserved for releasing the lease at the end of a stop. */
	private static final long RESERVED_MILLISECONDS = 700;

	/** How long before the last answers waiting requests are refused. */
	private static final long ENDING_MILLISECONDS = 1_500;

	private static final long NOT_BEGUN = -1;

	private final MonotonicClock clock;

	private final long limitMilliseconds;

	private volatile long begunAt = NOT_BEGUN;

	private volatile StopPhase phase = StopPhase.RUNNING;

	/**
	 * Creates a stop that has not begun.
	 * @param clock the clock
	 * @param limitMilliseconds the time after which the platform ends the process
	 */
	public PlannedStop(MonotonicClock clock, long limitMilliseconds) {
		this.clock = clock;
		this.limitMilliseconds = limitMilliseconds;
	}

	/** Begins the stop. */
	public void begin() {
		this.begunAt = this.clock.milliseconds();
		this.phase = StopPhase.LEAVING;
	}

	/**
	 * Enters the next phase.
	 * @param next the phase
	 */
	public void enter(StopPhase next) {
		this.phase = next;
	}

	/**
	 * Returns the current phase.
	 * @return the phase
	 */
	public StopPhase phase() {
		return this.phase;
	}

	/**
	 * Returns whether the time of a phase has passed.
	 * @param asked the phase
	 * @return whether it has
	 */
	public boolean isOver(StopPhase asked) {
		return elapsedMilliseconds() >= endOf(asked);
	}

	private long endOf(StopPhase asked) {
		long answersUntil = this.limitMilliseconds - RESERVED_MILLISECONDS;
		return switch (asked) {
			case RUNNING -> 0;
			case LEAVING -> PROBE_FAILURE_MILLISECONDS;
			case REFUSING -> answersUntil - ENDING_MILLISECONDS;
			case ENDING -> answersUntil;
		};
	}

	/**
	 * Returns the time since the stop began.
	 * @return the time in milliseconds, negative if it has not begun
	 */
	public long elapsedMilliseconds() {
		return (this.begunAt == NOT_BEGUN) ? NOT_BEGUN : this.clock.milliseconds() - this.begunAt;
	}

	/**
	 * Returns the time in which the answer of an endpoint can still be passed on.
	 * @return the time in milliseconds, {@link Long#MAX_VALUE} if no stop has begun
	 */
	public long leftMilliseconds() {
		return (this.begunAt == NOT_BEGUN) ? Long.MAX_VALUE
				: Math.max(0, endOf(StopPhase.ENDING) - elapsedMilliseconds());
	}

}

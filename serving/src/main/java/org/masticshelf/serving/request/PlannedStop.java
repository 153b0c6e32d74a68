package org.masticshelf.serving.request;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

import org.jspecify.annotations.Nullable;

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

	/** How long before its limit a stop ends, for what delays the process. */
	private static final long RESERVED_MILLISECONDS = 300;

	/** The time in which callers are told that their requests were given up. */
	private static final long GIVING_UP_MILLISECONDS = 200;

	/** How long before the last answers waiting requests are refused. */
	private static final long ENDING_MILLISECONDS = 1_500;

	private static final long NOT_BEGUN = -1;

	private final MonotonicClock clock;

	private final long limitMilliseconds;

	private final Set<Runnable> exchanges = ConcurrentHashMap.newKeySet();

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

	/**
	 * Begins the stop.
	 * @return whether it has begun now, false if it had begun before
	 */
	public synchronized boolean begin() {
		if (this.begunAt != NOT_BEGUN) {
			return false;
		}
		this.begunAt = this.clock.milliseconds();
		this.phase = StopPhase.LEAVING;
		return true;
	}

	/**
	 * Enters the next phase.
	 * @param next the phase
	 */
	public void enter(StopPhase next) {
		this.phase = next;
		if (next == StopPhase.GIVING_UP) {
			this.exchanges.forEach(Runnable::run);
		}
	}

	/**
	 * Registers an exchange that is ended when requests are given up. It has to be
	 * removed when it has ended by itself.
	 * @param end ends the exchange; called at once if requests are being given up, and
	 * possibly twice
	 */
	void addExchange(Runnable end) {
		this.exchanges.add(end);
		if (this.phase == StopPhase.GIVING_UP) {
			end.run();
		}
	}

	/**
	 * Removes an exchange that has ended.
	 * @param end the action that was registered
	 */
	void removeExchange(Runnable end) {
		this.exchanges.remove(end);
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
		long answersUntil = this.limitMilliseconds - RESERVED_MILLISECONDS - GIVING_UP_MILLISECONDS;
		return switch (asked) {
			case RUNNING -> 0;
			case LEAVING -> PROBE_FAILURE_MILLISECONDS;
			case REFUSING -> answersUntil - ENDING_MILLISECONDS;
			case ENDING -> answersUntil;
			case GIVING_UP -> answersUntil + GIVING_UP_MILLISECONDS;
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
	 * Returns the time until callers have noticed the stop.
	 * @return the time in milliseconds, 0 if it has passed
	 */
	public long unnoticedMilliseconds() {
		return Math.max(0, PROBE_FAILURE_MILLISECONDS - elapsedMilliseconds());
	}

	/**
	 * Returns the time in which the answer of an endpoint can still be passed on.
	 * @return the time in milliseconds, {@link Long#MAX_VALUE} if no stop has begun
	 */
	public long leftMilliseconds() {
		return (this.begunAt == NOT_BEGUN) ? Long.MAX_VALUE
				: Math.max(0, endOf(StopPhase.ENDING) - elapsedMilliseconds());
	}

	/**
	 * Returns the time that is left, for logs.
	 * @return the time in milliseconds, {@code null} if no stop has begun
	 */
	@Nullable Long leftForLog() {
		return (this.begunAt == NOT_BEGUN) ? null : Long.valueOf(leftMilliseconds());
	}

}

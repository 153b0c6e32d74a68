package org.masticshelf.serving;

import java.util.function.LongSupplier;

import org.masticshelf.kernel.time.MonotonicClock;

/**
 * A monotonic clock that includes the time during which the instance was suspended.
 * <p>
 * The system's monotonic clock stops during a suspension, whereas the wall clock does
 * not. A forward step of the wall clock cannot be told apart from a suspension; it makes
 * this clock jump ahead, which ends leases early and does no harm. Invariant: readings
 * never decrease. Thread-safe.
 */
public final class SuspensionAwareClock implements MonotonicClock {

	/** Smaller differences are caused by the drift and imprecision of the two clocks. */
	private static final long TOLERATED_NANOSECONDS = 200_000_000;

	private static final long NANOSECONDS_PER_MILLISECOND = 1_000_000;

	private final LongSupplier monotonicClock;

	private final LongSupplier wallClock;

	private long lastDifference;

	private long suspendedNanoseconds;

	/**
	 * Creates a clock.
	 * @param monotonicClock returns monotonic nanoseconds that exclude suspensions
	 * @param wallClock returns the wall-clock time in milliseconds
	 */
	public SuspensionAwareClock(LongSupplier monotonicClock, LongSupplier wallClock) {
		this.monotonicClock = monotonicClock;
		this.wallClock = wallClock;
		this.lastDifference = currentDifference();
	}

	/**
	 * Creates a clock from the system's clocks.
	 * @return the clock
	 */
	public static SuspensionAwareClock ofSystem() {
		return new SuspensionAwareClock(System::nanoTime, System::currentTimeMillis);
	}

	@Override
	public synchronized long nanoseconds() {
		long current = currentDifference();
		long jump = current - this.lastDifference;
		this.lastDifference = current;
		if (jump > TOLERATED_NANOSECONDS) {
			this.suspendedNanoseconds += jump;
		}
		return this.monotonicClock.getAsLong() + this.suspendedNanoseconds;
	}

	private long currentDifference() {
		return this.wallClock.getAsLong() * NANOSECONDS_PER_MILLISECOND - this.monotonicClock.getAsLong();
	}

}

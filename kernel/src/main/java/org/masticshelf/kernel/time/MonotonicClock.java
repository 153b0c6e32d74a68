package org.masticshelf.kernel.time;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A clock that never goes backwards and is unrelated to the time of day.
 * <p>
 * Invariant: two successive readings never decrease. Implementations are safe for use by
 * several threads.
 */
public interface MonotonicClock {

	/**
	 * Returns the current reading.
	 * @return nanoseconds since an arbitrary origin
	 */
	long nanoseconds();

	/**
	 * Returns the current reading in milliseconds.
	 * @return milliseconds since the same origin as {@link #durationNanoseconds()}
	 */
	default long milliseconds() {
		return nanoseconds() / 1_000_000L;
	}

	/**
	 * The clock of the running process.
	 */
	enum SystemClock implements MonotonicClock {

		/** The only instance. */
		INSTANCE;

		@Override
		public long nanoseconds() {
			return System.nanoTime();
		}

	}

	/**
	 * A clock that moves only when it is advanced, for tests and replay.
	 */
	final class Manual implements MonotonicClock {

		private final AtomicLong reading = new AtomicLong();

		@Override
		public long nanoseconds() {
			return this.reading.get();
		}

		/**
		 * Moves the clock forward.
		 * @param step how far to move, not negative
		 * @return this clock
		 */
		public Manual advance(Duration step) {
			if (step.isNegative()) {
				throw new IllegalArgumentException("a monotonic clock cannot move back by " + step);
			}
			this.reading.addAndGet(step.toNanos());
			return this;
		}

	}

}

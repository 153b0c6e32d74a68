package org.masticshelf.control.placement;

import java.util.HashMap;
import java.util.Map;

import org.masticshelf.kernel.time.MonotonicClock;

/**
 * The orders of this daemon that may still reach an endpoint, by fencing number.
 * <p>
 * Invariant: an order is entered before the tenure is checked for it and leaves only when
 * it was answered, proved unsent, or given up for {@link #SETTLE_MILLISECONDS}. So when a
 * daemon answers that a former tenure has no order left, none can follow. Safe for use by
 * several threads under its own lock.
 */
public final class OutstandingOrders {

	/** After how long an unanswered order is taken to have arrived or been lost. */
	public static final long SETTLE_MILLISECONDS = 30_000;

	private final Map<Long, Outstanding> orders = new HashMap<>();

	private final MonotonicClock clock;

	/**
	 * Creates an empty ledger.
	 * @param clock the clock by which unanswered orders are given up
	 */
	public OutstandingOrders(MonotonicClock clock) {
		this.clock = clock;
	}

	/**
	 * Enters an order.
	 * @param fencing the fencing number that it carries
	 */
	void enter(long fencing) {
		synchronized (this.orders) {
			this.orders.computeIfAbsent(fencing, (key) -> new Outstanding()).count++;
		}
	}

	/**
	 * Removes an order that can no longer reach its endpoint.
	 * @param fencing the fencing number that it carries
	 */
	void leave(long fencing) {
		synchronized (this.orders) {
			this.orders.computeIfAbsent(fencing, (key) -> new Outstanding()).count--;
		}
	}

	/**
	 * Removes an order that had no answer, after the time that it takes to settle.
	 * @param fencing the fencing number that it carries
	 */
	void leaveUnanswered(long fencing) {
		synchronized (this.orders) {
			Outstanding outstanding = this.orders.computeIfAbsent(fencing, (key) -> new Outstanding());
			outstanding.count--;
			outstanding.settledAt = this.clock.milliseconds() + SETTLE_MILLISECONDS;
		}
	}

	/**
	 * Returns whether no order of a tenure can reach an endpoint any more, given that the
	 * tenure has ended.
	 * @param fencing the fencing number of the tenure
	 * @return whether none is left
	 */
	public boolean isSettled(long fencing) {
		synchronized (this.orders) {
			Outstanding outstanding = this.orders.get(fencing);
			return outstanding == null
					|| (outstanding.count == 0 && outstanding.settledAt <= this.clock.milliseconds());
		}
	}

	/** The orders of one tenure. Guarded by the lock of its ledger. */
	private static final class Outstanding {

		private int count;

		private long settledAt = Long.MIN_VALUE;

	}

}

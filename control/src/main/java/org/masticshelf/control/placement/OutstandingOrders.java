package org.masticshelf.control.placement;

import java.util.HashMap;
import java.util.Map;

import org.masticshelf.kernel.time.MonotonicClock;

/**
 * Counts the orders of this daemon that may still reach an endpoint, by fencing number.
 * <p>
 * Invariant: an order is added before the tenure is checked for it and is removed only
 * when it was answered, provably had no effect, or went unanswered for
 * {@link #SETTLE_MILLISECONDS}. So once a daemon reports that an ended tenure has no
 * outstanding order, none can follow. Safe for use by several threads under its own lock.
 */
public final class OutstandingOrders {

	/** After how long an unanswered order counts as delivered or lost. */
	public static final long SETTLE_MILLISECONDS = 30_000;

	private final Map<Long, TenureOrders> orders = new HashMap<>();

	private final MonotonicClock clock;

	/**
	 * Creates an instance without orders.
	 * @param clock the clock that times unanswered orders
	 */
	public OutstandingOrders(MonotonicClock clock) {
		this.clock = clock;
	}

	/**
	 * Adds an order.
	 * @param fencing the fencing number that it carries
	 */
	void add(long fencing) {
		synchronized (this.orders) {
			this.orders.computeIfAbsent(fencing, (key) -> new TenureOrders()).count++;
		}
	}

	/**
	 * Removes an order that can no longer reach its endpoint.
	 * @param fencing the fencing number that it carries
	 */
	void remove(long fencing) {
		synchronized (this.orders) {
			this.orders.computeIfAbsent(fencing, (key) -> new TenureOrders()).count--;
		}
	}

	/**
	 * Removes an order that was not answered, which still counts as outstanding for
	 * {@link #SETTLE_MILLISECONDS}.
	 * @param fencing the fencing number that it carries
	 */
	void removeUnanswered(long fencing) {
		synchronized (this.orders) {
			TenureOrders tenure = this.orders.computeIfAbsent(fencing, (key) -> new TenureOrders());
			tenure.count--;
			tenure.settledAt = this.clock.milliseconds() + SETTLE_MILLISECONDS;
		}
	}

	/**
	 * Returns whether no order of an ended tenure can still reach an endpoint.
	 * @param fencing the fencing number of the tenure
	 * @return whether no order is outstanding
	 */
	public boolean isSettled(long fencing) {
		synchronized (this.orders) {
			TenureOrders tenure = this.orders.get(fencing);
			return tenure == null || (tenure.count == 0 && tenure.settledAt <= this.clock.milliseconds());
		}
	}

	/** The outstanding orders of one tenure. Guarded by the lock on the map of orders. */
	private static final class TenureOrders {

		private int count;

		private long settledAt = Long.MIN_VALUE;

	}

}

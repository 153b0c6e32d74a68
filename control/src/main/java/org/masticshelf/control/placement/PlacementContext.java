package org.masticshelf.control.placement;

import java.util.concurrent.CompletableFuture;

import org.masticshelf.control.duty.Duty;
import org.masticshelf.kernel.configuration.Loadable;
import org.masticshelf.kernel.placement.EndpointRecord;
import org.masticshelf.kernel.placement.LoadTimes;
import org.masticshelf.kernel.port.Engine;

/**
 * What the endpoint controllers of one store share during one tenure of its placement
 * duty.
 * <p>
 * Guarded by the lock of the store's controller.
 */
final class PlacementContext {

	private static final long MINIMUM_REPORT_INTERVAL_MILLISECONDS = 1_000;

	private static final int MAXIMUM_REPORTS_PER_SECOND = 500;

	private final PlacementServices services;

	private final Duty duty;

	private final Duty.Tenure tenure;

	private final EndpointRecord.Sender self;

	private final DemandAggregator demandAggregator;

	private final Object lock;

	private int endpointCount;

	private LoadTimes loadTimes = LoadTimes.INITIAL;

	private long orderCount;

	PlacementContext(PlacementServices services, Duty duty, Duty.Tenure tenure, EndpointRecord.Sender self,
			DemandAggregator demandAggregator, Object lock) {
		this.services = services;
		this.duty = duty;
		this.tenure = tenure;
		this.self = self;
		this.demandAggregator = demandAggregator;
		this.lock = lock;
	}

	PlacementServices services() {
		return this.services;
	}

	Duty.Tenure tenure() {
		return this.tenure;
	}

	EndpointRecord.Sender self() {
		return this.self;
	}

	DemandAggregator demandAggregator() {
		return this.demandAggregator;
	}

	Object lock() {
		return this.lock;
	}

	LoadTimes loadTimes() {
		return this.loadTimes;
	}

	long now() {
		return this.services.clock().milliseconds();
	}

	/**
	 * Returns whether this daemon still holds the tenure.
	 * @return whether it may send orders now
	 */
	boolean isTenureHeld() {
		Duty.Tenure current = this.duty.tenure();
		return current != null && current.fencing() == this.tenure.fencing();
	}

	/**
	 * Sets how many endpoints the store has.
	 * @param count the number of endpoints
	 */
	void setEndpointCount(int count) {
		this.endpointCount = count;
	}

	/**
	 * Returns the interval between reports of an idle endpoint, which grows with the
	 * store so that all its endpoints together send a bounded number of reports per
	 * second.
	 * @return the interval in milliseconds
	 */
	long reportIntervalMilliseconds() {
		return Math.max(MINIMUM_REPORT_INTERVAL_MILLISECONDS, this.endpointCount * 1_000L / MAXIMUM_REPORTS_PER_SECOND);
	}

	/**
	 * Returns the identifier of the next intent.
	 * @return an identifier that is unique among all intents of the store
	 */
	String nextOrderIdentifier() {
		return this.tenure.fencing() + "-" + ++this.orderCount;
	}

	/**
	 * Updates the expected load times with a finished load.
	 * @param loadable the model or adapter that was loaded
	 * @param level where its weights were before
	 * @param milliseconds how long it took
	 */
	void recordLoadTime(Loadable loadable, Engine.CacheLevel level, long milliseconds) {
		this.loadTimes = this.loadTimes.withObserved(loadable, level, milliseconds);
	}

	/**
	 * Asks whether a former holder can still send an order.
	 * @param sender the former holder, possibly a former tenure of this daemon
	 * @return whether certainly no order will follow
	 */
	CompletableFuture<Boolean> isSettled(EndpointRecord.Sender sender) {
		if (sender.incarnation().equals(this.self.incarnation())) {
			return CompletableFuture.completedFuture(this.services.outstandingOrders().isSettled(sender.fencing()));
		}
		return this.services.senderStatus().isSettled(sender);
	}

}

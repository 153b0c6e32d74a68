package org.masticshelf.control.placement;

import java.util.concurrent.CompletableFuture;

import org.masticshelf.control.duty.Duty;
import org.masticshelf.kernel.configuration.Loadable;
import org.masticshelf.kernel.placement.EndpointRecord;
import org.masticshelf.kernel.placement.LoadTimes;
import org.masticshelf.kernel.port.Engine;

/**
 * One tenure of the placing duty of one store: what its endpoint keepers share.
 * <p>
 * Guarded by the lock of the store's keeper.
 */
final class PlacementContext {

	private static final long SHORTEST_REPORT_MILLISECONDS = 1_000;

	private static final int REPORTS_PER_SECOND = 500;

	private final PlacementServices services;

	private final Duty duty;

	private final Duty.Tenure tenure;

	private final EndpointRecord.Sender self;

	private final DemandAggregator book;

	private final Object lock;

	private int endpoints;

	private LoadTimes times = LoadTimes.INITIAL;

	private long orders;

	PlacementContext(PlacementServices services, Duty duty, Duty.Tenure tenure, EndpointRecord.Sender self,
			DemandAggregator book, Object lock) {
		this.services = services;
		this.duty = duty;
		this.tenure = tenure;
		this.self = self;
		this.book = book;
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

	DemandAggregator book() {
		return this.book;
	}

	Object lock() {
		return this.lock;
	}

	LoadTimes times() {
		return this.times;
	}

	long now() {
		return this.services.clock().milliseconds();
	}

	/**
	 * Returns whether this tenure holds at this instant.
	 * @return whether this daemon may act
	 */
	boolean holds() {
		Duty.Tenure current = this.duty.tenure();
		return current != null && current.fencing() == this.tenure.fencing();
	}

	/**
	 * Sets how many endpoints the store has.
	 * @param count the number of endpoints
	 */
	void setEndpoints(int count) {
		this.endpoints = count;
	}

	/**
	 * Returns how often an endpoint at which nothing happens is asked for its report, so
	 * that a large store costs no more than a bounded number of reports a second.
	 * @return milliseconds
	 */
	long reportIntervalMilliseconds() {
		return Math.max(SHORTEST_REPORT_MILLISECONDS, this.endpoints * 1_000L / REPORTS_PER_SECOND);
	}

	/**
	 * Returns an identifier for the next intent.
	 * @return an identifier that no other intent has
	 */
	String nextOrder() {
		return this.tenure.fencing() + "-" + ++this.orders;
	}

	/**
	 * Learns from a load.
	 * @param loadable what was loaded
	 * @param level where its weights lay
	 * @param milliseconds how long it took
	 */
	void loaded(Loadable loadable, Engine.CacheLevel level, long milliseconds) {
		this.times = this.times.withSeen(loadable, level, milliseconds);
	}

	/**
	 * Asks whether a former holder can still send an order.
	 * @param sender the former holder, possibly a former tenure of this daemon
	 * @return whether certainly none will follow
	 */
	CompletableFuture<Boolean> isSettled(EndpointRecord.Sender sender) {
		if (sender.incarnation().equals(this.self.incarnation())) {
			return CompletableFuture.completedFuture(this.services.ledger().isSettled(sender.fencing()));
		}
		return this.services.senders().isSettled(sender);
	}

}

package org.masticshelf.serving.placement;

import java.util.concurrent.CompletableFuture;
import java.util.function.Predicate;

import org.masticshelf.kernel.serving.ServedEndpoint;

/**
 * Sends orders to engines, except to those in evacuated failure domains. A step of
 * several orders that began before the evacuation ends with its first order after it.
 * Reports are still read. Stateless and thread-safe.
 */
public final class EvacuationAwareOrders implements EngineOrders {

	private final EngineOrders orders;

	private final Predicate<ServedEndpoint> evacuated;

	/**
	 * Creates a sender of orders.
	 * @param orders sends the orders that are allowed
	 * @param evacuated tells whether the failure domain of an endpoint is evacuated
	 */
	public EvacuationAwareOrders(EngineOrders orders, Predicate<ServedEndpoint> evacuated) {
		this.orders = orders;
		this.evacuated = evacuated;
	}

	@Override
	public CompletableFuture<OrderAnswer> order(ServedEndpoint endpoint, EngineOrder order) {
		if (this.evacuated.test(endpoint)) {
			return CompletableFuture.completedFuture(OrderAnswer.EVACUATED);
		}
		return this.orders.order(endpoint, order);
	}

	@Override
	public CompletableFuture<EngineReport> report(ServedEndpoint endpoint) {
		return this.orders.report(endpoint);
	}

}

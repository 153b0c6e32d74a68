package org.masticshelf.serving.placement;

import java.util.concurrent.CompletableFuture;

import org.masticshelf.kernel.serving.LoadableName;
import org.masticshelf.kernel.serving.ServedEndpoint;
import org.masticshelf.kernel.serving.ServedEndpoint.Holdings;

/**
 * Gives orders to engines and reads their reports. Implementations are safe for use by
 * several threads.
 */
public interface EngineOrders {

	/**
	 * Gives an order.
	 * @param endpoint the engine
	 * @param order the order
	 * @return what the engine answered; fails if there was no answer, in which case the
	 * order may still be carried out
	 */
	CompletableFuture<OrderAnswer> order(ServedEndpoint endpoint, EngineOrder order);

	/**
	 * Reads a report, which may be some hundred milliseconds old.
	 * @param endpoint the engine
	 * @return the report; fails if there was none
	 */
	CompletableFuture<EngineReport> report(ServedEndpoint endpoint);

	/**
	 * An order. Immutable.
	 *
	 * @param load whether to load, else to unload
	 * @param loadable the model or adapter
	 * @param ordersTaken the number of orders that the engine has to have taken before;
	 * it refuses otherwise, also when the order arrives late
	 * @param holder who gives the order
	 * @param fencing the fencing number of the duty under which it is given
	 */
	record EngineOrder(boolean load, LoadableName loadable, long ordersTaken, String holder, long fencing) {
	}

	/** What an engine answers to an order. */
	enum OrderAnswer {

		/** The order is being carried out. */
		ACCEPTED,

		/** What was ordered holds already. */
		HOLDS,

		/** Another order is being carried out, or others were taken meanwhile. */
		CONFLICT,

		/** A later holder has given orders. */
		FENCED,

		/** Another endpoint answers at the address. */
		OTHER_ENDPOINT,

		/** The engine does not understand the order. */
		INVALID,

		/** There was no answer, or the order was not sent. */
		UNANSWERED

	}

	/**
	 * What an engine reports. Immutable.
	 *
	 * @param busy whether a model order is being carried out
	 * @param ordersTaken how many orders it has taken
	 * @param holdings what it holds
	 */
	record EngineReport(boolean busy, long ordersTaken, Holdings holdings) {
	}

}

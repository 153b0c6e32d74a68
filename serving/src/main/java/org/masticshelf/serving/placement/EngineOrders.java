package org.masticshelf.serving.placement;

import java.util.concurrent.CompletableFuture;

import org.masticshelf.kernel.serving.LoadableName;
import org.masticshelf.kernel.serving.ServedEndpoint;
import org.masticshelf.kernel.serving.ServedEndpoint.Holdings;

/**
 * Sends orders to engines and reads their reports. Implementations are thread-safe.
 */
public interface EngineOrders {

	/**
	 * Sends an order.
	 * @param endpoint the engine
	 * @param order the order
	 * @return the engine's answer; completes exceptionally if there was none, in which
	 * case the order may still be executed
	 */
	CompletableFuture<OrderAnswer> order(ServedEndpoint endpoint, EngineOrder order);

	/**
	 * Reads a report, which may be a few hundred milliseconds old.
	 * @param endpoint the engine
	 * @return the report; completes exceptionally if there was none
	 */
	CompletableFuture<EngineReport> report(ServedEndpoint endpoint);

	/**
	 * An order to load or unload a model or adapter. Immutable.
	 *
	 * @param load {@code true} to load, {@code false} to unload
	 * @param loadable the model or adapter
	 * @param ordersTaken the number of orders that the engine must have accepted before
	 * this one; it refuses the order otherwise, so that a late order has no effect
	 * @param holder the sender of the order
	 * @param fencing the fencing number of the duty under which the order is sent
	 */
	record EngineOrder(boolean load, LoadableName loadable, long ordersTaken, String holder, long fencing) {
	}

	/** The answer of an engine to an order. */
	enum OrderAnswer {

		/** The order is being executed. */
		ACCEPTED,

		/** The ordered state already holds. */
		HOLDS,

		/**
		 * Another order is being executed, or other orders were accepted in the meantime.
		 */
		CONFLICT,

		/** A later holder of the duty has sent orders. */
		FENCED,

		/** Another endpoint answers at the address. */
		OTHER_ENDPOINT,

		/** The engine cannot parse the order. */
		INVALID,

		/** There was no answer, or the order was not sent. */
		UNANSWERED,

		/** The order was not sent, as the engine's failure domain is evacuated. */
		EVACUATED

	}

	/**
	 * The state that an engine reports. Immutable.
	 *
	 * @param busy whether a model order is being executed
	 * @param ordersTaken the number of orders that it has accepted
	 * @param holdings the models and adapters that it holds
	 */
	record EngineReport(boolean busy, long ordersTaken, Holdings holdings) {
	}

}

package org.masticshelf.control.placement;

import java.util.function.Consumer;

import org.masticshelf.kernel.event.Event;
import org.masticshelf.kernel.placement.PlacementPolicy;
import org.masticshelf.kernel.port.Engine;
import org.masticshelf.kernel.port.KeyValueStore;
import org.masticshelf.kernel.time.MonotonicClock;

/**
 * The services that the placement controllers of one daemon use.
 * <p>
 * Immutable; each component is safe for use by several threads.
 *
 * @param keyValue stores the endpoint records
 * @param engine accepts orders and reports what is loaded
 * @param presence tells which endpoints stay in service
 * @param senderStatus tells which former holders may still send orders
 * @param outstandingOrders counts the orders of this daemon that may still arrive
 * @param policy the thresholds of the planner
 * @param log receives the events
 */
public record PlacementServices(KeyValueStore keyValue, Engine engine, MonotonicClock clock, EndpointPresence presence,
		SenderStatus senderStatus, OutstandingOrders outstandingOrders, PlacementPolicy policy, Consumer<Event> log) {
}

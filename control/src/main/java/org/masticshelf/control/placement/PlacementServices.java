package org.masticshelf.control.placement;

import java.util.function.Consumer;

import org.masticshelf.kernel.event.Event;
import org.masticshelf.kernel.placement.PlacementPolicy;
import org.masticshelf.kernel.port.Engine;
import org.masticshelf.kernel.port.KeyValueStore;
import org.masticshelf.kernel.time.MonotonicClock;

/**
 * What the keepers of one daemon work with.
 * <p>
 * Immutable; each part is safe for use by several threads.
 *
 * @param keyValue holds the endpoint records
 * @param engine takes orders and reports
 * @param clock the clock
 * @param presence knows which endpoints stay
 * @param senders knows which former holders may still send orders
 * @param ledger counts the orders of this daemon
 * @param policy the thresholds of placement
 * @param log receives one event for each decision
 */
public record PlacementServices(KeyValueStore keyValue, Engine engine, MonotonicClock clock, EndpointPresence presence,
		SenderStatus senders, OutstandingOrders ledger, PlacementPolicy policy, Consumer<Event> log) {
}

package org.masticshelf.serving.request;

import java.util.List;

import org.masticshelf.kernel.serving.ServedEndpoint;
import org.masticshelf.serving.endpoint.EndpointLoads;

/**
 * The slots that become free for a request sooner or later. Immutable.
 *
 * @param slots the slots of the endpoints that it can use, 0 if there is no such endpoint
 * @param shareOfPool their share of the slots of the pool
 */
record SlotCapacity(int slots, double shareOfPool) {

	/**
	 * Counts the slots that a request may use.
	 * @param subject the request
	 * @return the slots; those of endpoints that are ejected or that the request avoids
	 * are left out
	 */
	static SlotCapacity of(RequestTurn.Subject subject) {
		List<ServedEndpoint> holding = subject.context().directory().holding(subject.pool(), subject.loadable());
		int slots = 0;
		for (ServedEndpoint endpoint : holding) {
			EndpointLoads.View view = subject.context().loads().view(endpoint);
			boolean avoided = holding.size() > 1 && subject.avoided().contains(endpoint.identifier());
			if (!avoided && !view.ejected()) {
				// An engine whose memory is full of tokens processes fewer requests.
				int running = view.own() + view.elsewhere();
				slots += (view.refusing() || running == 0) ? endpoint.slots() : Math.min(running, endpoint.slots());
			}
		}
		int slotsOfPool = subject.context()
			.directory()
			.inPool(subject.pool())
			.stream()
			.mapToInt(ServedEndpoint::slots)
			.sum();
		return new SlotCapacity(slots, (slotsOfPool > 0) ? Math.min(1, (double) slots / slotsOfPool) : 1);
	}

}

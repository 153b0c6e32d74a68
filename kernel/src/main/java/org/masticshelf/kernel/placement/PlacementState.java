package org.masticshelf.kernel.placement;

import java.util.List;
import java.util.Map;

import org.masticshelf.kernel.configuration.QualifiedName;

/**
 * What the planner decides upon.
 * <p>
 * Immutable as long as the given collections are not changed.
 *
 * @param nowMilliseconds the time
 * @param endpoints the endpoints by pool
 * @param demands the requests that wait
 * @param gate the admission to the weight store
 * @param times how long loads take
 * @param loading how many loads are under way for each organisation
 */
public record PlacementState(long nowMilliseconds, Map<QualifiedName, List<EndpointState>> endpoints,
		List<Demand> demands, StoreGate gate, LoadTimes times, Map<QualifiedName, Integer> loading) {
}

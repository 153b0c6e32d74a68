package org.masticshelf.kernel.placement;

import java.util.List;
import java.util.Map;

import org.masticshelf.kernel.configuration.QualifiedName;

/**
 * Holds the input of the planner.
 * <p>
 * Immutable as long as the given collections are not changed.
 *
 * @param nowMilliseconds the present time
 * @param endpoints the endpoints by pool
 * @param demands the waiting requests
 * @param gate the admission of loads to the weight store
 * @param times the expected load times
 * @param loading the number of loads in progress for each organisation
 */
public record PlacementState(long nowMilliseconds, Map<QualifiedName, List<EndpointState>> endpoints,
		List<Demand> demands, StoreGate gate, LoadTimes times, Map<QualifiedName, Integer> loading) {
}

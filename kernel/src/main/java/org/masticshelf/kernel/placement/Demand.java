package org.masticshelf.kernel.placement;

import org.masticshelf.kernel.configuration.Loadable;
import org.masticshelf.kernel.configuration.QualifiedName;

/**
 * Represents the requests of one organisation that wait for one loadable, summed over all
 * daemons.
 * <p>
 * Immutable.
 *
 * @param loadable the loadable that the requests need
 * @param organisation the organisation whose requests wait
 * @param waiting the number of waiting requests, at least 1
 * @param sinceMilliseconds when the oldest of them began to wait, on the planner's clock
 */
public record Demand(Loadable loadable, QualifiedName organisation, int waiting, long sinceMilliseconds) {
}

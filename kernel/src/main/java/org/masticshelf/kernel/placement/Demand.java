package org.masticshelf.kernel.placement;

import org.masticshelf.kernel.configuration.Loadable;
import org.masticshelf.kernel.configuration.QualifiedName;

/**
 * Requests of one organisation that wait for one loadable, over all daemons.
 * <p>
 * Immutable.
 *
 * @param loadable what the requests need
 * @param organisation whose requests wait
 * @param waiting how many requests wait, 1 or more
 * @param sinceMilliseconds since when the oldest of them waits, by the planner's clock
 */
public record Demand(Loadable loadable, QualifiedName organisation, int waiting, long sinceMilliseconds) {
}

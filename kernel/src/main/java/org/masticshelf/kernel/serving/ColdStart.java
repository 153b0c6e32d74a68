package org.masticshelf.kernel.serving;

/**
 * What an endpoint of a pool tolerates after its start, while it is slow and fragile.
 * Immutable.
 *
 * @param milliseconds how long an endpoint stays cold after its start
 * @param requestsPerSecond the requests a second that it tolerates meanwhile from all
 * daemons together
 */
public record ColdStart(long milliseconds, double requestsPerSecond) {
}

package org.masticshelf.serving.request;

import java.util.function.Consumer;
import java.util.function.Supplier;

import org.jspecify.annotations.Nullable;

import org.masticshelf.kernel.event.Event;
import org.masticshelf.kernel.serving.ServedTables;
import org.masticshelf.kernel.time.MonotonicClock;
import org.masticshelf.serving.endpoint.EndpointDirectory;
import org.masticshelf.serving.endpoint.EndpointLoads;
import org.masticshelf.serving.grant.SharedGrants;
import org.masticshelf.serving.peer.PeerRegistry;
import org.masticshelf.serving.upstream.EndpointConnections;
import org.masticshelf.serving.upstream.EndpointProtocol;

/**
 * What all requests of a daemon share.
 *
 * @param tables returns the tables in force, {@code null} while none are known
 * @param directory the endpoints
 * @param loads how loaded they are
 * @param connections idle connections to them
 * @param protocol how requests to them are written
 * @param grants the organisations' grants
 * @param waitingRoom where requests wait
 * @param rates how often models are asked for
 * @param retries the retry budgets
 * @param peers what peers said
 * @param failureDomain the failure domain of this daemon
 * @param stopPhase returns how far a planned stop has come
 * @param clock the clock
 * @param metrics counts requests
 * @param log receives the events
 */
public record RequestContext(Supplier<@Nullable ServedTables> tables, EndpointDirectory directory, EndpointLoads loads,
		EndpointConnections connections, EndpointProtocol protocol, SharedGrants grants, WaitingRequests waitingRoom,
		ModelRates rates, RetryBudgets retries, PeerRegistry peers, String failureDomain, Supplier<StopPhase> stopPhase,
		MonotonicClock clock, ServingMetrics metrics, Consumer<Event> log) {
}

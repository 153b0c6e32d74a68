package org.masticshelf.serving.request;

import java.util.function.Consumer;
import java.util.function.Supplier;

import org.jspecify.annotations.Nullable;

import org.masticshelf.kernel.event.Event;
import org.masticshelf.kernel.serving.ServedTables;
import org.masticshelf.kernel.time.MonotonicClock;
import org.masticshelf.serving.endpoint.EndpointDirectory;
import org.masticshelf.serving.endpoint.EndpointLimits;
import org.masticshelf.serving.endpoint.EndpointLoads;
import org.masticshelf.serving.grant.SharedGrants;
import org.masticshelf.serving.peer.PeerRegistry;
import org.masticshelf.serving.quarantine.RequestQuarantine;
import org.masticshelf.serving.upstream.EndpointConnections;
import org.masticshelf.serving.upstream.EndpointProtocol;

/**
 * Holds the dependencies that all requests of a daemon share.
 *
 * @param tables returns the current tables, {@code null} until the first are received
 * @param directory the endpoints
 * @param loads the loads of the endpoints
 * @param connections the pool of idle connections to endpoints
 * @param protocol the wire format of requests to endpoints and their answers
 * @param grants the organisations' grants
 * @param waitingRequests the requests that wait for an endpoint
 * @param unserved the models and adapters that could not be served
 * @param rates the request rates of models
 * @param retries the retry budgets
 * @param peers the latest messages of peers
 * @param endpointLimits the limits that endpoints state
 * @param quarantine what is known of requests that crash endpoints
 * @param failureDomain the failure domain of this daemon
 * @param plannedStop the planned stop of this daemon
 * @param serviceTimes how long requests run
 * @param clock the clock
 * @param metrics the request metrics
 * @param log receives the events
 * @param endpointBodies the bodies in progress at endpoints
 * @param answerMemory bounds the answers that are collected
 */
public record RequestContext(Supplier<@Nullable ServedTables> tables, EndpointDirectory directory, EndpointLoads loads,
		EndpointConnections connections, EndpointProtocol protocol, SharedGrants grants,
		WaitingRequests waitingRequests, UnservedRequests unserved, ModelRates rates, RetryBudgets retries,
		PeerRegistry peers, EndpointLimits endpointLimits, RequestQuarantine quarantine, String failureDomain,
		PlannedStop plannedStop, ServiceTimes serviceTimes, MonotonicClock clock, ServingMetrics metrics,
		Consumer<Event> log, EndpointBodies endpointBodies, AnswerMemory answerMemory) {

	/**
	 * Creates dependencies without a bound of the bodies in progress at endpoints.
	 * @param tables returns the current tables, {@code null} until the first are received
	 * @param directory the endpoints
	 * @param loads the loads of the endpoints
	 * @param connections the pool of idle connections to endpoints
	 * @param protocol the wire format of requests to endpoints and their answers
	 * @param grants the organisations' grants
	 * @param waitingRequests the requests that wait for an endpoint
	 * @param unserved the models and adapters that could not be served
	 * @param rates the request rates of models
	 * @param retries the retry budgets
	 * @param peers the latest messages of peers
	 * @param endpointLimits the limits that endpoints state
	 * @param quarantine what is known of requests that crash endpoints
	 * @param failureDomain the failure domain of this daemon
	 * @param plannedStop the planned stop of this daemon
	 * @param serviceTimes how long requests run
	 * @param clock the clock
	 * @param metrics the request metrics
	 * @param log receives the events
	 */
	public RequestContext(Supplier<@Nullable ServedTables> tables, EndpointDirectory directory, EndpointLoads loads,
			EndpointConnections connections, EndpointProtocol protocol, SharedGrants grants,
			WaitingRequests waitingRequests, UnservedRequests unserved, ModelRates rates, RetryBudgets retries,
			PeerRegistry peers, EndpointLimits endpointLimits, RequestQuarantine quarantine, String failureDomain,
			PlannedStop plannedStop, ServiceTimes serviceTimes, MonotonicClock clock, ServingMetrics metrics,
			Consumer<Event> log) {
		this(tables, directory, loads, connections, protocol, grants, waitingRequests, unserved, rates, retries, peers,
				endpointLimits, quarantine, failureDomain, plannedStop, serviceTimes, clock, metrics, log,
				EndpointBodies.unbounded(), AnswerMemory.ofHeap());
	}

}

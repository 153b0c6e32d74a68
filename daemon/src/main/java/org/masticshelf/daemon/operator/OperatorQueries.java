package org.masticshelf.daemon.operator;

import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import java.util.stream.Collectors;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

import org.masticshelf.control.configuration.ConfigurationRepository;
import org.masticshelf.control.grant.GrantClient;
import org.masticshelf.control.membership.Members;
import org.masticshelf.daemon.dispatch.PoolDispatcher;
import org.masticshelf.daemon.dispatch.PoolDispatchers;
import org.masticshelf.daemon.request.LoadableLocations;
import org.masticshelf.daemon.settings.DaemonSettings;
import org.masticshelf.kernel.configuration.Configuration;
import org.masticshelf.kernel.configuration.Loadable;
import org.masticshelf.kernel.configuration.Organisation;
import org.masticshelf.kernel.configuration.Pool;
import org.masticshelf.kernel.configuration.QualifiedName;
import org.masticshelf.kernel.configuration.Route;
import org.masticshelf.kernel.port.PeerChannel;
import org.masticshelf.kernel.routing.RouteDecision;
import org.masticshelf.kernel.routing.RoutingRequest;
import org.masticshelf.transport.json.Json;

/**
 * Answers the queries {@code status} and {@code explain} of the operators' tool. Safe for
 * use by several threads.
 */
public final class OperatorQueries {

	private final DaemonSettings settings;

	private final Members members;

	private final ConfigurationRepository configuration;

	private final PoolDispatchers dispatchers;

	private final LoadableLocations locations;

	private final GrantClient grants;

	private final BooleanSupplier draining;

	/**
	 * Creates queries.
	 * @param settings the settings of this daemon
	 * @param members the running daemons
	 * @param configuration the configuration in force
	 * @param dispatchers the dispatchers of the pools
	 * @param locations the endpoints at which models and adapters are loaded
	 * @param grants the organisations' grants
	 * @param draining whether this daemon is about to stop
	 */
	public OperatorQueries(DaemonSettings settings, Members members, ConfigurationRepository configuration,
			PoolDispatchers dispatchers, LoadableLocations locations, GrantClient grants, BooleanSupplier draining) {
		this.settings = settings;
		this.members = members;
		this.configuration = configuration;
		this.dispatchers = dispatchers;
		this.locations = locations;
		this.grants = grants;
		this.draining = draining;
	}

	/**
	 * Starts to answer queries.
	 * @param channel the channel to peers and tools
	 */
	public void registerOn(PeerChannel channel) {
		channel.registerHandler("status", (query) -> CompletableFuture.completedFuture(status()));
		channel.registerHandler("explain", (query) -> CompletableFuture.completedFuture(explain(query)));
	}

	private JsonNode status() {
		Members.Member self = this.members.self();
		ObjectNode status = Json.mapper().createObjectNode();
		status.put("instance", self.instance())
			.put("incarnation", self.incarnation())
			.put("failureDomain", self.failureDomain())
			.put("revision", this.configuration.current().revision())
			.put("freshness", this.configuration.freshness().name())
			.put("draining", this.draining.getAsBoolean());
		this.settings.failureDomains().forEach(status.putArray("failureDomains")::add);
		this.members.members()
			.stream()
			.filter((member) -> member.failureDomain().equals(self.failureDomain()))
			.map(Members.Member::address)
			.forEach(status.putArray("domainMembers")::add);
		return status;
	}

	private JsonNode explain(JsonNode query) {
		ObjectNode answer = Json.mapper().createObjectNode();
		Configuration current = this.configuration.current();
		Route route = current.findRoute(QualifiedName.of(query.path("route").asText()));
		if (route == null) {
			return answer.put("decision", "no such route");
		}
		answer.put("daemon", this.members.self().instance()).put("revision", current.revision());
		answer.put("route", route.name().toString()).put("pool", route.pool().toString());
		explainGrant(answer, current, query.path("organisation").asText(""));
		Pool pool = current.findPool(route.pool());
		if (pool == null) {
			return answer.put("decision", "no such pool");
		}
		explainEndpoint(answer, route, this.dispatchers.of(pool));
		return answer;
	}

	private void explainGrant(ObjectNode answer, Configuration current, String name) {
		if (name.isEmpty()) {
			return;
		}
		Organisation organisation = current.findOrganisation(QualifiedName.of(name));
		if (organisation == null) {
			answer.put("organisation", "no such organisation");
			return;
		}
		answer.put("organisation", name)
			.put("tokensPerSecond", organisation.tokensPerSecond())
			.put("tokensHeldHere", this.grants.heldTokens(organisation.name()));
	}

	private void explainEndpoint(ObjectNode answer, Route route, PoolDispatcher dispatcher) {
		Loadable loadable = route.loadable();
		RoutingRequest selection = (loadable != null) ? RoutingRequest.among(this.locations
			.endpointsFor(loadable)) : RoutingRequest.among(
					dispatcher.pool().endpoints().stream().map(Pool.Endpoint::identifier).collect(Collectors.toSet()));
		selection.candidates().forEach(answer.putArray("candidates")::add);
		if (loadable != null && selection.candidates().isEmpty()) {
			answer.put("decision", "cold")
				.put("readyInMilliseconds", this.locations.nanosecondsUntilReady(loadable) / 1_000_000L);
			return;
		}
		switch (dispatcher.explain(selection)) {
			case RouteDecision.Chosen chosen -> answer.put("decision", "endpoint")
				.put("endpoint", chosen.endpoint().identifier())
				.put("reason", chosen.reason().name())
				.put("load", chosen.effectiveLoad());
			case RouteDecision.None none -> answer.put("decision", "none").put("reason", none.reason().code());
		}
	}

}

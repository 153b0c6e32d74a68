package org.masticshelf.serving.request;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;

import org.jspecify.annotations.Nullable;

import org.masticshelf.kernel.event.Event;
import org.masticshelf.kernel.routing.EndpointSelection;
import org.masticshelf.kernel.serving.EngineProfile;
import org.masticshelf.kernel.serving.LoadableName;
import org.masticshelf.kernel.serving.Regions;
import org.masticshelf.kernel.serving.ServedEndpoint;
import org.masticshelf.kernel.serving.ServedRequest;
import org.masticshelf.serving.endpoint.EndpointLimits.Availability;
import org.masticshelf.serving.endpoint.EndpointLoads;
import org.masticshelf.serving.request.Admission.Admitted;

/**
 * Chooses the endpoint for a request among those that hold what it needs and have
 * capacity. Not thread-safe.
 */
final class EndpointChooser {

	/** The share of an engine's token memory that may be planned for requests. */
	private static final double PLANNED_TOKEN_MEMORY_SHARE = 0.9;

	/** Requests that may queue at a plain service for each one that it processes. */
	private static final int MAXIMUM_QUEUED_PER_SLOT = 2;

	/**
	 * The load penalty, in requests, of a cold endpoint, which is chosen only where warm
	 * ones have little room left.
	 */
	private static final double COLD_PENALTY_REQUESTS = 40;

	private final RequestContext context;

	private final ServedRequest request;

	private final Admitted admitted;

	private final String pool;

	private final @Nullable EngineProfile engine;

	private final @Nullable LoadableName loadable;

	private boolean coldLimited;

	private @Nullable UrgentArrivals urgentArrivals;

	EndpointChooser(RequestContext context, ServedRequest request, Admitted admitted) {
		this.context = context;
		this.request = request;
		this.admitted = admitted;
		this.pool = admitted.pool().name();
		this.engine = admitted.pool().engine();
		this.loadable = (this.engine != null) ? request.loadable() : null;
	}

	/**
	 * Leaves room for urgent requests from now on.
	 * @param arrivals the urgent requests that arrived recently
	 */
	void keepRoomFor(UrgentArrivals arrivals) {
		this.urgentArrivals = arrivals;
	}

	/**
	 * Chooses an endpoint.
	 * @param avoided endpoints that failed or refused this request, left out unless only
	 * one endpoint holds what it needs
	 * @return the endpoint, {@code null} if no suitable endpoint has capacity
	 */
	@Nullable ServedEndpoint choose(Set<String> avoided) {
		List<ServedEndpoint> holding = holding();
		if (holding.size() > 1) {
			holding.removeIf((endpoint) -> avoided.contains(endpoint.identifier()));
		}
		List<EndpointSelection.Candidate> candidates = new ArrayList<>();
		ServedEndpoint heldBackFrom = null;
		for (ServedEndpoint endpoint : holding) {
			EndpointLoads.View view = this.context.loads().view(endpoint);
			boolean cold = this.context.endpointLimits().isCold(endpoint);
			boolean full = view.ejected() || view.refusing() || isFull(endpoint, view)
					|| (this.loadable != null && this.context.loads().silence().observe(endpoint, this.context.log()))
					|| !this.context.endpointBodies().hasRoom(endpoint, this.request.body().length);
			if (!full && this.context.endpointLimits().availability(endpoint, 0).milliseconds() > 0) {
				full = true;
				heldBackFrom = cold ? endpoint : heldBackFrom;
			}
			candidates.add(new EndpointSelection.Candidate(endpoint.identifier(), view.own() + view.elsewhere(),
					endpoint.failureDomain().equals(this.context.failureDomain()), full,
					view.penalty() + (cold ? COLD_PENALTY_REQUESTS : 0)));
		}
		EndpointSelection.Candidate chosen = new ExpectedTimes(this.context.loads(), this.request, this.loadable,
				this.admitted.route(), this.context.log())
			.choose(holding, candidates, ThreadLocalRandom.current().nextInt());
		if (chosen == null && heldBackFrom != null && !this.coldLimited) {
			this.coldLimited = true;
			this.context.metrics().recordColdLimited();
			this.context.log()
				.accept(Event.named("request.cold_limited")
					.with("id", this.request.identifier())
					.with("endpoint", heldBackFrom.identifier())
					.with("loadable", this.loadable));
		}
		return (chosen != null) ? this.context.directory().find(chosen.identifier()) : null;
	}

	/**
	 * Returns whether more than one endpoint may serve the request.
	 * @return whether several hold what it needs in an allowed region
	 */
	boolean hasChoice() {
		return holding().size() > 1;
	}

	private List<ServedEndpoint> holding() {
		List<ServedEndpoint> holding = this.context.directory().holding(this.pool, this.loadable);
		Regions regions = this.context.directory().regions();
		holding.removeIf((endpoint) -> !regions.allow(endpoint.failureDomain(), this.admitted.route(),
				this.admitted.organisation()));
		return holding;
	}

	/**
	 * Returns when the first endpoint takes the request, if limits and pauses that
	 * endpoints state are all that keeps it from being sent.
	 * @param ahead the requests that wait here for the same
	 * @return when it may be sent, {@code null} unless all endpoints that hold what it
	 * needs state a limit or a pause
	 */
	@Nullable Availability limitedAvailability(int ahead) {
		Availability earliest = null;
		for (ServedEndpoint endpoint : holding()) {
			Availability availability = availability(endpoint, ahead);
			if (availability.milliseconds() == 0) {
				return null;
			}
			if (earliest == null || (availability.here() && !earliest.here()) || (availability.here() == earliest.here()
					&& availability.milliseconds() < earliest.milliseconds())) {
				earliest = availability;
			}
		}
		return earliest;
	}

	private Availability availability(ServedEndpoint endpoint, int ahead) {
		Availability limited = this.context.endpointLimits().availability(endpoint, ahead);
		long pause = this.context.loads().pauseMilliseconds(endpoint);
		return (pause > limited.milliseconds()) ? new Availability(true, pause) : limited;
	}

	private boolean isFull(ServedEndpoint endpoint, EndpointLoads.View view) {
		int requestCount = view.own() + view.elsewhere();
		EngineProfile profile = this.engine;
		if (profile == null) {
			return requestCount >= endpoint.slots() * (1 + MAXIMUM_QUEUED_PER_SLOT);
		}
		long tokens = Math.max(0, this.request.totalTokens());
		double tokensPerRequest = (view.own() > 0) ? (double) view.ownTokens() / view.own() : tokens;
		int kept = (this.urgentArrivals != null) ? this.urgentArrivals.keptSlots(endpoint) : 0;
		return requestCount >= endpoint.slots() - kept || (requestCount > 0 && view.ownTokens()
				+ view.elsewhere() * tokensPerRequest + tokens > profile.contextTokens() * PLANNED_TOKEN_MEMORY_SHARE);
	}

}

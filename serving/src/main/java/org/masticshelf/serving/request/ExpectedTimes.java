package org.masticshelf.serving.request;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

import org.jspecify.annotations.Nullable;

import org.masticshelf.kernel.event.Event;
import org.masticshelf.kernel.routing.EndpointSelection;
import org.masticshelf.kernel.routing.ExpectedTimeSelection;
import org.masticshelf.kernel.routing.ExpectedTimeSelection.TimedCandidate;
import org.masticshelf.kernel.routing.PoolPaces;
import org.masticshelf.kernel.routing.PromptWork;
import org.masticshelf.kernel.serving.LoadableName;
import org.masticshelf.kernel.serving.ServedEndpoint;
import org.masticshelf.kernel.serving.ServedRequest;
import org.masticshelf.kernel.serving.ServedRoute;
import org.masticshelf.serving.endpoint.EndpointLoads;

/**
 * Adds the expected times of endpoints to the choice among them.
 * <p>
 * Invariant: on a route that states no allowed pause, and on others while there is no
 * backlog and engines are not observed to differ, the choice is that of
 * {@link EndpointSelection}. Not thread-safe.
 */
final class ExpectedTimes {

	private final EndpointLoads loads;

	private final PromptWork work;

	private final Consumer<Event> log;

	ExpectedTimes(EndpointLoads loads, ServedRequest request, @Nullable LoadableName loadable, ServedRoute route,
			Consumer<Event> log) {
		this.log = log;
		this.loads = loads;
		this.work = work(request, loadable, route);
	}

	/**
	 * Describes what a request asks of its endpoint.
	 * @param request the request
	 * @param loadable the model or adapter, {@code null} for a plain call
	 * @param route the route of the request
	 * @return the description
	 */
	static PromptWork work(ServedRequest request, @Nullable LoadableName loadable, ServedRoute route) {
		long gap = (loadable != null && route.execution().isStreamed()) ? route.gapObjectiveMilliseconds() : 0;
		return new PromptWork((loadable != null) ? request.promptTokens() : 0, request.sharedPrompt(),
				route.objectiveMilliseconds(), gap);
	}

	/**
	 * Chooses an endpoint.
	 * @param endpoints the endpoints that hold what the request needs
	 * @param candidates the load of each of the endpoints, in the same order
	 * @param seed draws among equally good endpoints
	 * @return the chosen candidate, {@code null} if all are full
	 */
	EndpointSelection.@Nullable Candidate choose(List<ServedEndpoint> endpoints,
			List<EndpointSelection.Candidate> candidates, int seed) {
		if (this.work.gapObjectiveMilliseconds() <= 0 || endpoints.isEmpty()) {
			return EndpointSelection.choose(candidates, this.work.sharedPrompt(), seed);
		}
		PoolPaces paces = this.loads.paces().pool(endpoints.getFirst().pool(), this.log);
		boolean backlogExists = false;
		List<TimedCandidate> timed = new ArrayList<>(candidates.size());
		for (int index = 0; index < candidates.size(); index++) {
			ServedEndpoint endpoint = endpoints.get(index);
			double ratio = paces.ratio(endpoint.identifier());
			long backlog = this.loads.backlogTokens(endpoint, 1 / (paces.rates().tokenMilliseconds() * ratio));
			backlogExists |= backlog > 0;
			timed.add(new TimedCandidate(candidates.get(index), backlog, ratio,
					this.loads.readPrompts().contains(endpoint, this.work.sharedPrompt())));
		}
		if (!backlogExists && !paces.differ()) {
			return EndpointSelection.choose(candidates, this.work.sharedPrompt(), seed);
		}
		TimedCandidate chosen = ExpectedTimeSelection.choose(timed, this.work, paces.rates(), seed);
		return (chosen != null) ? chosen.candidate() : null;
	}

}

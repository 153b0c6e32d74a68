package org.masticshelf.serving.request;

import java.util.ArrayList;
import java.util.List;

import org.jspecify.annotations.Nullable;

import org.masticshelf.kernel.routing.EndpointSelection;
import org.masticshelf.kernel.routing.ExpectedTimeSelection;
import org.masticshelf.kernel.routing.ExpectedTimeSelection.MedianRates;
import org.masticshelf.kernel.routing.ExpectedTimeSelection.TimedCandidate;
import org.masticshelf.kernel.routing.PromptWork;
import org.masticshelf.kernel.serving.LoadableName;
import org.masticshelf.kernel.serving.ServedEndpoint;
import org.masticshelf.kernel.serving.ServedRequest;
import org.masticshelf.kernel.serving.ServedRoute;
import org.masticshelf.serving.endpoint.EndpointLoads;

/**
 * Adds the expected times of endpoints to the choice among them.
 * <p>
 * Invariant: without a backlog on a route that states an allowed pause, the choice is
 * that of {@link EndpointSelection}. Not thread-safe.
 */
final class ExpectedTimes {

	/** The rates of engines of normal speed, assumed until answers show otherwise. */
	private static final MedianRates TYPICAL_RATES = new MedianRates(0, 1 / PromptWork.TYPICAL_TOKENS_PER_MILLISECOND,
			1);

	private final EndpointLoads loads;

	private final PromptWork work;

	ExpectedTimes(EndpointLoads loads, ServedRequest request, @Nullable LoadableName loadable, ServedRoute route) {
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
		boolean backlogExists = false;
		List<TimedCandidate> timed = new ArrayList<>(candidates.size());
		for (int index = 0; index < candidates.size() && this.work.gapObjectiveMilliseconds() > 0; index++) {
			ServedEndpoint endpoint = endpoints.get(index);
			long backlog = this.loads.backlogTokens(endpoint, 1 / TYPICAL_RATES.tokenMilliseconds());
			backlogExists |= backlog > 0;
			timed.add(new TimedCandidate(candidates.get(index), backlog, 1, 1,
					this.loads.readPrompts().contains(endpoint, this.work.sharedPrompt())));
		}
		if (!backlogExists) {
			return EndpointSelection.choose(candidates, this.work.sharedPrompt(), seed);
		}
		TimedCandidate chosen = ExpectedTimeSelection.choose(timed, this.work, TYPICAL_RATES, seed);
		return (chosen != null) ? chosen.candidate() : null;
	}

}

package org.masticshelf.serving.request;

import org.jspecify.annotations.Nullable;

import org.masticshelf.kernel.routing.PromptWork;
import org.masticshelf.kernel.serving.LoadableName;
import org.masticshelf.kernel.serving.ServedEndpoint;
import org.masticshelf.kernel.serving.ServedRequest;
import org.masticshelf.kernel.serving.ServedRoute;
import org.masticshelf.serving.endpoint.EndpointLoads;

/**
 * Accounts for one sending of a request in the load of its endpoint.
 * <p>
 * Invariant: the prompt counts as backlog from the sending to the first event, and for
 * routes that state no allowed pause not at all. Not thread-safe.
 */
final class ExchangeProgress {

	private final EndpointLoads loads;

	private final ServedEndpoint endpoint;

	private final ServedRequest request;

	private final @Nullable LoadableName loadable;

	private long unreadTokens;

	private boolean begun;

	private ExchangeProgress(EndpointLoads loads, ServedEndpoint endpoint, ServedRequest request,
			@Nullable LoadableName loadable) {
		this.loads = loads;
		this.endpoint = endpoint;
		this.request = request;
		this.loadable = loadable;
	}

	/**
	 * Records that a request is being sent.
	 * @param loads the loads of the endpoints
	 * @param endpoint the endpoint
	 * @param request the request
	 * @param loadable the model or adapter, {@code null} for a plain call
	 * @param route the route of the request
	 * @return the progress, to be ended
	 */
	static ExchangeProgress begin(EndpointLoads loads, ServedEndpoint endpoint, ServedRequest request,
			@Nullable LoadableName loadable, ServedRoute route) {
		ExchangeProgress progress = new ExchangeProgress(loads, endpoint, request, loadable);
		loads.recordStart(endpoint, loadable, progress.plannedTokens());
		PromptWork work = ExpectedTimes.work(request, loadable, route);
		if (work.gapObjectiveMilliseconds() > 0 && work.promptTokens() > 0) {
			boolean read = loads.readPrompts().contains(endpoint, request.sharedPrompt());
			progress.unreadTokens = work.promptTokens() - (read ? work.sharedTokens() : 0);
			loads.changeBacklog(endpoint, progress.unreadTokens);
		}
		return progress;
	}

	/** Records that an event of the answer has arrived. */
	void recordEvent() {
		if (!this.begun) {
			this.begun = true;
			if (this.loadable != null) {
				this.loads.readPrompts().record(this.endpoint, this.request.sharedPrompt());
			}
			releaseBacklog();
		}
	}

	/** Records that the exchange has ended. */
	void end() {
		releaseBacklog();
		this.loads.recordEnd(this.endpoint, this.loadable, plannedTokens());
	}

	private void releaseBacklog() {
		if (this.unreadTokens > 0) {
			this.loads.changeBacklog(this.endpoint, -this.unreadTokens);
			this.unreadTokens = 0;
		}
	}

	private long plannedTokens() {
		return Math.max(0, this.request.totalTokens());
	}

}

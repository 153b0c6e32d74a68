package org.masticshelf.serving.request;

import org.jspecify.annotations.Nullable;

import org.masticshelf.kernel.routing.PromptWork;
import org.masticshelf.kernel.serving.LoadableName;
import org.masticshelf.kernel.serving.ServedEndpoint;
import org.masticshelf.kernel.serving.ServedRequest;
import org.masticshelf.kernel.serving.ServedRoute;
import org.masticshelf.serving.endpoint.EndpointLoads;

/**
 * Accounts for one sending of a request in the load of its endpoint, and measures the
 * endpoint's pace.
 * <p>
 * Invariants: the prompt counts as backlog from the sending to the first event; on routes
 * that state no allowed pause there is no backlog and nothing is measured. Not
 * thread-safe.
 */
final class ExchangeProgress {

	/**
	 * The events by which the time between events is measured. Single ones are too near
	 * to the resolution of a millisecond.
	 */
	private static final int MEASURED_EVENTS = 16;

	private final EndpointLoads loads;

	private final ServedEndpoint endpoint;

	private final ServedRequest request;

	private final @Nullable LoadableName loadable;

	private final long allowedPauseMilliseconds;

	private long unreadTokens;

	/** The prompt tokens that the endpoint reads before it sends the first event. */
	private long tokensToRead;

	private int requestsThere;

	private boolean begun;

	private boolean awaiting;

	/** When the measurement under way began, monotonic milliseconds. */
	private long measuredSince;

	private int measuredEvents;

	private ExchangeProgress(EndpointLoads loads, ServedEndpoint endpoint, ServedRequest request,
			@Nullable LoadableName loadable, long allowedPauseMilliseconds) {
		this.allowedPauseMilliseconds = allowedPauseMilliseconds;
		this.loads = loads;
		this.endpoint = endpoint;
		this.request = request;
		this.loadable = loadable;
	}

	/**
	 * Records that a request is being sent that does not count as running yet.
	 * @param loads the loads of the endpoints
	 * @param endpoint the endpoint
	 * @param request the request
	 * @param loadable the model or adapter, {@code null} for a plain call
	 * @param route the route of the request
	 * @return the progress, to be ended
	 */
	static ExchangeProgress begin(EndpointLoads loads, ServedEndpoint endpoint, ServedRequest request,
			@Nullable LoadableName loadable, ServedRoute route) {
		return begin(loads, endpoint, request, loadable, route, false);
	}

	/**
	 * Records that a request is being sent.
	 * @param loads the loads of the endpoints
	 * @param endpoint the endpoint
	 * @param request the request
	 * @param loadable the model or adapter, {@code null} for a plain call
	 * @param route the route of the request
	 * @param counted whether the request counts as running at the endpoint already
	 * @return the progress, to be ended
	 */
	static ExchangeProgress begin(EndpointLoads loads, ServedEndpoint endpoint, ServedRequest request,
			@Nullable LoadableName loadable, ServedRoute route, boolean counted) {
		PromptWork work = ExpectedTimes.work(request, loadable, route);
		ExchangeProgress progress = new ExchangeProgress(loads, endpoint, request, loadable,
				work.gapObjectiveMilliseconds());
		if (!counted) {
			loads.recordStart(endpoint, loadable, progress.plannedTokens());
		}
		if (progress.allowedPauseMilliseconds > 0) {
			boolean read = loads.readPrompts().contains(endpoint, request.sharedPrompt());
			progress.unreadTokens = work.promptTokens() - (read ? work.sharedTokens() : 0);
			loads.changeBacklog(endpoint, progress.unreadTokens);
			progress.tokensToRead = loads.backlogTokens(endpoint, PromptWork.TYPICAL_TOKENS_PER_MILLISECOND);
			EndpointLoads.View view = loads.view(endpoint);
			progress.requestsThere = view.own() + view.elsewhere();
			progress.measuredSince = loads.paces().now();
		}
		return progress;
	}

	/** Records that the next event of the answer is awaited. */
	void recordAwaiting() {
		if (this.begun && !this.awaiting && this.allowedPauseMilliseconds > 0) {
			this.awaiting = true;
			this.loads.silence().recordAwaiting(this.endpoint, this.allowedPauseMilliseconds);
		}
	}

	/** Records that an event of the answer has arrived. */
	void recordEvent() {
		if (this.allowedPauseMilliseconds <= 0) {
			return;
		}
		endWait(true);
		if (this.begun) {
			measureOutput();
			return;
		}
		this.begun = true;
		this.loads.readPrompts().record(this.endpoint, this.request.sharedPrompt());
		if (this.tokensToRead > 0) {
			this.loads.paces().recordFirstEvent(this.endpoint, takeMeasuredTime(), this.tokensToRead);
		}
		releaseBacklog();
	}

	/** Records that the exchange has ended. */
	void end() {
		endWait(false);
		releaseBacklog();
		this.loads.recordEnd(this.endpoint, this.loadable, plannedTokens());
	}

	private void measureOutput() {
		this.measuredEvents++;
		if (this.measuredEvents == MEASURED_EVENTS) {
			this.measuredEvents = 0;
			this.loads.paces().recordOutput(this.endpoint, takeMeasuredTime(), MEASURED_EVENTS, this.requestsThere);
		}
	}

	private void endWait(boolean arrived) {
		if (this.awaiting) {
			this.awaiting = false;
			this.loads.silence().recordAwaited(this.endpoint, arrived);
		}
	}

	private long takeMeasuredTime() {
		long now = this.loads.paces().now();
		long milliseconds = now - this.measuredSince;
		this.measuredSince = now;
		return milliseconds;
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

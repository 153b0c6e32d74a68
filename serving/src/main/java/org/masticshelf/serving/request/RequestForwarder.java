package org.masticshelf.serving.request;

import java.util.concurrent.atomic.AtomicInteger;

import org.masticshelf.kernel.event.Event;
import org.masticshelf.kernel.serving.ServedRequest;
import org.masticshelf.serving.caller.CallerChannel;
import org.masticshelf.serving.caller.ServingListener;

/**
 * Processes each request on its own virtual thread. Invariant: a caller whose request
 * ends in an unexpected failure is disconnected. Thread-safe.
 */
public final class RequestForwarder implements ServingListener.RequestHandler {

	private final RequestContext context;

	private final AtomicInteger activeRequests = new AtomicInteger();

	/**
	 * Creates a forwarder.
	 * @param context the dependencies that all requests share
	 */
	public RequestForwarder(RequestContext context) {
		this.context = context;
	}

	/**
	 * Returns the number of requests in progress.
	 * @return the number of requests that were accepted and have not ended
	 */
	public int activeRequests() {
		return this.activeRequests.get();
	}

	@Override
	public void handle(ServedRequest request, CallerChannel caller, long arrivedNanoseconds) {
		this.activeRequests.incrementAndGet();
		Thread.startVirtualThread(() -> forward(request, caller, arrivedNanoseconds));
	}

	private void forward(ServedRequest request, CallerChannel caller, long arrivedNanoseconds) {
		try {
			new Forwarding(this.context, request, caller, arrivedNanoseconds).run();
		}
		catch (RuntimeException | Error ex) {
			caller.abort();
			this.context.log()
				.accept(Event.named("request.broken").with("id", request.identifier()).with("cause", ex.toString()));
		}
		finally {
			caller.releaseBody();
			this.activeRequests.decrementAndGet();
		}
	}

}

package org.masticshelf.serving.request;

import java.util.concurrent.atomic.AtomicInteger;

import org.masticshelf.kernel.event.Event;
import org.masticshelf.kernel.serving.ServedRequest;
import org.masticshelf.serving.caller.CallerChannel;
import org.masticshelf.serving.caller.ServingListener;

/**
 * Takes requests and runs each on a virtual thread of its own. Safe for use by several
 * threads.
 */
public final class RequestForwarder implements ServingListener.RequestHandler {

	private final RequestContext context;

	private final AtomicInteger active = new AtomicInteger();

	/**
	 * Creates a forwarder.
	 * @param context what all requests share
	 */
	public RequestForwarder(RequestContext context) {
		this.context = context;
	}

	/**
	 * Returns how many requests have been taken and not ended.
	 * @return the number
	 */
	public int activeRequests() {
		return this.active.get();
	}

	@Override
	public void handle(ServedRequest request, CallerChannel caller, long arrivedNanoseconds) {
		this.active.incrementAndGet();
		Thread.startVirtualThread(() -> forward(request, caller, arrivedNanoseconds));
	}

	private void forward(ServedRequest request, CallerChannel caller, long arrivedNanoseconds) {
		try {
			new Forwarding(this.context, request, caller, arrivedNanoseconds).run();
		}
		catch (RuntimeException ex) {
			this.context.log()
				.accept(Event.named("request.broken").with("id", request.identifier()).with("cause", ex.toString()));
			caller.abort();
		}
		finally {
			this.active.decrementAndGet();
		}
	}

}

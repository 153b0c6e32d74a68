package org.masticshelf.serving.request;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;

import org.masticshelf.kernel.event.Event;
import org.masticshelf.kernel.serving.ServedRequest;
import org.masticshelf.kernel.serving.ServedRequest.Header;
import org.masticshelf.serving.caller.CallerChannel;

/**
 * What the caller of one request is told, and what is noted of it. Used by one thread.
 */
final class CallerReply {

	private static final double MILLISECONDS_PER_SECOND = 1_000.0;

	private final RequestContext context;

	private final ServedRequest request;

	private final CallerChannel caller;

	private final long arrived;

	/**
	 * Creates a reply.
	 * @param context what all requests share
	 * @param request the request
	 * @param caller the way back
	 * @param arrivedNanoseconds when the request arrived, monotonic
	 */
	CallerReply(RequestContext context, ServedRequest request, CallerChannel caller, long arrivedNanoseconds) {
		this.context = context;
		this.request = request;
		this.caller = caller;
		this.arrived = arrivedNanoseconds;
	}

	/**
	 * Gives a whole answer.
	 * @param status the HTTP status
	 * @param headers the headers without those of framing
	 * @param body the whole body
	 */
	void deliver(int status, List<Header> headers, byte[] body) {
		this.caller.begin(status, headers, body.length);
		if (body.length > 0) {
			try {
				this.caller.write(body);
			}
			catch (IOException ex) {
				this.context.log().accept(event("request.undelivered").with("cause", ex.getMessage()));
			}
		}
		this.caller.end();
	}

	/**
	 * Refuses the request.
	 * @param status the HTTP status
	 * @param reason a word for the reason
	 * @param retryAfterMilliseconds when the caller may come back, 0 to not say
	 */
	void refuse(int status, String reason, long retryAfterMilliseconds) {
		List<Header> headers = new ArrayList<>();
		headers.add(new Header("Content-Type", "application/json"));
		if (retryAfterMilliseconds > 0) {
			headers.add(new Header("Retry-After",
					String.format(Locale.ROOT, "%.3f", retryAfterMilliseconds / MILLISECONDS_PER_SECOND)));
		}
		deliver(status, headers, ("{\"error\":\"" + reason + "\"}").getBytes(StandardCharsets.UTF_8));
		this.context.log()
			.accept(event("request.refused").with("status", status)
				.with("reason", reason)
				.with("retry_after_ms", retryAfterMilliseconds)
				.with("loadable", this.request.loadable()));
	}

	/**
	 * Notes the end of the request.
	 * @param outcome how it ended
	 * @param status the HTTP status that the caller got, 0 for none
	 * @param sendings how often it was sent to an endpoint
	 */
	void recordEnd(String outcome, int status, int sendings) {
		long took = System.nanoTime() - this.arrived;
		this.context.metrics().recordEnd(outcome, took);
		this.context.log()
			.accept(event("request.ended").with("outcome", outcome)
				.with("status", status)
				.with("sendings", sendings)
				.with("took_ms", TimeUnit.NANOSECONDS.toMillis(took)));
	}

	/**
	 * Begins an event of this request.
	 * @param name the name of the event
	 * @return the event, with the identity of the request
	 */
	Event event(String name) {
		return Event.named(name).with("id", this.request.identifier());
	}

	/**
	 * Returns how long ago the request arrived.
	 * @return the time in milliseconds
	 */
	long elapsedMilliseconds() {
		return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - this.arrived);
	}

}

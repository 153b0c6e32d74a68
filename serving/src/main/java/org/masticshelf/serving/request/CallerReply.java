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
 * Writes the reply to the caller of one request and records its outcome in the log and
 * metrics. Not thread-safe.
 */
final class CallerReply {

	private static final double MILLISECONDS_PER_SECOND = 1_000.0;

	private final RequestContext context;

	private final ServedRequest request;

	private final CallerChannel caller;

	private final long arrivedNanoseconds;

	/**
	 * Creates a reply.
	 * @param context the dependencies that all requests share
	 * @param request the request
	 * @param caller the channel to the caller
	 * @param arrivedNanoseconds the monotonic time at which the request arrived
	 */
	CallerReply(RequestContext context, ServedRequest request, CallerChannel caller, long arrivedNanoseconds) {
		this.context = context;
		this.request = request;
		this.caller = caller;
		this.arrivedNanoseconds = arrivedNanoseconds;
	}

	/**
	 * Sends a complete answer.
	 * @param status the HTTP status
	 * @param headers the headers, without framing headers
	 * @param body the complete body
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
	 * @param reason a one-word reason
	 * @param retryAfterMilliseconds the retry delay to announce, 0 to announce none
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
	 * Records the end of the request in the metrics and the log.
	 * @param outcome the outcome label
	 * @param status the HTTP status sent to the caller, 0 for none
	 * @param sends how often the request was sent to an endpoint
	 */
	void recordEnd(String outcome, int status, int sends) {
		long tookNanoseconds = System.nanoTime() - this.arrivedNanoseconds;
		this.context.metrics().recordEnd(outcome, tookNanoseconds);
		this.context.log()
			.accept(event("request.ended").with("outcome", outcome)
				.with("status", status)
				.with("sendings", sends)
				.with("took_ms", TimeUnit.NANOSECONDS.toMillis(tookNanoseconds)));
	}

	/**
	 * Creates an event that carries the identifier of this request.
	 * @param name the name of the event
	 * @return the event, open for more fields
	 */
	Event event(String name) {
		return Event.named(name).with("id", this.request.identifier());
	}

	/**
	 * Returns the time since the request arrived.
	 * @return the time in milliseconds
	 */
	long elapsedMilliseconds() {
		return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - this.arrivedNanoseconds);
	}

}

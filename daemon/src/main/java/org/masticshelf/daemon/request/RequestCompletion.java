package org.masticshelf.daemon.request;

import org.masticshelf.kernel.event.Event;
import org.masticshelf.kernel.refusal.Refusal;
import org.masticshelf.transport.log.EventLog;

/**
 * Logs and counts the end of requests. Stateless.
 */
final class RequestCompletion {

	private static final long NANOSECONDS_PER_MILLISECOND = 1_000_000L;

	private RequestCompletion() {
	}

	static void recordServed(RequestDetails details, RequestServices services, long arrivedNanoseconds, long tokens) {
		long durationNanoseconds = services.clock().nanoseconds() - arrivedNanoseconds;
		services.metrics().recordEnd(details, "served", "yes", durationNanoseconds);
		EventLog.info(toEvent(details, durationNanoseconds).with("outcome", "served").with("tokens", tokens));
		services.active().remove(details.identifier());
	}

	static void recordRefused(RequestDetails details, RequestServices services, long arrivedNanoseconds,
			Refusal refusal) {
		long durationNanoseconds = services.clock().nanoseconds() - arrivedNanoseconds;
		services.metrics().recordEnd(details, refusal.reason().code(), refusal.ran().code(), durationNanoseconds);
		EventLog.info(toEvent(details, durationNanoseconds).with("outcome", refusal.reason().code())
			.with("ran", refusal.ran().code())
			.with("retry_after_ms", refusal.retryAfterMilliseconds()));
		services.active().remove(details.identifier());
	}

	private static Event toEvent(RequestDetails details, long durationNanoseconds) {
		return Event.named("request.ended")
			.with("request", details.identifier())
			.with("organisation", details.queueOrganisation())
			.with("route", details.route().name())
			.with("duration_ms", durationNanoseconds / NANOSECONDS_PER_MILLISECOND);
	}

}

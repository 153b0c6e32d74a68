package org.masticshelf.kernel.routing;

import java.util.Locale;

import org.masticshelf.kernel.configuration.Pool;
import org.masticshelf.kernel.event.Event;
import org.masticshelf.kernel.refusal.Refusal;

/**
 * The result of choosing an endpoint. Immutable.
 */
public sealed interface RouteDecision {

	/**
	 * Returns this decision as a log event.
	 * @return the event
	 */
	Event toEvent();

	/**
	 * An endpoint was chosen.
	 *
	 * @param endpoint the endpoint
	 * @param reason why this endpoint was chosen
	 * @param effectiveLoad its estimated load without this request
	 */
	record Chosen(Pool.Endpoint endpoint, Reason reason, int effectiveLoad) implements RouteDecision {

		@Override
		public Event toEvent() {
			return Event.named("route.chosen")
				.with("endpoint", this.endpoint.identifier())
				.with("domain", this.endpoint.failureDomain())
				.with("reason", this.reason.name().toLowerCase(Locale.ROOT))
				.with("load", this.effectiveLoad);
		}

	}

	/**
	 * No endpoint can accept the request now.
	 *
	 * @param reason the reason, {@link Refusal.Reason#ENDPOINTS_FULL} if the request can
	 * wait
	 * @param retryAfterMilliseconds the time in milliseconds after which a retry is
	 * useful
	 */
	record None(Refusal.Reason reason, long retryAfterMilliseconds) implements RouteDecision {

		@Override
		public Event toEvent() {
			return Event.named("route.none")
				.with("reason", this.reason.code())
				.with("retry_after_ms", this.retryAfterMilliseconds);
		}

	}

	/** Why an endpoint was chosen. */
	enum Reason {

		/** It is the only one that can accept the request. */
		ONLY,

		/** It has processed the prompt's prefix before. */
		PREFIX_KNOWN,

		/** Requests with the prompt's prefix hash to it. */
		PREFIX_HASH,

		/** It has the lower cost of two endpoints in the daemon's failure domain. */
		OWN_DOMAIN,

		/** Its cost is lower even with the distance to its failure domain. */
		SPILL,

		/** All endpoints are ejected, and its ejection ends first. */
		LAST_RESORT

	}

}

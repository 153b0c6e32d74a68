package org.masticshelf.kernel.routing;

import java.util.Locale;

import org.masticshelf.kernel.configuration.Pool;
import org.masticshelf.kernel.event.Event;
import org.masticshelf.kernel.refusal.Refusal;

/**
 * The choice of an endpoint.
 * <p>
 * Immutable.
 */
public sealed interface RouteDecision {

	/**
	 * Renders this decision as an event.
	 * @return the event
	 */
	Event toEvent();

	/**
	 * An endpoint was chosen.
	 *
	 * @param endpoint the endpoint
	 * @param reason why this one
	 * @param effectiveLoad the load that it was believed to have, without this request
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
	 * No endpoint can take the request now.
	 *
	 * @param reason why, {@link Refusal.Reason#ENDPOINTS_FULL} if waiting helps
	 * @param retryAfterMilliseconds when it is worth trying again in milliseconds
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

		/** It is the only one that can take the request. */
		ONLY,

		/** It has seen the prompt's prefix. */
		PREFIX_KNOWN,

		/** It is where requests with the prompt's prefix go. */
		PREFIX_HASH,

		/** It was the less loaded of two in the own failure domain. */
		OWN_DOMAIN,

		/** It was less loaded by more than the distance to its failure domain. */
		SPILL,

		/** Every other one is ejected too, so the first to return is tried. */
		LAST_RESORT

	}

}

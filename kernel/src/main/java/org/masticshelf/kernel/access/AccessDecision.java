package org.masticshelf.kernel.access;

import org.jspecify.annotations.Nullable;

import org.masticshelf.kernel.configuration.Organisation;
import org.masticshelf.kernel.configuration.Pool;
import org.masticshelf.kernel.configuration.Route;
import org.masticshelf.kernel.event.Event;
import org.masticshelf.kernel.refusal.Refusal;

/**
 * Represents whether a request may use a route. Immutable.
 */
public sealed interface AccessDecision {

	/**
	 * Returns the log event of this decision.
	 * @return the event
	 */
	Event toEvent();

	/**
	 * Signals that the request may run.
	 *
	 * @param route the route
	 * @param pool the pool of the route
	 * @param organisation the organisation on whose behalf it runs, or {@code null} on a
	 * route open to all
	 */
	record Granted(Route route, Pool pool, @Nullable Organisation organisation) implements AccessDecision {

		@Override
		public Event toEvent() {
			return Event.named("access.granted")
				.with("route", this.route.name())
				.with("organisation", (this.organisation != null) ? this.organisation.name() : null);
		}

	}

	/**
	 * Signals that the request must not run.
	 *
	 * @param reason why it must not run
	 * @param name the requested name
	 */
	record Denied(Refusal.Reason reason, String name) implements AccessDecision {

		@Override
		public Event toEvent() {
			return Event.named("access.denied").with("reason", this.reason.code()).with("name", this.name);
		}

	}

}

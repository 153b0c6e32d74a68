package org.masticshelf.kernel.access;

import org.jspecify.annotations.Nullable;

import org.masticshelf.kernel.configuration.Organisation;
import org.masticshelf.kernel.configuration.Pool;
import org.masticshelf.kernel.configuration.Route;
import org.masticshelf.kernel.event.Event;
import org.masticshelf.kernel.refusal.Refusal;

/**
 * Whether a request may use a route. Immutable.
 */
public sealed interface AccessDecision {

	/**
	 * Renders this decision as an event.
	 * @return the event
	 */
	Event toEvent();

	/**
	 * The request may run.
	 *
	 * @param route the route
	 * @param pool the pool of the route
	 * @param organisation the organisation that it runs for, or {@code null} on a route
	 * open to all
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
	 * The request may not run.
	 *
	 * @param reason why not
	 * @param name the name that was asked for
	 */
	record Denied(Refusal.Reason reason, String name) implements AccessDecision {

		@Override
		public Event toEvent() {
			return Event.named("access.denied").with("reason", this.reason.code()).with("name", this.name);
		}

	}

}

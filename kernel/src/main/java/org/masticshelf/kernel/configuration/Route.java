package org.masticshelf.kernel.configuration;

import org.jspecify.annotations.Nullable;

/**
 * A row of the table of routes: what a caller may name and where its requests go.
 * <p>
 * Immutable.
 *
 * @param name the name that callers use, as {@code model} or as the first path segments
 * of a plain route
 * @param pool the pool that serves the route
 * @param kind the kind of calls that the route takes
 * @param model the model within the pool, or {@code null} on a plain route
 * @param adapter the adapter of the model, or {@code null} for the bare model
 * @param access who may call the route
 * @param idempotent whether a request may be run more than once
 * @param defaultDeadlineMilliseconds the deadline of a request that names none
 * @param maximumDeadlineMilliseconds the longest deadline that a request may ask for
 */
public record Route(QualifiedName name, QualifiedName pool, Kind kind, @Nullable String model, @Nullable String adapter,
		Access access, boolean idempotent, long defaultDeadlineMilliseconds, long maximumDeadlineMilliseconds) {

	/**
	 * Returns what has to be loaded for this route.
	 * @return the loadable, or {@code null} on a plain route
	 */
	public @Nullable Loadable loadable() {
		return (this.model != null) ? new Loadable(this.pool, this.model, this.adapter) : null;
	}

	/** The kind of calls that a route takes. */
	public enum Kind {

		/** Generation by a model engine. */
		MODEL,

		/** Plain calls to a service. */
		PLAIN

	}

	/** Who may call a route. */
	public enum Access {

		/** Only the organisations of the route's workshop, each by its key. */
		KEY,

		/** Everyone, without a key. */
		OPEN

	}

}

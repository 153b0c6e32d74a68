package org.masticshelf.serving.request;

import java.util.function.Function;

import org.jspecify.annotations.Nullable;

import org.masticshelf.kernel.event.Event;
import org.masticshelf.kernel.serving.Loadable;
import org.masticshelf.kernel.serving.ServedOrganisation;
import org.masticshelf.kernel.serving.ServedPool;
import org.masticshelf.kernel.serving.ServedRequest;
import org.masticshelf.kernel.serving.ServedRoute;
import org.masticshelf.kernel.serving.ServedTables;

/**
 * Whether a request may run by the tables in force: which route, for which organisation,
 * in which pool, and whether the organisation's grant covers it.
 * <p>
 * Invariant: the grant is spent for a request that is admitted, and for no other. Used by
 * one thread.
 */
final class Admission {

	private static final long RETRY_WITHOUT_TABLES_MILLISECONDS = 300;

	private static final int NOT_FOUND = 404;

	private static final int UNAUTHORIZED = 401;

	private static final int TOO_MANY = 429;

	private static final int UNAVAILABLE = 503;

	private final RequestContext context;

	private final ServedRequest request;

	private final Function<String, Event> events;

	/**
	 * Creates the admission of one request.
	 * @param context what all requests share
	 * @param request the request
	 * @param events makes events of the request by their names
	 */
	Admission(RequestContext context, ServedRequest request, Function<String, Event> events) {
		this.context = context;
		this.request = request;
		this.events = events;
	}

	/**
	 * Decides and, if the request is admitted, spends what it costs.
	 * @return the outcome
	 */
	Outcome decide() {
		ServedTables tables = this.context.tables().get();
		if (tables == null) {
			return new Refused(UNAVAILABLE, "no_tables", RETRY_WITHOUT_TABLES_MILLISECONDS);
		}
		ServedRoute route = tables.route(this.request.host(), this.request.path());
		if (route == null) {
			return new Refused(NOT_FOUND, "no_route", 0);
		}
		ServedOrganisation organisation = null;
		if (tables.areKeysNeeded() && !route.open()) {
			String key = this.request.key();
			organisation = (key != null) ? tables.organisation(key) : null;
			if (organisation == null) {
				return new Refused(UNAUTHORIZED, "unknown_key", 0);
			}
		}
		String chosen = route.pool(this.request.identifier().hashCode());
		ServedPool pool = (chosen != null) ? tables.pool(chosen) : null;
		if (pool == null) {
			return new Refused(UNAVAILABLE, "no_pool", RETRY_WITHOUT_TABLES_MILLISECONDS);
		}
		return spend(tables, route, organisation, pool);
	}

	private Outcome spend(ServedTables tables, ServedRoute route, @Nullable ServedOrganisation organisation,
			ServedPool pool) {
		String name = (organisation != null) ? organisation.name() : "none";
		double cost = (organisation != null) ? organisation.cost(this.request.tokens()) : 0;
		long missing = this.context.grants().spend(organisation, cost);
		if (missing > 0) {
			this.context.log()
				.accept(this.events.apply("request.over_grant")
					.with("organisation", name)
					.with("cost", (long) cost)
					.with("grant", this.context.grants().describe(organisation))
					.with("tables", tables.version()));
			return new Refused(TOO_MANY, "grant_used_up", missing);
		}
		Loadable loadable = (pool.engine() != null) ? this.request.loadable() : null;
		if (loadable != null) {
			this.context.rates().recordRequest(pool.name(), loadable.model());
		}
		this.context.retries().recordRequest(pool.name());
		this.context.log()
			.accept(this.events.apply("request.admitted")
				.with("route", route.name())
				.with("tables", tables.version())
				.with("organisation", name)
				.with("pool", pool.name())
				.with("loadable", loadable)
				.with("cost", (long) cost));
		return new Admitted(route, organisation, pool, cost);
	}

	/** What was decided. */
	sealed interface Outcome {

	}

	/**
	 * The request may run.
	 *
	 * @param route its route
	 * @param organisation whose it is, {@code null} if its route is open
	 * @param pool where it may run
	 * @param cost what was spent of the organisation's grant
	 */
	record Admitted(ServedRoute route, @Nullable ServedOrganisation organisation, ServedPool pool,
			double cost) implements Outcome {
	}

	/**
	 * The request is refused; it has not run.
	 *
	 * @param status the status for the caller
	 * @param reason the reason for the log
	 * @param retryAfterMilliseconds when to come back, 0 for never
	 */
	record Refused(int status, String reason, long retryAfterMilliseconds) implements Outcome {
	}

}

package org.masticshelf.serving.request;

import java.util.function.Function;

import org.jspecify.annotations.Nullable;

import org.masticshelf.kernel.admission.WaitDecision;
import org.masticshelf.kernel.event.Event;
import org.masticshelf.kernel.serving.LoadableName;
import org.masticshelf.kernel.serving.Regions;
import org.masticshelf.kernel.serving.ServedOrganisation;
import org.masticshelf.kernel.serving.ServedPool;
import org.masticshelf.kernel.serving.ServedRequest;
import org.masticshelf.kernel.serving.ServedRoute;
import org.masticshelf.kernel.serving.ServedTables;
import org.masticshelf.serving.quarantine.RequestFingerprints;
import org.masticshelf.serving.quarantine.RequestQuarantine.Finding;

/**
 * Decides whether a request may run: resolves its route, organisation and pool in the
 * current tables, and spends its cost from the organisation's grant.
 * <p>
 * Invariant: the grant is charged if and only if the request is admitted. Not
 * thread-safe.
 */
final class Admission {

	private static final long RETRY_AFTER_UNCONFIGURED_MILLISECONDS = 300;

	private static final int NOT_FOUND = 404;

	private static final int UNAUTHORIZED = 401;

	private static final int TOO_MANY_REQUESTS = 429;

	private static final int SERVICE_UNAVAILABLE = 503;

	private final RequestContext context;

	private final ServedRequest request;

	private final RequestFingerprints fingerprints;

	private final Function<String, Event> events;

	/**
	 * Creates the admission of one request.
	 * @param context the dependencies that all requests share
	 * @param request the request
	 * @param fingerprints the fingerprints of the request
	 * @param events creates an event of the request from its name
	 */
	Admission(RequestContext context, ServedRequest request, RequestFingerprints fingerprints,
			Function<String, Event> events) {
		this.context = context;
		this.request = request;
		this.fingerprints = fingerprints;
		this.events = events;
	}

	/**
	 * Admits the request and spends its cost, or refuses it.
	 * @return the outcome
	 */
	Outcome decide() {
		ServedTables tables = this.context.tables().get();
		if (tables == null) {
			return new Refused(SERVICE_UNAVAILABLE, "no_tables", RETRY_AFTER_UNCONFIGURED_MILLISECONDS);
		}
		ServedRoute route = tables.findRoute(this.request.host(), this.request.path());
		if (route == null) {
			return new Refused(NOT_FOUND, "no_route", 0);
		}
		ServedOrganisation organisation = null;
		if (tables.areKeysRequired() && !route.open()) {
			String key = this.request.key();
			organisation = (key != null) ? tables.findOrganisation(key) : null;
			if (organisation == null) {
				return new Refused(UNAUTHORIZED, "unknown_key", 0);
			}
		}
		String poolName = route.choosePool(this.request.identifier().hashCode());
		ServedPool pool = (poolName != null) ? tables.findPool(poolName) : null;
		if (pool == null) {
			return new Refused(SERVICE_UNAVAILABLE, "no_pool", RETRY_AFTER_UNCONFIGURED_MILLISECONDS);
		}
		if (this.context.quarantine().examine(this.fingerprints) instanceof Finding.Quarantined finding) {
			this.context.log()
				.accept(this.events.apply("request.quarantined")
					.with("fingerprint", finding.fingerprint())
					.with("crashes", finding.crashes()));
			return new Refused(SERVICE_UNAVAILABLE, "request_quarantined", finding.remainingMilliseconds());
		}
		if (!hasEndpointInAllowedRegion(route, organisation, pool)) {
			this.context.log()
				.accept(this.events.apply("request.outside_regions")
					.with("route", route.name())
					.with("route_regions", route.allowedRegions())
					.with("organisation_regions", (organisation != null) ? organisation.allowedRegions() : "none"));
			return new Refused(SERVICE_UNAVAILABLE, "no_endpoint",
					WaitDecision.RETRY_AFTER_WITHOUT_ESTIMATE_MILLISECONDS);
		}
		return spend(tables, route, organisation, pool);
	}

	private boolean hasEndpointInAllowedRegion(ServedRoute route, @Nullable ServedOrganisation organisation,
			ServedPool pool) {
		Regions regions = this.context.directory().regions();
		return !regions.restrict(route, organisation) || this.context.directory()
			.inPool(pool.name())
			.stream()
			.anyMatch((endpoint) -> regions.allow(endpoint.failureDomain(), route, organisation));
	}

	private Outcome spend(ServedTables tables, ServedRoute route, @Nullable ServedOrganisation organisation,
			ServedPool pool) {
		String organisationName = (organisation != null) ? organisation.name() : "none";
		double cost = (organisation != null) ? organisation.cost(this.request.totalTokens()) : 0;
		long waitMilliseconds = this.context.grants().spend(organisation, cost);
		if (waitMilliseconds > 0) {
			this.context.log()
				.accept(this.events.apply("request.over_grant")
					.with("organisation", organisationName)
					.with("cost", (long) cost)
					.with("grant", this.context.grants().describe(organisation))
					.with("tables", tables.version()));
			return new Refused(TOO_MANY_REQUESTS, "grant_used_up", waitMilliseconds);
		}
		LoadableName loadable = (pool.engine() != null) ? this.request.loadable() : null;
		if (loadable != null) {
			boolean pauseStated = tables.allowedPauseMilliseconds(pool.name()) > 0;
			this.context.rates()
				.recordRequest(pool.name(), loadable.model(), pauseStated ? this.request.promptTokens() : 0);
		}
		this.context.retries().recordRequest(pool.name());
		this.context.log()
			.accept(this.events.apply("request.admitted")
				.with("route", route.name())
				.with("tables", tables.version())
				.with("organisation", organisationName)
				.with("pool", pool.name())
				.with("loadable", loadable)
				.with("cost", (long) cost)
				.with("prompt_tokens", this.request.promptTokens())
				.with("output_tokens", this.request.outputTokens())
				.with("stop_left_ms", this.context.plannedStop().leftForLog()));
		return new Admitted(route, organisation, pool, cost);
	}

	/** The outcome of admission. */
	sealed interface Outcome {

	}

	/**
	 * The request may run.
	 *
	 * @param route its route
	 * @param organisation the organisation that pays, {@code null} if the route is open
	 * @param pool the pool in which it may run
	 * @param cost the tokens spent from the organisation's grant
	 */
	record Admitted(ServedRoute route, @Nullable ServedOrganisation organisation, ServedPool pool,
			double cost) implements Outcome {
	}

	/**
	 * The request is refused and has not run.
	 *
	 * @param status the HTTP status for the caller
	 * @param reason the reason, for the caller and the log
	 * @param retryAfterMilliseconds when the caller may retry, 0 if retrying is pointless
	 */
	record Refused(int status, String reason, long retryAfterMilliseconds) implements Outcome {
	}

}

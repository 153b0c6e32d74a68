package org.masticshelf.daemon.request;

import java.io.UncheckedIOException;
import java.util.concurrent.atomic.AtomicLong;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.jspecify.annotations.Nullable;

import org.masticshelf.control.claim.ClaimRegistry;
import org.masticshelf.control.configuration.ConfigurationSource;
import org.masticshelf.daemon.dispatch.PoolDispatchers;
import org.masticshelf.kernel.access.AccessDecision;
import org.masticshelf.kernel.access.AccessPolicy;
import org.masticshelf.kernel.configuration.Configuration;
import org.masticshelf.kernel.configuration.Loadable;
import org.masticshelf.kernel.configuration.Organisation;
import org.masticshelf.kernel.configuration.OrganisationKey;
import org.masticshelf.kernel.configuration.Route;
import org.masticshelf.kernel.refusal.Refusal;
import org.masticshelf.transport.json.Json;
import org.masticshelf.transport.log.EventLog;

/**
 * Checks the access and form of callers' requests and submits them.
 * <p>
 * Invariant: each request is answered or refused once. Safe for use by several threads.
 */
public final class RequestHandler {

	private static final long NANOSECONDS_PER_MILLISECOND = 1_000_000L;

	private static final long MILLISECONDS_PER_SECOND = 1_000L;

	private static final long DRAIN_RETRY_MILLISECONDS = 1_000;

	private final ConfigurationSource configuration;

	private final RequestServices services;

	private final PoolDispatchers dispatchers;

	private final ClaimRegistry claims;

	private final String incarnation;

	private final AtomicLong sequence = new AtomicLong();

	private volatile boolean draining;

	/**
	 * Creates a handler.
	 * @param configuration the configuration in force
	 * @param services the services that requests use
	 * @param dispatchers the dispatchers of the pools
	 * @param claims the claims of non-idempotent requests
	 * @param incarnation the incarnation of this daemon, for request identifiers
	 */
	public RequestHandler(ConfigurationSource configuration, RequestServices services, PoolDispatchers dispatchers,
			ClaimRegistry claims, String incarnation) {
		this.configuration = configuration;
		this.services = services;
		this.dispatchers = dispatchers;
		this.claims = claims;
		this.incarnation = incarnation;
	}

	/** Refuses all requests from now on. */
	public void drain() {
		this.draining = true;
	}

	/**
	 * Handles a call to a model.
	 * @param caller the caller's key and deadline
	 * @param path the path of the call
	 * @param body the body
	 * @param response writes the response
	 */
	public void handleModelCall(Caller caller, String path, byte[] body, CallerResponse response) {
		ObjectNode tree = toObject(body);
		if (tree == null) {
			refuse(response, Refusal.notRun(Refusal.Reason.MALFORMED_REQUEST, 0), "the body is not a JSON object");
			return;
		}
		AccessDecision.Granted granted = checkAccess(caller, tree.path("model").asText(""), response);
		if (granted == null) {
			return;
		}
		Loadable loadable = granted.route().loadable();
		if (loadable == null) {
			refuse(response, Refusal.notRun(Refusal.Reason.ROUTE_UNKNOWN, 0), "the route takes no calls to models");
			return;
		}
		try {
			ModelCall call = ModelCall.parse(loadable, tree);
			if (isAboveBurst(granted, call)) {
				refuse(response, Refusal.notRun(Refusal.Reason.COST_ABOVE_BURST, 0),
						"the request needs more tokens than the organisation's burst");
				return;
			}
			RequestDetails details = createDetails(caller, granted, path);
			new ModelRequest(details, call, response, this.services, this.dispatchers.of(granted.pool())).submit();
		}
		catch (MalformedRequestException ex) {
			refuse(response, Refusal.notRun(Refusal.Reason.MALFORMED_REQUEST, 0), String.valueOf(ex.getMessage()));
		}
	}

	private static boolean isAboveBurst(AccessDecision.Granted granted, ModelCall call) {
		Organisation organisation = granted.organisation();
		return organisation != null && call.costTokens() > organisation.burstTokens();
	}

	/**
	 * Handles a call to a plain service.
	 * @param caller the caller's key and deadline
	 * @param name the route, as {@code workshop/name}
	 * @param path the rest of the path with its query, beginning with a slash
	 * @param call the call
	 * @param response writes the response
	 */
	public void handlePlainCall(Caller caller, String name, String path, PlainCall call, CallerResponse response) {
		AccessDecision.Granted granted = checkAccess(caller, name, response);
		if (granted == null) {
			return;
		}
		if (granted.route().kind() != Route.Kind.PLAIN) {
			refuse(response, Refusal.notRun(Refusal.Reason.ROUTE_UNKNOWN, 0), "the route takes no plain calls");
			return;
		}
		new PlainRequest(createDetails(caller, granted, path), call, response, this.services, this.claims,
				this.dispatchers.of(granted.pool()))
			.submit();
	}

	/**
	 * Lists the models that a key may use, in the form of OpenAI's list of models.
	 * @param caller the caller's key and deadline
	 * @return the list
	 */
	public ObjectNode listModels(Caller caller) {
		ObjectNode list = Json.mapper().createObjectNode().put("object", "list");
		var data = list.putArray("data");
		AccessPolicy.INSTANCE.visibleRoutes(this.configuration.current(), keyDigest(caller), epochSeconds())
			.stream()
			.filter((route) -> route.kind() == Route.Kind.MODEL)
			.forEach((route) -> data.addObject()
				.put("id", route.name().toString())
				.put("object", "model")
				.put("owned_by", route.name().workshop()));
		return list;
	}

	private AccessDecision.@Nullable Granted checkAccess(Caller caller, String name, CallerResponse response) {
		if (this.draining) {
			refuse(response, Refusal.notRun(Refusal.Reason.DRAINING, DRAIN_RETRY_MILLISECONDS), "this daemon stops");
			return null;
		}
		AccessDecision decision = AccessPolicy.INSTANCE.decide(this.configuration.current(),
				new AccessPolicy.Request(keyDigest(caller), name), this.configuration.freshness().permitsKeys(),
				epochSeconds());
		return switch (decision) {
			case AccessDecision.Granted granted -> granted;
			case AccessDecision.Denied denied -> {
				EventLog.info(denied.toEvent());
				refuse(response, Refusal.notRun(denied.reason(), 0), "no access to '" + name + "'");
				yield null;
			}
		};
	}

	private RequestDetails createDetails(Caller caller, AccessDecision.Granted granted, String path) {
		Route route = granted.route();
		long requestedMilliseconds = (caller.deadlineMilliseconds() > 0) ? caller.deadlineMilliseconds()
				: route.defaultDeadlineMilliseconds();
		long allowedMilliseconds = Math.min(requestedMilliseconds, route.maximumDeadlineMilliseconds());
		long deadlineNanoseconds = this.services.clock().nanoseconds()
				+ allowedMilliseconds * NANOSECONDS_PER_MILLISECOND;
		return new RequestDetails(this.incarnation + "-" + this.sequence.incrementAndGet(), route, granted.pool(),
				granted.organisation(), (granted.organisation() != null) ? keyDigest(caller) : null, path,
				deadlineNanoseconds);
	}

	private static @Nullable String keyDigest(Caller caller) {
		return (caller.key() != null) ? OrganisationKey.digestOf(caller.key()) : null;
	}

	private static long epochSeconds() {
		return System.currentTimeMillis() / MILLISECONDS_PER_SECOND;
	}

	private static @Nullable ObjectNode toObject(byte[] body) {
		try {
			JsonNode tree = Json.toTree(body);
			return (tree instanceof ObjectNode object) ? object : null;
		}
		catch (UncheckedIOException ex) {
			return null;
		}
	}

	/**
	 * Refuses a request that cannot be handled.
	 * @param response writes the response
	 * @param refusal the refusal
	 * @param message a human-readable explanation
	 */
	public void refuse(CallerResponse response, Refusal refusal, String message) {
		EventLog.info(refusal.toEvent());
		response.refuse(refusal, message);
	}

	/**
	 * Returns the configuration that requests are checked against.
	 * @return the configuration in force
	 */
	public Configuration configuration() {
		return this.configuration.current();
	}

	/**
	 * The key and deadline that came with a call. Immutable.
	 *
	 * @param key the key, or {@code null} without one
	 * @param deadlineMilliseconds the deadline that the caller asks for, 0 for none
	 */
	public record Caller(@Nullable String key, long deadlineMilliseconds) {

		@Override
		public String toString() {
			return "Caller[" + ((this.key != null) ? "with key" : "without key") + "]";
		}

	}

}

package org.masticshelf.kernel.routing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.ToLongFunction;
import java.util.random.RandomGenerator;

import org.jspecify.annotations.Nullable;

import org.masticshelf.kernel.refusal.Refusal;

/**
 * Chooses the endpoint for a request: one that has the prompt's prefix cached unless it
 * is overloaded, otherwise the better of two random endpoints, in the daemon's own
 * failure domain unless one elsewhere is better by more than the distance.
 * <p>
 * Invariants: a leaving endpoint is never chosen; an ejected endpoint is chosen only if
 * all others are ejected too. Not thread-safe; guarded by the lock of its shard.
 */
public final class Router {

	private static final double LOAD_BOUND_FACTOR = 1.25;

	private static final double DEFAULT_LATENCY_NANOSECONDS = 50_000_000;

	private static final long FULL_RETRY_AFTER_MILLISECONDS = 50;

	private static final long NO_ENDPOINT_RETRY_AFTER_MILLISECONDS = 1_000;

	private final String ownDomain;

	private final ToLongFunction<String> oneWayNanoseconds;

	private final PrefixHints hints;

	private final RandomGenerator random;

	/**
	 * Creates a router.
	 * @param ownDomain the failure domain of this daemon
	 * @param oneWayNanoseconds the one-way latency to a failure domain in nanoseconds
	 * @param hints the last known holders of prefixes
	 * @param random the source of the two random choices
	 */
	public Router(String ownDomain, ToLongFunction<String> oneWayNanoseconds, PrefixHints hints,
			RandomGenerator random) {
		this.ownDomain = ownDomain;
		this.oneWayNanoseconds = oneWayNanoseconds;
		this.hints = hints;
		this.random = random;
	}

	/**
	 * Chooses an endpoint.
	 * @param tracker the state of the pool's endpoints
	 * @param request the request to route
	 * @param now the monotonic reading in nanoseconds
	 * @return the endpoint, or the reason why there is none now
	 */
	public RouteDecision choose(EndpointTracker tracker, RoutingRequest request, long now) {
		List<TrackedEndpoint> available = availableEndpoints(tracker, request);
		if (available.isEmpty()) {
			return new RouteDecision.None(Refusal.Reason.NO_ENDPOINT, NO_ENDPOINT_RETRY_AFTER_MILLISECONDS);
		}
		List<TrackedEndpoint> healthy = available.stream()
			.filter((tracked) -> !tracked.health().isEjected(now))
			.toList();
		if (healthy.isEmpty()) {
			return chooseLastResort(available, now);
		}
		List<TrackedEndpoint> ready = healthy.stream().filter((tracked) -> !tracked.isFull(now)).toList();
		if (ready.isEmpty()) {
			return endpointsFull();
		}
		if (ready.size() == 1) {
			return chosen(ready.get(0), RouteDecision.Reason.ONLY, now);
		}
		RouteDecision byPrefix = chooseByPrefix(ready, request.prefixHash(), now);
		return (byPrefix != null) ? byPrefix : chooseByCost(ready, now);
	}

	private static RouteDecision endpointsFull() {
		return new RouteDecision.None(Refusal.Reason.ENDPOINTS_FULL, FULL_RETRY_AFTER_MILLISECONDS);
	}

	private static List<TrackedEndpoint> availableEndpoints(EndpointTracker tracker, RoutingRequest request) {
		List<TrackedEndpoint> all = new ArrayList<>();
		List<TrackedEndpoint> notExcluded = new ArrayList<>();
		for (String identifier : request.candidates().stream().sorted().toList()) {
			TrackedEndpoint tracked = tracker.find(identifier);
			if (tracked != null && !tracked.isLeaving()) {
				all.add(tracked);
				if (!request.excluded().contains(identifier)) {
					notExcluded.add(tracked);
				}
			}
		}
		return notExcluded.isEmpty() ? all : notExcluded;
	}

	private RouteDecision chooseLastResort(List<TrackedEndpoint> available, long now) {
		return available.stream()
			.filter((tracked) -> !tracked.isFull(now))
			.min((first, second) -> Long.signum(first.health().ejectedUntil() - second.health().ejectedUntil()))
			.map((tracked) -> chosen(tracked, RouteDecision.Reason.LAST_RESORT, now))
			.orElseGet(Router::endpointsFull);
	}

	private @Nullable RouteDecision chooseByPrefix(List<TrackedEndpoint> ready, @Nullable Long prefixHash, long now) {
		if (prefixHash == null) {
			return null;
		}
		String holder = this.hints.holderOf(prefixHash, now);
		for (TrackedEndpoint tracked : ready) {
			if (tracked.endpoint().identifier().equals(holder) && isWithinBound(tracked, ready, now)) {
				return chosen(tracked, RouteDecision.Reason.PREFIX_KNOWN, now);
			}
		}
		return ready.stream()
			.sorted(Comparator.comparingLong((TrackedEndpoint tracked) -> rank(prefixHash, tracked)).reversed())
			.filter((tracked) -> isWithinBound(tracked, ready, now))
			.findFirst()
			.map((tracked) -> chosen(tracked, RouteDecision.Reason.PREFIX_HASH, now))
			.orElse(null);
	}

	private static boolean isWithinBound(TrackedEndpoint tracked, List<TrackedEndpoint> ready, long now) {
		double total = ready.stream().mapToDouble((other) -> relativeLoad(other, now)).sum();
		double bound = LOAD_BOUND_FACTOR * total / ready.size() + 1.0 / tracked.endpoint().slots();
		return relativeLoad(tracked, now) <= bound;
	}

	private static double relativeLoad(TrackedEndpoint tracked, long now) {
		return tracked.effectiveLoad(now) / (tracked.endpoint().slots() * tracked.health().slowStartWeight(now));
	}

	private RouteDecision chooseByCost(List<TrackedEndpoint> ready, long now) {
		List<TrackedEndpoint> local = ready.stream().filter(this::isLocal).toList();
		List<TrackedEndpoint> remote = ready.stream().filter((tracked) -> !isLocal(tracked)).toList();
		TrackedEndpoint bestLocal = betterOfTwo(local, now);
		TrackedEndpoint bestRemote = betterOfTwo(remote, now);
		if (bestLocal == null
				|| (bestRemote != null && costNanoseconds(bestRemote, now) < costNanoseconds(bestLocal, now))) {
			return chosen(requirePresent(bestRemote), RouteDecision.Reason.SPILL, now);
		}
		return chosen(bestLocal, RouteDecision.Reason.OWN_DOMAIN, now);
	}

	private static TrackedEndpoint requirePresent(@Nullable TrackedEndpoint tracked) {
		if (tracked == null) {
			throw new IllegalStateException("ready endpoints are neither local nor remote");
		}
		return tracked;
	}

	private boolean isLocal(TrackedEndpoint tracked) {
		return tracked.endpoint().failureDomain().equals(this.ownDomain);
	}

	private @Nullable TrackedEndpoint betterOfTwo(List<TrackedEndpoint> endpoints, long now) {
		if (endpoints.isEmpty()) {
			return null;
		}
		TrackedEndpoint first = endpoints.get(this.random.nextInt(endpoints.size()));
		TrackedEndpoint second = endpoints.get(this.random.nextInt(endpoints.size()));
		return (costNanoseconds(second, now) < costNanoseconds(first, now)) ? second : first;
	}

	// The expected latency, in proportion to the load, plus the round trip.
	private double costNanoseconds(TrackedEndpoint tracked, long now) {
		double latencyNanoseconds = (tracked.latencyNanoseconds() > 0) ? tracked.latencyNanoseconds()
				: DEFAULT_LATENCY_NANOSECONDS;
		String domain = tracked.endpoint().failureDomain();
		long roundTrip = domain.equals(this.ownDomain) ? 0 : 2 * this.oneWayNanoseconds.applyAsLong(domain);
		return latencyNanoseconds * (1 + relativeLoad(tracked, now)) / tracked.health().slowStartWeight(now)
				+ roundTrip;
	}

	private RouteDecision chosen(TrackedEndpoint tracked, RouteDecision.Reason reason, long now) {
		return new RouteDecision.Chosen(tracked.endpoint(), reason, tracked.effectiveLoad(now));
	}

	// Rendezvous hashing: the endpoint with the highest rank is preferred for a prefix.
	private static long rank(long prefixHash, TrackedEndpoint tracked) {
		long mixed = prefixHash ^ (tracked.endpoint().identifier().hashCode() * 0x9E3779B97F4A7C15L);
		mixed = (mixed ^ (mixed >>> 30)) * 0xBF58476D1CE4E5B9L;
		mixed = (mixed ^ (mixed >>> 27)) * 0x94D049BB133111EBL;
		return mixed ^ (mixed >>> 31);
	}

}

package org.masticshelf.kernel.routing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.ToLongFunction;
import java.util.random.RandomGenerator;

import org.jspecify.annotations.Nullable;

import org.masticshelf.kernel.refusal.Refusal;

/**
 * Chooses the endpoint for a request: where the prompt's prefix is cached unless that is
 * overloaded, else the less loaded of two, in the own failure domain unless another is
 * better by more than the distance.
 * <p>
 * Invariants: a leaving endpoint is never chosen; an ejected one only if all others are
 * ejected too. Not safe for use by several threads; guarded by the lock of its shard.
 */
public final class Router {

	private static final double LOAD_BOUND_FACTOR = 1.25;

	private static final double DEFAULT_LATENCY_NANOSECONDS = 50_000_000;

	private static final long FULL_RETRY_MILLISECONDS = 50;

	private static final long NONE_RETRY_MILLISECONDS = 1_000;

	private final String ownDomain;

	private final ToLongFunction<String> distance;

	private final PrefixHints hints;

	private final RandomGenerator random;

	/**
	 * Creates a router.
	 * @param ownDomain the failure domain of this daemon
	 * @param distance the one-way distance to a failure domain in nanoseconds
	 * @param hints where prefixes were last known to be
	 * @param random the source of the two choices
	 */
	public Router(String ownDomain, ToLongFunction<String> distance, PrefixHints hints, RandomGenerator random) {
		this.ownDomain = ownDomain;
		this.distance = distance;
		this.hints = hints;
		this.random = random;
	}

	/**
	 * Chooses an endpoint.
	 * @param board what is known of the pool's endpoints
	 * @param selection what is to be routed
	 * @param now the monotonic reading in nanoseconds
	 * @return the endpoint, or why there is none now
	 */
	public RouteDecision choose(EndpointTracker board, RoutingRequest selection, long now) {
		List<TrackedEndpoint> staying = staying(board, selection);
		if (staying.isEmpty()) {
			return new RouteDecision.None(Refusal.Reason.NO_ENDPOINT, NONE_RETRY_MILLISECONDS);
		}
		List<TrackedEndpoint> healthy = staying.stream().filter((state) -> !state.health().isEjected(now)).toList();
		if (healthy.isEmpty()) {
			return lastResort(staying, now);
		}
		List<TrackedEndpoint> open = healthy.stream().filter((state) -> !state.isFull(now)).toList();
		if (open.isEmpty()) {
			return full();
		}
		if (open.size() == 1) {
			return chosen(open.get(0), RouteDecision.Reason.ONLY, now);
		}
		RouteDecision affine = affine(open, selection.prefixHash(), now);
		return (affine != null) ? affine : nearest(open, now);
	}

	private static RouteDecision full() {
		return new RouteDecision.None(Refusal.Reason.ENDPOINTS_FULL, FULL_RETRY_MILLISECONDS);
	}

	private static List<TrackedEndpoint> staying(EndpointTracker board, RoutingRequest selection) {
		List<TrackedEndpoint> all = new ArrayList<>();
		List<TrackedEndpoint> preferred = new ArrayList<>();
		for (String identifier : selection.candidates().stream().sorted().toList()) {
			TrackedEndpoint state = board.find(identifier);
			if (state != null && !state.isLeaving()) {
				all.add(state);
				if (!selection.excluded().contains(identifier)) {
					preferred.add(state);
				}
			}
		}
		return preferred.isEmpty() ? all : preferred;
	}

	private RouteDecision lastResort(List<TrackedEndpoint> staying, long now) {
		return staying.stream()
			.filter((state) -> !state.isFull(now))
			.min((first, second) -> Long.signum(first.health().ejectedUntil() - second.health().ejectedUntil()))
			.map((state) -> chosen(state, RouteDecision.Reason.LAST_RESORT, now))
			.orElseGet(Router::full);
	}

	private @Nullable RouteDecision affine(List<TrackedEndpoint> open, @Nullable Long prefixHash, long now) {
		if (prefixHash == null) {
			return null;
		}
		String holder = this.hints.holderOf(prefixHash, now);
		for (TrackedEndpoint state : open) {
			if (state.endpoint().identifier().equals(holder) && isWithinBound(state, open, now)) {
				return chosen(state, RouteDecision.Reason.PREFIX_KNOWN, now);
			}
		}
		return open.stream()
			.sorted(Comparator.comparingLong((TrackedEndpoint state) -> rank(prefixHash, state)).reversed())
			.filter((state) -> isWithinBound(state, open, now))
			.findFirst()
			.map((state) -> chosen(state, RouteDecision.Reason.PREFIX_HASH, now))
			.orElse(null);
	}

	private static boolean isWithinBound(TrackedEndpoint state, List<TrackedEndpoint> open, long now) {
		double total = open.stream().mapToDouble((other) -> relativeLoad(other, now)).sum();
		double bound = LOAD_BOUND_FACTOR * total / open.size() + 1.0 / state.endpoint().slots();
		return relativeLoad(state, now) <= bound;
	}

	private static double relativeLoad(TrackedEndpoint state, long now) {
		return state.effectiveLoad(now) / (state.endpoint().slots() * state.health().slowStartWeight(now));
	}

	private RouteDecision nearest(List<TrackedEndpoint> open, long now) {
		List<TrackedEndpoint> near = open.stream().filter(this::isNear).toList();
		List<TrackedEndpoint> far = open.stream().filter((state) -> !isNear(state)).toList();
		TrackedEndpoint ownBest = better(near, now);
		TrackedEndpoint otherBest = better(far, now);
		if (ownBest == null || (otherBest != null && cost(otherBest, now) < cost(ownBest, now))) {
			return chosen(present(otherBest), RouteDecision.Reason.SPILL, now);
		}
		return chosen(ownBest, RouteDecision.Reason.OWN_DOMAIN, now);
	}

	private static TrackedEndpoint present(@Nullable TrackedEndpoint state) {
		if (state == null) {
			throw new IllegalStateException("open endpoints are neither near nor far");
		}
		return state;
	}

	private boolean isNear(TrackedEndpoint state) {
		return state.endpoint().failureDomain().equals(this.ownDomain);
	}

	private @Nullable TrackedEndpoint better(List<TrackedEndpoint> states, long now) {
		if (states.isEmpty()) {
			return null;
		}
		TrackedEndpoint first = states.get(this.random.nextInt(states.size()));
		TrackedEndpoint second = states.get(this.random.nextInt(states.size()));
		return (cost(second, now) < cost(first, now)) ? second : first;
	}

	// The expected latency in proportion to the load, and the way there and back.
	private double cost(TrackedEndpoint state, long now) {
		double latency = (state.latencyNanoseconds() > 0) ? state.latencyNanoseconds() : DEFAULT_LATENCY_NANOSECONDS;
		String domain = state.endpoint().failureDomain();
		long way = domain.equals(this.ownDomain) ? 0 : 2 * this.distance.applyAsLong(domain);
		return latency * (1 + relativeLoad(state, now)) / state.health().slowStartWeight(now) + way;
	}

	private RouteDecision chosen(TrackedEndpoint state, RouteDecision.Reason reason, long now) {
		return new RouteDecision.Chosen(state.endpoint(), reason, state.effectiveLoad(now));
	}

	// Rendezvous hashing: the endpoint with the highest rank is preferred for a prefix.
	private static long rank(long prefixHash, TrackedEndpoint state) {
		long mixed = prefixHash ^ (state.endpoint().identifier().hashCode() * 0x9E3779B97F4A7C15L);
		mixed = (mixed ^ (mixed >>> 30)) * 0xBF58476D1CE4E5B9L;
		mixed = (mixed ^ (mixed >>> 27)) * 0x94D049BB133111EBL;
		return mixed ^ (mixed >>> 31);
	}

}

package org.masticshelf.kernel.serving;

import java.util.List;
import java.util.Set;

import org.jspecify.annotations.Nullable;

/**
 * A route that callers can address. Immutable.
 *
 * @param name the name of the route
 * @param host the host in lower case
 * @param prefix the path prefix, with a slash at both ends
 * @param execution how often a request may run
 * @param timeoutMilliseconds the maximum time that a request may be kept waiting
 * @param objectiveMilliseconds the latency objective for an answer, for streams up to the
 * first event
 * @param gapObjectiveMilliseconds the objective for the time between events, 0 if the
 * route has no streams
 * @param priority the priority, 0 is the highest
 * @param maximumAttempts the maximum number of endpoints that a request is sent to
 * @param open whether no key is required
 * @param targets the pools and their weights, at least one
 * @param allowedRegions the regions whose endpoints may serve requests, empty for all
 */
public record ServedRoute(String name, String host, String prefix, Execution execution, long timeoutMilliseconds,
		long objectiveMilliseconds, long gapObjectiveMilliseconds, int priority, int maximumAttempts, boolean open,
		List<Target> targets, Set<String> allowedRegions) {

	private static final long MINIMUM_EVENT_TIMEOUT_MILLISECONDS = 2_000;

	private static final long EVENT_TIMEOUT_OBJECTIVES = 4;

	private static final long EVENT_TIMEOUT_GAP_OBJECTIVES = 8;

	/**
	 * Creates a route that all regions may serve.
	 * @param name the name of the route
	 * @param host the host in lower case
	 * @param prefix the path prefix, with a slash at both ends
	 * @param execution how often a request may run
	 * @param timeoutMilliseconds the maximum time that a request may be kept waiting
	 * @param objectiveMilliseconds the latency objective for an answer
	 * @param gapObjectiveMilliseconds the objective for the time between events
	 * @param priority the priority, 0 is the highest
	 * @param maximumAttempts the maximum number of endpoints that a request is sent to
	 * @param open whether no key is required
	 * @param targets the pools and their weights, at least one
	 */
	public ServedRoute(String name, String host, String prefix, Execution execution, long timeoutMilliseconds,
			long objectiveMilliseconds, long gapObjectiveMilliseconds, int priority, int maximumAttempts, boolean open,
			List<Target> targets) {
		this(name, host, prefix, execution, timeoutMilliseconds, objectiveMilliseconds, gapObjectiveMilliseconds,
				priority, maximumAttempts, open, targets, Set.of());
	}

	/** Creates a route. */
	public ServedRoute {
		targets = List.copyOf(targets);
		allowedRegions = Set.copyOf(allowedRegions);
		if (targets.isEmpty()) {
			throw new IllegalArgumentException("route " + name + " has no target");
		}
	}

	/**
	 * Returns how long a caller of a stream waits for the next event before it gives up.
	 * @return the time in milliseconds, {@link Long#MAX_VALUE} if the route has no
	 * streams
	 */
	public long eventTimeoutMilliseconds() {
		if (!this.execution.isStreamed()) {
			return Long.MAX_VALUE;
		}
		return Math.max(MINIMUM_EVENT_TIMEOUT_MILLISECONDS,
				Math.max(EVENT_TIMEOUT_OBJECTIVES * this.objectiveMilliseconds,
						EVENT_TIMEOUT_GAP_OBJECTIVES * this.gapObjectiveMilliseconds));
	}

	/**
	 * Chooses the pool for a request by weight.
	 * @param draw a number that distributes requests; the same number selects the same
	 * pool
	 * @return the name of the pool, {@code null} if all weights are zero
	 */
	public @Nullable String choosePool(int draw) {
		int totalWeight = this.targets.stream().mapToInt(Target::weight).sum();
		if (totalWeight <= 0) {
			return null;
		}
		int remaining = Math.floorMod(draw, totalWeight);
		for (Target target : this.targets) {
			remaining -= target.weight();
			if (remaining < 0) {
				return target.pool();
			}
		}
		return null;
	}

	/** How often a request may run. */
	public enum Execution {

		/** Any number of times. */
		REPEATABLE(true, false),

		/** At most once. */
		AT_MOST_ONCE(false, false),

		/** At most once, answered with a stream. */
		STREAM(false, true),

		/** Answered with a stream that another endpoint can resume. */
		RESUMABLE_STREAM(true, true);

		private final boolean repeatable;

		private final boolean streamed;

		Execution(boolean repeatable, boolean streamed) {
			this.repeatable = repeatable;
			this.streamed = streamed;
		}

		/**
		 * Returns whether a request that may have run may run again.
		 * @return whether it may be repeated
		 */
		public boolean isRepeatable() {
			return this.repeatable;
		}

		/**
		 * Returns whether the answer is a stream of events.
		 * @return whether it is streamed
		 */
		public boolean isStreamed() {
			return this.streamed;
		}

	}

	/**
	 * A pool that a route forwards requests to.
	 *
	 * @param pool the name of the pool
	 * @param weight its share among the targets, not negative
	 */
	public record Target(String pool, int weight) {
	}

}

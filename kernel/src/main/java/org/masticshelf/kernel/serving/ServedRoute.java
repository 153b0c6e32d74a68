package org.masticshelf.kernel.serving;

import java.util.List;

import org.jspecify.annotations.Nullable;

/**
 * A route that callers may use. Immutable.
 *
 * @param name the name of the route
 * @param host the host in lower case
 * @param prefix the beginning of the path, with a slash at both ends
 * @param execution how often a request may run
 * @param timeoutMilliseconds the longest time that a request may be kept waiting
 * @param objectiveMilliseconds the time within which an answer is on time; for streams up
 * to the first event
 * @param gapObjectiveMilliseconds the longest pause between events that is on time, 0 if
 * the route has no streams
 * @param priority the rank, 0 is the most urgent
 * @param maximumAttempts to how many endpoints one request may be sent
 * @param open whether no key is needed
 * @param targets pools and their weights, at least one
 */
public record ServedRoute(String name, String host, String prefix, Execution execution, long timeoutMilliseconds,
		long objectiveMilliseconds, long gapObjectiveMilliseconds, int priority, int maximumAttempts, boolean open,
		List<Target> targets) {

	private static final long SHORTEST_PATIENCE_MILLISECONDS = 2_000;

	private static final long PATIENCE_IN_OBJECTIVES = 4;

	private static final long PATIENCE_IN_GAPS = 8;

	/** Creates a route. */
	public ServedRoute {
		targets = List.copyOf(targets);
		if (targets.isEmpty()) {
			throw new IllegalArgumentException("route " + name + " has no target");
		}
	}

	/**
	 * Returns how long a caller of a stream waits for its next event before it gives up.
	 * @return the time in milliseconds, {@link Long#MAX_VALUE} if the route has no
	 * streams
	 */
	public long eventTimeoutMilliseconds() {
		if (!this.execution.isStreamed()) {
			return Long.MAX_VALUE;
		}
		return Math.max(SHORTEST_PATIENCE_MILLISECONDS, Math.max(PATIENCE_IN_OBJECTIVES * this.objectiveMilliseconds,
				PATIENCE_IN_GAPS * this.gapObjectiveMilliseconds));
	}

	/**
	 * Chooses the pool for a request by the weights.
	 * @param draw spreads requests; the same draw gives the same pool
	 * @return the name of the pool, {@code null} if all weights are zero
	 */
	public @Nullable String choosePool(int draw) {
		int total = this.targets.stream().mapToInt(Target::weight).sum();
		if (total <= 0) {
			return null;
		}
		int left = Math.floorMod(draw, total);
		for (Target target : this.targets) {
			left -= target.weight();
			if (left < 0) {
				return target.pool();
			}
		}
		return null;
	}

	/** How often a request may run. */
	public enum Execution {

		/** Any number of times. */
		REPEATABLE(true, false),

		/** Once at most. */
		AT_MOST_ONCE(false, false),

		/** Once at most, answered by a stream. */
		STREAM(false, true),

		/** Answered by a stream that another endpoint can go on with. */
		RESUMABLE_STREAM(true, true);

		private final boolean repeatable;

		private final boolean streamed;

		Execution(boolean repeatable, boolean streamed) {
			this.repeatable = repeatable;
			this.streamed = streamed;
		}

		/**
		 * Returns whether a request may run again after it may have run.
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
	 * A pool that a route leads to.
	 *
	 * @param pool the name of the pool
	 * @param weight its share among the targets, not negative
	 */
	public record Target(String pool, int weight) {
	}

}

package org.masticshelf.kernel.admission;

/**
 * Ranks the requests that wait in a pool, so that a free slot goes to the one whose delay
 * costs its caller most.
 * <p>
 * Addresses bursts of deferrable requests that arrive before urgent ones while a pool has
 * too few slots: in order of arrival, the urgent ones would miss their objectives
 * although the deferrable ones had seconds left. Ranks are keys, not comparisons of
 * pairs, so that the order is transitive and a queue can be sorted once for many
 * requests. Stateless and thread-safe.
 */
public final class WaitingOrder {

	/**
	 * The fraction of its objective below which the slack of a request makes it critical.
	 * A request of a higher priority with more slack than this loses nothing by waiting
	 * for the next slot.
	 */
	private static final int CRITICAL_SLACK_DIVISOR = 8;

	/** One slot in this many is for requests that have missed their objective. */
	private static final int SLOTS_PER_MISSED = 8;

	private WaitingOrder() {
	}

	/**
	 * Ranks a request.
	 * @param waiting the request
	 * @param now the current time in milliseconds
	 * @param organisationWork the work done for its organisation in the last seconds
	 * @return its rank at this time
	 */
	public static Rank rank(Waiting waiting, long now, double organisationWork) {
		long slack = waiting.slack(now);
		int workClass = Long.SIZE - Long.numberOfLeadingZeros(Math.max(1, waiting.work()));
		if (slack < 0) {
			double leftPerWork = (double) (waiting.deadlineAt() - now) / Math.max(1, waiting.work());
			return new Rank(Standing.MISSED, waiting.priority(), workClass, leftPerWork, waiting.number());
		}
		boolean critical = slack < waiting.objectiveMilliseconds() / CRITICAL_SLACK_DIVISOR;
		return new Rank(critical ? Standing.CRITICAL : Standing.IN_TIME, waiting.priority(), workClass,
				organisationWork, waiting.number());
	}

	/**
	 * Returns whether the next slot is for a request that has missed its objective.
	 * @param slotsSince the slots given to others since such a request last got one
	 * @return whether one of them comes before all others
	 */
	public static boolean isMissedDue(int slotsSince) {
		return slotsSince >= SLOTS_PER_MISSED - 1;
	}

	/** Where a request stands against its objective. */
	public enum Standing {

		/** It meets its objective only if it is sent almost at once. */
		CRITICAL,

		/** It meets its objective even if it waits for some more slots. */
		IN_TIME,

		/** It cannot meet its objective any more. */
		MISSED

	}

	/**
	 * A request that waits. Immutable.
	 *
	 * @param priority its priority, 0 is the highest
	 * @param arrivedAt when it arrived, in milliseconds
	 * @param objectiveMilliseconds its objective, counted from its arrival
	 * @param deadlineAt when its caller gives up, in milliseconds
	 * @param startMilliseconds how long an endpoint takes from getting it to what its
	 * objective asks for
	 * @param work the tokens that an endpoint would process for it
	 * @param number its position in the order of arrival
	 */
	public record Waiting(int priority, long arrivedAt, long objectiveMilliseconds, long deadlineAt,
			long startMilliseconds, long work, long number) {

		/**
		 * Returns how much longer the request can wait and meet its objective.
		 * @param now the current time in milliseconds
		 * @return the time in milliseconds, negative if it misses its objective
		 */
		public long slack(long now) {
			return this.arrivedAt + this.objectiveMilliseconds - this.startMilliseconds - now;
		}

	}

	/**
	 * The rank of a request; a smaller one comes first. Immutable.
	 *
	 * @param standing where the request stands against its objective
	 * @param priority its priority
	 * @param workClass the number of binary digits of its work; requests of similar work
	 * are equal, so that the organisation decides between them
	 * @param share for requests that meet their objective the work done for their
	 * organisation, otherwise the time left to their deadline for each unit of work
	 * @param number its position in the order of arrival
	 */
	public record Rank(Standing standing, int priority, int workClass, double share,
			long number) implements Comparable<Rank> {

		@Override
		public int compareTo(Rank other) {
			int byStanding = this.standing.compareTo(other.standing);
			if (byStanding != 0) {
				return byStanding;
			}
			if (this.standing != Standing.MISSED) {
				int byPriority = Integer.compare(this.priority, other.priority);
				if (byPriority != 0) {
					return byPriority;
				}
				int byWork = Integer.compare(this.workClass, other.workClass);
				if (byWork != 0) {
					return byWork;
				}
			}
			int byShare = Double.compare(this.share, other.share);
			return (byShare != 0) ? byShare : Long.compare(this.number, other.number);
		}

		/**
		 * Returns whether the request has missed its objective.
		 * @return whether it can no longer meet it
		 */
		public boolean isMissed() {
			return this.standing == Standing.MISSED;
		}

	}

}

package org.masticshelf.kernel.residency;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

import org.masticshelf.kernel.serving.LoadableName;

/**
 * The models and adapters that callers asked all daemons for in vain since one of them
 * was last served anywhere.
 * <p>
 * Each daemon counts what it alone could not serve, so a count ends where the request
 * that is served arrives at another daemon. This ledger joins the counts with the
 * requests that run. Invariant: a request that ended before one for the same was last
 * seen running is not counted. Not thread-safe.
 */
public final class UnservedDemand {

	private final Map<LoadableName, Long> runningAt = new HashMap<>();

	private Map<LoadableName, Requests> requests = Map.of();

	/**
	 * Replaces the counts.
	 * @param counted the counts of each daemon
	 * @param running the models and adapters that requests run on at any daemon
	 * @param now the monotonic time in milliseconds
	 */
	public void update(Collection<Counted> counted, Set<LoadableName> running, long now) {
		running.forEach((loadable) -> this.runningAt.put(loadable, now));
		Map<LoadableName, Requests> sums = new HashMap<>();
		for (Counted entry : counted) {
			long firstAt = now - entry.oldestMilliseconds();
			Long servedAt = this.runningAt.get(entry.loadable());
			if (servedAt == null || now - entry.newestMilliseconds() > servedAt) {
				long countedFrom = (servedAt != null) ? Math.max(firstAt, servedAt) : firstAt;
				sums.merge(entry.loadable(), new Requests(entry.countSince(now - countedFrom), now - countedFrom,
						entry.newestMilliseconds()), Requests::mergeWith);
			}
		}
		this.requests = Map.copyOf(sums);
		Set<LoadableName> kept = new HashSet<>(running);
		counted.forEach((entry) -> kept.add(entry.loadable()));
		this.runningAt.keySet().retainAll(kept);
	}

	/**
	 * Returns the requests that were not served.
	 * @return the requests by model or adapter
	 */
	public Map<LoadableName, Requests> requests() {
		return this.requests;
	}

	/**
	 * The count of one daemon.
	 *
	 * @param loadable the model or adapter
	 * @param count the number of requests
	 * @param oldestMilliseconds how long ago the first of them ended
	 * @param newestMilliseconds how long ago the last of them ended
	 */
	public record Counted(LoadableName loadable, int count, long oldestMilliseconds, long newestMilliseconds) {

		// Daemons do not say when each request ended, so their gaps count as equal.
		private int countSince(long milliseconds) {
			if (milliseconds >= this.oldestMilliseconds) {
				return this.count;
			}
			double share = (double) (milliseconds - this.newestMilliseconds)
					/ (this.oldestMilliseconds - this.newestMilliseconds);
			return Math.max(1, (int) Math.round(this.count * share));
		}

	}

	/**
	 * The requests of all daemons for one model or adapter.
	 *
	 * @param count their number
	 * @param sinceMilliseconds how long ago the first of them ended
	 * @param newestMilliseconds how long ago the last of them ended
	 */
	public record Requests(int count, long sinceMilliseconds, long newestMilliseconds) {

		/** The number of requests from which what they ask for counts as starved. */
		static final int STARVED_REQUESTS = 4;

		/** The time over which requests are refused for what counts as starved. */
		static final long STARVED_MILLISECONDS = 8_000;

		/** The mean gaps without a request after which no further one is expected. */
		private static final int EXPECTED_GAPS = 3;

		/**
		 * Returns whether callers have asked for long and often enough.
		 * @return whether what they ask for is starved
		 */
		public boolean areStarved() {
			return this.count >= STARVED_REQUESTS && this.sinceMilliseconds >= STARVED_MILLISECONDS;
		}

		/**
		 * Returns whether callers are expected to ask again, as far as the gaps between
		 * their requests tell.
		 * @param minimumMilliseconds the time after a request for which they are in any
		 * case
		 * @return whether the last request is no older than {@value #EXPECTED_GAPS} mean
		 * gaps
		 */
		boolean areExpectedAgain(long minimumMilliseconds) {
			long meanGap = (this.count > 1) ? (this.sinceMilliseconds - this.newestMilliseconds) / (this.count - 1) : 0;
			return this.newestMilliseconds <= Math.max(minimumMilliseconds, EXPECTED_GAPS * meanGap);
		}

		/**
		 * Adds the requests for something that needs the same model.
		 * @param other the other requests
		 * @return the requests for both
		 */
		Requests mergeWith(Requests other) {
			return new Requests(this.count + other.count, Math.max(this.sinceMilliseconds, other.sinceMilliseconds),
					Math.min(this.newestMilliseconds, other.newestMilliseconds));
		}

	}

}

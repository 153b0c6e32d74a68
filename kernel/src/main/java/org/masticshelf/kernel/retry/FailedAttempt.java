package org.masticshelf.kernel.retry;

import java.util.HashSet;
import java.util.Set;

import org.masticshelf.kernel.port.ExchangeFailure;
import org.masticshelf.kernel.refusal.Refusal;

/**
 * A request whose latest exchange with an endpoint failed.
 * <p>
 * Immutable.
 *
 * @param endpoint the identifier of the endpoint that failed
 * @param point how far the exchange had come
 * @param idempotent whether the request may be run more than once
 * @param piecesSent how many pieces of a streamed answer the caller has got
 * @param attempts how many exchanges were made, this one included, 1 or more
 * @param earlier whether an earlier attempt may have run
 * @param excluded identifiers of the endpoints that failed before
 * @param deadline the monotonic reading in nanoseconds by which the request has to be
 * answered
 */
public record FailedAttempt(String endpoint, ExchangeFailure.Point point, boolean idempotent, int piecesSent,
		int attempts, Refusal.Execution earlier, Set<String> excluded, long deadline) {

	/**
	 * Creates a failed attempt.
	 */
	public FailedAttempt {
		excluded = Set.copyOf(excluded);
	}

	/**
	 * Creates the first failed attempt at a request.
	 * @param endpoint the identifier of the endpoint that failed
	 * @param point how far the exchange had come
	 * @param idempotent whether the request may be run more than once
	 * @param deadline the monotonic reading in nanoseconds
	 * @return the attempt
	 */
	public static FailedAttempt first(String endpoint, ExchangeFailure.Point point, boolean idempotent, long deadline) {
		return new FailedAttempt(endpoint, point, idempotent, 0, 1, Refusal.Execution.NOT_RUN, Set.of(), deadline);
	}

	/**
	 * Returns a copy for a stream that was cut.
	 * @param pieces how many pieces the caller has got
	 * @return the copy
	 */
	public FailedAttempt withPiecesSent(int pieces) {
		return new FailedAttempt(this.endpoint, this.point, this.idempotent, pieces, this.attempts, this.earlier,
				this.excluded, this.deadline);
	}

	/**
	 * Creates the failed attempt that followed a retry of this one.
	 * @param nextEndpoint the identifier of the endpoint that failed then
	 * @param nextPoint how far that exchange had come
	 * @param pieces how many pieces the caller has got by now
	 * @return the attempt, which remembers whether this one may have run
	 */
	public FailedAttempt then(String nextEndpoint, ExchangeFailure.Point nextPoint, int pieces) {
		return new FailedAttempt(nextEndpoint, nextPoint, this.idempotent, pieces, this.attempts + 1, ran(),
				excludedAfter(), this.deadline);
	}

	/**
	 * Returns whether any attempt so far may have run.
	 * @return {@link Refusal.Execution#NOT_RUN} only if every failure proves it
	 */
	public Refusal.Execution ran() {
		boolean proven = this.point.provesNotRun() && this.piecesSent == 0;
		return this.earlier.combine(proven ? Refusal.Execution.NOT_RUN : Refusal.Execution.UNKNOWN);
	}

	Set<String> excludedAfter() {
		Set<String> all = new HashSet<>(this.excluded);
		all.add(this.endpoint);
		return Set.copyOf(all);
	}

}

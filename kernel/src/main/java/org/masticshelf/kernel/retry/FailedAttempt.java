package org.masticshelf.kernel.retry;

import java.util.HashSet;
import java.util.Set;

import org.masticshelf.kernel.port.ExchangeFailure;
import org.masticshelf.kernel.refusal.Refusal;

/**
 * A request whose latest exchange with an endpoint failed. Immutable.
 *
 * @param endpoint the identifier of the endpoint that failed
 * @param point the point at which the exchange failed
 * @param idempotent whether the request may run more than once
 * @param piecesSent the number of parts of a streamed answer that were sent to the caller
 * @param attempts the number of exchanges including this one, 1 or more
 * @param earlier whether an earlier attempt may have run
 * @param excluded identifiers of the endpoints that failed before
 * @param deadline the monotonic reading in nanoseconds by which the request must be
 * answered
 */
public record FailedAttempt(String endpoint, ExchangeFailure.Point point, boolean idempotent, int piecesSent,
		int attempts, Refusal.Execution earlier, Set<String> excluded, long deadline) {

	/** Creates a failed attempt. */
	public FailedAttempt {
		excluded = Set.copyOf(excluded);
	}

	/**
	 * Creates the first failed attempt of a request.
	 * @param endpoint the identifier of the endpoint that failed
	 * @param point the point at which the exchange failed
	 * @param idempotent whether the request may run more than once
	 * @param deadline the monotonic reading in nanoseconds
	 * @return the attempt
	 */
	public static FailedAttempt first(String endpoint, ExchangeFailure.Point point, boolean idempotent, long deadline) {
		return new FailedAttempt(endpoint, point, idempotent, 0, 1, Refusal.Execution.NOT_RUN, Set.of(), deadline);
	}

	/**
	 * Returns a copy for a stream that was interrupted.
	 * @param pieces the number of parts that were sent to the caller
	 * @return the copy
	 */
	public FailedAttempt withPiecesSent(int pieces) {
		return new FailedAttempt(this.endpoint, this.point, this.idempotent, pieces, this.attempts, this.earlier,
				this.excluded, this.deadline);
	}

	/**
	 * Creates the failed attempt that followed a retry of this one.
	 * @param nextEndpoint the identifier of the endpoint that failed next
	 * @param nextPoint the point at which that exchange failed
	 * @param pieces the number of parts sent to the caller so far
	 * @return the attempt, which keeps whether this one may have run
	 */
	public FailedAttempt followedBy(String nextEndpoint, ExchangeFailure.Point nextPoint, int pieces) {
		return new FailedAttempt(nextEndpoint, nextPoint, this.idempotent, pieces, this.attempts + 1, ran(),
				excludedForRetry(), this.deadline);
	}

	/**
	 * Returns whether any attempt so far may have run.
	 * @return {@link Refusal.Execution#NOT_RUN} only if every failure proves it
	 */
	public Refusal.Execution ran() {
		boolean provesNotRun = this.point.provesNotRun() && this.piecesSent == 0;
		return this.earlier.combine(provesNotRun ? Refusal.Execution.NOT_RUN : Refusal.Execution.UNKNOWN);
	}

	Set<String> excludedForRetry() {
		Set<String> endpoints = new HashSet<>(this.excluded);
		endpoints.add(this.endpoint);
		return Set.copyOf(endpoints);
	}

}

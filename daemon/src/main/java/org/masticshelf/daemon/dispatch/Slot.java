package org.masticshelf.daemon.dispatch;

import java.util.concurrent.atomic.AtomicBoolean;

import org.masticshelf.kernel.time.MonotonicClock;

/**
 * A request's place at an endpoint.
 * <p>
 * Invariant: the first ending counts and later ones have no effect. Safe for use by
 * several threads.
 */
public final class Slot {

	private final PoolDispatcher dispatcher;

	private final String endpoint;

	private final MonotonicClock clock;

	private final long started;

	private final AtomicBoolean ended = new AtomicBoolean();

	private volatile long firstPieceNanoseconds;

	Slot(PoolDispatcher dispatcher, String endpoint, MonotonicClock clock) {
		this.dispatcher = dispatcher;
		this.endpoint = endpoint;
		this.clock = clock;
		this.started = clock.nanoseconds();
	}

	/**
	 * Returns the endpoint.
	 * @return its identifier
	 */
	public String endpoint() {
		return this.endpoint;
	}

	/** Notes that the first piece of the answer has come. */
	public void recordFirstChunk() {
		if (this.firstPieceNanoseconds == 0) {
			this.firstPieceNanoseconds = this.clock.nanoseconds() - this.started;
		}
	}

	/** Ends the place after a whole answer. */
	public void succeed() {
		recordFirstChunk();
		if (this.ended.compareAndSet(false, true)) {
			this.dispatcher.recordSuccess(this.endpoint, this.firstPieceNanoseconds);
		}
	}

	/** Ends the place after a failure of the endpoint or of the way to it. */
	public void fail() {
		if (this.ended.compareAndSet(false, true)) {
			this.dispatcher.recordFailure(this.endpoint);
		}
	}

	/** Ends the place without a statement on the endpoint's health. */
	public void cancel() {
		if (this.ended.compareAndSet(false, true)) {
			this.dispatcher.recordCancellation(this.endpoint);
		}
	}

}

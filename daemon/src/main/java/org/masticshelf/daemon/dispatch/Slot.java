package org.masticshelf.daemon.dispatch;

import java.util.concurrent.atomic.AtomicBoolean;

import org.masticshelf.kernel.time.MonotonicClock;

/**
 * The place of a dispatched request at an endpoint.
 * <p>
 * Invariant: only the first call that releases the slot has an effect. Safe for use by
 * several threads.
 */
public final class Slot {

	private final PoolDispatcher dispatcher;

	private final String endpoint;

	private final MonotonicClock clock;

	private final long startedNanoseconds;

	private final AtomicBoolean ended = new AtomicBoolean();

	private volatile long firstChunkNanoseconds;

	Slot(PoolDispatcher dispatcher, String endpoint, MonotonicClock clock) {
		this.dispatcher = dispatcher;
		this.endpoint = endpoint;
		this.clock = clock;
		this.startedNanoseconds = clock.nanoseconds();
	}

	/**
	 * Returns the endpoint.
	 * @return its identifier
	 */
	public String endpoint() {
		return this.endpoint;
	}

	/** Records the arrival of the first chunk of the answer. */
	public void recordFirstChunk() {
		if (this.firstChunkNanoseconds == 0) {
			this.firstChunkNanoseconds = this.clock.nanoseconds() - this.startedNanoseconds;
		}
	}

	/** Releases the slot after a complete answer. */
	public void succeed() {
		recordFirstChunk();
		if (this.ended.compareAndSet(false, true)) {
			this.dispatcher.recordSuccess(this.endpoint, this.firstChunkNanoseconds);
		}
	}

	/** Releases the slot after a failure of the endpoint or of the connection to it. */
	public void fail() {
		if (this.ended.compareAndSet(false, true)) {
			this.dispatcher.recordFailure(this.endpoint);
		}
	}

	/** Releases the slot without an effect on the endpoint's health. */
	public void cancel() {
		if (this.ended.compareAndSet(false, true)) {
			this.dispatcher.recordCancellation(this.endpoint);
		}
	}

}

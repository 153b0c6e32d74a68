package org.masticshelf.control.claim;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;

import org.jspecify.annotations.Nullable;

import org.masticshelf.kernel.port.KeyValueStore;
import org.masticshelf.kernel.time.MonotonicClock;

/**
 * A lease shared by all claims that one daemon makes within an hour. It is never renewed,
 * so that each claim lives between 24 and 25 hours.
 * <p>
 * Safe for use by several threads; the state is guarded by one lock that is not held
 * while the service is called.
 */
final class HourlyLease {

	static final Duration CLAIM_TIME_TO_LIVE = Duration.ofHours(24);

	static final Duration USE_PERIOD = Duration.ofHours(1);

	private final KeyValueStore store;

	private final MonotonicClock clock;

	private final Object lock = new Object();

	private @Nullable CompletableFuture<Long> lease;

	private long requestedAt;

	HourlyLease(KeyValueStore store, MonotonicClock clock) {
		this.store = store;
		this.clock = clock;
	}

	/**
	 * Returns the current lease, which is created by the first claim that needs it.
	 * @return the identifier; the future fails if the service gave no lease
	 */
	CompletableFuture<Long> current() {
		CompletableFuture<Long> created;
		synchronized (this.lock) {
			if (this.lease != null && isUsable(this.lease)) {
				return this.lease;
			}
			created = new CompletableFuture<>();
			this.lease = created;
			this.requestedAt = this.clock.nanoseconds();
		}
		this.store.grantLease(CLAIM_TIME_TO_LIVE.plus(USE_PERIOD)).whenComplete((identifier, failure) -> {
			if (failure != null) {
				created.completeExceptionally(GroupCommit.unwrapFailure(failure));
			}
			else {
				created.complete(identifier);
			}
		});
		return created;
	}

	private boolean isUsable(CompletableFuture<Long> existing) {
		boolean recent = this.clock.nanoseconds() - this.requestedAt < USE_PERIOD.toNanos();
		return recent && !existing.isCompletedExceptionally();
	}

	/**
	 * Discards a lease that the service no longer knows.
	 * @param identifier the lease
	 */
	void forget(long identifier) {
		synchronized (this.lock) {
			if (this.lease != null && this.lease.isDone() && !this.lease.isCompletedExceptionally()
					&& this.lease.join() == identifier) {
				this.lease = null;
			}
		}
	}

}

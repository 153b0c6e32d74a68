package org.masticshelf.control.placement;

import org.jspecify.annotations.Nullable;

import org.masticshelf.kernel.configuration.QualifiedName;
import org.masticshelf.kernel.port.Engine;

/**
 * The state of one entry of an endpoint record that the holder keeps in memory only.
 * <p>
 * Guarded by the lock of the store's controller.
 */
final class EntryProgress {

	/**
	 * When this holder first saw or wrote the entry in its present state, in
	 * milliseconds.
	 */
	final long intendedAt;

	/** Where the weights were before the load, for learning load times. */
	final Engine.CacheLevel cacheLevel;

	/** The organisation that the load is for, or {@code null} if unknown. */
	final @Nullable QualifiedName organisation;

	/** Whether an order is in flight. */
	boolean orderInFlight;

	/** Whether the endpoint accepted the order. */
	boolean accepted;

	/** Whether the endpoint refused the order. */
	boolean refused;

	/** Until when an unanswered order may still reach the endpoint, in milliseconds. */
	long mayArriveUntil = Long.MIN_VALUE;

	/** When the next order may be sent at the earliest, in milliseconds. */
	long nextAttemptAt;

	/** Since when daemons no longer send requests to it, in milliseconds. */
	long drainingSince = Long.MAX_VALUE;

	/** Since when it is loaded as far as this holder knows, in milliseconds. */
	long loadedAt;

	/**
	 * The number of the last ended order; reports with a lower number do not reflect it.
	 */
	long lastOrderSequence;

	EntryProgress(long intendedAt, Engine.CacheLevel cacheLevel, @Nullable QualifiedName organisation) {
		this.intendedAt = intendedAt;
		this.cacheLevel = cacheLevel;
		this.organisation = organisation;
		this.nextAttemptAt = intendedAt;
		this.loadedAt = intendedAt;
	}

	/**
	 * Returns whether no order of this holder can still reach the endpoint.
	 * @param now the time in milliseconds
	 * @return whether every order was answered or has timed out
	 */
	boolean isSettled(long now) {
		return !this.orderInFlight && now >= this.mayArriveUntil;
	}

	/**
	 * Allows the order to be sent again.
	 * @param at the earliest time in milliseconds
	 */
	void retryAt(long at) {
		this.accepted = false;
		this.refused = false;
		this.nextAttemptAt = at;
	}

}

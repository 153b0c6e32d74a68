package org.masticshelf.control.placement;

import org.jspecify.annotations.Nullable;

import org.masticshelf.kernel.configuration.QualifiedName;
import org.masticshelf.kernel.port.Engine;

/**
 * What the holder knows about one entry of a record beyond the record.
 * <p>
 * Guarded by the lock of the store's keeper.
 */
final class EntryProgress {

	/** When the entry came into its present state at this holder, in milliseconds. */
	final long intendedAt;

	/** Where the weights lay, for learning how long loads take. */
	final Engine.CacheLevel level;

	/** The organisation that the load is for, or {@code null}. */
	final @Nullable QualifiedName organisation;

	/** Whether an order is on its way. */
	boolean sending;

	/** Whether the endpoint took the order. */
	boolean accepted;

	/** Whether the endpoint refused the order. */
	boolean refused;

	/** Until when an unanswered order may still arrive, in milliseconds. */
	long unsettledUntil = Long.MIN_VALUE;

	/** Before when no further order is sent, in milliseconds. */
	long nextAttemptAt;

	/** Since when no requests are sent to it any more, in milliseconds. */
	long drainingSince = Long.MAX_VALUE;

	/** Since when it is loaded as far as this holder knows, in milliseconds. */
	long loadedAt;

	/** Reports asked for before this point do not tell about the entry. */
	long changedSequence;

	EntryProgress(long intendedAt, Engine.CacheLevel level, @Nullable QualifiedName organisation) {
		this.intendedAt = intendedAt;
		this.level = level;
		this.organisation = organisation;
		this.nextAttemptAt = intendedAt;
		this.loadedAt = intendedAt;
	}

	/**
	 * Returns whether no order of this holder can arrive any more.
	 * @param now the time in milliseconds
	 * @return whether every order was answered or given up
	 */
	boolean isSettled(long now) {
		return !this.sending && now >= this.unsettledUntil;
	}

	/**
	 * Lets the order be sent again.
	 * @param at the time from which on, in milliseconds
	 */
	void retry(long at) {
		this.accepted = false;
		this.refused = false;
		this.nextAttemptAt = at;
	}

}

package org.masticshelf.kernel.grant;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * Tracks the slices that a keeper has given out and that may still be spent.
 * <p>
 * Invariant: a slice counts in full until it expires, less what its holder has reported
 * as spent or returned. Not thread-safe.
 */
final class OutstandingSlices {

	private final ArrayDeque<Slice> byEnd = new ArrayDeque<>();

	private final Map<String, TreeMap<Long, Slice>> byHolder = new HashMap<>();

	private long outstandingTokens;

	/**
	 * Returns the tokens that may still be spent.
	 * @return the tokens
	 */
	long outstandingTokens() {
		return this.outstandingTokens;
	}

	/**
	 * Returns when the next slice expires.
	 * @return the time in nanoseconds, {@link Long#MAX_VALUE} for never
	 */
	long nextEndAt() {
		Slice slice = this.byEnd.peekFirst();
		return (slice != null) ? slice.endsAt : Long.MAX_VALUE;
	}

	/**
	 * Adds a slice.
	 * @param holder the incarnation of the daemon
	 * @param sequence the sequence of the exchange
	 * @param tokens the tokens, 1 or more
	 * @param endsAt the expiry in nanoseconds, not before that of an earlier slice
	 */
	void add(String holder, long sequence, long tokens, long endsAt) {
		Slice slice = new Slice(holder, sequence, tokens, endsAt);
		this.byEnd.addLast(slice);
		this.byHolder.computeIfAbsent(holder, (key) -> new TreeMap<>()).put(sequence, slice);
		this.outstandingTokens += tokens;
	}

	/**
	 * Removes the expired slices.
	 * @param now the time in nanoseconds
	 */
	void expire(long now) {
		while (nextEndAt() <= now) {
			Slice slice = this.byEnd.removeFirst();
			this.outstandingTokens -= slice.remaining();
			remove(slice);
		}
	}

	/**
	 * Applies a holder's report.
	 * @param holder the incarnation of the daemon
	 * @param report the report
	 * @return the tokens that the report newly returns
	 */
	long applyReport(String holder, GrantRequest.SliceReport report) {
		Slice slice = this.byHolder.getOrDefault(holder, new TreeMap<>()).get(report.sequence());
		if (slice == null) {
			return 0;
		}
		long spent = Math.clamp(report.spentTokens() - slice.spent, 0, slice.remaining());
		slice.spent += spent;
		this.outstandingTokens -= spent;
		long returned = Math.clamp(report.returnedTokens() - slice.returned, 0, slice.remaining());
		slice.returned += returned;
		this.outstandingTokens -= returned;
		return returned;
	}

	/**
	 * Reclaims the slices whose answers a holder will not accept.
	 * @param holder the incarnation of the daemon
	 * @param acknowledged the sequence of the last answer that it accepted
	 * @param current the sequence of its present request
	 * @return the reclaimed tokens
	 */
	long reclaim(String holder, long acknowledged, long current) {
		TreeMap<Long, Slice> slices = this.byHolder.get(holder);
		if (slices == null || acknowledged >= current) {
			return 0;
		}
		long tokens = 0;
		for (Slice slice : slices.subMap(acknowledged, false, current, false).values()) {
			tokens += slice.remaining();
			slice.returned += slice.remaining();
		}
		this.outstandingTokens -= tokens;
		return tokens;
	}

	private void remove(Slice slice) {
		TreeMap<Long, Slice> slices = this.byHolder.get(slice.holder);
		if (slices != null) {
			slices.remove(slice.sequence);
			if (slices.isEmpty()) {
				this.byHolder.remove(slice.holder);
			}
		}
	}

	private static final class Slice {

		private final String holder;

		private final long sequence;

		private final long tokens;

		private final long endsAt;

		private long spent;

		private long returned;

		Slice(String holder, long sequence, long tokens, long endsAt) {
			this.holder = holder;
			this.sequence = sequence;
			this.tokens = tokens;
			this.endsAt = endsAt;
		}

		long remaining() {
			return this.tokens - this.spent - this.returned;
		}

	}

}

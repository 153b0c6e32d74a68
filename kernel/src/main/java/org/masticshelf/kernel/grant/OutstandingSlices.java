package org.masticshelf.kernel.grant;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * The slices that a keeper has given and that may still be spent.
 * <p>
 * Invariant: a slice counts in full until its end, but for what its holder has reported
 * as spent or given back. Not safe for use by several threads.
 */
final class OutstandingSlices {

	private final ArrayDeque<Slice> byEnd = new ArrayDeque<>();

	private final Map<String, TreeMap<Long, Slice>> byHolder = new HashMap<>();

	private long outstanding;

	/**
	 * Returns the tokens that may still be spent.
	 * @return the tokens
	 */
	long outstandingTokens() {
		return this.outstanding;
	}

	/**
	 * Returns when the next slice ends.
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
	 * @param endsAt the end in nanoseconds, not before that of an earlier slice
	 */
	void add(String holder, long sequence, long tokens, long endsAt) {
		Slice slice = new Slice(holder, sequence, tokens, endsAt);
		this.byEnd.addLast(slice);
		this.byHolder.computeIfAbsent(holder, (key) -> new TreeMap<>()).put(sequence, slice);
		this.outstanding += tokens;
	}

	/**
	 * Ends slices.
	 * @param now the time in nanoseconds
	 */
	void expire(long now) {
		while (nextEndAt() <= now) {
			Slice slice = this.byEnd.removeFirst();
			this.outstanding -= slice.remaining();
			forget(slice);
		}
	}

	/**
	 * Applies a holder's report.
	 * @param holder the incarnation of the daemon
	 * @param report the report
	 * @return the tokens that it newly gave back
	 */
	long applyReport(String holder, GrantRequest.SliceReport report) {
		Slice slice = this.byHolder.getOrDefault(holder, new TreeMap<>()).get(report.sequence());
		if (slice == null) {
			return 0;
		}
		long spent = Math.clamp(report.spentTokens() - slice.spent, 0, slice.remaining());
		slice.spent += spent;
		this.outstanding -= spent;
		long returned = Math.clamp(report.returnedTokens() - slice.returned, 0, slice.remaining());
		slice.returned += returned;
		this.outstanding -= returned;
		return returned;
	}

	/**
	 * Takes back the slices whose answers a holder will not accept.
	 * @param holder the incarnation of the daemon
	 * @param above the sequence of the last answer that it accepted
	 * @param below the sequence of its present request
	 * @return the tokens that were taken back
	 */
	long reclaim(String holder, long above, long below) {
		TreeMap<Long, Slice> slices = this.byHolder.get(holder);
		if (slices == null || above >= below) {
			return 0;
		}
		long tokens = 0;
		for (Slice slice : slices.subMap(above, false, below, false).values()) {
			tokens += slice.remaining();
			slice.returned += slice.remaining();
		}
		this.outstanding -= tokens;
		return tokens;
	}

	private void forget(Slice slice) {
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

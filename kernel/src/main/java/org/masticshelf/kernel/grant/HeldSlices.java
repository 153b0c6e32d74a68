package org.masticshelf.kernel.grant;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/**
 * The slices that a daemon may spend, the one that ends first being spent first.
 * <p>
 * Invariant: nothing is spent from a slice after its end, counted from when the request
 * for it was sent. Not safe for use by several threads.
 */
final class HeldSlices {

	private final ArrayDeque<Slice> slices = new ArrayDeque<>();

	/**
	 * Adds a slice.
	 * @param sequence the sequence of the exchange that brought it
	 * @param tokens the tokens
	 * @param endsAt the end in nanoseconds, not before that of an earlier slice
	 */
	void add(long sequence, long tokens, long endsAt) {
		this.slices.addLast(new Slice(sequence, tokens, endsAt));
	}

	/**
	 * Returns the tokens that can be spent.
	 * @param now the time in nanoseconds
	 * @return the tokens
	 */
	long remainingTokens(long now) {
		while (!this.slices.isEmpty() && this.slices.peekFirst().endsAt <= now) {
			this.slices.removeFirst();
		}
		return this.slices.stream().mapToLong(Slice::remaining).sum();
	}

	/**
	 * Spends tokens.
	 * @param tokens the tokens, no more than {@link #remainingTokens}
	 * @param now the time in nanoseconds
	 * @return the end of the first slice that was spent from, {@link Long#MAX_VALUE} if
	 * none was
	 */
	long spend(long tokens, long now) {
		long missing = Math.min(tokens, remainingTokens(now));
		long firstEnd = Long.MAX_VALUE;
		for (Slice slice : this.slices) {
			long part = Math.min(missing, slice.remaining());
			if (part > 0) {
				slice.spent += part;
				missing -= part;
				firstEnd = Math.min(firstEnd, slice.endsAt);
			}
		}
		return firstEnd;
	}

	/**
	 * Gives tokens up, those that end last first.
	 * @param tokens the tokens
	 * @param now the time in nanoseconds
	 */
	void giveBack(long tokens, long now) {
		long missing = Math.min(tokens, remainingTokens(now));
		for (Slice slice : this.slices.reversed()) {
			long part = Math.min(missing, slice.remaining());
			slice.returned += part;
			missing -= part;
		}
	}

	/**
	 * Gives up what is left of slices that end soon, before it is lost with them.
	 * @param soon the time in nanoseconds before which a slice counts as ending soon
	 */
	void giveBackEndingBefore(long soon) {
		for (Slice slice : this.slices) {
			if (slice.endsAt < soon) {
				slice.returned += slice.remaining();
			}
		}
	}

	/**
	 * Drops used up slices whose report the keeper has answered.
	 * @param reported the slices as they were reported
	 */
	void removeReported(List<GrantRequest.SliceReport> reported) {
		this.slices.removeIf((slice) -> slice.remaining() == 0 && reported.contains(slice.toReport()));
	}

	/**
	 * Reports all slices that have not ended.
	 * @param now the time in nanoseconds
	 * @return the reports
	 */
	List<GrantRequest.SliceReport> toReports(long now) {
		remainingTokens(now);
		List<GrantRequest.SliceReport> reports = new ArrayList<>();
		for (Slice slice : this.slices) {
			if (slice.spent + slice.returned > 0) {
				reports.add(slice.toReport());
			}
		}
		return reports;
	}

	private static final class Slice {

		private final long sequence;

		private final long tokens;

		private final long endsAt;

		private long spent;

		private long returned;

		Slice(long sequence, long tokens, long endsAt) {
			this.sequence = sequence;
			this.tokens = tokens;
			this.endsAt = endsAt;
		}

		long remaining() {
			return this.tokens - this.spent - this.returned;
		}

		GrantRequest.SliceReport toReport() {
			return new GrantRequest.SliceReport(this.sequence, this.spent, this.returned);
		}

	}

}

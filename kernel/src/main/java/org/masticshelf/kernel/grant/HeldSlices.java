package org.masticshelf.kernel.grant;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/**
 * Holds the slices that a daemon may spend, in order of expiry; the first to expire is
 * spent first.
 * <p>
 * Invariant: nothing is spent from an expired slice; its lifetime begins when the request
 * for it was sent. Not thread-safe.
 */
final class HeldSlices {

	private final ArrayDeque<Slice> slices = new ArrayDeque<>();

	/**
	 * Adds a slice.
	 * @param sequence the sequence of the exchange that granted it
	 * @param tokens the tokens
	 * @param endsAt the expiry in nanoseconds, not before that of an earlier slice
	 */
	void add(long sequence, long tokens, long endsAt) {
		this.slices.addLast(new Slice(sequence, tokens, endsAt));
	}

	/**
	 * Drops expired slices and returns the tokens that can be spent.
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
	 * @return the expiry of the first slice that was spent from, {@link Long#MAX_VALUE}
	 * if none was
	 */
	long spend(long tokens, long now) {
		long missing = Math.min(tokens, remainingTokens(now));
		long firstEndsAt = Long.MAX_VALUE;
		for (Slice slice : this.slices) {
			long part = Math.min(missing, slice.remaining());
			if (part > 0) {
				slice.spent += part;
				missing -= part;
				firstEndsAt = Math.min(firstEndsAt, slice.endsAt);
			}
		}
		return firstEndsAt;
	}

	/**
	 * Returns tokens to the keeper, those that expire last first.
	 * @param tokens the tokens
	 * @param now the time in nanoseconds
	 */
	void returnTokens(long tokens, long now) {
		long missing = Math.min(tokens, remainingTokens(now));
		for (Slice slice : this.slices.reversed()) {
			long part = Math.min(missing, slice.remaining());
			slice.returned += part;
			missing -= part;
		}
	}

	/**
	 * Returns the remaining tokens of slices that expire soon, before they are lost.
	 * @param before the time in nanoseconds before which a slice counts as expiring soon
	 */
	void returnEndingBefore(long before) {
		for (Slice slice : this.slices) {
			if (slice.endsAt < before) {
				slice.returned += slice.remaining();
			}
		}
	}

	/**
	 * Removes the empty slices whose final report the keeper has answered.
	 * @param reported the slices as they were reported
	 */
	void removeReported(List<GrantRequest.SliceReport> reported) {
		this.slices.removeIf((slice) -> slice.remaining() == 0 && reported.contains(slice.toReport()));
	}

	/**
	 * Reports the unexpired slices from which tokens were spent or returned.
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

package org.masticshelf.kernel.grant;

/**
 * Identifies the charges that one exchange reports to the keeper, and the mark as of
 * which their unused tokens may be credited.
 * <p>
 * Invariant: the mark is not later than the time at which the keeper stopped counting the
 * first of the charged tokens as outstanding. Not thread-safe.
 */
final class ReportedCharges {

	private final long startFencing;

	private final long startMark;

	private long firstSliceEndsAt = Long.MAX_VALUE;

	private long fencing;

	private long mark;

	private boolean resolved;

	ReportedCharges(long startFencing, long startMark) {
		this.startFencing = startFencing;
		this.startMark = startMark;
	}

	/**
	 * Records that tokens of a slice were charged.
	 * @param sliceEndsAt the expiry of the slice in nanoseconds
	 */
	void recordSliceEnd(long sliceEndsAt) {
		this.firstSliceEndsAt = Math.min(this.firstSliceEndsAt, sliceEndsAt);
	}

	/**
	 * Records the answer to the exchange that reported the charges.
	 * @param answer the answer
	 * @param now the time in nanoseconds
	 */
	void resolve(GrantAnswer answer, long now) {
		if (now >= this.firstSliceEndsAt) {
			resolveUnanswered();
			return;
		}
		this.resolved = true;
		this.fencing = answer.fencing();
		this.mark = answer.mark();
	}

	/** Records that the exchange had no answer, so that only the earlier mark is safe. */
	void resolveUnanswered() {
		this.resolved = true;
		this.fencing = this.startFencing;
		this.mark = this.startMark;
	}

	boolean isResolved() {
		return this.resolved;
	}

	boolean belongsTo(long keeperFencing) {
		return this.fencing == keeperFencing && keeperFencing != 0;
	}

	long mark() {
		return this.mark;
	}

}

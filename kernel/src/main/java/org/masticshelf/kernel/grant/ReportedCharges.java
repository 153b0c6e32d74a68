package org.masticshelf.kernel.grant;

/**
 * The charges that one exchange reports to the keeper, and since when their tokens may
 * have been released there.
 * <p>
 * Invariant: the mark is not later than the moment at which the keeper stopped counting
 * the first of the charged tokens as outstanding. Not safe for use by several threads.
 */
final class ReportedCharges {

	private final long startFencing;

	private final long startMark;

	private long firstSliceEnd = Long.MAX_VALUE;

	private long fencing;

	private long mark;

	private boolean resolved;

	ReportedCharges(long startFencing, long startMark) {
		this.startFencing = startFencing;
		this.startMark = startMark;
	}

	/**
	 * Notes that tokens of a slice were charged.
	 * @param sliceEnd the end of the slice in nanoseconds
	 */
	void recordSliceEnd(long sliceEnd) {
		this.firstSliceEnd = Math.min(this.firstSliceEnd, sliceEnd);
	}

	/**
	 * Notes the answer to the exchange that reported the charges.
	 * @param answer the answer
	 * @param now the time in nanoseconds
	 */
	void resolve(GrantAnswer answer, long now) {
		if (now >= this.firstSliceEnd) {
			resolveUnanswered();
			return;
		}
		this.resolved = true;
		this.fencing = answer.fencing();
		this.mark = answer.mark();
	}

	/** Notes that the exchange had no answer, so that only an earlier mark is safe. */
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

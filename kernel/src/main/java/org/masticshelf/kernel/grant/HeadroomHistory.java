package org.masticshelf.kernel.grant;

import java.util.ArrayList;
import java.util.List;

/**
 * Tracks the minimum headroom of a bucket since any earlier time, less the credits that
 * were applied as of such times.
 * <p>
 * Invariant: {@link #minimumSince} never returns more than the true minimum; the number
 * of entries is bounded by merging the two oldest ones into the lower value. Not
 * thread-safe.
 */
final class HeadroomHistory {

	private static final int MAXIMUM_ENTRIES = 512;

	private final List<Entry> entries = new ArrayList<>();

	/**
	 * Records the headroom at a time; between two records it may only fall.
	 * @param time the time in nanoseconds, not before that of the last record
	 * @param headroom the headroom in billionths of a token
	 */
	void record(long time, long headroom) {
		while (!this.entries.isEmpty() && this.entries.getLast().headroom() >= headroom) {
			this.entries.removeLast();
		}
		this.entries.add(new Entry(time, headroom));
		if (this.entries.size() > MAXIMUM_ENTRIES) {
			Entry oldest = this.entries.removeFirst();
			this.entries.set(0, new Entry(this.entries.getFirst().time(), oldest.headroom()));
		}
	}

	/**
	 * Returns the minimum headroom since a time.
	 * @param since the time in nanoseconds
	 * @param current the headroom now in billionths of a token
	 * @return the minimum of the records and the present value in billionths of a token
	 */
	long minimumSince(long since, long current) {
		long minimum = current;
		for (int index = this.entries.size() - 1; index >= 0; index--) {
			Entry entry = this.entries.get(index);
			if (entry.time() < since) {
				break;
			}
			minimum = Math.min(minimum, entry.headroom());
		}
		return minimum;
	}

	/**
	 * Applies a credit as if it had been in the bucket since a time.
	 * @param since the time in nanoseconds
	 * @param credited the credit in billionths of a token
	 */
	void applyCredit(long since, long credited) {
		List<Entry> previous = new ArrayList<>(this.entries);
		this.entries.clear();
		for (Entry entry : previous) {
			record(entry.time(), (entry.time() < since) ? entry.headroom() : entry.headroom() - credited);
		}
	}

	private record Entry(long time, long headroom) {
	}

}

package org.masticshelf.kernel.grant;

import java.util.ArrayList;
import java.util.List;

/**
 * The least headroom of a bucket since any earlier time, and the credits that were booked
 * back to such times.
 * <p>
 * Invariant: {@link #minimumSince} never returns more than the true least headroom; the
 * number of entries is bounded by merging the oldest ones to the lower value. Not safe
 * for use by several threads.
 */
final class HeadroomHistory {

	private static final int MAXIMUM_ENTRIES = 512;

	private final List<Entry> entries = new ArrayList<>();

	/**
	 * Records the headroom at a time; between two records it only falls.
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
	 * Returns the least headroom recorded since a time.
	 * @param since the time in nanoseconds
	 * @param current the headroom now in billionths of a token
	 * @return the least of both in billionths of a token
	 */
	long minimumSince(long since, long current) {
		long least = current;
		for (int index = this.entries.size() - 1; index >= 0; index--) {
			Entry entry = this.entries.get(index);
			if (entry.time() < since) {
				break;
			}
			least = Math.min(least, entry.headroom());
		}
		return least;
	}

	/**
	 * Books a credit as if it had been in the bucket since a time.
	 * @param since the time in nanoseconds
	 * @param credited the credit in billionths of a token
	 */
	void applyCredit(long since, long credited) {
		List<Entry> booked = new ArrayList<>(this.entries);
		this.entries.clear();
		for (Entry entry : booked) {
			record(entry.time(), (entry.time() < since) ? entry.headroom() : entry.headroom() - credited);
		}
	}

	private record Entry(long time, long headroom) {
	}

}

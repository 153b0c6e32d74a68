package org.masticshelf.kernel.grant;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;

import org.jspecify.annotations.Nullable;

/**
 * The standing allotments of an organisation as its keeper counts them.
 * <p>
 * Invariant: an allotment is counted from before it is written until it has run out, was
 * given up by its holder, or its holder is proved to be gone; the shares add up to no
 * more than the reserve. Not safe for use by several threads.
 */
final class AllotmentTable {

	private static final long LEAST_PARTS_PER_MILLION = 1_000;

	private final Map<String, Entry> entries = new LinkedHashMap<>();

	private final PriorityQueue<Timer> timers = new PriorityQueue<>(
			(first, second) -> Long.compare(first.at(), second.at()));

	private final long reservePartsPerMillion;

	private long total;

	private long lent;

	private boolean changed;

	AllotmentTable(Collection<Allotment> written, long reservePartsPerMillion, long now) {
		this.reservePartsPerMillion = reservePartsPerMillion;
		for (Allotment allotment : written) {
			Entry entry = new Entry(allotment, now);
			entry.confirmed = true;
			put(entry, now);
		}
	}

	/**
	 * Returns the share that the keeper must not use itself now.
	 * @return the share in parts per million
	 */
	long withheldPartsPerMillion() {
		return this.total - this.lent;
	}

	/**
	 * Returns when a loan or an allotment ends next.
	 * @return the time in nanoseconds, {@link Long#MAX_VALUE} for never
	 */
	long nextChangeAt() {
		Timer timer = this.timers.peek();
		return (timer != null) ? timer.at() : Long.MAX_VALUE;
	}

	/**
	 * Ends what has run out by a time.
	 * @param now the time in nanoseconds
	 */
	void expire(long now) {
		while (nextChangeAt() <= now) {
			Timer timer = this.timers.remove();
			if (this.entries.get(timer.entry().incarnation()) == timer.entry()) {
				expire(timer, now);
			}
		}
	}

	private void expire(Timer timer, long now) {
		Entry entry = timer.entry();
		long end = timer.loan() ? entry.lentUntil : entry.endsAt;
		if (end > now) {
			this.timers.add(new Timer(end, entry, timer.loan()));
		}
		else if (timer.loan()) {
			stopLoan(entry);
		}
		else {
			remove(entry);
			this.changed = true;
		}
	}

	/**
	 * Notes that a daemon was answered, which prolongs its allotment.
	 * @param incarnation the incarnation of the daemon
	 * @param now the time in nanoseconds
	 * @return the share in parts per million that it may use, 0 for none
	 */
	long renew(String incarnation, long now) {
		Entry entry = this.entries.get(incarnation);
		if (entry == null || !entry.confirmed) {
			return 0;
		}
		entry.endsAt = now + GrantParameters.ALLOTMENT_LIFETIME_NANOSECONDS;
		return entry.allotment.partsPerMillion();
	}

	/**
	 * Takes a daemon's allotment on loan.
	 * @param incarnation the incarnation of the daemon
	 * @param until when the loan ends, in nanoseconds
	 * @param now the time in nanoseconds
	 */
	void lend(String incarnation, long until, long now) {
		Entry entry = this.entries.get(incarnation);
		if (entry == null || !entry.confirmed || until <= now || (entry.lent && entry.lentUntil >= until)) {
			return;
		}
		entry.lentUntil = until;
		if (!entry.lent) {
			entry.lent = true;
			this.lent += entry.allotment.partsPerMillion();
			this.timers.add(new Timer(until, entry, true));
		}
	}

	/**
	 * Ends the allotment of a daemon that will never spend again.
	 * @param incarnation the incarnation of the daemon
	 */
	void release(String incarnation) {
		Entry entry = this.entries.get(incarnation);
		if (entry != null) {
			remove(entry);
			this.changed = true;
		}
	}

	/**
	 * Counts an allotment for a daemon that has none, taking the place of a daemon that
	 * cannot be running any more.
	 * @param sender the daemon
	 * @param provedAliveAt a time after which the daemon was certainly running
	 * @param slots over how many daemons the reserve is divided
	 * @param now the time in nanoseconds
	 */
	void allocate(GrantRequest.Sender sender, long provedAliveAt, int slots, long now) {
		if (this.entries.containsKey(sender.incarnation())) {
			return;
		}
		Entry predecessor = predecessorOf(sender, provedAliveAt);
		if (predecessor != null) {
			remove(predecessor);
		}
		long share = Math.min(this.reservePartsPerMillion / slots, this.reservePartsPerMillion - this.total);
		if (share >= LEAST_PARTS_PER_MILLION) {
			put(new Entry(new Allotment(sender, share), now), now);
			this.changed = true;
		}
	}

	private @Nullable Entry predecessorOf(GrantRequest.Sender sender, long provedAliveAt) {
		for (Entry entry : this.entries.values()) {
			if (entry.allotment.holder().excludes(sender) && entry.firstSeenAt <= provedAliveAt) {
				return entry;
			}
		}
		return null;
	}

	/**
	 * Returns what has to be written before new allotments may be used.
	 * @return all allotments, or {@code null} if nothing has to be written
	 */
	@Nullable List<Allotment> pollAllotmentsToWrite() {
		if (!this.changed) {
			return null;
		}
		this.changed = false;
		return this.entries.values().stream().map((entry) -> entry.allotment).toList();
	}

	/**
	 * Notes that allotments were written.
	 * @param written what {@link #pollAllotmentsToWrite} returned
	 */
	void confirmWritten(Collection<Allotment> written) {
		for (Allotment allotment : written) {
			Entry entry = this.entries.get(allotment.holder().incarnation());
			if (entry != null) {
				entry.confirmed = true;
			}
		}
	}

	/** Asks for another write of allotments whose write failed. */
	void retryWrite() {
		this.changed = true;
	}

	private void put(Entry entry, long now) {
		entry.endsAt = now + GrantParameters.ALLOTMENT_LIFETIME_NANOSECONDS;
		this.entries.put(entry.incarnation(), entry);
		this.total += entry.allotment.partsPerMillion();
		this.timers.add(new Timer(entry.endsAt, entry, false));
	}

	private void remove(Entry entry) {
		stopLoan(entry);
		this.entries.remove(entry.incarnation());
		this.total -= entry.allotment.partsPerMillion();
	}

	private void stopLoan(Entry entry) {
		if (entry.lent) {
			entry.lent = false;
			this.lent -= entry.allotment.partsPerMillion();
		}
	}

	private record Timer(long at, Entry entry, boolean loan) {
	}

	private static final class Entry {

		private final Allotment allotment;

		private final long firstSeenAt;

		private boolean confirmed;

		private boolean lent;

		private long lentUntil;

		private long endsAt;

		Entry(Allotment allotment, long firstSeenAt) {
			this.allotment = allotment;
			this.firstSeenAt = firstSeenAt;
		}

		String incarnation() {
			return this.allotment.holder().incarnation();
		}

	}

}

package org.masticshelf.kernel.grant;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;

import org.jspecify.annotations.Nullable;

/**
 * Tracks the standing allotments of one organisation for its keeper.
 * <p>
 * Invariant: an allotment counts from before it is written until it expires, its holder
 * releases it or its holder has provably stopped; the shares add up to no more than the
 * reserve. Not thread-safe.
 */
final class AllotmentTable {

	private static final long MINIMUM_SHARE_PARTS_PER_MILLION = 1_000;

	private final Map<String, Entry> entries = new LinkedHashMap<>();

	private final PriorityQueue<Timer> timers = new PriorityQueue<>(
			(first, second) -> Long.compare(first.at(), second.at()));

	private final long reservePartsPerMillion;

	private long totalPartsPerMillion;

	private long lentPartsPerMillion;

	private boolean unwritten;

	AllotmentTable(Collection<Allotment> written, long reservePartsPerMillion, long now) {
		this.reservePartsPerMillion = reservePartsPerMillion;
		for (Allotment allotment : written) {
			Entry entry = new Entry(allotment, now);
			entry.confirmed = true;
			put(entry, now);
		}
	}

	/**
	 * Returns the share that the keeper must not give out now: allotments that are not on
	 * loan.
	 * @return the share in parts per million
	 */
	long withheldPartsPerMillion() {
		return this.totalPartsPerMillion - this.lentPartsPerMillion;
	}

	/**
	 * Returns when the next loan or allotment ends.
	 * @return the time in nanoseconds, {@link Long#MAX_VALUE} for never
	 */
	long nextChangeAt() {
		Timer timer = this.timers.peek();
		return (timer != null) ? timer.at() : Long.MAX_VALUE;
	}

	/**
	 * Ends the loans and allotments that have expired.
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
			this.unwritten = true;
		}
	}

	/**
	 * Renews the allotment of a daemon that is being answered.
	 * @param incarnation the incarnation of the daemon
	 * @param now the time in nanoseconds
	 * @return the share in parts per million that the daemon may use, 0 for none
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
	 * Records that a daemon lends its allotment to the keeper.
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
			this.lentPartsPerMillion += entry.allotment.partsPerMillion();
			this.timers.add(new Timer(until, entry, true));
		}
	}

	/**
	 * Releases the allotment of a daemon that will never spend again.
	 * @param incarnation the incarnation of the daemon
	 */
	void release(String incarnation) {
		Entry entry = this.entries.get(incarnation);
		if (entry != null) {
			remove(entry);
			this.unwritten = true;
		}
	}

	/**
	 * Allocates an allotment to a daemon that has none; it replaces the allotment of a
	 * predecessor that cannot be running any more.
	 * @param sender the daemon
	 * @param provedAliveAt a time at or after which the daemon was certainly running, in
	 * nanoseconds
	 * @param slots the number of daemons that share the reserve
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
		long share = Math.min(this.reservePartsPerMillion / slots,
				this.reservePartsPerMillion - this.totalPartsPerMillion);
		if (share >= MINIMUM_SHARE_PARTS_PER_MILLION) {
			put(new Entry(new Allotment(sender, share), now), now);
			this.unwritten = true;
		}
	}

	private @Nullable Entry predecessorOf(GrantRequest.Sender sender, long provedAliveAt) {
		for (Entry entry : this.entries.values()) {
			if (entry.allotment.holder().excludes(sender) && entry.addedAt <= provedAliveAt) {
				return entry;
			}
		}
		return null;
	}

	/**
	 * Returns the allotments if they have changed since the last call; new ones must not
	 * be used before they are written.
	 * @return all allotments, or {@code null} if none has changed
	 */
	@Nullable List<Allotment> pollAllotmentsToWrite() {
		if (!this.unwritten) {
			return null;
		}
		this.unwritten = false;
		return this.entries.values().stream().map((entry) -> entry.allotment).toList();
	}

	/**
	 * Records that allotments were written.
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

	/** Requests another write after one that failed. */
	void retryWrite() {
		this.unwritten = true;
	}

	private void put(Entry entry, long now) {
		entry.endsAt = now + GrantParameters.ALLOTMENT_LIFETIME_NANOSECONDS;
		this.entries.put(entry.incarnation(), entry);
		this.totalPartsPerMillion += entry.allotment.partsPerMillion();
		this.timers.add(new Timer(entry.endsAt, entry, false));
	}

	private void remove(Entry entry) {
		stopLoan(entry);
		this.entries.remove(entry.incarnation());
		this.totalPartsPerMillion -= entry.allotment.partsPerMillion();
	}

	private void stopLoan(Entry entry) {
		if (entry.lent) {
			entry.lent = false;
			this.lentPartsPerMillion -= entry.allotment.partsPerMillion();
		}
	}

	private record Timer(long at, Entry entry, boolean loan) {
	}

	private static final class Entry {

		private final Allotment allotment;

		private final long addedAt;

		private boolean confirmed;

		private boolean lent;

		private long lentUntil;

		private long endsAt;

		Entry(Allotment allotment, long addedAt) {
			this.allotment = allotment;
			this.addedAt = addedAt;
		}

		String incarnation() {
			return this.allotment.holder().incarnation();
		}

	}

}

package org.masticshelf.control.placement;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.LongSupplier;

import org.jspecify.annotations.Nullable;

import org.masticshelf.kernel.configuration.Loadable;
import org.masticshelf.kernel.configuration.QualifiedName;
import org.masticshelf.kernel.placement.EndpointRecord;
import org.masticshelf.kernel.placement.EndpointRecord.Entry;
import org.masticshelf.kernel.placement.EndpointRecord.Sender;
import org.masticshelf.kernel.placement.EndpointRecord.State;
import org.masticshelf.kernel.placement.LoadableCodec;
import org.masticshelf.kernel.port.Engine;

/**
 * Brings a record in line with what its endpoint reports.
 * <p>
 * Invariant: an entry leaves the record only when a report that was asked for after its
 * last order ended does not show it, no order of this holder can still arrive, and no
 * former holder's can. Guarded by the lock of the store's keeper.
 */
final class Reconciliation {

	private static final long RETRY_MILLISECONDS = 500;

	private final Map<Loadable, Engine.Item> items = new HashMap<>();

	private final Map<Loadable, EntryProgress> progress;

	private final Sender self;

	private final Set<Sender> settledSenders;

	private final Engine.Report report;

	private final long askedSequence;

	private final boolean refusesFormerSenders;

	private final LongSupplier clock;

	/**
	 * Creates a reconciliation.
	 * @param pool the pool of the endpoint
	 * @param report the newest report
	 * @param askedSequence when it was asked for
	 * @param progress what is known about the entries
	 * @param self this holder
	 * @param settledSenders former holders that certainly send no more
	 * @param checksFencing whether the endpoint refuses old fencing numbers
	 * @param clock the time in milliseconds
	 */
	Reconciliation(QualifiedName pool, Engine.Report report, long askedSequence, Map<Loadable, EntryProgress> progress,
			Sender self, Set<Sender> settledSenders, boolean checksFencing, LongSupplier clock) {
		report.items().forEach((item) -> this.items.put(LoadableCodec.ofEngineName(pool, item.name()), item));
		this.report = report;
		this.askedSequence = askedSequence;
		this.progress = progress;
		this.self = self;
		this.settledSenders = settledSenders;
		this.refusesFormerSenders = checksFencing && report.highestFencing() >= self.fencing();
		this.clock = clock;
	}

	/**
	 * Applies the report.
	 * @param record the record
	 * @return the record as it should be, equal to the given one if they agree
	 */
	EndpointRecord apply(EndpointRecord record) {
		EndpointRecord next = record;
		for (Entry entry : record.entries()) {
			EntryProgress known = this.progress.get(entry.loadable());
			Entry changed = (known != null) ? apply(withoutSettled(entry), known) : entry;
			next = (changed != null) ? replace(next, entry, changed) : next.without(entry.loadable());
		}
		for (Map.Entry<Loadable, Engine.Item> item : this.items.entrySet()) {
			if (record.entry(item.getKey()) == null) {
				next = next.with(found(item.getKey(), item.getValue()));
			}
		}
		return next;
	}

	private static EndpointRecord replace(EndpointRecord record, Entry entry, Entry changed) {
		return changed.equals(entry) ? record : record.with(changed);
	}

	private Entry withoutSettled(Entry entry) {
		if (entry.earlier().isEmpty()) {
			return entry;
		}
		return entry.withoutEarlier(this.refusesFormerSenders ? entry.earlier() : List.copyOf(this.settledSenders));
	}

	private Entry found(Loadable loadable, Engine.Item item) {
		State state = (item.state() == Engine.ItemState.LOADED) ? State.LOADED : State.DOUBTFUL;
		return new Entry(loadable, state, item.memoryBytes(), this.self, "found", List.of());
	}

	private @Nullable Entry apply(Entry entry, EntryProgress known) {
		Engine.Item item = this.items.get(entry.loadable());
		return switch (entry.state()) {
			case INTENDED, DOUBTFUL -> (item != null) ? present(entry, item, known) : missing(entry, known);
			case LOADED -> (item != null || !isFresh(known)) ? entry : lost(entry, known);
			case UNLOADING -> (item != null) ? staying(entry, known) : unloaded(entry, known);
		};
	}

	private Entry present(Entry entry, Engine.Item item, EntryProgress known) {
		boolean isLoaded = item.state() == Engine.ItemState.LOADED;
		return (isLoaded && known.accepted && known.isSettled(this.clock.getAsLong())) ? entry.withState(State.LOADED)
				: entry;
	}

	private @Nullable Entry missing(Entry entry, EntryProgress known) {
		if (!isFresh(known) || !(known.accepted || known.refused)) {
			return entry;
		}
		if (mayRemove(entry, known)) {
			return null;
		}
		known.retry(this.clock.getAsLong() + RETRY_MILLISECONDS);
		return entry;
	}

	private @Nullable Entry lost(Entry entry, EntryProgress known) {
		if (mayRemove(entry, known)) {
			return null;
		}
		known.retry(this.clock.getAsLong());
		return entry.withState(State.DOUBTFUL).withSender(this.self);
	}

	private Entry staying(Entry entry, EntryProgress known) {
		if (known.accepted && isFresh(known)) {
			known.retry(this.clock.getAsLong() + RETRY_MILLISECONDS);
		}
		return entry;
	}

	private @Nullable Entry unloaded(Entry entry, EntryProgress known) {
		return (known.accepted && isFresh(known) && mayRemove(entry, known)) ? null : entry;
	}

	private boolean mayRemove(Entry entry, EntryProgress known) {
		return known.isSettled(this.clock.getAsLong()) && entry.earlier().isEmpty();
	}

	private boolean isFresh(EntryProgress known) {
		return this.askedSequence > known.changedSequence && !known.sending;
	}

	/**
	 * Returns whether the endpoint reports a loadable as loaded.
	 * @param loadable the loadable
	 * @return whether it serves
	 */
	boolean isLoaded(Loadable loadable) {
		Engine.Item item = this.items.get(loadable);
		return item != null && item.state() == Engine.ItemState.LOADED;
	}

	/**
	 * Returns the report.
	 * @return the report that is applied
	 */
	Engine.Report report() {
		return this.report;
	}

}
